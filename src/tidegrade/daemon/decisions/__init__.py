"""Log lines that tell what the decisions of a proxy were based on."""
