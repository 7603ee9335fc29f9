"""Streams: delivery in order, and going on at the engine that holds a copy."""

from figstep.core.clock import Millis
from figstep.gateway import attempts, peers, placement, requests
from figstep.gateway.effects import (
    BeginStream,
    CopyRun,
    Count,
    Deliver,
    DropCopy,
    Effect,
    FinishStream,
    Note,
    Observe,
    ReadReport,
    RunCopy,
)
from figstep.gateway.events import (
    EngineReported,
    PiecesArrived,
    RunCopied,
    RunNotCopied,
    StreamEnded,
    StreamOpened,
)
from figstep.gateway.routes import RouteKind
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Standing

STALL = Millis(400)
"""Silence after which a stream goes on from its copy although its engine has
not been found dead. Engines of a full batch pause up to 200 ms between events;
a caller gives up after two seconds."""

GROWTH_EVENTS = 8
"""Events after which a run's memory is counted anew; the others are told of it
as of any change of loads, so that each event would cost a message."""

QUIET_WAIT = Millis(800)
"""How long after the notice a run waits for its holder to have read all prompts.
A slow engine takes 150 ms for an event while it reads one, and the change-over
costs two of its events; without reading it takes 50 ms. The notice leaves 0.7 s
for what fails then."""

ASK_PERIOD = Millis(400)
"""How often an engine is asked while the store is away. Its state is half a
second old, and it is gone 1.5 s after its notice."""

OVERLAP = Millis(300)
"""Longest that a run may be open at two engines while it changes over. Both
generate meanwhile; after it the one that has not delivered is closed."""


def note_opened(state: State, event: StreamOpened) -> list[Effect]:
    """Note that a target accepted a stream."""
    attempt = state.attempts.get(event.attempt)
    if attempt is not None:
        attempt.answered = True
    return []


def deliver_pieces(state: State, event: PiecesArrived, now: Millis) -> list[Effect]:
    """Hand events on, each once and in order."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    attempts.note_read(attempt, now)
    effects: list[Effect] = []
    if attempt is request.standby:
        effects += _promote_standby(state, request, attempt, now)
    data = []
    last = request.delivered
    for piece in event.pieces:
        if piece.index <= last and request.pieces + request.delivered:
            # The engine that went on repeats what the other had sent meanwhile.
            continue
        if request.begun and piece.index != last + 1:
            return effects + _break_out_of_order(state, request, piece.index, now)
        data.append(piece.data)
        last = piece.index
    if not data:
        return effects
    if request.begun:
        pause = Millis(now - request.delivered_at)
        request.longest_pause = max(request.longest_pause, pause)
    else:
        effects += _begin(request, attempt, now)
    request.delivered = last
    request.delivered_at = now
    request.pieces += len(data)
    request.may_have_run = True
    if request.pieces // GROWTH_EVENTS > (request.pieces - len(data)) // GROWTH_EVENTS:
        attempts.note_growth(state, request, attempt)
    _note_backup(request, attempt)
    effects.append(Deliver(request.spec.number, b"".join(data)))
    return effects


def _begin(request: Request, attempt: Attempt, now: Millis) -> list[Effect]:
    request.begun = True
    request.first_after = Millis(now - request.arrived)
    attempt.target.note_success()
    number = request.spec.number
    return [
        BeginStream(number, attempt.number),
        Observe("first_event_time", now - request.arrived, request.route.name),
    ]


def _note_backup(request: Request, attempt: Attempt) -> None:
    holder = attempt.holder
    if attempt.holder_spoiled:
        return
    if holder is None or holder.standing is not Standing.READY:
        return
    if request.copy is None:
        request.copy = RunCopy(holder.name, holder.name, request.spec.id)


def _promote_standby(
    state: State, request: Request, standby: Attempt, now: Millis
) -> list[Effect]:
    before = request.current
    effects = attempts.close_attempt(state, before)
    request.current = standby
    request.standby = None
    standby.target.note_success()
    pause = now - request.delivered_at
    effects += [
        Count("switched", (request.route.name,)),
        Observe("switch_pause", pause, request.route.name),
        Note(
            "stream goes on elsewhere",
            {
                "request": request.spec.id,
                "from": before.target.name if before else "",
                "to": standby.target.name,
                "after": request.delivered,
                "pause_ms": pause,
                "switch_ms": now - standby.opened,
            },
        ),
    ]
    return effects


def _break_out_of_order(
    state: State, request: Request, index: int, now: Millis
) -> list[Effect]:
    note = Note(
        "events out of order",
        {
            "request": request.spec.id,
            "delivered": request.delivered,
            "came": index,
        },
    )
    return [note, *requests.break_stream(state, request, "out_of_order", now)]


def finish_stream(state: State, event: StreamEnded, now: Millis) -> list[Effect]:
    """The target ended its stream as whole: so does the caller's."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    effects: list[Effect] = []
    if attempt is request.standby:
        effects += _promote_standby(state, request, attempt, now)
    if not request.begun:
        effects += _begin(request, attempt, now)
    if event.tail:
        effects.append(Deliver(request.spec.number, event.tail))
    attempts.end_attempt(state, attempt)
    # Its backup, if any, ends with the run.
    request.copy = None
    state.crashes.clear(request.spec.digest)
    effects += attempts.close_request(state, request)
    return [
        *effects,
        FinishStream(request.spec.number),
        Count("answered", (request.route.name, "200")),
        Observe("answer_time", now - request.arrived, request.route.name),
        requests.note_end(request, "whole stream", "", now),
    ]


