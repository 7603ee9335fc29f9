"""Decisions: pure state, events in, effects out."""
