"""Failure domains that the operator has evacuated."""

from dataclasses import dataclass

from figstep.core.positions import NO_POSITION, Position


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Failure domains whose targets get no new work, as of one position in the store.

    Attributes:
        domains: Names of the evacuated failure domains.
        position: Position in the store up to which the operator's records were read.
            Of two versions, the one with the later position applies.
    """

    domains: frozenset[str] = frozenset()
    position: Position = NO_POSITION


NO_EVACUATIONS = Evacuations()
"""Evacuations before any record was read."""
