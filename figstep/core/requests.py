"""Life cycle of a request: arrival, queueing, start, completion and failure."""

from dataclasses import replace

from figstep.core import (
    admission,
    attempts,
    generations,
    links,
    ownership,
    quarantine,
    retries,
    suspects,
)
from figstep.core.clock import Millis
from figstep.core.effects import (
    Complete,
    Count,
    Effect,
    Refuse,
    WakeAt,
)
from figstep.core.events import (
    AttemptEnded,
    AttemptRejected,
    CallerGone,
    CallerReturned,
    QueueTimer,
    RequestArrived,
    RequestTimer,
    ServiceAnswered,
)
from figstep.core.problems import Problem, Ran
from figstep.core.specs import GenerationWork
from figstep.core.state import Phase, RequestState, State, TargetState

QUEUE_RETRY_INTERVAL = Millis(100)
"""Longest time between two attempts to start queued requests, in milliseconds.

A completed request triggers an attempt at once.
"""


def admit_request(state: State, event: RequestArrived, now: Millis) -> list[Effect]:
    """Handle the arrival of a request: refuse, claim, start or queue it.

    A non-idempotent request is claimed first: a record in the log claims its
    identity, and the request goes on to start once the record is read back from the
    log and owns the identity.

    The request is refused if the entry is shutting down, has no configuration or
    has quarantined the request's digest. The claim and the admission control may
    refuse it too.
    """
    spec = event.spec
    if state.shutting_down:
        return [Refuse(spec.request, _leaving_problem())]
    if state.inventory is None:
        return [Refuse(spec.request, _unconfigured_problem())]
    quarantined = quarantine.check_digest(state.quarantine, spec, now)
    if quarantined is not None:
        return [Refuse(spec.request, quarantined), Count("requests.quarantined")]
    deadline = spec.deadline or Millis(now + state.inventory.rules.deadline)
    request = RequestState(spec, now, deadline)
    state.requests[spec.request] = request
    effects: list[Effect] = [
        Count("requests.arrived"),
        WakeAt(RequestTimer(spec.request), deadline),
    ]
    if ownership.needs_claim(state, spec):
        return effects + ownership.begin_claim(state, request, now)
    return effects + start_request(state, request, now)


def start_request(state: State, request: RequestState, now: Millis) -> list[Effect]:
    """Start, queue or refuse a request, as the admission control decides.

    A request whose digest is quarantined, or whose claim is too old, is refused, and
    any request of a service while this entry reaches no target of it.
    """
    _expire_failed_targets(request, now)
    quarantined = quarantine.check_digest(state.quarantine, request.spec, now)
    if quarantined is not None:
        return end_request(state, request, quarantined)
    unreachable = links.check_links(state, request.spec, now)
    if unreachable is not None:
        return end_request(state, request, unreachable)
    match admission.decide_admission(state, request, now):
        case admission.Start(target=target):
            return _dispatch_request(state, request, target, now)
        case admission.Reject(problem=problem):
            return end_request(state, request, problem)
        case admission.Wait():
            return _queue_request(state, request, now)


def _dispatch_request(
    state: State, request: RequestState, target: TargetState, now: Millis
) -> list[Effect]:
    if not ownership.may_dispatch(state, request, now):
        return end_request(state, request, ownership.build_stale_problem())
    admission.charge_request(state, request, now)
    return attempts.open_attempt(state, request, target, now)


def _expire_failed_targets(request: RequestState, now: Millis) -> None:
    for name, until in list(request.failed_targets.items()):
        if until <= now:
            del request.failed_targets[name]


def _queue_request(state: State, request: RequestState, now: Millis) -> list[Effect]:
    request.phase = Phase.QUEUED
    admission.queue_request(state, request)
    if len(state.queue) > 1:
        # The queue timer is running already. Resetting it with each arrival would
        # postpone it for as long as requests arrive faster than the interval.
        return []
    return [WakeAt(QueueTimer(), Millis(now + QUEUE_RETRY_INTERVAL))]


def start_queued(state: State, now: Millis) -> list[Effect]:
    """Start queued requests of each pool until the next one finds no target.

    A request that avoids targets, as a suspect or after lost attempts, is skipped if
    it finds none and stays queued.
    """
    effects: list[Effect] = []
    for pool in state.queue.list_pools():
        effects += _start_pool(state, pool, now)
    if len(state.queue):
        effects.append(WakeAt(QueueTimer(), Millis(now + QUEUE_RETRY_INTERVAL)))
    return effects


