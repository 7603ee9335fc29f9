"""Randomized fault soak: real entries under faults from outside."""
