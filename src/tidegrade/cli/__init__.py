"""The command line."""

from tidegrade.cli._main import main

__all__ = ['main']
