"""Admission control: whether a request starts now, waits or is rejected."""

from dataclasses import dataclass

from figstep.core import routing
from figstep.core.clock import Millis
from figstep.core.lengths import BIN_COUNT, find_bin
from figstep.core.policies import Figstep
from figstep.core.problems import Problem
from figstep.core.queues import SERVICE_COST
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import RequestState, State, TargetState

MIN_RETRY_AFTER = Millis(1_000)
"""Shortest Retry-After of a rejected request, in milliseconds."""

MAX_RETRY_AFTER = Millis(120_000)
"""Longest Retry-After of a rejected request before jitter, in milliseconds."""

RETRY_AFTER_JITTER = 0.5
"""Largest random addition to Retry-After, as a fraction of its value before jitter."""

PRIORITY_STEP = 2 * BIN_COUNT
"""Distance between two request priorities in the priorities sent to engines.

It exceeds ``BIN_COUNT``, so the expected length orders only requests of one priority.
"""


@dataclass(frozen=True, slots=True)
class Start:
    """Decision to start the request on a target."""

    target: TargetState


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision to queue the request.

    No target can run it now, or other requests of its pool are waiting.
    """


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision to refuse the request, as it is predicted to start too late."""

    problem: Problem


AdmissionDecision = Start | Wait | Reject


def decide_admission(
    state: State, request: RequestState, now: Millis
) -> AdmissionDecision:
    """Decide whether a new or restarted request starts, waits or is rejected."""
    if state.queue.has_waiting(request.spec):
        return queue_or_reject(state, request, now)
    target = routing.choose_target(state, request, now)
    if target is None:
        return queue_or_reject(state, request, now)
    return Start(target)


def queue_or_reject(
    state: State, request: RequestState, now: Millis
) -> AdmissionDecision:
    """Decide to queue a request, or to reject it.

    Under a ``Figstep`` policy with ``refuse_early``, a request is rejected if its
    predicted wait exceeds the time left to its deadline.
    """
    match state.policy:
        case Figstep(refuse_early=True):
            pass
        case _:
            return Wait()
    spec = request.spec
    cost, share = estimate_cost(state, spec), find_share(state, spec)
    wait = state.queue.predict_wait(spec, cost, share, now)
    time_left = request.deadline - now
    if wait <= time_left:
        return Wait()
    return Reject(_build_overload_problem(state, request, Millis(wait - time_left)))


def choose_for_queued(
    state: State, request: RequestState, now: Millis
) -> TargetState | None:
    """Return the target for the next queued request, or None if none can run it now."""
    return routing.choose_target(state, request, now)


def queue_request(state: State, request: RequestState) -> None:
    """Add a request to the queue with its expected work and its customer's share."""
    spec = request.spec
    cost, share = estimate_cost(state, spec), find_share(state, spec)
    state.queue.add(spec, cost, share, request.arrived)


def charge_request(state: State, request: RequestState, now: Millis) -> None:
    """Charge the expected work of a request that starts to its customer's share."""
    spec = request.spec
    cost, share = estimate_cost(state, spec), find_share(state, spec)
    state.queue.charge(spec, cost, share, now)


def choose_priority(state: State, request: RequestState) -> int:
    """Return the priority that the engine uses to choose what it preempts.

    It is the priority of the request, unless a ``Figstep`` policy with
    ``engine_priority`` is in force. Then, among generations of one priority, those
    with a shorter expected length get the higher value and are kept: they free
    their memory soonest, and a long generation loses a smaller part of its time by
    being recomputed.
    """
    spec = request.spec
    match state.policy:
        case Figstep(engine_priority=True) if isinstance(spec.work, GenerationWork):
            length_bin = find_bin(round(estimate_cost(state, spec)))
            return spec.priority * PRIORITY_STEP + BIN_COUNT - length_bin
        case _:
            return spec.priority


def estimate_cost(state: State, spec: RequestSpec) -> float:
    """Return the expected work of a request: tokens, or a constant for a service."""
    if not isinstance(spec.work, GenerationWork):
        return SERVICE_COST
    return state.lengths.estimate(spec.customer, spec.work).mean


def find_share(state: State, spec: RequestSpec) -> float:
    """Return the share of a request's customer in the inventory; 1.0 by default."""
    return state.shares.get(spec.customer, 1.0)


def jitter_retry_after(state: State, wait: Millis) -> Millis:
    """Return a Retry-After in milliseconds, with jitter.

    The jitter keeps callers that were rejected together from returning together.

    ``wait`` is the predicted wait beyond the time left to the deadline. It is raised
    to ``MIN_RETRY_AFTER`` or lowered to ``MAX_RETRY_AFTER``.
    """
    base = min(MAX_RETRY_AFTER, max(wait, MIN_RETRY_AFTER))
    return Millis(round(base * (1.0 + RETRY_AFTER_JITTER * state.rng.random())))


def _build_overload_problem(
    state: State, request: RequestState, wait: Millis
) -> Problem:
    return Problem(
        503,
        "no_target_in_time",
        "no target can start this before its deadline; come back after Retry-After",
        ran=request.ran,
        retry_after=jitter_retry_after(state, wait),
    )
