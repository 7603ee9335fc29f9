"""Small stand-ins for external systems, for tests, demos and experiments."""