def _start_pool(state: State, pool: str, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    skipped: list[RequestState] = []
    while (spec := state.queue.peek(pool)) is not None:
        request = state.requests.get(spec.request)
        if request is None or request.phase is not Phase.QUEUED:
            state.queue.remove(spec.request)
            continue
        _expire_failed_targets(request, now)
        quarantined = quarantine.check_digest(state.quarantine, spec, now)
        if quarantined is not None:
            effects += end_request(state, request, quarantined)
            continue
        target = admission.choose_for_queued(state, request, now)
        if target is None and not _avoids_targets(state, request):
            break
        state.queue.remove(spec.request)
        if target is None:
            # This request avoids certain targets. If it stayed at the head of
            # the queue, the requests behind it would wait although the targets
            # that it avoids may have capacity for them.
            skipped.append(request)
            continue
        effects += _dispatch_request(state, request, target, now)
    for request in skipped:
        admission.queue_request(state, request)
    return effects


def _avoids_targets(state: State, request: RequestState) -> bool:
    suspect = suspects.is_suspect(state, request.spec.digest)
    return suspect or bool(request.failed_targets)


def determine_ran(state: State, request: RequestState) -> Ran:
    """Return whether the request ran, as far as this entry can know.

    ``Ran.NO`` is returned for a request that was never sent, or whose attempts all
    ended with a loss that proves that it did not run. While an attempt is open its
    bytes may be in transit, so the result is at least ``Ran.UNKNOWN``.
    """
    if request.ran is Ran.NO and request.attempt in state.attempts:
        return Ran.UNKNOWN
    return request.ran


def end_request(
    state: State, request: RequestState, problem: Problem, cancel: bool = True
) -> list[Effect]:
    """End a request with a problem, and close its attempt and its claim.

    The ``ran`` of the problem is replaced by ``determine_ran`` if that is stronger.
    With ``cancel``, the request's generation, if any, is cancelled at the target.
    """
    name = request.spec.request
    ran = retries.combine_ran(problem.ran, determine_ran(state, request))
    problem = replace(problem, ran=ran)
    effects: list[Effect] = [Refuse(name, problem)]
    effects += attempts.abandon_attempt(state, request, cancel)
    effects += ownership.close_claim(state, request, problem)
    state.requests.pop(name, None)
    state.queue.remove(name)
    return effects


def complete_attempt(state: State, event: AttemptEnded, now: Millis) -> list[Effect]:
    """Complete the request of an attempt that delivered a whole generation."""
    request = _complete_request(state, event.attempt, now)
    if request is None:
        return [Count("attempts.late")]
    work = request.spec.work
    if isinstance(work, GenerationWork):
        state.lengths.record_length(request.spec.customer, work, request.delivered)
    return [
        Complete(request.spec.request, event.attempt),
        Count("requests.completed"),
        *ownership.record_generation(state, request),
        WakeAt(QueueTimer(), now),
    ]


def complete_service_call(
    state: State, event: ServiceAnswered, now: Millis
) -> list[Effect]:
    """Complete a plain service request; record the answer if the request is claimed."""
    attempt = state.attempts.get(event.attempt)
    request = _complete_request(state, event.attempt, now)
    if attempt is None or request is None:
        return [Count("attempts.late")]
    return [
        Complete(request.spec.request, event.attempt),
        Count("requests.completed"),
        *links.record_connection(state, attempt.target, now),
        *ownership.record_answer(state, request, event),
        WakeAt(QueueTimer(), now),
    ]


def _complete_request(state: State, number: int, now: Millis) -> RequestState | None:
    """Remove a completed attempt and its request from the state.

    The success adds to the retry budget and drops the suspicions of the request.

    Returns:
        The request, or None if the attempt was removed earlier.
    """
    attempt = attempts.remove_attempt(state, number)
    if attempt is None:
        return None
    request = state.requests.pop(attempt.request)
    request.ran = Ran.YES
    state.retry_budget.earn()
    suspects.clear_lost_calls(state, attempt)
    suspects.clear_suspect(state, request.spec.digest, now)
    return request


def reject_attempt(state: State, event: AttemptRejected, now: Millis) -> list[Effect]:
    """End a request that its target rejected as invalid, with the event's problem."""
    attempt = attempts.remove_attempt(state, event.attempt)
    if attempt is None:
        return [Count("attempts.late")]
    request = state.requests[attempt.request]
    effects = end_request(state, request, event.problem)
    return [*effects, Count("requests.rejected")]


def reattach_caller(state: State, event: CallerReturned, now: Millis) -> list[Effect]:
    """Resume the generation of a returning caller, which may come from another entry.

    The generation id names the target and a digest of the customer, so the entry
    needs no state of the first request. The request is refused if the id is
    malformed or names another customer, or if the entry is shutting down or has no
    configuration. A target that this entry does not know may be in a later one: that
    says nothing of the generation.
    """
    spec = event.spec
    if state.shutting_down:
        return [Refuse(spec.request, _leaving_problem())]
    if state.inventory is None:
        return [Refuse(spec.request, _unconfigured_problem())]
    generation = generations.parse_generation(event.generation)
    owner = generations.digest_owner(spec.customer)
    target = state.targets.get(generation.target) if generation else None
    if generation is None or generation.owner != owner:
        return [Refuse(spec.request, build_gone_problem())]
    if target is None:
        pause = retries.jitter_pause(1_000, state.rng)
        return [Refuse(spec.request, build_unreachable_problem(Ran.YES, pause))]
    deadline = spec.deadline or Millis(now + state.inventory.rules.deadline)
    request = RequestState(
        spec,
        now,
        deadline,
        ran=Ran.YES,
        generation=event.generation,
        delivered=event.index,
        returned_index=event.index,
    )
    state.requests[spec.request] = request
    return [
        Count("callers.returned"),
        WakeAt(RequestTimer(spec.request), deadline),
        *attempts.resume_attempt(state, request, target, now),
    ]


def drop_caller(state: State, event: CallerGone, now: Millis) -> list[Effect]:
    """Handle a caller that disconnected: drop its request, attempt and claim.

    A non-idempotent call of a plain service that has an open attempt continues
    without its caller. Closing the connection would not stop a service that has
    begun, and a caller that sends the same key again, for example after its own
    time-out, could then not be given the outcome.
    """
    request = state.requests.get(event.request)
    if request is None:
        return []
    if ownership.outlives_caller(state, request):
        request.caller_gone = True
        return [Count("callers.gone")]
    ran = determine_ran(state, request)
    del state.requests[event.request]
    state.queue.remove(event.request)
    effects: list[Effect] = [Count("callers.gone")]
    effects += attempts.abandon_attempt(state, request, event.cancel)
    effects += ownership.abandon_claim(state, request, ran)
    return effects


def expire_request(state: State, timer: RequestTimer, now: Millis) -> list[Effect]:
    """Refuse a request that had no event delivered before its deadline.

    For a returned caller only events after the last one that it had received count.
    A plain service call delivers no events, so its whole answer has to arrive before
    the deadline.
    """
    request = state.requests.get(timer.request)
    if request is None or request.delivered > (request.returned_index or 0):
        return []
    if now < request.deadline:
        return [WakeAt(timer, request.deadline)]
    ran = determine_ran(state, request)
    problem = Problem(
        503 if ran is Ran.NO else 504,
        "no_target_in_time" if ran is Ran.NO else "no_answer_in_time",
        "no answer began before the deadline; come back after Retry-After",
        ran=ran,
        retry_after=retries.jitter_pause(2_000, state.rng),
    )
    # A returned caller may come back for a generation that goes on meanwhile.
    cancel = request.returned_index is None
    return [*end_request(state, request, problem, cancel), Count("requests.expired")]


def abort_requests(state: State) -> list[Effect]:
    """Refuse all open requests, and later ones too, because the process ends now.

    The generations of streams are not cancelled at their targets, so that their
    callers can resume them through another entry. Other generations are cancelled.
    """
    state.shutting_down = True
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        problem = Problem(
            503,
            "entry_ended",
            "this entry was ended before the answer was whole; a stream goes on"
            " from its last event through another entry, else send the request"
            " again",
            ran=determine_ran(state, request),
            retry_after=Millis(1_000),
        )
        cancel = not request.spec.stream
        effects += end_request(state, request, problem, cancel)
    return effects


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


def build_unreachable_problem(ran: Ran, retry_after: Millis) -> Problem:
    """Build the 503 problem for a caller whose generation may go on, but not here."""
    return Problem(
        503,
        "generation_unreachable",
        "the target of this generation does not hand out its events now; come back"
        " with Last-Event-ID after Retry-After, or send the request again without it"
        " for a whole new answer",
        ran=ran,
        retry_after=retry_after,
    )


def build_gone_problem() -> Problem:
    """Build the 410 problem for a caller whose generation cannot be resumed."""
    return Problem(
        410,
        "generation_gone",
        "this generation cannot be resumed; send the request again without"
        " Last-Event-ID for a whole new answer",
        ran=Ran.UNKNOWN,
    )
