"""Small stand-ins of the outside systems, for tests, demos and trials."""
