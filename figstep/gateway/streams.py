"""Delivers streams in order, each event once, and detects stalls."""

from figstep.core.clock import Millis
from figstep.gateway import (
    attempts,
    closes,
    copies,
    crashes,
    history,
    origins,
    pace,
    placement,
    recovery,
    requests,
    sources,
    stops,
)
from figstep.gateway.effects import (
    AcceptUnconfirmed,
    BeginStream,
    CloseAttempt,
    Count,
    Deliver,
    Effect,
    Note,
    Observe,
)
from figstep.gateway.events import (
    AttemptLost,
    Loss,
    PiecesArrived,
    ReadingPaused,
    RestBegun,
    StreamClosed,
    StreamConfirmed,
    StreamOpened,
    StreamUnconfirmed,
)
from figstep.gateway.routes import RouteKind
from figstep.gateway.runs import build_backup
from figstep.gateway.state import Attempt, Request, State

STALL_TIMEOUT = Millis(400)
"""Silence in milliseconds after which any stream switches to its copy.

A stream that is on time may switch earlier, to remain on time. The engine may still be
considered running. Engines with a full batch pause up to 200 ms between events; callers
abandon a stream after two seconds.
"""

STALL_PAUSE_FRACTION = 0.6
"""Fraction of a route's longest pause after which a stream that is on time switches.

The remaining time is for the switch. `STALL_SMOOTHED_PAUSES` may require more silence.
"""

STALL_SMOOTHED_PAUSES = 2.5
"""Minimum silence, in smoothed pauses, at which a stream switches to remain on time.

It keeps streams of a slow engine from switching as if it had stalled. `STALL_TIMEOUT`
holds even so.
"""

PAUSE_SMOOTHING = 0.2
"""Weight of the newest pause in a stream's smoothed pause, from 0 to 1."""

LATE_TICK_INTERVAL = Millis(150)
"""Milliseconds between two checks from which this entry itself counts as stalled.

No stream then switches at that check, so that events which arrived meanwhile are read
first. Otherwise all streams would switch at once, for events that wait in the sockets.
"""

MEMORY_UPDATE_EVENTS = 8
"""Number of events after which a run's expected memory is updated.

A change of loads is sent to peers, so an update per event would cost a message each.
"""

RECORD_TIMEOUT = Millis(300)
"""Longest time in milliseconds for which a new stream waits for a record that nobody
knows its version. Another target may begin it then."""

MAX_OVERLAP = Millis(300)
"""Longest time in milliseconds that a run is open at two engines during a switch.

Both generate meanwhile. Afterwards the current attempt is closed if the standby was
accepted or no other copy can be made before the engine ends, else the standby.
"""


def handle_stream_opened(state: State, event: StreamOpened) -> list[Effect]:
    """Record that the headers of an attempt's stream arrived.

    That its run could be copied holds whatever a later configuration says.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    attempt.answered = True
    request = state.requests[attempt.request]
    if attempt.relay is None:
        closes.record_framing(state, request, attempt.target, event.delimited)
    if attempt.first_delivery_at is None:
        request.open_ended = not event.delimited
    if placement.copies_runs(state, request.service):
        request.copyable = True
    return []


def handle_stream_confirmed(
    state: State, event: StreamConfirmed, now: Millis
) -> list[Effect]:
    """Record that the registered incarnation of a target writes a stream.

    A stream that has begun meanwhile without a known version has one from now on.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    attempt.confirmed = True
    request = state.requests[attempt.request]
    if attempt.unconfirmed_at is not None:
        attempt.unconfirmed_at = None
        return [AcceptUnconfirmed(attempt.number)]
    if request.origin != origins.UNKNOWN or request.current is not attempt:
        return []
    request.origin = origins.find_origin(attempt)
    return origins.record_start(state, request, attempt, now)


