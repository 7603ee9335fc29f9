"""Life cycle of a request: arrival, attempts, delivery, end."""

from figstep.core import (
    admission,
    claims,
    generations,
    quarantine,
    retries,
    targets,
)
from figstep.core.clock import Millis
from figstep.core.effects import (
    CancelGeneration,
    CloseAttempt,
    Complete,
    Count,
    Deliver,
    DiscardDelivered,
    Effect,
    Note,
    OpenAttempt,
    Refuse,
    ResumeAttempt,
    WakeAt,
)
from figstep.core.events import (
    AttemptEnded,
    AttemptLost,
    AttemptRejected,
    AttemptTimer,
    CallerGone,
    CallerReturned,
    Loss,
    QueueTimer,
    RequestArrived,
    RequestTimer,
    ServiceAnswered,
    TokensArrived,
)
from figstep.core.inventory import EngineInfo
from figstep.core.problems import Problem, Ran
from figstep.core.specs import GenerationWork, ServiceWork
from figstep.core.state import (
    AttemptState,
    Phase,
    RequestState,
    State,
    TargetState,
)

RETRY_PAUSE = Millis(200)
QUEUE_PAUSE = Millis(100)
DEFAULT_DEADLINE = Millis(60_000)


def admit_request(state: State, event: RequestArrived, now: Millis) -> list[Effect]:
    """Take a request in and start or queue it."""
    spec = event.spec
    if state.shutting_down:
        return [Refuse(spec.request, _leaving_problem())]
    if state.inventory is None:
        return [Refuse(spec.request, _unconfigured_problem())]
    quarantined = quarantine.judge_digest(state.quarantine, spec, now)
    if quarantined is not None:
        return [Refuse(spec.request, quarantined), Count("requests.quarantined")]
    request = RequestState(spec, now)
    state.requests[spec.request] = request
    deadline = spec.deadline or Millis(now + state.inventory.rules.deadline)
    effects: list[Effect] = [
        Count("requests.arrived"),
        WakeAt(RequestTimer(spec.request), deadline),
    ]
    return effects + start_request(state, request, now)


def start_request(state: State, request: RequestState, now: Millis) -> list[Effect]:
    """Open an attempt on the best target, or queue the request."""
    match admission.decide_admission(state, request, now):
        case admission.Start(target=target):
            return _open_attempt(state, request, target, now)
        case admission.TurnAway(problem=problem):
            del state.requests[request.spec.request]
            return [Refuse(request.spec.request, problem)]
        case admission.Wait():
            return _queue_request(state, request, now)


def _open_attempt(
    state: State, request: RequestState, target: TargetState, now: Millis
) -> list[Effect]:
    nonce = f"{state.node}.{state.next_attempt}.{state.rng.getrandbits(64):016x}"
    admission.charge_request(state, request, now)
    owner = generations.digest_owner(request.spec.customer)
    generation = str(generations.GenerationId(target.info.name, owner, nonce))
    attempt = _add_attempt(state, request, target, generation, now)
    return [
        OpenAttempt(
            request.spec.request,
            attempt.attempt,
            target.info.name,
            generation,
            admission.choose_priority(state, request),
        )
    ]


def _queue_request(state: State, request: RequestState, now: Millis) -> list[Effect]:
    request.phase = Phase.QUEUED
    request.failed_targets.clear()
    admission.queue_request(state, request)
    if len(state.queue) > 1:
        # The timer runs already; setting it again with each arrival would put
        # it off for as long as requests come faster than the pause.
        return []
    return [WakeAt(QueueTimer(), Millis(now + QUEUE_PAUSE))]


def start_queued(state: State, now: Millis) -> list[Effect]:
    """Start queued requests, pool by pool, until the next one finds no room."""
    effects: list[Effect] = []
    for pool in state.queue.list_pools():
        effects += _start_pool(state, pool, now)
    if len(state.queue):
        effects.append(WakeAt(QueueTimer(), Millis(now + QUEUE_PAUSE)))
    return effects


