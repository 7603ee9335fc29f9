"""Tests of the integration."""
