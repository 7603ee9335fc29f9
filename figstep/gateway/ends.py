"""Ends of streams: complete only if something states so.

A stream with neither a length nor chunks ends with its connection, and a living target
that closes it between two events looks like one that is done. Such a stream is complete
if its output has reached its maximum. Otherwise its rest is asked for after the last
event: of the holder of a copy of the run, or of the target where the route allows a
second run. A continuation that ends without an event, or a backup that is gone, states
that nothing follows. Only where nobody could be asked, the close itself counts.
"""

from figstep.core.clock import Millis
from figstep.gateway import (
    attempts,
    copies,
    crashes,
    eligibility,
    limits,
    peers,
    placement,
    recovery,
    requests,
    stops,
    streams,
)
from figstep.gateway.effects import (
    CloseAttempt,
    Count,
    Effect,
    FinishStream,
    Note,
    Observe,
)
from figstep.gateway.events import AttemptLost, Loss, StreamEnded
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Target

QUESTION_TIMEOUT = Millis(1_000)
"""Longest time in milliseconds to the answer to whether a stream is complete.

Callers abandon a stream after two seconds without an event, and part of this time has
passed as the target was asked whether it lives.
"""


def finish_stream(state: State, event: StreamEnded, now: Millis) -> list[Effect]:
    """End the caller's stream as complete, or ask whether it is."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    if event.empty and not event.confirmed and not attempt.asks_end:
        # It does not go on from a close, so that nothing suggests an end.
        detail = "its connection ended before the first event"
        lost = AttemptLost(attempt.number, Loss.BROKEN, detail=detail)
        return recovery.recover_attempt(state, lost, now)
    effects: list[Effect] = []
    if attempt is request.standby:
        effects += streams.promote_standby(state, request, attempt, now)
    if event.confirmed or event.empty:
        return effects + _complete(state, request, attempt, now)
    return effects + _ask_for_rest(state, request, attempt, now)


def _complete(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    effects: list[Effect] = []
    if not request.stream_begun:
        effects += streams.begin_stream(state, request, attempt, now)
    attempts.end_attempt(state, attempt)
    effects += crashes.record_whole(state, request, attempt, now)
    effects += attempts.close_request(state, request, now)
    return [
        *effects,
        FinishStream(request.spec.number),
        Count("answered", (request.route.name, "200")),
        Observe("answer_time", now - request.arrived, request.route.name),
        requests.describe_end(request, "whole stream", "", now),
    ]


def _ask_for_rest(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Ask for the events after the last one of a stream that its target closed."""
    if request.standby is not None:
        # It goes on after the last event, and shows whether more follow.
        attempts.end_attempt(state, attempt)
        request.current, request.standby = request.standby, None
        _record_question(request.current, attempt, now)
        stopped = stops.stop_run(state, request, attempt)
        return [_describe_question(request, attempt), *stopped]
    if not _may_be_asked(state, request, attempt):
        return _complete(state, request, attempt, now)
    attempts.end_attempt(state, attempt)
    effects = _ask_holder(state, request, now)
    if not effects:
        effects = _ask_target(state, request, attempt, now)
    if request.current is None:
        return effects + _break_unconfirmed(state, request, now)
    _record_question(request.current, attempt, now)
    effects += stops.stop_run(state, request, attempt)
    return [_describe_question(request, attempt), *effects]


def _record_question(asked: Attempt, former: Attempt, now: Millis) -> None:
    """Record that an attempt shows whether a stream ended with the former one."""
    asked.asks_end = True
    source = asked.source
    if source is None or source.on_order:
        return
    # A backup that may not have arrived can be missing as well.
    asked.refusal_confirms = not copies.may_lack_backup(former, now)


def _may_be_asked(state: State, request: Request, attempt: Attempt) -> bool:
    """Return whether a stream's rest could be had from anyone.

    Engines that copy runs could have copied this one, if there is another engine, also
    one of another version: what serves at the moment states nothing of the end.
    """
    if request.route.resumable or request.copy is not None:
        return True
    pool = placement.find_engine_pool(state, request.service)
    if pool is None or not (pool.moves or pool.backups):
        return False
    ready = state.targets.list_ready(request.service)
    return any(target.name != attempt.target.name for target in ready)


def _ask_holder(state: State, request: Request, now: Millis) -> list[Effect]:
    copies.discard_unusable_copy(state, request)
    copy = request.copy
    if copy is None:
        return []
    holder = state.targets.find(copy.holder.target)
    if holder is None or not limits.may_send(state, holder, now):
        return []
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return peers.record_denied(state, request, now)
    effects = attempts.start_standby(state, request, copy, now)
    request.current, request.standby = request.standby, None
    return effects


def _ask_target(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    if not request.route.resumable:
        return []
    target = _choose_target(state, request, attempt.target, now)
    if target is None:
        return []
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return peers.record_denied(state, request, now)
    return attempts.start_attempt(state, request, target, now)


def _choose_target(
    state: State, request: Request, former: Target, now: Millis
) -> Target | None:
    """Return the target to ask: the former one, which has read the prompt, if it may.

    A run at another one counts as a further run.
    """
    target = state.targets.find(former.name)
    if target is former and eligibility.is_eligible(state, request, former):
        if limits.may_send(state, former, now):
            return former
    if request.lost_runs + 1 >= request.route.attempts:
        return None
    request.lost_runs += 1
    return placement.choose_target(state, request, now)


def _break_unconfirmed(state: State, request: Request, now: Millis) -> list[Effect]:
    return requests.refuse_request(state, request, "end_unconfirmed", now)


def _describe_question(request: Request, attempt: Attempt) -> Note:
    asked = request.current
    return Note(
        "rest of a stream asked for",
        {
            "request": request.spec.id,
            "from": attempt.target.name,
            "asked": asked.target.name if asked else "",
            "after": request.delivered,
        },
    )


def confirm_by_refusal(
    state: State, event: AttemptLost, now: Millis
) -> list[Effect] | None:
    """End a stream as complete if a refusal states that its backup is gone.

    A target that is full names a time to come back. Returns None if the loss states
    nothing.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None or not attempt.refusal_confirms:
        return None
    if event.loss is not Loss.REFUSED or event.retry_after is not None:
        return None
    if event.endless:
        return None
    return _complete(state, state.requests[attempt.request], attempt, now)


def end_unanswered(state: State, now: Millis) -> list[Effect]:
    """Break off the streams whose rest was asked for without an answer in time.

    None is broken off if this entry itself was stalled since the last check, as the
    answers may wait in the sockets.
    """
    if now - state.streams_checked_at >= streams.LATE_TICK_INTERVAL:
        return []
    effects: list[Effect] = []
    for attempt in list(state.attempts.values()):
        if not attempt.asks_end or attempt.first_delivery_at is not None:
            continue
        if now - attempt.opened < QUESTION_TIMEOUT:
            continue
        request = state.requests[attempt.request]
        attempts.end_attempt(state, attempt)
        effects.append(CloseAttempt(attempt.number))
        effects += _break_unconfirmed(state, request, now)
    return effects
