"""Experiments: one real reducer in front of engine models on a fake clock."""
