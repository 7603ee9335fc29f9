"""Retry budget of the fleet: each entry's part, without asking the others.

The bound holds for the sum over all entries in any window: repeats at most a
ratio of the requests plus an allowance. Each entry takes the ratio of its own
requests, whose sum is the fleet's, and an equal part of the allowance.
"""

from collections import deque
from dataclasses import dataclass, field

from figstep.core.clock import Millis

SAFETY = 0.7
"""Part of the bound that is used: entries count their windows from different
moments, and a target's own clock sees a repeat some milliseconds later."""

UNSEEN_ENTRIES = 4
"""Entries that may exist without having been heard of: added or restarting."""


@dataclass(slots=True)
class ServiceUse:
    """Times of what was sent to one service, oldest first."""

    requests: deque[Millis] = field(default_factory=deque)
    repeats: deque[Millis] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """What this entry may send beyond the first arrival of each request.

    Attributes:
        ratio: Repeats for each request.
        allowance: Repeats of the whole fleet beyond the ratio, in a window.
        window: Length of the sliding window.
        started: When this entry started; before a window has passed, repeats
            of its earlier process may still count.
        fresh: Whether no earlier process of this entry can have sent anything.
        uses: What was sent, by service.
    """

    ratio: float
    allowance: float
    window: Millis
    started: Millis = Millis(0)
    fresh: bool = True
    uses: dict[str, ServiceUse] = field(default_factory=dict)

    def note_request(self, service: str, now: Millis) -> None:
        """Count a caller's request for a service."""
        use = self._trim(service, now)
        use.requests.append(now)

    def can_repeat(
        self, service: str, entries: int, now: Millis, reserve: float = 0.0
    ) -> bool:
        """Tell whether one more repeat is within this entry's part.

        Args:
            service: Service that it goes to.
            entries: Entries that share the allowance.
            now: Monotonic time.
            reserve: Repeats to leave for uses of more worth.
        """
        use = self._trim(service, now)
        part = self.allowance * SAFETY / (entries + UNSEEN_ENTRIES)
        if not self.fresh and now < self.started + self.window:
            part = 0.0
        bound = self.ratio * SAFETY * len(use.requests) + part
        return len(use.repeats) + 1 + reserve <= bound

    def note_repeat(self, service: str, now: Millis) -> None:
        """Count an arrival beyond the first of a request."""
        use = self._trim(service, now)
        use.repeats.append(now)

    def _trim(self, service: str, now: Millis) -> ServiceUse:
        use = self.uses.setdefault(service, ServiceUse())
        oldest = now - self.window
        for times in (use.requests, use.repeats):
            while times and times[0] <= oldest:
                times.popleft()
        return use
