"""Tasks that every proxy program runs, independent of client protocols."""
