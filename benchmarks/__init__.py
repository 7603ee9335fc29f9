"""Benchmarks that start processes; not a part of the product."""
