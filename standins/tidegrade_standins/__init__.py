"""Stand-ins for the systems that tidegrade meets, for tests and trials."""
