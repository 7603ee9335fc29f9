"""Counts of what a run has served, beside the promises that it broke."""

from collections import Counter
from dataclasses import dataclass, field

from tests.faults.records import Attempt, Kind, Record
from tests.framing import Framing
from tests.platform.runs import Run

ROUTES = {Kind.PLAN: "long, not resumable", Kind.RESUME: "short, resumable"}
"""Kinds of streams, and what their routes are."""

WAIT_SECONDS = 1.0
"""Time after the end of a run from which its caller waited for the rest in vain."""


@dataclass(slots=True)
class WholeStreams:
    """Streams of a route that an engine made whole and ended with its connection.

    Attributes:
        delivered: Those that their callers received whole.
        made: All but those that are counted below.
        killed: Those whose entry was killed while the caller's request was open.
        left: Those whose callers left, also as their time was up.
        waited: Those among them whose caller left WAIT_SECONDS after the engine's end
            or later.
    """

    delivered: int = 0
    made: int = 0
    killed: int = 0
    left: int = 0
    waited: int = 0


@dataclass(slots=True)
class EarlyCloses:
    """Open-ended streams that an engine closed in order before their last event.

    A stream counts once, by the last such close.

    Attributes:
        whole: Those that ended as whole for their callers, though events are missing.
        went_on: Those of which callers received later events.
        broken_off: Those that broke off for their callers, or were refused.
        left: Those whose entry was killed or whose caller left before later events.
    """

    whole: int = 0
    went_on: int = 0
    broken_off: int = 0
    left: int = 0


@dataclass(slots=True)
class Counts:
    """Figures of a run.

    Attributes:
        whole: Streams that an engine made whole and ended with its connection, by
            route. A stream, which is one request of a caller, is made whole if one of
            its runs wrote all events up to the last, with neither a length nor chunks;
            what happened to the bytes on their way does not matter.
        early: Streams that an engine closed early by a fault of its own.
        expired: Streams that an engine closed as their deadline had passed.
        taken_up: Requests that take a stream up, and how many were answered with 200.
        bad_gateways: Requests that were answered with status 502.
        repeats: Arrivals at engines beyond the first of each request.
    """

    whole: dict[str, WholeStreams] = field(default_factory=dict)
    early: EarlyCloses = field(default_factory=EarlyCloses)
    expired: EarlyCloses = field(default_factory=EarlyCloses)
    taken_up: tuple[int, int] = (0, 0)
    bad_gateways: int = 0
    repeats: int = 0


def count_outcomes(record: Record) -> Counts:
    """Return the figures of a run."""
    runs: dict[str, Run] = {}
    closed: dict[str, Run] = {}
    for run in record.runs:
        if run.framing != Framing.CONNECTION.value:
            continue
        if run.whole:
            runs[run.request] = run
        elif run.broken_off or run.expired:
            closed[run.request] = run
    counts = Counts({route: WholeStreams() for route in ROUTES.values()})
    for attempt in record.attempts:
        if attempt.kind in ROUTES and attempt.id in runs:
            _count_whole(
                counts.whole[ROUTES[attempt.kind]], record, attempt, runs[attempt.id]
            )
        if attempt.kind in ROUTES and attempt.id in closed:
            run = closed[attempt.id]
            closes = counts.expired if run.expired else counts.early
            _count_close(closes, record, attempt, run)
    taken_up = [one for one in record.attempts if one.resumes]
    counts.taken_up = (sum(one.status == 200 for one in taken_up), len(taken_up))
    counts.bad_gateways = sum(one.status == 502 for one in record.attempts)
    arrivals = Counter(
        request for _, service, request in record.arrivals if service == "engines"
    )
    counts.repeats = arrivals.total() - len(arrivals)
    return counts


def _count_whole(
    streams: WholeStreams, record: Record, attempt: Attempt, run: Run
) -> None:
    if attempt.disconnected:
        streams.left += 1
        ended = run.ended or run.began
        streams.waited += attempt.ended >= ended + WAIT_SECONDS
        return
    if _was_killed(record, attempt):
        streams.killed += 1
        return
    streams.made += 1
    streams.delivered += attempt.whole and attempt.status == 200


def _was_killed(record: Record, attempt: Attempt) -> bool:
    """Return whether the entry was killed while a request was open."""
    return any(
        fault.name == "kill" and fault.entry == attempt.entry
        for fault in record.disturbances
        if fault.overlaps(attempt.sent, attempt.ended)
    )


def _count_close(
    closes: EarlyCloses, record: Record, attempt: Attempt, run: Run
) -> None:
    last = attempt.after + attempt.body.count(b"\n\n")
    if attempt.status == 200 and attempt.whole and last < attempt.length:
        closes.whole += 1
    elif attempt.status == 200 and last > run.after + run.events:
        closes.went_on += 1
    elif attempt.disconnected or _was_killed(record, attempt):
        closes.left += 1
    else:
        closes.broken_off += 1


def describe_counts(counts: Counts) -> list[str]:
    """Return lines with the figures."""
    lines = [
        f"made whole, ended with the connection, {route}: "
        f"{found.delivered} of {found.made} delivered whole; besides, entry killed "
        f"{found.killed}, caller left {found.left}, {found.waited} of them late"
        for route, found in counts.whole.items()
    ]
    served, total = counts.taken_up
    early, expired = map(_describe_closes, (counts.early, counts.expired))
    return [
        *lines,
        f"open-ended, closed early by an engine: {early}; at the deadline: {expired}",
        f"streams taken up: {served} of {total} served",
        f"requests with 502: {counts.bad_gateways}",
        f"repeats at engines: {counts.repeats}",
    ]


def _describe_closes(closes: EarlyCloses) -> str:
    return (
        f"{closes.whole} ended as whole, {closes.went_on} went on, "
        f"{closes.broken_off} broken off, {closes.left} entry killed or caller left"
    )
