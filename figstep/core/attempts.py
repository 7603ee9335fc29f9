"""Attempts: opening, resuming and closing connections to targets."""

from figstep.core import admission, generations, silence, targets
from figstep.core.clock import Millis
from figstep.core.effects import (
    CancelGeneration,
    CloseAttempt,
    Effect,
    Note,
    OpenAttempt,
    ResumeAttempt,
    WakeAt,
)
from figstep.core.events import AttemptTimer
from figstep.core.specs import ServiceWork
from figstep.core.state import (
    AttemptState,
    Phase,
    RequestState,
    State,
    TargetState,
)


def open_attempt(
    state: State, request: RequestState, target: TargetState, now: Millis
) -> list[Effect]:
    """Open an attempt that sends the request to a target under a new generation id.

    The id is made of the target's name, a digest of the customer and a nonce, so
    any entry can resume the generation.
    """
    nonce = f"{state.node}.{state.next_attempt}.{state.rng.getrandbits(64):016x}"
    owner = generations.digest_owner(request.spec.customer)
    generation = str(generations.GenerationId(target.info.name, owner, nonce))
    attempt = _add_attempt(state, request, target, generation, now)
    request.attempts += 1
    effects: list[Effect] = [
        OpenAttempt(
            request.spec.request,
            attempt.attempt,
            target.info.name,
            generation,
            admission.choose_priority(state, request),
            once=request.non_idempotent,
        )
    ]
    effects.append(_log_attempt("attempt opened", request, attempt))
    return effects + _start_silence_timer(request, target, attempt, now)


def resume_attempt(
    state: State, request: RequestState, target: TargetState, now: Millis
) -> list[Effect]:
    """Open an attempt that resumes the request's generation after its last event.

    If nothing came after the last event of a returned caller, that one is read again.
    """
    after = request.delivered
    if after and request.resumes and request.last_frame is None:
        after -= 1
    attempt = _add_attempt(state, request, target, request.generation, now)
    attempt.resuming = True
    effects: list[Effect] = [
        ResumeAttempt(
            request.spec.request,
            attempt.attempt,
            target.info.name,
            request.generation,
            after,
        ),
        _log_attempt("attempt resumed", request, attempt),
    ]
    return effects + _start_silence_timer(request, target, attempt, now)


def _log_attempt(message: str, request: RequestState, attempt: AttemptState) -> Note:
    return Note(
        message,
        {
            "request": attempt.request,
            "attempt": attempt.attempt,
            "target": attempt.target,
            "generation": attempt.generation,
            "customer": request.spec.customer,
        },
    )


def _add_attempt(
    state: State,
    request: RequestState,
    target: TargetState,
    generation: str,
    now: Millis,
) -> AttemptState:
    number = state.next_attempt
    state.next_attempt += 1
    attempt = AttemptState(
        number, request.spec.request, target.info.name, generation, now, now
    )
    state.attempts[number] = attempt
    targets.reserve_target(state, target, attempt, request, now)
    request.phase = Phase.RUNNING
    request.attempt = number
    request.generation = generation
    request.target = target.info.name
    return attempt


def _start_silence_timer(
    request: RequestState, target: TargetState, attempt: AttemptState, now: Millis
) -> list[Effect]:
    if isinstance(request.spec.work, ServiceWork):
        return []
    limit = silence.compute_silence_limit(target, attempt)
    return [WakeAt(AttemptTimer(attempt.attempt), Millis(now + limit))]


def remove_attempt(state: State, number: int | None) -> AttemptState | None:
    """Remove an attempt from the state and from the counts of its target.

    Returns:
        The attempt, or None if there is none with this number.
    """
    if number is None:
        return None
    attempt = state.attempts.pop(number, None)
    if attempt is None:
        return None
    target = state.targets.get(attempt.target)
    if target is not None:
        targets.release_target(state, target, attempt)
    request = state.requests.get(attempt.request)
    if request is not None and request.attempt == number:
        request.attempt = None
    return attempt


def abandon_attempt(
    state: State, request: RequestState, cancel: bool = True
) -> list[Effect]:
    """Close the request's connection and, with ``cancel``, cancel its generation.

    Between two attempts no connection is open, but the target may still be
    generating. The cancellation is therefore sent for any request that has had a
    generation, except for a plain service call.
    """
    effects: list[Effect] = []
    attempt = remove_attempt(state, request.attempt)
    if attempt is not None:
        effects.append(CloseAttempt(attempt.attempt))
    if cancel and request.generation and not isinstance(request.spec.work, ServiceWork):
        effects.append(CancelGeneration(request.target, request.generation))
    return effects
