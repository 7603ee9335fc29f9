"""Tests of the contracts."""
