"""Network edges, which convert bytes to events and effects to bytes.

Decisions are made by the reducers, not here.
"""