def handle_stream_unconfirmed(
    state: State, event: StreamUnconfirmed, now: Millis
) -> list[Effect]:
    """Let a new stream whose version is not known wait until that is on record.

    Otherwise an entry that was not told of it would take the only version on record for
    the one that began it. While the store answers no entry, nobody reads it.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    service = state.requests[attempt.request].service
    if history.is_unknown_recorded(state, service, now):
        return [AcceptUnconfirmed(attempt.number)]
    history.record_unknown(state, service, now)
    effects = history.write_history(state, now)
    if sources.is_store_unread(state, now):
        return [*effects, AcceptUnconfirmed(attempt.number)]
    attempt.unconfirmed_at = now
    return effects


def accept_recorded(state: State, now: Millis) -> list[Effect]:
    """Read the streams that have waited for a record of their unknown version."""
    effects: list[Effect] = []
    for attempt in state.attempts.values():
        if attempt.unconfirmed_at is None:
            continue
        service = state.requests[attempt.request].service
        if not history.is_unknown_recorded(state, service, now):
            continue
        attempt.unconfirmed_at = None
        effects.append(AcceptUnconfirmed(attempt.number))
    return effects


def drop_unrecorded(state: State, now: Millis) -> list[Effect]:
    """Give up the streams that have waited too long for such a record."""
    effects: list[Effect] = []
    for attempt in list(state.attempts.values()):
        if attempt.unconfirmed_at is None:
            continue
        if now - attempt.unconfirmed_at < RECORD_TIMEOUT:
            continue
        detail = "neither its start nor a record of its version is confirmed"
        lost = AttemptLost(attempt.number, Loss.UNCONFIRMED, detail=detail)
        effects.append(CloseAttempt(attempt.number))
        effects += recovery.recover_attempt(state, lost, now)
    return effects


def handle_rest_begun(state: State, event: RestBegun) -> list[Effect]:
    """Record that something follows a known event, be it a part of an event."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    attempt.rest_begun = True
    request = state.requests[attempt.request]
    if attempt is request.current:
        request.rest_begun = True
    return []


def handle_stream_closed(state: State, event: StreamClosed) -> list[Effect]:
    """Record that a stream has ended and no more events come: it has not stalled."""
    attempt = state.attempts.get(event.attempt)
    if attempt is not None:
        attempt.closed = True
    return []


def handle_reading_paused(
    state: State, event: ReadingPaused, now: Millis
) -> list[Effect]:
    """Record whether a stream is read: a slow caller must not count as a stall."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    request.reading_paused = event.paused
    request.delivered_at = now
    if not event.paused:
        return []
    return [Count("streams_paused", (request.route.name,))]


def deliver_pieces(state: State, event: PiecesArrived, now: Millis) -> list[Effect]:
    """Deliver events to the caller, each once and in order.

    The first events of a standby attempt complete the switch to it. A gap between the
    ids of events breaks the stream. A stream may begin with any id, but one that its
    caller takes up begins with the event after the last one.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    attempts.record_prompt_read(attempt, now)
    effects: list[Effect] = []
    if attempt is request.standby:
        effects += promote_standby(state, request, attempt, now)
    data: list[bytes] = []
    last = request.delivered
    continued = request.stream_begun or request.spec.after is not None
    if not continued and event.pieces:
        closes.record_first_id(state, request, event.pieces[0].index)
    for piece in event.pieces:
        if continued and piece.index <= last:
            # A resumed run repeats events that the other engine has sent meanwhile.
            continue
        if (continued or data) and piece.index != last + 1:
            return effects + _break_out_of_order(
                state, request, attempt, piece.index, now
            )
        data.append(piece.data)
        last = piece.index
    if not data:
        return effects
    closes.contradict_close(state, request)
    if attempt.first_delivery_at is None:
        attempt.first_delivery_at = now
    if request.stream_begun:
        pause = Millis(now - request.delivered_at)
        request.longest_pause = max(request.longest_pause, pause)
        request.smoothed_pause += PAUSE_SMOOTHING * (pause - request.smoothed_pause)
    else:
        effects += begin_stream(state, request, attempt, now)
    pace.record_events(state, request, attempt, len(data), now)
    request.delivered = last
    request.delivered_at = now
    request.pieces += len(data)
    attempt.pieces += len(data)
    request.may_have_run = True
    if (
        request.pieces // MEMORY_UPDATE_EVENTS
        > (request.pieces - len(data)) // MEMORY_UPDATE_EVENTS
    ):
        attempts.update_memory(state, request, attempt)
    if request.standby is None:
        _record_backup(request, attempt)
    effects.append(Deliver(request.spec.number, b"".join(data)))
    if request.pieces == len(data):
        effects += copies.copy_open_ended(state, request, now)
    return effects


