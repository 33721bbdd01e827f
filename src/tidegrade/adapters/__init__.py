"""Adapters: the real outside, behind the ports."""
