"""Forwarding of tokens to callers, and recovery of lost attempts."""

from figstep.core import (
    attempts,
    finishes,
    links,
    ownership,
    requests,
    retries,
    silence,
    suspects,
    targets,
)
from figstep.core.clock import Millis
from figstep.core.effects import (
    CancelGeneration,
    CloseAttempt,
    Count,
    Deliver,
    DiscardDelivered,
    Effect,
    Note,
    ReplacePool,
    WakeAt,
)
from figstep.core.events import (
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    AttemptTimer,
    Loss,
    RequestTimer,
    RetryTimer,
    TokensArrived,
)
from figstep.core.inventory import EngineInfo
from figstep.core.problems import Problem, Ran
from figstep.core.specs import ServiceWork
from figstep.core.state import (
    AttemptState,
    Phase,
    RequestState,
    State,
    TargetState,
)

_ANSWERED_LOSSES = frozenset(
    {Loss.REFUSED, Loss.TRUNCATED, Loss.EMPTY, Loss.WRONG_GENERATION}
)
"""Losses by which a target answers: it lives, unless it has started again."""


def forward_tokens(state: State, event: TokensArrived, now: Millis) -> list[Effect]:
    """Deliver the events that the caller has not received yet, in order.

    Events that were delivered before are dropped. A gap before the first event, or
    events of another generation, count as a lost attempt.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return [Count("tokens.late", len(event.frames))]
    request = state.requests[attempt.request]
    if event.generation != attempt.generation:
        # The connection carries the answer to another request, so another caller's
        # text would be delivered. Closing the connection and reattaching by
        # generation id brings the right events.
        lost = AttemptLost(
            event.attempt, Loss.WRONG_GENERATION, detail=event.generation
        )
        return [
            Count("tokens.crossed", len(event.frames)),
            *recover_attempt(state, lost, now),
        ]
    already_delivered = request.delivered + 1 - event.first
    if already_delivered < 0:
        lost = AttemptLost(event.attempt, Loss.BROKEN, detail="gap in the stream")
        return [Count("tokens.gap"), *recover_attempt(state, lost, now)]
    effects = _record_progress(state, attempt, now)
    frames = event.frames[already_delivered:] if already_delivered else event.frames
    if already_delivered:
        effects.append(
            Count("tokens.repeated", min(already_delivered, len(event.frames)))
        )
    if not frames:
        if event.first + len(event.frames) > request.delivered:
            request.last_frame = event.frames[-1]
        return effects
    request.ran = Ran.YES
    request.accepted = True
    request.resumes = 0
    request.delivered += len(frames)
    request.last_frame = frames[-1]
    if request.delivered >= attempt.review_at:
        targets.review_attempt(state, attempt, request, now)
    effects.append(Deliver(attempt.request, frames))
    return effects


def _record_progress(state: State, attempt: AttemptState, now: Millis) -> list[Effect]:
    target = state.targets.get(attempt.target)
    effects: list[Effect] = []
    if target is not None:
        target.dead = False
        if attempt.tokens:
            silence.update_read_gap(target, now - attempt.last_progress)
        if attempt.probing:
            effects = _replace_pool(state, attempt, target, now)
    attempt.tokens += 1
    attempt.last_progress = now
    if attempt.tokens == 1:
        # The timer still has the limit for the first event. Without a reset
        # a stream that goes silent early would be detected seconds later.
        limit = silence.compute_silence_limit(target, attempt)
        effects.append(WakeAt(AttemptTimer(attempt.attempt), Millis(now + limit)))
    return effects


def _replace_pool(
    state: State, probe: AttemptState, target: TargetState, now: Millis
) -> list[Effect]:
    # A device between entry and target has lost the state of the old connections:
    # they stay open and bring nothing, while a new one works. Connections that
    # were silent since before the probe was opened are treated as lost, like the
    # one that the probe replaced; those that have delivered since then are kept.
    probe.probing = False
    effects: list[Effect] = [
        ReplacePool(probe.target),
        Count("pools.replaced"),
        Note("pool replaced", {"target": probe.target, "attempt": probe.attempt}),
    ]
    for attempt in list(state.attempts.values()):
        if attempt.target != probe.target or attempt.attempt == probe.attempt:
            continue
        if attempt.opened >= probe.opened or attempt.last_progress >= probe.opened:
            continue
        request = state.requests[attempt.request]
        if isinstance(request.spec.work, ServiceWork):
            continue
        lost = AttemptLost(attempt.attempt, Loss.SILENT, detail="pool replaced")
        effects += recover_attempt(state, lost, now)
    return effects


def handle_attempt_answered(
    state: State, event: AttemptAnswered, now: Millis
) -> list[Effect]:
    """Handle response headers: the target accepted the attempt and is alive."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return [Count("attempts.late")]
    attempt.answered = True
    attempt.last_progress = now
    effects = links.record_connection(state, attempt.target, now)
    target = state.targets.get(attempt.target)
    if target is not None:
        target.dead = False
    request = state.requests[attempt.request]
    request.accepted = True
    request.ran = retries.combine_ran(request.ran, Ran.UNKNOWN)
    return effects