def begin_stream(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Begin to send the caller a stream, with the head of an attempt's answer."""
    request.stream_begun = True
    if request.origin is None:
        request.origin = origins.find_origin(attempt)
    request.time_to_first_event = Millis(now - request.arrived)
    attempt.target.record_success(now)
    crashes.record_answer(state, attempt.target, attempt.opened)
    number = request.spec.number
    return [
        *crashes.clear_request(state, request, now),
        *origins.record_start(state, request, attempt, now),
        *origins.describe_unknown(request, attempt),
        BeginStream(number, attempt.number),
        Observe("first_event_time", now - request.arrived, request.route.name),
    ]


def _record_backup(request: Request, attempt: Attempt) -> None:
    holder = attempt.holder
    if attempt.backup_unusable:
        return
    if holder is None or not holder.accepts_work:
        return
    if request.copy is None:
        request.copy = build_backup(holder, request.spec.id)


def promote_standby(
    state: State, request: Request, standby: Attempt, now: Millis
) -> list[Effect]:
    """Complete the switch of a stream to its standby attempt."""
    previous = request.current
    effects = attempts.close_attempt(state, previous, now)
    request.current = standby
    request.standby = None
    if previous is not None:
        effects += stops.stop_run(state, request, previous)
    # The recorded copy belongs to the previous attempt. If it stayed, the backup of the
    # attempt that continues would not be recorded.
    request.copy = None
    standby.target.record_success(now)
    crashes.record_answer(state, standby.target, standby.opened)
    pause = now - request.delivered_at
    effects += [
        Count("switched", (request.route.name,)),
        Observe("switch_pause", pause, request.route.name),
        Note(
            "stream goes on elsewhere",
            {
                "request": request.spec.id,
                "from": previous.target.name if previous else "",
                "to": standby.target.name,
                "after": request.delivered,
                "pause_ms": pause,
                "switch_ms": now - standby.opened,
            },
        ),
    ]
    return effects


def _break_out_of_order(
    state: State, request: Request, attempt: Attempt, index: int, now: Millis
) -> list[Effect]:
    note = Note(
        "events out of order",
        {
            "request": request.spec.id,
            "delivered": request.delivered,
            "came": index,
        },
    )
    if request.stream_begun:
        return [note, *requests.break_stream(state, request, "out_of_order", now)]
    lost = AttemptLost(attempt.number, Loss.GARBLED, detail="events out of order")
    return [
        note,
        CloseAttempt(attempt.number),
        *recovery.recover_attempt(state, lost, now),
    ]


def check_streams(state: State, now: Millis) -> list[Effect]:
    """Switch stalled streams to their copies, and end overlaps that last too long.

    No stream is switched if this entry itself was stalled since the last check.
    """
    effects: list[Effect] = []
    entry_stalled = now - state.streams_checked_at >= LATE_TICK_INTERVAL
    state.streams_checked_at = now
    for request in list(state.requests.values()):
        if request.route.kind is not RouteKind.STREAM:
            continue
        standby = request.standby
        if standby is not None:
            effects += _check_standby(state, request, standby, now)
            continue
        if not entry_stalled and _is_stalled(request, now):
            copies.discard_unusable_copy(state, request)
            effects += copies.switch_to_copy(state, request, now)
    return effects


def _is_stalled(request: Request, now: Millis) -> bool:
    if not request.stream_begun or request.reading_paused:
        return False
    if request.current is not None and request.current.closed:
        return False
    limit = float(STALL_TIMEOUT)
    if request.longest_pause <= request.route.longest_pause:
        on_time_limit = STALL_PAUSE_FRACTION * request.route.longest_pause
        limit = min(
            limit, max(on_time_limit, STALL_SMOOTHED_PAUSES * request.smoothed_pause)
        )
    return now - request.delivered_at >= limit


def _check_standby(
    state: State, request: Request, standby: Attempt, now: Millis
) -> list[Effect]:
    if now - standby.opened < MAX_OVERLAP or request.current is None:
        return []
    if standby.answered or copies.is_too_late_to_copy(request.current.target, now):
        # The standby was accepted and will deliver, or no other copy could be made
        # before the engine ends: the run must not continue at both engines.
        current = request.current
        return [
            *attempts.close_attempt(state, current, now),
            *stops.stop_run(state, request, current),
        ]
    request.current.backup_unusable = True
    return [
        *attempts.close_attempt(state, standby, now),
        *stops.stop_run(state, request, standby),
    ]
