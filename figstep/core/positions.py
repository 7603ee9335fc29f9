"""Positions in a log that may come back from an older copy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Position in a stream of the log, which orders by era first.

    A log that comes back from an older copy has lost its newest records and begins a
    new era, in which it gives their offsets to other records. Offsets alone therefore
    say nothing across eras.

    Attributes:
        era: Number of the era; 0 if the log names none.
        offset: Offset of the next record; -1 if none was read.
    """

    era: int = 0
    offset: int = -1

    def count_records_to(self, later: "Position") -> int:
        """Return how many records lie between this position and a later one.

        The number is 0 if the other position is not later, or in another era.
        """
        if later.era != self.era:
            return 0
        return max(0, later.offset - self.offset)

    def advance(self, records: int) -> "Position":
        """Return the position after some more records."""
        return Position(self.era, self.offset + records)

    def complete_era(self, era: int) -> "Position":
        """Return this position with an era, if its writer named none.

        Processes of earlier versions name none; they are taken to be in the same era.
        """
        return self if self.era else Position(era, self.offset)


NO_POSITION = Position()
"""Position of a reader that has read nothing."""
