"""Randomized soak test: real entry processes under injected faults."""
