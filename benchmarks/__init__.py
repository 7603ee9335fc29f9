"""Measurements that a page quotes; each names its command."""
