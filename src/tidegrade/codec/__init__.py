"""Conversion of settings, table rows and result sets to and from JSON."""
