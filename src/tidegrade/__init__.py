"""A database proxy with session consistency for many small sites."""

__version__ = '0.1.0'

__all__ = ['__version__']
