"""Tests of the contracts between figstep and its callers, targets and platform."""
