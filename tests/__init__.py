"""Tests of figstep; ``test_X.py`` tests the module ``X.py``."""
