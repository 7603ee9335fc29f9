"""Streams that end with their connection: what states that they are complete.

An engine that is asked to keep a run in its memory does so only if the run is
complete. It lists what it keeps, so that a list after the close shows whether the run
is whole. The answer is whole if it has as many events as the kept tokens fill, which
can be told of engines whose `token_counts` are exact. Each run is sent with that
request, as the framing of its stream is not known before.

An engine that was asked and whose answer is lost states nothing: its close is not the
end. Where engines keep no runs, the close of one that lives is the end, as long as
nothing contradicts it and the engine has seldom closed streams early.
"""

import math
from enum import Enum

from figstep.core.clock import Millis
from figstep.gateway import placement, token_counts
from figstep.gateway.effects import KeptRun, Note
from figstep.gateway.events import StreamEnded
from figstep.gateway.routes import RouteKind
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import CloseCount, ServiceCloses, Target

DELIMITED_STREAMS = 8
"""Number of delimited streams in a row after which those of a service mostly are."""

BRIEF_RETENTION = Millis(400)
"""Time in milliseconds for which an engine keeps a complete run where streams are
mostly delimited. That takes memory for a moment, and no order to release the run. What
is kept can be queried twice, also if the first query times out.
"""

LONG_RETENTION = Millis(2_000)
"""Longest time in milliseconds for which an engine keeps a complete run where streams
are left open. Callers abandon a stream after two seconds without an event. The run is
released as soon as its end is known.
"""

MAX_EARLY_CLOSES = 0.05
"""Largest fraction of an engine's closes that may have been early if further ones are
believed."""

MIN_CHECKED_CLOSES = 20
"""Number of an engine's closes from which they count in place of its service's."""


class End(Enum):
    """What is known of the end of a stream that its target ended in order."""

    STATED = "stated"  # it is complete
    CONTRADICTED = "contradicted"  # more events follow
    UNSTATED = "unstated"  # its engine keeps complete runs, and does not state it
    OPEN = "open"  # nothing could state it, and nothing contradicts it


def choose_kept_run(state: State, request: Request, attempt: Attempt) -> KeptRun | None:
    """Return what the engine of an attempt is to keep; None if nothing."""
    prompt = request.spec.prompt
    if prompt is None or not prompt.parts or attempt.relay is not None:
        return None
    if request.route.kind is not RouteKind.STREAM:
        return None
    pool = placement.find_engine_pool(state, request.service)
    if pool is None or not pool.run_retention:
        return None
    part, tokens = prompt.parts[-1]
    is_brief = _find_closes(state, request.service).delimited >= DELIMITED_STREAMS
    longest = BRIEF_RETENTION if is_brief else LONG_RETENTION
    return KeptRun(
        prompt.model,
        part,
        tokens,
        duration=min(pool.run_retention, longest),
        released=not is_brief,
        listed=token_counts.wants_list(state, attempt.target, prompt),
    )


def leaves_open(state: State, service: str) -> bool:
    """Return whether one of the last streams of a service had no length or chunks."""
    closes = state.closes.get(service)
    if closes is None or not closes.has_open:
        return False
    return closes.delimited < DELIMITED_STREAMS


def record_framing(
    state: State, request: Request, target: Target, delimited: bool
) -> None:
    """Record whether the framing of a target's stream tells where it ends."""
    target.open_ended = not delimited
    closes = _find_closes(state, request.service)
    closes.delimited = closes.delimited + 1 if delimited else 0
    closes.has_open |= not delimited


def judge_end(
    state: State, request: Request, attempt: Attempt, event: StreamEnded
) -> End:
    """Return what is known of the end of a stream.

    A run that is not complete is not kept. One that is kept states the end of the
    stream only if its tokens fill exactly the delivered events: the answer may have
    been cut, and the list may show another run of the same prompt.
    """
    if event.confirmed:
        return End.STATED
    if event.kept is None:
        if not attempt.keeps_run:
            return End.OPEN
        is_listed = _find_closes(state, request.service).listed
        return End.OPEN if event.lists_none and not is_listed else End.UNSTATED
    if event.kept <= 0:
        return End.CONTRADICTED
    pool = placement.find_engine_pool(state, request.service)
    if pool is None:
        return End.UNSTATED
    events = _count_events(state, request)
    # The first id may be 0.
    most = request.delivered + 1 if events is None else events
    if event.kept > most * pool.event_tokens:
        return End.CONTRADICTED
    filled = math.ceil(event.kept / pool.event_tokens)
    if filled != events or not token_counts.is_exact(state, attempt.target):
        return End.UNSTATED
    return End.STATED


def describe_end(
    state: State, request: Request, attempt: Attempt, event: StreamEnded, end: End
) -> Note:
    """Return the log line of the end of a stream that its framing does not state."""
    pool = placement.find_engine_pool(state, request.service)
    return Note(
        "end of a stream judged",
        {
            "request": request.spec.id,
            "attempt": attempt.number,
            "target": attempt.target.name,
            "end": end.value,
            "kept": event.kept,
            "events": _count_events(state, request),
            "last": request.delivered,
            "event_tokens": pool.event_tokens if pool else 0,
            **token_counts.describe(state, attempt.target),
        },
    )


def _count_events(state: State, request: Request) -> int | None:
    """Return the number of events up to the last delivered one; None if unknown.

    Those that the caller of a stream received in an earlier attempt are counted by
    their ids.
    """
    if request.spec.after is None:
        return request.pieces
    closes = _find_closes(state, request.service)
    if closes.first_id is None or closes.ids_vary:
        return None
    return request.delivered - closes.first_id + 1


def record_first_id(state: State, request: Request, first: int) -> None:
    """Record the id of the first event of a stream that begins."""
    closes = _find_closes(state, request.service)
    closes.ids_vary |= closes.first_id not in (None, first)
    closes.first_id = first


def record_list(state: State, request: Request) -> None:
    """Record that an engine of a service has listed what it keeps."""
    _find_closes(state, request.service).listed = True


def record_close(state: State, request: Request, target: Target, early: bool) -> None:
    """Record whether more followed after a target closed a stream in order."""
    for count in (target.closes, _find_closes(state, request.service).count):
        count.checked += 1
        count.early += early


def contradict_close(state: State, request: Request) -> None:
    """Record that more events follow after the close that seemed to end a stream."""
    if request.closed_by is None:
        return
    record_close(state, request, request.closed_by, early=True)
    request.closed_by = None


def is_believed(state: State, request: Request) -> bool:
    """Return whether the close of a stream is its end, as nothing contradicts that.

    That is only for engines that keep no runs, so that nothing could have stated it.
    """
    target = request.closed_by
    if target is None or request.rest_begun or request.end_unstated:
        return False
    count = target.closes
    if not count.early and count.checked < MIN_CHECKED_CLOSES:
        count = _find_closes(state, request.service).count
    return _is_reliable(count)


def _is_reliable(count: CloseCount) -> bool:
    return count.early <= MAX_EARLY_CLOSES * count.checked


def _find_closes(state: State, service: str) -> ServiceCloses:
    return state.closes.setdefault(service, ServiceCloses())