def check_attempt(state: State, timer: AttemptTimer, now: Millis) -> list[Effect]:
    """Recover an attempt that was silent for longer than its limit.

    Events only update the time of the last progress; after the first event the
    timer is set again only here, since setting a timer for each token would cost
    more than handling the token.
    """
    attempt = state.attempts.get(timer.attempt)
    if attempt is None:
        return []
    target = state.targets.get(attempt.target)
    limit = silence.compute_silence_limit(target, attempt)
    due = Millis(attempt.last_progress + limit)
    if now < due:
        return [WakeAt(timer, due)]
    if attempt.resuming and attempt.answered and attempt.tokens == 0:
        # The target answered on a new connection and has sent no event yet: it is
        # slow, not silent. Another probe would only add load.
        attempt.probing = False
        attempt.last_progress = now
        return [Count("attempts.slow"), WakeAt(timer, Millis(now + limit))]
    lost = AttemptLost(timer.attempt, Loss.SILENT, detail=f"nothing for {limit} ms")
    return [Count("attempts.silent"), *recover_attempt(state, lost, now)]


def finish_attempt(state: State, event: AttemptEnded, now: Millis) -> list[Effect]:
    """Handle the end marker; the answer is whole only with a finish reason.

    An engine that fails may still close its stream with the end marker, and the
    caller would take a truncated answer for a whole one. An answer whose last event
    has no finish reason is therefore handled as truncated, and an answer without
    events as empty. The last event of a returned caller that got none since is read
    again.
    """
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return [Count("attempts.late")]
    request = state.requests[attempt.request]
    if not request.delivered:
        return recover_attempt(state, AttemptLost(event.attempt, Loss.EMPTY), now)
    if request.last_frame is None and not request.resumes:
        return _read_last_event(state, request, now)
    if request.last_frame is None or finishes.is_unfinished(request.last_frame):
        lost = AttemptLost(event.attempt, Loss.TRUNCATED, detail="no finish reason")
        return recover_attempt(state, lost, now)
    return requests.complete_attempt(state, event, now)


def _read_last_event(state: State, request: RequestState, now: Millis) -> list[Effect]:
    attempt = attempts.remove_attempt(state, request.attempt)
    target = state.targets.get(request.target)
    if target is None:
        return _give_up(state, request, Loss.NOT_FOUND)
    request.resumes += 1
    effects = attempts.resume_attempt(state, request, target, now)
    if attempt is not None:
        effects.append(CloseAttempt(attempt.attempt))
    return effects


