"""Ends of streams: what is asked where the framing does not state the end.

A stream with neither a length nor chunks ends with its connection, and a living target
that closes it between two events looks like one that is done. `closes` tells what the
target states by what it keeps of the run.

Where that states nothing, or that the run is not complete, the rest is asked for after
the last event: of the holder of a copy of the run, or where the route allows further
runs, of another target, or else of the same one. Events that follow contradict the
close. A delimited continuation without an event states the end. One that is closed as
well, a refusal and silence state nothing, and do not contradict either. The next one is
asked within `QUESTION_TIMEOUT`. If nobody is left the stream is broken off, unless its
engine keeps no runs and is believed: then nothing could have stated the end, and the
close is taken for it.

The close of a living target is the end without a question where no other run could ever
state it: on a route that may not be resumed, at a plain service or at engines that
neither copy nor back up nor keep runs.
"""

from figstep.core.clock import Millis
from figstep.gateway import (
    attempts,
    closes,
    copies,
    crashes,
    culprits,
    eligibility,
    limits,
    peers,
    placement,
    recovery,
    requests,
    stops,
    streams,
)
from figstep.gateway.closes import End
from figstep.gateway.effects import CloseAttempt, Effect, Note
from figstep.gateway.events import AttemptLost, Loss, StreamEnded
from figstep.gateway.state import Attempt, Request, State

QUESTION_TIMEOUT = Millis(1_000)
"""Longest time in milliseconds to the answer to whether a stream is complete, from
the first target that is asked.

Callers abandon a stream after two seconds without an event, and part of this time has
passed as the target was asked whether it lives.
"""

MAX_LOST_QUESTIONS = 2
"""Number of lost answers after which nobody is asked about the end of a stream again.
"""


def finish_stream(state: State, event: StreamEnded, now: Millis) -> list[Effect]:
    """End the caller's stream as complete, or ask whether it is."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    end = closes.judge_end(state, request, attempt, event)
    effects: list[Effect] = []
    if not event.confirmed:
        effects.append(closes.describe_end(state, request, attempt, event, end))
    if event.empty and end is not End.STATED and attempt.asked_at is None:
        if _may_be_released(state, request, attempt, end, now):
            asked = _ask_anew(state, request, attempt, now)
            if asked:
                return effects + asked
        # It does not go on from a close, so that nothing suggests an end.
        detail = "its connection ended before the first event"
        lost = AttemptLost(attempt.number, Loss.BROKEN, detail=detail)
        return effects + recovery.recover_attempt(state, lost, now)
    if end is not End.STATED and now >= request.deadline:
        # An engine stops work at the deadline, and may close its stream in order.
        request.may_have_run = True
        return effects + requests.refuse_request(state, request, "deadline", now)
    if attempt is request.standby:
        effects += streams.promote_standby(state, request, attempt, now)
    _record_close(state, request, attempt, event, end)
    if _is_end(state, request, attempt, end):
        return effects + _complete(state, request, attempt, now)
    return effects + _ask_for_rest(state, request, attempt, now)


def _may_be_released(
    state: State, request: Request, attempt: Attempt, end: End, now: Millis
) -> bool:
    """Return whether a stream may be whole that its engine closed and does not list.

    Its caller took it up, and it brought no event. The entry where the caller was
    before orders the engine to keep the part of the prompt no longer, as the run there
    has ended. A late order releases this run too.
    """
    if request.spec.after is None or request.asked_anew:
        return False
    if request.standby is not None or request.copy is not None:
        return False
    if end is not End.CONTRADICTED or now >= request.deadline:
        return False
    return request.route.resumable and _may_go_on(state, request, attempt, now)


def _ask_anew(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Ask the engine of a stream that was taken up once more for the rest.

    Returns no effects if the retry budget has no repeat left.
    """
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return []
    request.asked_anew = True
    request.may_have_run = True
    attempts.end_attempt(state, attempt)
    effects = attempts.start_attempt(state, request, attempt.target, now)
    effects += stops.stop_run(state, request, attempt)
    return [_describe_question(request, attempt), *effects]


