"""Tests of the development tools."""