def recover_attempt(state: State, event: AttemptLost, now: Millis) -> list[Effect]:
    """Handle a lost attempt: resume, restart or refuse its request.

    The target also gets no new generations for a time that grows with each loss in a
    row. The loss may count as the death of the target, or as a broken call of a
    plain service.
    """
    attempt = attempts.remove_attempt(state, event.attempt)
    if attempt is None:
        return [Count("attempts.late")]
    request = state.requests[attempt.request]
    target = state.targets.get(attempt.target)
    request.ran = retries.combine_ran(request.ran, retries.classify_ran(event.loss))
    recovery = retries.decide_recovery(_describe_loss(request, attempt, target, event))
    effects: list[Effect] = [
        Count("attempts.lost"),
        CloseAttempt(event.attempt),
        _log_loss(attempt, event, recovery),
    ]
    if target is not None:
        targets.record_loss(target, now)
    if event.loss is Loss.CONNECT_FAILED:
        effects += links.record_failure(state, attempt, now)
    if _proves_death(request, attempt, event, recovery):
        effects += suspects.record_death(state, attempt, now)
    elif _was_answered_in_vain(request, attempt, event, recovery):
        suspects.record_failed_resume(state, request, attempt, now)
    if event.loss is Loss.BROKEN and isinstance(request.spec.work, ServiceWork):
        links.record_broken(state, attempt, now)
        effects += suspects.record_broken_call(state, request, attempt, now)
    match recovery:
        case retries.Recovery.RESUME if target is not None:
            effects += _schedule_resume(state, request, attempt, event, now)
        case retries.Recovery.RESTART:
            effects += _restart_request(state, request, attempt, event, now)
        case _:
            effects += _give_up(state, request, event.loss)
    return effects


def _describe_loss(
    request: RequestState,
    attempt: AttemptState,
    target: TargetState | None,
    event: AttemptLost,
) -> retries.LostAttempt:
    resumable = (
        target is not None
        and isinstance(target.info, EngineInfo)
        and target.info.resume
    )
    return retries.LostAttempt(
        event.loss,
        ran=request.ran,
        attempts=request.attempts,
        resumes=request.resumes,
        resuming=attempt.resuming,
        resumable=resumable,
        reached_caller=request.reached_caller,
        non_idempotent=request.non_idempotent,
    )


def _log_loss(
    attempt: AttemptState, event: AttemptLost, recovery: retries.Recovery
) -> Note:
    return Note(
        "attempt lost",
        {
            "request": attempt.request,
            "attempt": event.attempt,
            "target": attempt.target,
            "generation": attempt.generation,
            "loss": event.loss.value,
            "recovery": recovery.value,
            "detail": event.detail,
        },
    )


def _proves_death(
    request: RequestState,
    attempt: AttemptState,
    event: AttemptLost,
    recovery: retries.Recovery,
) -> bool:
    # A request whose generation no target has accepted, which includes a returned
    # caller until its resume is answered, shows nothing: the generation may never
    # have reached the target, or have left the target's memory.
    if recovery is retries.Recovery.RESUME or not request.accepted:
        return False
    if attempt.resuming:
        return event.loss is not Loss.SHUTDOWN and event.loss not in _ANSWERED_LOSSES
    return event.loss is Loss.BROKEN


def _was_answered_in_vain(
    request: RequestState,
    attempt: AttemptState,
    event: AttemptLost,
    recovery: retries.Recovery,
) -> bool:
    if recovery is retries.Recovery.RESUME or not request.accepted:
        return False
    return attempt.resuming and event.loss in _ANSWERED_LOSSES


def _schedule_resume(
    state: State,
    request: RequestState,
    attempt: AttemptState,
    event: AttemptLost,
    now: Millis,
) -> list[Effect]:
    target = state.targets[attempt.target]
    pause = retries.compute_backoff(request.resumes, state.rng)
    if event.loss is Loss.REFUSED and event.retry_after is not None:
        pause = max(pause, event.retry_after)
    request.resumes += 1
    if pause:
        request.phase = Phase.WAITING
        return [WakeAt(RetryTimer(request.spec.request), Millis(now + pause))]
    effects = attempts.resume_attempt(state, request, target, now)
    if event.loss is Loss.SILENT and request.attempt is not None:
        state.attempts[request.attempt].probing = True
    return effects


