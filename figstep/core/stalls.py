"""Times for which the event loop did not run, as its process was frozen."""

from figstep.core.clock import Millis

STALL_SLACK = Millis(200)
"""Lateness of a task, in milliseconds, above which the event loop was stalled."""


class StallWatch:
    """Tells since when a stalled event loop has handled nothing.

    A task that waits for short times again and again says before each wait how long it
    will be.
    """

    def __init__(self, now: Millis) -> None:
        self._ran_at = now
        self._due = now
        self._stalled_from = now
        self._stalled_until = Millis(now - STALL_SLACK)

    def expect(self, now: Millis, wait: Millis) -> None:
        """Note that the loop runs now, and will run again after ``wait``."""
        if now > self._due + STALL_SLACK:
            self._stalled_from, self._stalled_until = self._ran_at, now
        self._ran_at = now
        self._due = Millis(now + wait)

    def find_earliest(self, now: Millis) -> Millis:
        """Return when a signal that is handled now may have been sent, at the earliest.

        That is ``now`` if the loop is not stalled and was not stalled just before.
        """
        if now > self._due + STALL_SLACK:
            return self._ran_at
        if now < self._stalled_until + STALL_SLACK:
            return self._stalled_from
        return now
