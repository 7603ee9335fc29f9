"""Retry budget of the fleet, shared by all entries.

In any window a service may get repeats up to a ratio of its requests plus an
allowance, summed over all entries. Entries report their use to each other, so that
one that has many streams on a leaving engine may use what the others don't need. An
entry that does not receive the reports of some others keeps to the ratio of its own
requests plus an equal share of the allowance. What an entry last reported before it
ended or fell silent counts until the window has passed.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from figstep.core.clock import Millis

SHARED_FRACTION = 0.6
"""Fraction of the fleet's bound for repeats that are not urgent.

It applies while all entries report to each other, and `URGENT_RESERVE_FRACTION` is then
taken off as well. A message takes up to 0.1 s; the rest of the bound covers the repeats
that all entries start meanwhile.
"""

URGENT_FRACTION = 0.8
"""Fraction of the fleet's bound for streams whose engine leaves, stalls or was lost.

It applies while all entries report to each other. A stream that is denied a repeat
would be lost. The rest of the bound covers the repeats that all entries start within
the time of one message.
"""

ISOLATED_FRACTION = 0.7
"""Fraction of an entry's own share that is used while reports of others are missing.

It also applies to an entry that knows no others. Windows slide, and a target counts a
repeat some milliseconds after it was sent: a repeat that has left the window here may
still be in the target's.
"""

UNKNOWN_ENTRIES = 4
"""Number of entries that may exist without having reported: new or restarting ones.

The allowance is divided among them too while reports of other entries are missing.
"""

URGENT_RESERVE_FRACTION = 0.3
"""Fraction of the bound reserved for streams whose engine leaves, stalls or was lost.

