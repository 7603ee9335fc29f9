"""What callers and targets saw, and what was done to the entries meanwhile."""

import time
from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """What may be repeated of a request."""

    PLAN = "plan"  # a long stream
    CHECK = "check"  # a short stream
    ORDER = "order"  # at most once
    LOOKUP = "lookup"  # may be repeated


CRASHING = "crash-"
"""Part of the path of a request that crashes the targets that run it."""

STREAMS = (Kind.PLAN, Kind.CHECK)
EVENTS = {Kind.PLAN: 80, Kind.CHECK: 4}


@dataclass(slots=True)
class Run:
    """One request that a target began to run.

    Attributes:
        request: Id of the request.
        target: Name of the target.
        generation: Name of the generation; it stays when a run goes on from a
            copy.
        began: When it began.
        ended: When it ended; None while it runs.
        whole: Whether it came to its end.
        status: Status that it answered with.
        customer: Customer that the target was told.
        forged: Headers that only the system sets, as the caller sent them.
        body: Body that was answered.
        crashed: Whether it crashed the target.
    """

    request: str
    target: str
    generation: str
    began: float
    ended: float | None = None
    whole: bool = False
    status: int = 200
    customer: str = ""
    forged: tuple[str, ...] = ()
    body: bytes = b""
    crashed: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller, and what it got.

    Attributes:
        id: Its id.
        kind: Its kind.
        entry: Number of the entry that it was sent to.
        incarnation: Which process of that entry took it.
        path: Path.
        key: Key.
        sent: When it was sent.
        ended: When its answer ended, or its connection.
        status: Status of its answer; 0 for none.
        stamp: Signature of the target that answered.
        body: What came of the body.
        whole: Whether the answer ended as a whole one.
        disconnected: Whether the caller left before the end.
        error: How the connection ended otherwise.
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

    @property
    def is_crashing(self) -> bool:
        """Whether it crashes the targets that run it."""
        return CRASHING in self.path


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration.

    Attributes:
        number: Its number.
        acknowledged: When the store took it.
        paths: Paths that have a route.
        keys: Keys that are in force.
    """

    number: int
    acknowledged: float
    paths: frozenset[str]
    keys: frozenset[str]


@dataclass(frozen=True, slots=True)
class Stop:
    """A graceful end of an entry.

    Attributes:
        entry: Number of the entry.
        incarnation: Its process.
        at: When it was asked to end.
        took: Seconds until it had ended; None if it had to be killed.
    """

    entry: int
    incarnation: int
    at: float
    took: float | None


@dataclass(slots=True)
class Disturbance:
    """A span in which bounds on time don't hold.

    Attributes:
        name: What was done.
        entry: Number of the entry; None for all.
        target: Name of the target; "" for none.
        start: When it began.
        end: When it ended; None while it lasts.
    """

    name: str
    entry: int | None
    target: str
    start: float
    end: float | None = None

    def overlaps(self, start: float, end: float) -> bool:
        """Tell whether it lasted in any part of a span."""
        return self.start <= end and (self.end is None or self.end >= start)


@dataclass(slots=True)
class NamedRate:
    """A span in which a target named a rate in its answers.

    Attributes:
        target: Name of the target.
        rate: Requests a second.
        start: When it began.
        end: When it ended; None while it lasts.
    """

    target: str
    rate: float
    start: float
    end: float | None = None


@dataclass(slots=True)
class Record:
    """Everything that was seen in one run of the soak.

    Attributes:
        runs: What targets ran.
        attempts: What callers sent.
        versions: Versions of the configuration, oldest first.
        departures: When the store acknowledged that a target leaves.
        stops: Graceful ends of entries.
        disturbances: What was done.
        arrivals: Requests as they came to targets, refused ones included: time,
            service and id.
        target_arrivals: The same with the name of the target: time, target and id.
        rates: Spans in which targets named rates.
        leaving_since: When targets began to say in their answers that they leave.
        pauses: Pauses that targets asked for: time, target, request, seconds.
        loop_stalls: Spans in which this process, with all stand-ins, stood still. They
            are told, and excuse nothing.
        final_phase_start: When all faults had been lifted for good.
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
    loop_stalls: list[tuple[float, float]] = field(default_factory=list)
    final_phase_start: float = 0.0

    def begin_disturbance(
        self, name: str, entry: int | None = None, target: str = ""
    ) -> Disturbance:
        """Note that something is done from now on."""
        found = Disturbance(name, entry, target, time.monotonic())
        self.disturbances.append(found)
        return found

    def is_undisturbed(self, entry: int, start: float, end: float) -> bool:
        """Tell whether nothing was done to an entry or the store in a span."""
        for one in self.disturbances:
            if one.target or one.entry not in (None, entry):
                continue
            if one.overlaps(start, end):
                return False
        return True

    def is_entry_undisturbed(self, entry: int, start: float, end: float) -> bool:
        """Tell whether nothing was done to an entry itself in a span."""
        for one in self.disturbances:
            if one.target or one.entry != entry:
                continue
            if one.overlaps(start, end):
                return False
        return True

    def is_target_undisturbed(self, target: str, start: float, end: float) -> bool:
        """Tell whether nothing was done to a target in a span."""
        for one in self.disturbances:
            if one.target != target:
                continue
            if one.overlaps(start, end):
                return False
        return True


def read_clock() -> float:
    """Return the time that all records use, in seconds."""
    return time.monotonic()
