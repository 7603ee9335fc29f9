"""Gateway of routed requests to changing targets: pure decisions and state."""
