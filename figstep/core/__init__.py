"""Decision logic without I/O: a state that turns events into effects."""
