"""Tests of ``figstep.core``."""