Losing one such stream costs as much as losing tens of short requests, which could be
repeated with the reserve instead.
"""

MAX_REPORTED_PAST_USES = 64
"""Maximum number of past processes in a message to a new one; bounds its size."""


@dataclass(slots=True)
class ServiceUse:
    """This entry's requests and repeats at one service within the window.

    Requests and repeats are kept as monotonic times in milliseconds, oldest first.
    """

    requests: deque[Millis] = field(default_factory=deque)
    repeats: deque[Millis] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class UseReport:
    """Requests and repeats that one entry sent to a service within a window.

    Attributes:
        repeats: Number of arrivals beyond the first of each request.
    """

    service: str
    requests: int
    repeats: int


@dataclass(frozen=True, slots=True)
class FleetUse:
    """Requests and repeats of the other entries that share the budget, at a service.

    Attributes:
        repeats: Number of their arrivals beyond the first of each request.
        entries: Number of entries that share the budget, this one included, or that
            have shared it within the window.
        complete: Whether all of these entries report now, or have ended.
        fleet_fraction: These entries as a fraction of the whole fleet, 0 to 1.
    """

    requests: int
    repeats: int
    entries: int
    complete: bool
    fleet_fraction: float = 1.0


@dataclass(frozen=True, slots=True)
class PastUse:
    """What a process of an entry last reported before it ended or fell silent.

    Attributes:
        node: Name of the entry.
        process: Random number of the process.
        uses: Its requests and repeats within one window, by service.
        age: Time in milliseconds since the report.
    """

    node: str
    process: int
    uses: tuple[UseReport, ...]
    age: Millis


@dataclass(frozen=True, slots=True)
class _LastUse:
    uses: tuple[UseReport, ...]
    reported_at: Millis


class PastUseTable:
    """Uses of processes that ended or fell silent, for one window after their report.

    An entry that starts again has another process, whose reports lack what the one
    before it has used.
    """

    def __init__(self) -> None:
        self._last_uses: dict[tuple[str, int], _LastUse] = {}

    def record(
        self,
        node: str,
        process: int,
        uses: Iterable[UseReport],
        reported_at: Millis,
    ) -> None:
        """Record the last report of a process; an older one than known is ignored."""
        known = self._last_uses.get((node, process))
        if known is None or known.reported_at <= reported_at:
            self._last_uses[node, process] = _LastUse(tuple(uses), reported_at)

    def remove(self, node: str, process: int) -> None:
        """Forget the reports of a process, which reports to this entry again."""
        self._last_uses.pop((node, process), None)

    def remove_expired(self, window: Millis, now: Millis) -> None:
        """Forget what was reported a window ago or earlier."""
        for key, last in list(self._last_uses.items()):
            if now - last.reported_at >= window:
                del self._last_uses[key]

    def list_nodes(self) -> set[str]:
        """Return the names of the entries of these processes."""
        return {node for node, _ in self._last_uses}

    def sum_uses(self, service: str, window: Millis, now: Millis) -> UseReport:
        """Return the requests and repeats that these processes sent to a service.

        Repeats count in full for a window after the report. Requests raise the bound,
        and their callers go to other entries: they count as if sent evenly.
        """
        requests = repeats = 0
        for last in self._last_uses.values():
            left = window - (now - last.reported_at)
            if left <= 0:
                continue
            for use in last.uses:
                if use.service == service:
                    requests += use.requests * left // window
                    repeats += use.repeats
        return UseReport(service, requests, repeats)

    def report(self, window: Millis, now: Millis) -> tuple[PastUse, ...]:
        """Return what a new process has to know, at most ``MAX_REPORTED_PAST_USES``.

        Processes with the most repeats come first; those without any are left out.
        """
        known = [
            PastUse(node, process, last.uses, Millis(now - last.reported_at))
            for (node, process), last in self._last_uses.items()
            if now - last.reported_at < window and any(use.repeats for use in last.uses)
        ]
        known.sort(key=lambda past: sum(use.repeats for use in past.uses), reverse=True)
        return tuple(known[:MAX_REPORTED_PAST_USES])


@dataclass(slots=True)
class RetryBudget:
    """Repeats that this entry may send beyond the first arrival of each request.

    Attributes:
        ratio: Repeats per request.
        allowance: Repeats of the whole fleet beyond the ratio, per service and window.
        window: Length of the sliding window in milliseconds.
        started: Monotonic time in milliseconds at which this entry started. For one
            window from then, repeats of its earlier process may still count, and its
            share of the allowance is 0 while reports of other entries are missing.
        first_start: Whether no earlier process of this entry can have sent anything;
            the share is then not set to 0.
        uses: Requests and repeats sent, by service.
    """

    ratio: float
    allowance: float
    window: Millis
    started: Millis = Millis(0)
    first_start: bool = True
    uses: dict[str, ServiceUse] = field(default_factory=dict)

    def record_request(self, service: str, now: Millis) -> None:
        """Record a caller's request for a service."""
        self._trim(service, now).requests.append(now)

    def count_requests(self, service: str, now: Millis) -> int:
        """Return this entry's number of requests for a service in the window."""
        return len(self._trim(service, now).requests)

    def can_repeat(
        self, service: str, fleet: FleetUse, now: Millis, urgent: bool = False
    ) -> bool:
        """Return whether one more repeat keeps the fleet within its bound.

        Nothing is reserved: `record_repeat` counts a repeat. An urgent repeat, for a
        stream that would be lost without it, may use the reserve.
        """
        use = self._trim(service, now)
        usable_fraction = 1.0 if urgent else 1.0 - URGENT_RESERVE_FRACTION
        safety_fraction = URGENT_FRACTION if urgent else SHARED_FRACTION
        requests = len(use.requests) + fleet.requests
        repeats = len(use.repeats) + fleet.repeats
        fleet_bound = self.ratio * requests + self.allowance * fleet.fleet_fraction
        if fleet.complete and fleet.entries > 1:
            return repeats + 1 <= usable_fraction * safety_fraction * fleet_bound
        # What others have used before reports went missing still counts.
        if repeats + 1 > usable_fraction * URGENT_FRACTION * fleet_bound:
            return False
        entries = fleet.entries / fleet.fleet_fraction
        allowance_share = self.allowance / (entries + UNKNOWN_ENTRIES)
        if not self.first_start and now < self.started + self.window:
            allowance_share = 0.0
        bound = ISOLATED_FRACTION * (self.ratio * len(use.requests) + allowance_share)
        return len(use.repeats) + 1 <= usable_fraction * bound

    def record_repeat(self, service: str, now: Millis) -> None:
        """Record an arrival beyond the first of a request."""
        self._trim(service, now).repeats.append(now)

    def count_repeats(self, service: str, now: Millis) -> int:
        """Return this entry's number of repeats at a service in the window."""
        return len(self._trim(service, now).repeats)

    def report(self, now: Millis) -> tuple[UseReport, ...]:
        """Return this entry's requests and repeats within the window, by service.

        Services without any are left out.
        """
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
