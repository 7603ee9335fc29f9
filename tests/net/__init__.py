"""Tests of ``figstep.net``."""
