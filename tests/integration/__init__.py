"""Integration tests with real processes."""
