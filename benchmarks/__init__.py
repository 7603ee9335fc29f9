"""Measurements by real processes; each module is one command."""
