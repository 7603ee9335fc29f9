"""Tests of figstep.platform, the adapter to the users' platform."""
