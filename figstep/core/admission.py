"""Whether a request starts now, waits or is turned away."""

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
MAX_RETRY_AFTER = Millis(120_000)
RETRY_AFTER_JITTER = 0.5
PRIORITY_STEP = 2 * BIN_COUNT


@dataclass(frozen=True, slots=True)
class Start:
    """Start on this target."""

    target: TargetState


@dataclass(frozen=True, slots=True)
class Wait:
    """No target has room; stay in the queue."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Waiting would not help: answer at once."""

    problem: Problem


AdmissionDecision = Start | Wait | Reject


def decide_admission(
    state: State, request: RequestState, now: Millis
) -> AdmissionDecision:
    """Decide what happens to a request that has just come in or come back."""
    if state.queue.has_waiting(request.spec):
        return queue_or_reject(state, request, now)
    target = routing.choose_target(state, request, now)
    if target is None:
        return queue_or_reject(state, request, now)
    return Start(target)


def queue_or_reject(
    state: State, request: RequestState, now: Millis
) -> AdmissionDecision:
    """Queue a request, or turn it away if it could not start in time."""
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
    """Return the target for the request whose turn it is, or None for no room."""
    return routing.choose_target(state, request, now)


def queue_request(state: State, request: RequestState) -> None:
    """Put a request in the queue, by its expected work."""
    spec = request.spec
    cost, share = estimate_cost(state, spec), find_share(state, spec)
    state.queue.add(spec, cost, share, request.arrived)


def charge_request(state: State, request: RequestState, now: Millis) -> None:
    """Count a request that starts against its customer's share."""
    spec = request.spec
    cost, share = estimate_cost(state, spec), find_share(state, spec)
    state.queue.charge(spec, cost, share, now)


def choose_priority(state: State, request: RequestState) -> int:
    """Return the priority for the engine: who gives way when memory fills.

    Among equals the shorter expected goes on: it frees its memory soonest, and
    a long one loses the smaller part of its time by being recomputed.
    """
    spec = request.spec
    match state.policy:
        case Figstep(engine_priority=True) if isinstance(spec.work, GenerationWork):
            length_bin = find_bin(round(estimate_cost(state, spec)))
            return spec.priority * PRIORITY_STEP + BIN_COUNT - length_bin
        case _:
            return spec.priority


def estimate_cost(state: State, spec: RequestSpec) -> float:
    """Return the expected work of a request, in tokens."""
    if not isinstance(spec.work, GenerationWork):
        return SERVICE_COST
    return state.lengths.estimate(spec.customer, spec.work).mean


def find_share(state: State, spec: RequestSpec) -> float:
    """Return the share that the inventory gives a request's customer."""
    return state.shares.get(spec.customer, 1.0)


def jitter_retry_after(state: State, wait: Millis) -> Millis:
    """Return when to come back, spread so that callers don't come all at once."""
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
