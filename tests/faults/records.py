"""Records of a run: attempts of callers, runs at targets, and injected faults.

All times are in seconds of the clock that ``read_clock`` returns.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from tests.platform.entries import Stop
from tests.platform.runs import Run, read_clock


class Kind(Enum):
    """Kind of a request; it decides the route and whether a repetition is allowed."""

    PLAN = "plan"  # long stream
    CHECK = "check"  # short stream
    ORDER = "order"  # call that runs at most once
    LOOKUP = "lookup"  # call that may be repeated
    RESUME = "resume"  # stream that callers take up again


CRASHING = "crash-"
"""Part of the path of a request that crashes each target that runs it."""

STREAMS = (Kind.PLAN, Kind.CHECK, Kind.RESUME)
"""Kinds that are generations and are answered with a stream of events."""

RETRY_EXTRA = 20
"""Repeats in a window besides a share of requests; also written into the settings."""

EVENTS = {Kind.PLAN: 80, Kind.CHECK: 4, Kind.RESUME: 24}
"""Number of events in a complete stream, by kind."""


@dataclass(slots=True)
class Attempt:
    """One request of a caller with the answer that it received.

    Attributes:
        incarnation: Incarnation of the entry when the request was sent.
        ended: Time at which the answer or the connection ended.
        status: HTTP status of the answer; 0 if none arrived.
        stamp: Value of the Server-Stamp header, which names the target.
        body: Part of the body that arrived.
        whole: Whether the answer was received to its end.
        disconnected: Whether the caller disconnected before the end.
        error: Name of the client's exception if the connection failed, else "".
        resumes: Id of the first attempt of a stream that is taken up again, else "".
        after: Id of the last event that the caller had received before.
        part: Part of its prompt that crashes engines, or "".
        crowded: Whether most callers came to that entry.
        length: Number of events of a complete stream; 0 if its kind decides that.
    """

    id: str
    kind: Kind
    entry: int
    incarnation: int
    path: str
    key: str
    sent: float
    ended: float = 0.0
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    whole: bool = False
    disconnected: bool = False
    error: str = ""
    resumes: str = ""
    after: int = 0
    part: str = ""
    crowded: bool = False
    length: int = 0

    @property
    def crash_cause(self) -> str:
        """The path or part that crashes each target that runs the request, or ""."""
        return self.path if CRASHING in self.path else self.part

    @property
    def is_crashing(self) -> bool:
        """Whether the request crashes each target that runs it."""
        return bool(self.crash_cause)


@dataclass(frozen=True, slots=True)
class Version:
    """Version of the configuration, and when the store had acknowledged it."""

    number: int
    acknowledged: float
    paths: frozenset[str]
    keys: frozenset[str]


@dataclass(slots=True)
class Disturbance:
    """Span of a fault, in which bounds on time are not checked.

    Attributes:
        entry: Number of the entry that is affected; None for all.
        target: Name of the target that is affected; "" for none.
        end: Time at which the fault ended; None while it lasts.
    """

    name: str
    entry: int | None
    target: str
    start: float
    end: float | None = None

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the fault overlaps a span; both ends are included."""
        return self.start <= end and (self.end is None or self.end >= start)


@dataclass(slots=True)
class NamedRate:
    """Span in which a target names a rate limit, in requests a second."""

    target: str
    rate: float
    start: float
    end: float | None = None


@dataclass(slots=True)
class Record:
    """Observations of one run of the soak.

    Attributes:
        departures: Time at which the store acknowledged that a target leaves, by
            name of the target; infinity from the decision until then.
        arrivals: Requests that reached targets, including those that a target
            rejected as not run: time, service and id of each request. Requests
            that were meant for another instance (status 421) are left out.
        target_arrivals: Requests that reached targets, as in ``arrivals``, but
            with the target in place of its service: time, target and id.
        leaving_since: Time from which a target announces in its answers that it
            leaves, by name of the target.
        pauses: Rejections with Retry-After: time, target, id of the request and
            seconds that the target asked for.
        cuts: Spans in which an entry reached no target. They are disturbances, too.
        crowds: Spans in which most callers came to one entry; no disturbances.
        loop_stalls: Spans in which the event loop of this process was blocked.
        target_stalls: Target, start and end of spans in which the process of a target
            did not run; None if all targets live in the loop of this process. Such
            time is not counted for the end of a run there; it excuses nothing else.
        retry_extra: Repeats in a window that all entries may make besides a share.
        first_id: Id of the first event of each stream.
        final_phase_start: Time from which all must work again, after the last
            fault and the time to recover from it.
    """

    runs: list[Run] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    departures: dict[str, float] = field(default_factory=dict)
    stops: list[Stop] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    target_arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    rates: list[NamedRate] = field(default_factory=list)
    leaving_since: dict[str, float] = field(default_factory=dict)
    pauses: list[tuple[float, str, str, float]] = field(default_factory=list)
    cuts: list[Disturbance] = field(default_factory=list)
    crowds: list[Disturbance] = field(default_factory=list)
    loop_stalls: list[tuple[float, float]] = field(default_factory=list)
    target_stalls: list[tuple[str, float, float]] | None = None
    retry_extra: float = RETRY_EXTRA
    first_id: int = 1
    final_phase_start: float = 0.0

    def begin_disturbance(
        self, name: str, entry: int | None = None, target: str = ""
    ) -> Disturbance:
        """Record a fault that begins now and return it; the caller sets its end."""
        found = Disturbance(name, entry, target, time.monotonic())
        self.disturbances.append(found)
        return found

    @contextmanager
    def disturb(
        self, name: str, entry: int | None = None, target: str = ""
    ) -> Iterator[Disturbance]:
        """Record a fault that lasts as long as the block."""
        found = self.begin_disturbance(name, entry, target)
        try:
            yield found
        finally:
            found.end = read_clock()

    def is_undisturbed(
        self, entry: int, start: float, end: float, besides_cuts: bool = False
    ) -> bool:
        """Return whether no fault of an entry, its links or the store is in a span.

        With ``besides_cuts``, cuts between the entry and all targets don't count.
        """
        return not any(
            one.entry in (None, entry) and not (besides_cuts and one in self.cuts)
            for one in self._list_overlapping(start, end)
            if not one.target
        )

    def is_entry_undisturbed(self, entry: int, start: float, end: float) -> bool:
        """Return whether no fault of an entry or its links overlaps a span.

        Faults that affect all entries, such as those of the store, do not count.
        """
        found = self._list_overlapping(start, end)
        return not any(one.entry == entry and not one.target for one in found)

    def is_target_undisturbed(self, target: str, start: float, end: float) -> bool:
        """Return whether no fault of a target overlaps a span."""
        found = self._list_overlapping(start, end)
        return not any(one.target == target for one in found)

    def move_limit(self, target: str, since: float, limit: float) -> float:
        """Return a limit, later by the time for which a target stood still.

        Only time from ``since`` until the limit that results is counted, once each.
        """
        stalls = self.loop_stalls
        if self.target_stalls is not None:
            stalls = [span[1:] for span in self.target_stalls if span[0] == target]
        for start, end in sorted(stalls):
            start = max(start, since)
            if start < min(limit, end):
                limit += end - start
                since = end
        return limit

    def _list_overlapping(self, start: float, end: float) -> list[Disturbance]:
        return [one for one in self.disturbances if one.overlaps(start, end)]
