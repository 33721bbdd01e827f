"""Decisions on how much of a limited resource may be used."""
