"""Routed requests before targets that come and go: pure decisions and state."""