def _start_pool(state: State, pool: str, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    while (spec := state.queue.peek(pool)) is not None:
        request = state.requests.get(spec.request)
        if request is None or request.phase is not Phase.QUEUED:
            state.queue.remove(spec.request)
            continue
        target = admission.choose_for_queued(state, request, now)
        if target is None:
            break
        state.queue.remove(spec.request)
        effects += _open_attempt(state, request, target, now)
    return effects


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
    targets.enter_target(state, target, attempt, request, now)
    request.phase = Phase.RUNNING
    request.attempt = number
    request.attempts += 1
    request.generation = generation
    request.target = target.info.name
    return attempt


def _end_attempt(state: State, number: int) -> AttemptState | None:
    attempt = state.attempts.pop(number, None)
    if attempt is None:
        return None
    target = state.targets.get(attempt.target)
    if target is not None:
        targets.leave_target(state, target, attempt)
    return attempt


def forward_tokens(state: State, event: TokensArrived, now: Millis) -> list[Effect]:
    """Hand the caller the events that come next for it, and no others."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return [Count("tokens.late", len(event.frames))]
    request = state.requests[attempt.request]
    attempt.last_progress = now
    if event.generation != attempt.generation:
        # Two answers crossed on their way: another caller's text would be
        # shown here. Dropping the connection and reattaching by generation
        # brings the right events.
        lost = AttemptLost(event.attempt, Loss.CROSSED, detail=event.generation)
        return [
            Count("tokens.crossed", len(event.frames)),
            *recover_attempt(state, lost, now),
        ]
    seen = request.delivered + 1 - event.first
    if seen < 0:
        lost = AttemptLost(event.attempt, Loss.BROKEN, detail="gap in the stream")
        return [Count("tokens.gap"), *recover_attempt(state, lost, now)]
    frames = event.frames[seen:] if seen else event.frames
    if not frames:
        return [Count("tokens.repeated", len(event.frames))]
    request.ran = Ran.YES
    request.delivered += len(frames)
    if request.delivered >= attempt.review_at:
        targets.review_attempt(state, attempt, request, now)
    return [Deliver(attempt.request, frames)]


def end_attempt(state: State, event: AttemptEnded, now: Millis) -> list[Effect]:
    """The end marker came: the caller has its whole answer."""
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return []
    request = state.requests.pop(attempt.request)
    work = request.spec.work
    if isinstance(work, GenerationWork):
        state.lengths.learn(request.spec.customer, work, request.delivered)
    return [
        Complete(attempt.request, event.attempt),
        Count("requests.completed"),
        WakeAt(QueueTimer(), now),
    ]


def answer_service(state: State, event: ServiceAnswered, now: Millis) -> list[Effect]:
    """A plain service answered: hand the answer over."""
    return end_attempt(state, AttemptEnded(event.attempt), now)


def reject_attempt(state: State, event: AttemptRejected, now: Millis) -> list[Effect]:
    """The target found the request itself wrong: the caller must mend it."""
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return []
    del state.requests[attempt.request]
    return [Refuse(attempt.request, event.problem), Count("requests.rejected")]


def recover_attempt(state: State, event: AttemptLost, now: Millis) -> list[Effect]:
    """Resume, restart or give up after a lost attempt."""
    attempt = _end_attempt(state, event.attempt)
    if attempt is None:
        return []
    request = state.requests[attempt.request]
    target = state.targets.get(attempt.target)
    resumable = (
        target is not None
        and isinstance(target.info, EngineInfo)
        and target.info.resume
    )
    if target is not None:
        targets.note_loss(target, now)
    lost = retries.LostAttempt(
        event.loss,
        resumable=resumable,
        resuming=False,
        non_idempotent=claims.is_non_idempotent(state.inventory, request.spec),
    )
    recovery = retries.decide_recovery(request, lost)
    request.ran = retries.combine_ran(request.ran, retries.judge_ran(event.loss))
    request.attempt = None
    effects: list[Effect] = [
        Count("attempts.lost"),
        CloseAttempt(event.attempt),
        Note(
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
        ),
    ]
    match recovery:
        case retries.Recovery.RESUME if target is not None:
            resumed = _add_attempt(state, request, target, attempt.generation, now)
            effects.append(
                ResumeAttempt(
                    attempt.request,
                    resumed.attempt,
                    attempt.target,
                    attempt.generation,
                    request.delivered,
                )
            )
        case retries.Recovery.RESTART:
            request.failed_targets.add(attempt.target)
            request.delivered = 0
            effects.append(DiscardDelivered(attempt.request))
            effects += start_request(state, request, now)
        case _:
            effects += _give_up(state, request)
    return effects


def _give_up(state: State, request: RequestState) -> list[Effect]:
    del state.requests[request.spec.request]
    problem = Problem(
        502,
        "generation_lost",
        "the target was lost and the answer cannot go on;"
        " send the request again for a new answer",
        ran=request.ran,
    )
    return [Refuse(request.spec.request, problem), Count("requests.lost")]


def return_caller(state: State, event: CallerReturned, now: Millis) -> list[Effect]:
    """Reattach a caller to its generation, whichever entry started it."""
    generation = generations.parse_generation(event.generation)
    owner = generations.digest_owner(event.spec.customer)
    target = state.targets.get(generation.target) if generation else None
    known = generation is not None and generation.owner == owner
    if not known or target is None:
        return [Refuse(event.spec.request, _gone_problem())]
    request = RequestState(event.spec, now, ran=Ran.YES, delivered=event.index)
    state.requests[event.spec.request] = request
    attempt = _add_attempt(state, request, target, event.generation, now)
    return [
        ResumeAttempt(
            event.spec.request,
            attempt.attempt,
            target.info.name,
            event.generation,
            event.index,
        )
    ]


def drop_caller(state: State, event: CallerGone, now: Millis) -> list[Effect]:
    """The caller is gone: free what its generation holds."""
    request = state.requests.pop(event.request, None)
    if request is None:
        return []
    state.queue.remove(event.request)
    effects: list[Effect] = [Count("callers.gone")]
    if request.attempt is None:
        return effects
    attempt = _end_attempt(state, request.attempt)
    if attempt is None:
        return effects
    effects.append(CloseAttempt(attempt.attempt))
    if not isinstance(request.spec.work, ServiceWork):
        effects.append(CancelGeneration(attempt.target, attempt.generation))
    return effects


def expire_request(state: State, timer: RequestTimer, now: Millis) -> list[Effect]:
    """Refuse at once what could not start before its deadline."""
    request = state.requests.get(timer.request)
    if request is None or request.phase is not Phase.QUEUED:
        return []
    del state.requests[timer.request]
    state.queue.remove(timer.request)
    problem = Problem(
        503,
        "no_target_in_time",
        "no target was free before the deadline; come back after Retry-After",
        ran=request.ran,
        retry_after=Millis(2_000),
    )
    return [Refuse(timer.request, problem), Count("requests.expired")]


def check_attempt(state: State, timer: AttemptTimer, now: Millis) -> list[Effect]:
    """Treat an attempt that went silent as lost."""
    return []


def _leaving_problem() -> Problem:
    return Problem(
        503,
        "entry_leaving",
        "this entry is shutting down; send the request again",
        retry_after=Millis(1_000),
    )


def _unconfigured_problem() -> Problem:
    return Problem(
        503,
        "no_configuration",
        "no configuration is in force yet; publish one with figstep publish",
        retry_after=Millis(2_000),
    )


def _gone_problem() -> Problem:
    return Problem(
        410,
        "generation_gone",
        "this generation cannot be resumed here; send the request again",
        ran=Ran.UNKNOWN,
    )
