"""Runs of whole deployments, each part a process of its own."""
