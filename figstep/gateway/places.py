"""Failure domains that the operator has evacuated."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Failure domains whose targets get no new work, as of one store position.

    Attributes:
        domains: Names of the evacuated failure domains.
        position: Offset in the store up to which the operator's records were read;
            -1 for none. Of two versions, the one with the higher offset applies.
    """

    domains: frozenset[str] = frozenset()
    position: int = -1


NO_EVACUATIONS = Evacuations()
"""Evacuations before any record was read."""
