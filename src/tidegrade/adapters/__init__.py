"""Adapters that implement the ports with real external systems."""
