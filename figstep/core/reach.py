"""Detects that this entry reaches none of a group of targets, those of one service.

The case handled here is an entry that has lost the links to all of them, while callers
and other entries still reach it. To each request this looks like a target that is
down, so the failures at different targets are added up. Only new connections count:
open ones may live on while new ones fail.
"""

from dataclasses import dataclass, field

from figstep.core.clock import Millis

MIN_FAILED_TARGETS = 3
"""Number of targets that must not be reached before an entry counts as cut off.

It is lower if fewer targets are known. Targets that crash at once are often fewer, or
others are reached meanwhile.
"""

CHECK_INTERVAL = Millis(250)
"""Time, in milliseconds, between two checks of whether a target is reached.

Traffic returns within about this time after the links are back.
"""


@dataclass(slots=True)
class Reach:
    """What this entry knows of its links to the targets of a service.

    All times are monotonic, in milliseconds.

    Attributes:
        connected_at: When a new connection to any of them was last established.
        failed: Targets to which a connection failed since, and when it failed.
        cut_off_since: Since when this entry counts as cut off from all of them; None
            if it does not.
        cut_ended_at: When this entry last reached targets again after a cut.
        checked_at: When a connection was last opened only to check a target.
        accepted_at: Newest opening of a call that a target accepted without an answer.
    """

    connected_at: Millis = Millis(-1_000_000)
    failed: dict[str, Millis] = field(default_factory=dict)
    cut_off_since: Millis | None = None
    cut_ended_at: Millis = Millis(-1_000_000)
    checked_at: Millis = Millis(-1_000_000)
    accepted_at: Millis = Millis(-1_000_000)

    @property
    def cut_off(self) -> bool:
        """Whether this entry counts as cut off from all of these targets."""
        return self.cut_off_since is not None

    def record_connection(self, now: Millis) -> bool:
        """Record an established connection; return whether it ends a cut."""
        was_cut_off = self.cut_off
        self.connected_at = now
        self.failed.clear()
        self.cut_off_since = None
        if was_cut_off:
            self.cut_ended_at = now
        return was_cut_off

    def record_failure(
        self, target: str, opened: Millis, known: int, now: Millis
    ) -> bool:
        """Record a connection that was not established.

        It is ignored if another one was established since it was opened.

        Args:
            target: Name of the target.
            opened: When the connection was opened.
            known: Number of targets of the service that could be tried.
            now: Current time.

        Returns:
            Whether this entry counts as cut off from now on.
        """
        if opened <= self.connected_at:
            return False
        self.failed[target] = now
        if self.cut_off or len(self.failed) < min(MIN_FAILED_TARGETS, known):
            return False
        self.cut_off_since = now
        return True

    def count_missing(self, known: int) -> int:
        """Return how many more failed targets would show that this entry is cut off."""
        return max(0, min(MIN_FAILED_TARGETS, known) - len(self.failed))

    def may_check(self, now: Millis) -> bool:
        """Return whether the next check is due."""
        return now - self.checked_at >= CHECK_INTERVAL
