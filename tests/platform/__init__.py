"""Tests of figstep.platform."""
