"""Experiments: the real reducer in front of engine models on a simulated clock."""
