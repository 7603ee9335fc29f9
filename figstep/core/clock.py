"""Clocks and times in integer milliseconds."""

from abc import ABC, abstractmethod
from typing import NewType

Millis = NewType("Millis", int)

SECOND = Millis(1_000)
MINUTE = Millis(60_000)


class Clock(ABC):
    """Source of monotonic time."""

    @abstractmethod
    def now(self) -> Millis:
        """Return the monotonic time in milliseconds, from an arbitrary zero point."""


class ManualClock(Clock):
    """Clock that moves only when it is advanced, for tests and simulations."""

    def __init__(self, start: int = 0) -> None:
        self._now = Millis(start)

    def now(self) -> Millis:
        """Return the time that the clock was last moved to, in milliseconds."""
        return self._now

    def advance(self, millis: int) -> None:
        """Move the clock forward by ``millis`` milliseconds."""
        self._now = Millis(self._now + millis)
