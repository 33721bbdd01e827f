"""Decisions on the order in which requests wait."""
