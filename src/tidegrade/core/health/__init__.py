"""Decisions on which endpoints work."""
