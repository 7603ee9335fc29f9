"""Contracts of the interfaces."""
