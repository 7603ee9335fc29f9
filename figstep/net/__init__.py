"""Edges: bytes to events and effects to bytes; nothing is decided here."""