def take_copy(state: State, event: RunCopied, now: Millis) -> list[Effect]:
    """A copy is complete: go on there if the run's engine leaves."""
    copy = RunCopy(event.holder, event.source, event.handle)
    request = state.requests.get(event.number)
    current = None if request is None else request.current
    if request is None or current is None or current.target.name != event.source:
        # Its run ended or went on elsewhere meanwhile.
        return [DropCopy(copy)]
    request.copying = False
    request.copy = copy
    return evacuate_request(state, request, now)


def note_not_copied(state: State, event: RunNotCopied, now: Millis) -> list[Effect]:
    """A copy could not be made: try another engine."""
    request = state.requests.get(event.number)
    if request is None:
        return []
    attempts.release_copy(request)
    request.no_copy_at.add(event.holder)
    note = Note(
        "copy failed",
        {
            "request": request.spec.id,
            "from": event.source,
            "to": event.holder,
            "detail": event.detail,
        },
    )
    return [note, *evacuate_request(state, request, now)]


def evacuate_streams(state: State, now: Millis) -> list[Effect]:
    """Move streams away from engines that leave, the most valuable first."""
    hit = []
    for request in state.requests.values():
        current = request.current
        if current is None or not request.begun:
            continue
        if current.target.standing is Standing.READY:
            continue
        hit.append(request)
    # What has most left to come loses most if it is cut.
    hit.sort(key=_count_left, reverse=True)
    effects: list[Effect] = []
    for request in hit:
        effects += evacuate_request(state, request, now)
    return effects


def _count_left(request: Request) -> int:
    prompt = request.spec.prompt
    return 0 if prompt is None else prompt.expected_output - request.pieces


def evacuate_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Go on elsewhere with a run whose engine leaves."""
    current = request.current
    if current is None or request.standby is not None or request.copying:
        return []
    if current.target.standing is Standing.READY or not request.begun:
        return []
    if request.route.resumable:
        # Short ones end before their engine does; the rest go on anew.
        return []
    _forget_unusable_copy(state, request)
    if request.copy is not None:
        if _is_holder_reading(state, request, now):
            return []
        return switch_to_copy(state, request, now)
    return _order_copy(state, request, now)


def _is_holder_reading(state: State, request: Request, now: Millis) -> bool:
    current = request.current
    holder = None if request.copy is None else state.targets.find(request.copy.holder)
    if current is None or holder is None or current.target.left_at is None:
        return False
    if now - current.target.left_at >= QUIET_WAIT:
        return False
    return holder.reading_load > 0


def _forget_unusable_copy(state: State, request: Request) -> None:
    if request.copy is None:
        return
    holder = state.targets.find(request.copy.holder)
    if holder is None or holder.standing is not Standing.READY:
        request.copy = None


def switch_to_copy(state: State, request: Request, now: Millis) -> list[Effect]:
    """Open the run's copy beside its present engine, within the retry budget."""
    copy = request.copy
    if copy is None:
        return []
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return [Count("repeats_denied", (request.route.name,))]
    return attempts.start_standby(state, request, copy, now)


def _order_copy(state: State, request: Request, now: Millis) -> list[Effect]:
    pool = placement.find_engine_pool(state, request.service)
    current = request.current
    if pool is None or not pool.moves or current is None:
        return []
    holder = placement.choose_copy_holder(
        state, request, current.target.name, now, placement.MOVE_ROOM
    )
    if holder is None:
        return []
    attempts.reserve_copy(state, request, holder)
    return [
        CopyRun(request.spec.number, current.target.name, holder.name),
        Note(
            "copy ordered",
            {
                "request": request.spec.id,
                "from": current.target.name,
                "to": holder.name,
                "events": request.pieces,
            },
        ),
    ]


def ask_engines(state: State, now: Millis) -> list[Effect]:
    """Ask the engines of running streams for their state, while nobody else tells.

    Without the store an engine's notice reaches nobody, and its streams are
    lost with it; the engine itself knows.
    """
    if not state.store_away:
        return []
    effects: list[Effect] = []
    for request in state.requests.values():
        current = request.current
        if current is None or request.spec.prompt is None:
            continue
        target = current.target
        if target.standing is not Standing.READY:
            continue
        if now - target.asked_at < ASK_PERIOD:
            continue
        target.asked_at = now
        effects.append(ReadReport(target.name))
    return effects


def take_report(state: State, event: EngineReported, now: Millis) -> list[Effect]:
    """Take in an engine's own word that it leaves."""
    target = state.targets.find(event.target)
    if target is None or not event.leaving:
        return []
    if target.standing is not Standing.READY:
        return []
    state.targets.note_departure(event.target, now)
    note = Note("engine says that it leaves", {"target": event.target})
    return [note, *evacuate_streams(state, now)]


def watch_streams(state: State, now: Millis) -> list[Effect]:
    """Look after streams that stall or are in the middle of a change."""
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if request.route.kind is not RouteKind.STREAM:
            continue
        standby = request.standby
        if standby is not None:
            effects += _watch_standby(state, request, standby, now)
            continue
        if request.begun and now - request.delivered_at >= STALL:
            _forget_unusable_copy(state, request)
            effects += switch_to_copy(state, request, now)
    return effects


def _watch_standby(
    state: State, request: Request, standby: Attempt, now: Millis
) -> list[Effect]:
    if now - standby.opened < OVERLAP or request.current is None:
        return []
    if standby.answered:
        # It was accepted and will deliver: the run must not go on at both.
        return attempts.close_attempt(state, request.current)
    request.current.holder_spoiled = True
    return attempts.close_attempt(state, standby)
