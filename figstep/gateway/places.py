"""Failure domains that the operator has evacuated."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Failure domains whose targets are to get no more work.

    Attributes:
        domains: Their names.
        position: Offset in the store up to which the operator's records were read;
            -1 for nothing. Of two, the one with the higher offset holds.
    """

    domains: frozenset[str] = frozenset()
    position: int = -1


NO_EVACUATIONS = Evacuations()
"""What is known before anything was read."""
