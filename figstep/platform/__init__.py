"""Adapter between the protocol of the users' platform and the gateway's types."""
