"""Decisions on who may acknowledge writes in a term."""
