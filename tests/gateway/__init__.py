"""Tests of figstep.gateway."""
