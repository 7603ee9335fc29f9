"""Tools for building; not a part of the product."""
