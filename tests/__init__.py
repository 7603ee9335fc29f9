"""Tests; ``test_X.py`` mirrors ``X.py``."""
