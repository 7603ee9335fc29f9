"""Tests of the experiment."""
