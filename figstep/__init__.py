"""Serving system for generations of unknown length on shared model engines."""

__version__ = "0.1.0"