def _record_close(
    state: State, request: Request, attempt: Attempt, event: StreamEnded, end: End
) -> None:
    """Record what the end of a stream shows of this close and of the one before it."""
    if event.kept is not None:
        closes.record_list(state, request)
        if end is not End.UNSTATED:
            is_early = end is End.CONTRADICTED
            closes.record_close(state, request, attempt.target, is_early)
    if attempt.first_delivery_at is not None:
        request.closed_by = attempt.target
        request.rest_begun = False
        request.end_unstated = False
    elif event.empty and request.closed_by is not None:
        if end in (End.STATED, End.OPEN):
            closes.record_close(state, request, request.closed_by, early=False)
    elif not event.empty:
        # It only repeated earlier events, and goes on from nothing.
        request.closed_by = None
    match end:
        case End.CONTRADICTED:
            request.closed_by = None
        case End.UNSTATED:
            request.end_unstated = True


def _is_end(state: State, request: Request, attempt: Attempt, end: End) -> bool:
    """Return whether nothing needs to be asked any more."""
    match end:
        case End.STATED:
            return True
        case End.CONTRADICTED | End.UNSTATED:
            return False
    if _is_unanswered(attempt) or _is_open(request, attempt):
        return False
    return not attempt.keeps_run or closes.is_believed(state, request)


def _is_open(request: Request, attempt: Attempt) -> bool:
    """Return whether another run could state the end that a target left open.

    That depends on the route and the service, not on what serves at the moment.
    """
    return attempt.asked_at is not None or request.route.resumable or request.copyable


