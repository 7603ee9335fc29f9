"""Clock type: integer milliseconds."""

from abc import ABC, abstractmethod
from typing import NewType

Millis = NewType("Millis", int)

SECOND = Millis(1_000)
MINUTE = Millis(60_000)


class Clock(ABC):
    """Source of monotonic time."""

    @abstractmethod
    def now(self) -> Millis:
        """Return monotonic milliseconds; the zero point is arbitrary."""


class ManualClock(Clock):
    """Clock that moves only when told, for tests and trials."""

    def __init__(self, start: int = 0) -> None:
        self._now = Millis(start)

    def now(self) -> Millis:
        """Return the time that was last set."""
        return self._now

    def advance(self, millis: int) -> None:
        """Move forward by ``millis`` milliseconds."""
        self._now = Millis(self._now + millis)
