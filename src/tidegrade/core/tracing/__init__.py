"""What decisions were based on, for the logs; it decides nothing."""