def _complete(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    effects: list[Effect] = []
    if not request.stream_begun:
        effects += streams.begin_stream(state, request, attempt, now)
    attempts.end_attempt(state, attempt)
    effects += crashes.record_whole(state, request, attempt, now)
    return effects + requests.complete_stream(state, request, now)


def _ask_for_rest(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Ask for the events after the last one of a stream that its target closed.

    Where the target was asked itself and had none, the next one is asked in the time
    that is left of the first question.
    """
    if _awaits_copy(request, attempt):
        attempt.awaits_copy = True
        attempt.asked_at = now
        return []
    attempts.end_attempt(state, attempt)
    asked_at = attempt.asked_at if _is_unanswered(attempt) else None
    effects: list[Effect] = []
    if request.standby is not None:
        # It goes on after the last event, and shows whether more follow.
        request.current, request.standby = request.standby, None
        request.rest_begun = request.current.rest_begun
    elif asked_at is None or now - asked_at < QUESTION_TIMEOUT:
        effects = _ask_holder(state, request, now)
        if not effects:
            effects = _ask_target(state, request, attempt, now)
    asked = request.current
    if asked is None:
        return effects + _settle_end(state, request, now)
    asked.asked_at = asked.opened if asked_at is None else asked_at
    effects += stops.stop_run(state, request, attempt)
    return [_describe_question(request, attempt), *effects]


def _awaits_copy(request: Request, attempt: Attempt) -> bool:
    """Return whether the only copy that could state the end is still being made."""
    if request.copy is not None or request.standby is not None:
        return False
    return request.copying and request.copy_source is attempt.target


def _is_unanswered(attempt: Attempt) -> bool:
    """Return whether an attempt stands for a question that nothing answered yet."""
    if attempt.asked_at is None:
        return False
    return attempt.awaits_copy or attempt.first_delivery_at is None


def ask_new_holder(state: State, number: int, now: Millis) -> list[Effect]:
    """Ask for the rest of a closed stream once its copy was made, or failed."""
    request = state.requests.get(number)
    attempt = None if request is None else request.current
    if request is None or attempt is None:
        return []
    if not attempt.awaits_copy or _awaits_copy(request, attempt):
        return []
    return _ask_for_rest(state, request, attempt, now)


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
    target = None
    if request.lost_runs + 1 < request.route.attempts:
        target = placement.choose_target(state, request, now)
    is_further = target is not None
    if target is None and _may_go_on(state, request, attempt, now):
        target = attempt.target
    if target is None:
        return []
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return peers.record_denied(state, request, now)
    if is_further:
        request.lost_runs += 1
    return attempts.start_attempt(state, request, target, now)


def _may_go_on(state: State, request: Request, attempt: Attempt, now: Millis) -> bool:
    """Return whether the target that closed a stream is asked for the rest itself.

    It may have more events, but would leave the end open again.
    """
    if _is_unanswered(attempt):
        return False
    target = state.targets.find(attempt.target.name)
    if target is not attempt.target:
        return False
    if not eligibility.is_eligible(state, request, target):
        return False
    return limits.may_send(state, target, now)


def _settle_end(state: State, request: Request, now: Millis) -> list[Effect]:
    """End a stream that nobody else can be asked about any more."""
    if closes.is_believed(state, request):
        return requests.complete_stream(state, request, now)
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


def lose_attempt(state: State, event: AttemptLost, now: Millis) -> list[Effect]:
    """Recover a lost attempt; one that was asked for a rest passes the question on."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None or not _is_unanswered(attempt):
        return recovery.recover_attempt(state, event, now)
    request = state.requests[attempt.request]
    if attempt.relay is not None:
        effects = recovery.recover_attempt(state, event, now)
        _pass_question_on(request, attempt)
        return effects
    effects = recovery.record_loss(state, request, attempt, event, now)
    if request.current is None:
        effects += _ask_again(state, request, attempt, event, now)
    _pass_question_on(request, attempt)
    return effects + recovery.stop_lost_run(state, request, attempt, event)


def _pass_question_on(request: Request, attempt: Attempt) -> None:
    if request.current is not None and request.current.asked_at is None:
        request.current.asked_at = attempt.asked_at
        request.current.lost_questions = attempt.lost_questions + 1


def _ask_again(
    state: State, request: Request, attempt: Attempt, event: AttemptLost, now: Millis
) -> list[Effect]:
    """Ask for a rest once more, as a lost answer states nothing.

    Another target is asked if the route allows a further run, else one that the stream
    was at before.
    """
    effects: list[Effect] = []
    if _may_ask_again(state, request, attempt, now):
        if event.loss is Loss.UNREACHED and request.copy is None:
            # Nothing was sent, and the copy is as it was.
            request.copy = attempt.source
        effects += _ask_holder(state, request, now)
        if request.current is None and recovery.may_run_again(request):
            effects += recovery.run_again(state, request, event, now)
        if request.current is None and request.route.resumable:
            effects += _ask_known_target(state, request, attempt, now)
    is_open = request.spec.number in state.requests and not request.queued
    if is_open and request.current is None:
        effects += _settle_end(state, request, now)
    return effects


def _may_ask_again(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> bool:
    if attempt.asked_at is None or now - attempt.asked_at >= QUESTION_TIMEOUT:
        return False
    if attempt.lost_questions >= MAX_LOST_QUESTIONS:
        return False
    if culprits.must_wait(state, request, now):
        # Its caller, who has got no event for a while, would leave meanwhile.
        return False
    return not culprits.is_refused(state, request, now)


def _ask_known_target(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Ask a target that the stream was at before, first the one that was just asked.

    One that has refused the request is not asked: it may not have run it before.
    """
    if request.spec.number not in state.requests or request.queued:
        return []
    known = request.tried_targets - request.refused_by
    for name in sorted(known, key=lambda name: name != attempt.target.name):
        target = state.targets.find(name)
        if target is None or not eligibility.is_eligible(state, request, target):
            continue
        if not limits.may_send(state, target, now):
            continue
        if not peers.spend_repeat(state, request.service, now, urgent=True):
            return peers.record_denied(state, request, now)
        return attempts.start_attempt(state, request, target, now)
    return []


def end_unanswered(state: State, now: Millis) -> list[Effect]:
    """End the streams whose rest was asked for without an answer in time.

    None is ended if this entry itself was stalled since the last check, as the
    answers may wait in the sockets.
    """
    if now - state.streams_checked_at >= streams.LATE_TICK_INTERVAL:
        return []
    effects: list[Effect] = []
    for attempt in list(state.attempts.values()):
        if attempt.asked_at is None or not _is_unanswered(attempt):
            continue
        if now - attempt.asked_at < QUESTION_TIMEOUT:
            continue
        request = state.requests[attempt.request]
        attempts.end_attempt(state, attempt)
        effects.append(CloseAttempt(attempt.number))
        effects += _settle_end(state, request, now)
    return effects
