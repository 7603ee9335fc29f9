"""Retry budget of the fleet, held by all entries together.

In any window a service may get repeats up to a ratio of its requests plus an
allowance, summed over all entries. Entries tell each other what they used, so
that one that has many streams on an engine that leaves may use what the others
don't need. An entry that misses some of the others keeps to an equal part.
"""

from collections import deque
from dataclasses import dataclass, field

from figstep.core.clock import Millis

SHARED_FRACTION = 0.6
"""Part of the fleet's bound that is used while all entries hear each other. A
message takes up to 0.1 s; what all of them start meanwhile fits the rest."""

URGENT_FRACTION = 0.8
"""The same for streams whose engine leaves: denied, they would be lost. The rest
holds what all entries start within one message's time."""

ISOLATED_FRACTION = 0.7
"""Part of an entry's own share that is used while others are not heard: windows
slide, and a target counts a repeat some milliseconds after it was sent."""

UNKNOWN_ENTRIES = 4
"""Entries that may exist without having been heard of: added or restarting."""

URGENT_RESERVE_FRACTION = 0.3
"""Part of the bound that is kept for streams whose engine leaves. One of these
is worth tens of short requests that could be tried again instead."""


@dataclass(slots=True)
class ServiceUse:
    """Times of what was sent to one service, oldest first."""

    requests: deque[Millis] = field(default_factory=deque)
    repeats: deque[Millis] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class UseReport:
    """What one entry sent to a service within a window.

    Attributes:
        service: The service.
        requests: Requests of its callers.
        repeats: Arrivals beyond the first of each request.
    """

    service: str
    requests: int
    repeats: int


@dataclass(frozen=True, slots=True)
class FleetUse:
    """What the entries that share with this one sent to a service.

    Attributes:
        requests: Requests of their callers.
        repeats: Their arrivals beyond the first of each request.
        entries: Entries that share, this one included.
        complete: Whether all of them are heard now.
        fleet_fraction: Their part of all entries of the fleet.
    """

    requests: int
    repeats: int
    entries: int
    complete: bool
    fleet_fraction: float = 1.0


@dataclass(slots=True)
class RetryBudget:
    """What this entry may send beyond the first arrival of each request.

    Attributes:
        ratio: Repeats for each request.
        allowance: Repeats of the whole fleet beyond the ratio, in a window.
        window: Length of the sliding window.
        started: When this entry started; before a window has passed, repeats
            of its earlier process may still count.
        first_start: Whether no earlier process of this entry can have sent anything.
        uses: What was sent, by service.
    """

    ratio: float
    allowance: float
    window: Millis
    started: Millis = Millis(0)
    first_start: bool = True
    uses: dict[str, ServiceUse] = field(default_factory=dict)

    def record_request(self, service: str, now: Millis) -> None:
        """Count a caller's request for a service."""
        self._trim(service, now).requests.append(now)

    def count_requests(self, service: str, now: Millis) -> int:
        """Return this entry's requests for a service within the window."""
        return len(self._trim(service, now).requests)

    def can_repeat(
        self, service: str, fleet: FleetUse, now: Millis, urgent: bool = False
    ) -> bool:
        """Tell whether one more repeat keeps the fleet within its bound.

        Args:
            service: Service that it goes to.
            fleet: What the other entries sent there.
            now: Monotonic time.
            urgent: Whether it may use what is kept for streams in danger.
        """
        use = self._trim(service, now)
        usable_fraction = 1.0 if urgent else 1.0 - URGENT_RESERVE_FRACTION
        safety_fraction = URGENT_FRACTION if urgent else SHARED_FRACTION
        if fleet.complete and fleet.entries > 1:
            requests = len(use.requests) + fleet.requests
            allowance = self.allowance * fleet.fleet_fraction
            bound = safety_fraction * (self.ratio * requests + allowance)
            return len(use.repeats) + fleet.repeats + 1 <= usable_fraction * bound
        entries = fleet.entries / fleet.fleet_fraction
        allowance_share = self.allowance / (entries + UNKNOWN_ENTRIES)
        if not self.first_start and now < self.started + self.window:
            allowance_share = 0.0
        bound = ISOLATED_FRACTION * (self.ratio * len(use.requests) + allowance_share)
        return len(use.repeats) + 1 <= usable_fraction * bound

    def record_repeat(self, service: str, now: Millis) -> None:
        """Count an arrival beyond the first of a request."""
        self._trim(service, now).repeats.append(now)

    def count_repeats(self, service: str, now: Millis) -> int:
        """Return this entry's repeats at a service within the window."""
        return len(self._trim(service, now).repeats)

    def report(self, now: Millis) -> tuple[UseReport, ...]:
        """Return what was sent to each service within the window."""
        reports = []
        for service in list(self.uses):
            use = self._trim(service, now)
            if use.requests or use.repeats:
                reports.append(UseReport(service, len(use.requests), len(use.repeats)))
        return tuple(reports)

    def _trim(self, service: str, now: Millis) -> ServiceUse:
        use = self.uses.setdefault(service, ServiceUse())
        oldest = now - self.window
        for times in (use.requests, use.repeats):
            while times and times[0] <= oldest:
                times.popleft()
        return use