def retry_request(state: State, timer: RetryTimer, now: Millis) -> list[Effect]:
    """Resume a request when the backoff before its next attempt is over."""
    request = state.requests.get(timer.request)
    if request is None or request.phase is not Phase.WAITING:
        return []
    target = state.targets.get(request.target)
    if target is None:
        return _give_up(state, request, Loss.NOT_FOUND)
    return attempts.resume_attempt(state, request, target, now)


def _restart_request(
    state: State,
    request: RequestState,
    attempt: AttemptState,
    event: AttemptLost,
    now: Millis,
) -> list[Effect]:
    avoidance = retries.compute_avoidance(event.loss, event.retry_after)
    request.failed_targets[attempt.target] = Millis(now + avoidance)
    effects: list[Effect] = []
    if retries.classify_ran(event.loss) is not Ran.NO:
        effects += _cancel_generation(request, attempt)
    effects.append(DiscardDelivered(attempt.request))
    if request.delivered:
        # The deadline was for a first byte, which arrived. The restart gets the time
        # from the request's arrival to that deadline.
        request.deadline = Millis(now + request.deadline - request.arrived)
        effects.append(WakeAt(RequestTimer(attempt.request), request.deadline))
    request.delivered = 0
    request.resumes = 0
    request.accepted = False
    if request.caller_gone or suspects.reached_death_limit(state, request):
        return effects + _give_up(state, request, event.loss)
    # An attempt that did not run cost no target anything, so a restart after it is
    # not charged to the retry budget.
    if (
        retries.classify_ran(event.loss) is not Ran.NO
        and not state.retry_budget.spend()
    ):
        return [
            *effects,
            Count("retries.denied"),
            *_give_up(state, request, event.loss),
        ]
    return effects + requests.start_request(state, request, now)


def _cancel_generation(request: RequestState, attempt: AttemptState) -> list[Effect]:
    if isinstance(request.spec.work, ServiceWork):
        return []
    return [CancelGeneration(attempt.target, attempt.generation)]


def _give_up(state: State, request: RequestState, loss: Loss) -> list[Effect]:
    if request.returned_index == request.delivered and loss is not Loss.NOT_FOUND:
        # Only its target can state that a generation is gone. It may go on until its
        # caller comes back.
        problem = _build_unreachable_problem(state, request)
        effects = requests.end_request(state, request, problem, cancel=False)
    else:
        problem = _build_lost_problem(state, request)
        effects = requests.end_request(state, request, problem)
    return [*effects, Count("requests.lost")]


def _build_unreachable_problem(state: State, request: RequestState) -> Problem:
    pause = retries.jitter_pause(1_000, state.rng)
    return requests.build_unreachable_problem(request.ran, pause)


def _build_lost_problem(state: State, request: RequestState) -> Problem:
    if request.returned_index == request.delivered:
        return requests.build_gone_problem()
    if request.non_idempotent and request.ran is not Ran.NO:
        return ownership.build_unknown_problem(request.ran)
    if request.ran is Ran.NO:
        return Problem(
            503,
            "no_target",
            "every target that was tried refused or could not be reached;"
            " come back after Retry-After",
            retry_after=retries.jitter_pause(2_000, state.rng),
        )
    if not request.reached_caller:
        return Problem(
            502,
            "generation_lost",
            "the targets that ran it were lost; send the request again",
            ran=request.ran,
            retry_after=retries.jitter_pause(1_000, state.rng),
        )
    return Problem(
        502,
        "generation_lost",
        "the target was lost and this answer cannot go on; send the request"
        " again for a whole new answer, without stream to have it gathered here",
        ran=request.ran,
    )
