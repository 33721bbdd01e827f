"""Decisions on which proxy does which work."""
