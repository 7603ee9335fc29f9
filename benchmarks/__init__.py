"""Benchmarks, most of them with real processes; each module is one command."""
