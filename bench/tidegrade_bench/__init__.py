"""Development tools: whole deployments on one machine, load, experiments."""
