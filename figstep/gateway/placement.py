"""Chooses targets for calls, generations and copies of running generations."""

from dataclasses import dataclass
from enum import Enum

from figstep.core.clock import Millis
from figstep.gateway import eligibility, limits, pace, warmups
from figstep.gateway.routes import EnginePool
from figstep.gateway.state import Request, State
from figstep.gateway.targets import TYPICAL_READ_RATE, Target

MAX_MEMORY_FRACTION = 0.95
"""Largest fraction of an engine's memory that expected work may fill.

Half of all answers exceed their hint; the rest of the memory is for these. The bound
doesn't hold for an engine that has neither open attempts nor unclaimed memory in use.
"""

LATE_MAX_MEMORY_FRACTION = 0.7
"""Largest fraction of an engine's memory for a request that is late in any case.

Late requests yield memory to those that can still meet their objective, also to
those that wait at other entries.
"""

BACKUP_MAX_MEMORY_FRACTION = 0.7
"""Largest fraction of an engine's memory expected in use, with a new running backup.

Under load, a prompt that finds no memory costs more than a run that is lost only if
its engine leaves.
"""

PROACTIVE_MAX_MEMORY_FRACTION = 0.6
"""Largest fraction of an engine's memory expected in use, with a new proactive copy.

A proactive copy is ordered while the run's engine stays. Most runs can still be
copied within the notice, and when an engine leaves, the others need free memory for
all that it held.
"""

COPY_RETRY_DELAY = Millis(1_000)
"""Milliseconds before an engine that had no memory for a run's copy is tried again.

It applies while the run's engine stays.
"""

NOTICE_COPY_RETRY_DELAY = Millis(250)
"""Milliseconds before an engine is tried again once the run's engine leaves.

It is shorter than `COPY_RETRY_DELAY`: runs at the other engines end several times a
second, and a notice lasts 1.5 s.
"""

MIGRATION_MAX_MEMORY_FRACTION = 1.1
"""Largest fraction of memory expected in use, with a copy of a run whose engine leaves.

Without a copy the run is lost. Expected memory includes two seconds of growth, so an
engine at 1.0 still has some free memory.
"""

FAILURE_COST = 8.0
"""Cost of failures at a plain service's target, in open calls per slot.

It is multiplied by the failed fraction above `TOLERATED_FAILURE_FRACTION`: a target
that fails everything costs 6.
"""

TOLERATED_FAILURE_FRACTION = 0.25
"""Failed fraction of a target's attempts, 0 to 1, that adds no cost.

Healthy services also answer some calls with errors of their own.
"""

REMOTE_CALL_COST = 0.5
"""Cost of a plain service's target in another failure domain, in open calls.

Traffic between failure domains has a price, which never outweighs one more open call.
"""

REMOTE_COPY_COST = 0.15
"""Cost of a holder in another failure domain, as a fraction of its memory.

It applies to copies of runs whose engine leaves, in a small fleet: copies between
failure domains take twice as long.
"""

LARGE_FLEET_REMOTE_COPY_COST = 0.6
"""Cost of a holder in another failure domain in a large fleet, as a fraction of memory.

It is higher than `REMOTE_COPY_COST` because loads of other failure domains become
known a little later.
"""

LOCAL_PROACTIVE_COPY_COST = 0.6
"""Cost of a proactive copy's holder in the run's own domain, in fractions of memory.

A failure domain that is lost as a whole takes its runs and the copies held there with
it.
"""

COPY_QUEUE_COST = 3.0
"""Cost of copies under way to a holder, per fraction of its memory in transfer.

It is twice as much for a holder in another failure domain. Links carry copies one after
another, and a notice leaves time for only a few.
"""

SLOW_HOLDER_COST = 0.2
"""Cost of a holder that reads at half the typical rate, as a fraction of its memory.

When the run resumes there, the caller sees a pause of several events.
"""

READING_OBJECTIVE_FRACTION = 0.9
"""Fraction of a stream's objective by which its prompt has to be read."""

FULL_MEMORY_COST_MS = 400.0
"""Cost of an engine whose memory is full, in milliseconds of prompt reading.

It is multiplied by the fraction of memory in use. A full engine will preempt runs,
which pause for about as long as a prompt takes to read.
"""

OUTPUT_TOKEN_COST_MS = 0.2
"""Cost of a token of expected output at an engine of typical speed, in milliseconds.

A slow engine holds a long run's memory for longer.
"""

FAILURE_COST_MS = 2_000.0
"""Cost of an engine's failures, in milliseconds of prompt reading.

It is multiplied by the failed fraction above `TOLERATED_FAILURE_FRACTION`.
"""

REMOTE_COST_MS = 20.0
"""Cost of an engine in another failure domain, in milliseconds of prompt reading."""

LARGE_FLEET_REMOTE_COST_MS = 800.0
"""Cost of an engine in another failure domain in a large fleet, in milliseconds.

Prompts that other entries send to their local engines become known a little later,
so one more may already have gone there.
"""

MAX_RESERVED_FRACTION = 0.3
"""Largest fraction of engines' memory and slots reserved for more urgent requests.

Less urgent requests must not stand still while urgent ones find no capacity for another
reason than these.
"""

RESERVE_INTERVAL = Millis(200)
"""Milliseconds for which a computed reserve is used.

Reports of other entries arrive a few times a second.
"""

MAX_DESCRIBED_ENGINES = 8
"""Maximum number of engines named in the log line of a refusal.

A large fleet has dozens.
"""

OPEN_END_COST_MS = 2_000.0
"""Cost of an engine that may leave the end of a stream open once more, in milliseconds
of prompt reading."""

OPEN_END_COPY_COST = 0.3
"""Cost of such an engine as the holder of a copy, as a fraction of its memory."""

TIE_BREAK_SPREAD_MS = 20.0
"""Upper bound of the random cost added to an engine, in milliseconds.

The random cost keeps entries from all choosing the same engine between two messages.
"""


def choose_target(state: State, request: Request, now: Millis) -> Target | None:
    """Return the target that a request is sent to; None without free capacity."""
    if request.spec.prompt is None:
        return choose_call_target(state, request, now)
    return choose_engine(state, request, now)


def choose_call_target(state: State, request: Request, now: Millis) -> Target | None:
    """Return the target of a plain service with the least cost; None if none is left.

    The cost is the load per slot, plus parts for failures and for another failure
    domain. A small random part keeps entries with the same view of the loads from all
    picking the same target.
    """
    best = None
    best_cost = 0.0
    for target in _list_candidates(state, request, now):
        cost = target.load / max(1, target.info.slots)
        cost += FAILURE_COST * max(0.0, target.failures - TOLERATED_FAILURE_FRACTION)
        if target.info.failure_domain != state.failure_domain:
            cost += REMOTE_CALL_COST / max(1, target.info.slots)
        cost += 0.01 * state.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


def choose_engine(state: State, request: Request, now: Millis) -> Target | None:
    """Return the engine with the least cost, mostly the time until the prompt is read.

    Returns None if no engine has a free slot and free memory, and would read the prompt
    by the deadline. Engines that are reading other prompts also have to read it within
    the objective: sending the prompt anyway would only delay those.
    """
    prompt = request.spec.prompt
    output = 0 if prompt is None else prompt.expected_output
    tokens = 0 if prompt is None else prompt.tokens
    typical_pace = pace.find_typical_pace(state, request.service)
    best = None
    best_cost = 0.0
    for target in _list_candidates(state, request, now):
        fit = _fit_engine(state, request, target, now)
        if fit.obstacle is not None:
            continue
        cost = fit.reading + FULL_MEMORY_COST_MS * fit.filled
        if state.places_by_pace:
            cost += pace.predict_delay(target, tokens, output, typical_pace)
        else:
            cost += OUTPUT_TOKEN_COST_MS * output * TYPICAL_READ_RATE / target.read_rate
        cost += FAILURE_COST_MS * max(0.0, target.failures - TOLERATED_FAILURE_FRACTION)
        if target.info.failure_domain != state.failure_domain:
            cost += LARGE_FLEET_REMOTE_COST_MS if state.is_large else REMOTE_COST_MS
        if request.open_ended and target.open_ended:
            cost += OPEN_END_COST_MS
        cost += TIE_BREAK_SPREAD_MS * state.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


class Obstacle(Enum):
    """Reason for which an engine can't accept a prompt now."""

    SLOTS = "slots"  # all batch slots are in use
    MEMORY = "memory"  # expected work fills its memory
    READING = "reading"  # queued prompts would make the prompt late
    DEADLINE = "deadline"  # the prompt would be read after the deadline


@dataclass(frozen=True, slots=True)
class Fit:
    """Predicted effect of sending a prompt to an engine.

    Attributes:
        filled: Fraction of the engine's memory that would be in use; may exceed 1.
        reading: Milliseconds from now until the prompt is read.
        obstacle: Why the prompt can't be sent there; None if it can.
    """

    filled: float
    reading: float
    obstacle: Obstacle | None


def _fit_engine(state: State, request: Request, target: Target, now: Millis) -> Fit:
    prompt = request.spec.prompt
    tokens = 0 if prompt is None else prompt.tokens
    need = estimate_memory(state, request)
    filled = (target.memory_load + need) / find_engine_memory(state, request.service)
    reading = target.predict_read_time(tokens, now)
    latest = (
        request.first_arrived + READING_OBJECTIVE_FRACTION * request.route.objective
    )
    max_fraction = (
        LATE_MAX_MEMORY_FRACTION if is_late(request, now) else MAX_MEMORY_FRACTION
    )
    reserved = find_reserved_fraction(state, request, now)
    max_fraction -= reserved
    obstacle = None
    if target.load >= round(target.info.slots * (1.0 - reserved)):
        obstacle = Obstacle.SLOTS
    elif filled > max_fraction and (target.load > 0 or target.unclaimed > 0):
        obstacle = Obstacle.MEMORY
    elif now + reading > request.deadline:
        obstacle = Obstacle.DEADLINE
    elif now + reading > latest and target.reading_load > 0:
        obstacle = Obstacle.READING
    return Fit(filled, reading, obstacle)


def find_reserved_fraction(state: State, request: Request, now: Millis) -> float:
    """Return the fraction of engines that a request leaves to more urgent ones.

    It is the memory of as many requests as recently found no capacity anywhere in the
    fleet. They are taken to need as much memory as this request: those that are more
    urgent usually need less, so the estimate errs in their favour.
    """
    if state.demand is None:
        return 0.0
    known = state.demand.reserves.get(request.demand_class)
    if known is not None and now - known[0] < RESERVE_INTERVAL:
        return known[1]
    demand = state.estimate_demand(now)
    need = 0 if demand is None else demand.count_need(request.demand_class)
    engines = len(eligibility.list_eligible(state, request))
    memory = engines * find_engine_memory(state, request.service)
    fraction = need * estimate_memory(state, request) / max(1, memory)
    reserved = min(MAX_RESERVED_FRACTION, fraction)
    state.demand.reserves[request.demand_class] = now, reserved
    return reserved


def describe_obstacles(state: State, request: Request, now: Millis) -> str:
    """Describe, for the log, why each engine can't accept a prompt now."""
    found = []
    for target in eligibility.list_eligible(state, request):
        fit = _fit_engine(state, request, target, now)
        reason = "none" if fit.obstacle is None else fit.obstacle.value
        if target.name in request.tried_targets:
            reason = "tried"
        elif target.backoff_until > now:
            reason = "avoided"
        elif not warmups.may_send(state, target, now):
            reason = "cold"
        elif not limits.may_send(state, target, now):
            reason = "limited"
        told = f"{reason} {fit.filled:.2f} {fit.reading:.0f} ms"
        found.append(f"{target.name}: {told}")
    return "; ".join(found[:MAX_DESCRIBED_ENGINES])


def describe_choice(
    state: State, request: Request, target: Target, now: Millis
) -> dict[str, str | int | float | None]:
    """Return log fields with the figures on which the choice of an engine rests."""
    fit = _fit_engine(state, request, target, now)
    measured = {} if target.pace is None else {"pace_ms": round(target.pace, 1)}
    return {
        **measured,
        "expected_ms": round(fit.reading),
        "filled": round(fit.filled, 2),
        "reading_ahead": target.reading_load,
        "others_reading": target.peer_reading,
        "near": target.info.failure_domain == state.failure_domain,
    }


def is_late(request: Request, now: Millis) -> bool:
    """Return whether a request that has not started is expected to miss its objective.

    The time counts from the first arrival of the request at any entry.
    """
    return request.is_late(now)


def choose_copy_holder(
    state: State,
    request: Request,
    source: str,
    now: Millis,
    max_fraction: float,
    proactive: bool = False,
) -> Target | None:
    """Return the engine that a run is copied to, or None if none accepts the copy.

    Engines are left out that recently failed to take one, are avoided after losses, may
    be sent no request now, or would be filled above `max_fraction` of their memory with
    the copy. `source` names the target that runs the request; a copy is proactive if
    that target stays, as far as is known.
    """
    memory = find_engine_memory(state, request.service)
    need = estimate_memory(state, request)
    best = None
    best_cost = 0.0
    for target in eligibility.list_holders(state, request, source):
        if was_refused_copy(request, target.name, now, proactive):
            continue
        if target.needs_check or target.backoff_until > now:
            continue
        if not limits.may_send(state, target, now):
            continue
        cost = (target.memory_load + need) / memory
        if cost > max_fraction:
            continue
        waiting = COPY_QUEUE_COST * target.incoming_load / memory
        is_remote = target.info.failure_domain != _find_domain(state, source)
        if is_remote:
            # A copy between failure domains takes twice as long.
            waiting *= 2.0
        if proactive and not is_remote:
            cost += LOCAL_PROACTIVE_COPY_COST
        if is_remote and not proactive:
            cost += LARGE_FLEET_REMOTE_COPY_COST if state.is_large else REMOTE_COPY_COST
        cost += waiting
        if request.open_ended and target.open_ended:
            # Its close would not state whether the stream is complete.
            cost += OPEN_END_COPY_COST
        cost += SLOW_HOLDER_COST * (TYPICAL_READ_RATE / target.read_rate - 1.0)
        cost += 0.01 * state.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


def was_refused_copy(request: Request, name: str, now: Millis, proactive: bool) -> bool:
    """Return whether an engine is not to be tried again yet for a copy of a run.

    It recently failed to take one, or one was dropped there for lack of memory. A copy
    is proactive if the run's engine stays, as far as is known.
    """
    refused = request.copy_refused_at.get(name)
    retry_delay = COPY_RETRY_DELAY if proactive else NOTICE_COPY_RETRY_DELAY
    return refused is not None and now - refused < retry_delay


def estimate_memory(state: State, request: Request) -> int:
    """Return the tokens of memory that a request needs within the next seconds.

    Returns 0 for a request to a plain service.
    """
    prompt = request.spec.prompt
    if prompt is None:
        return 0
    pool = find_engine_pool(state, request.service)
    event_tokens = 1 if pool is None else pool.event_tokens
    return prompt.estimate_run_memory(event_tokens * request.pieces)


def find_engine_pool(state: State, service: str) -> EnginePool | None:
    """Return the common properties of a service's engines.

    Returns None for a plain or unknown service, and without a configuration in force.
    """
    found = None if state.table is None else state.table.services.get(service)
    return None if found is None else found.engine


def copies_runs(state: State, service: str) -> bool:
    """Return whether the targets of a service are engines that copy or back up runs."""
    pool = find_engine_pool(state, service)
    return pool is not None and (pool.moves or pool.backups)


def find_engine_memory(state: State, service: str) -> int:
    """Return the memory of one engine of a service, in tokens; 2**30 if unknown."""
    pool = find_engine_pool(state, service)
    return 1 << 30 if pool is None else pool.memory


def has_untried_target(state: State, request: Request) -> bool:
    """Return whether a target is left that the request may be sent to, now or soon.

    Without one, queueing the request would only keep its caller waiting.
    """
    for target in eligibility.list_possible(state, request):
        if target.name not in request.tried_targets:
            return True
    return False


def has_spent_shares(state: State, request: Request, now: Millis) -> bool:
    """Return whether a target is left that other entries may have a share of."""
    for target in eligibility.list_eligible(state, request):
        if target.name in request.tried_targets or target.needs_check:
            continue
        if target.backoff_until > now:
            continue
        if limits.has_spent_share(state, target, now):
            return True
    return False


def can_send_before(state: State, request: Request, now: Millis, until: Millis) -> bool:
    """Return whether an untried target can be sent one more request by ``until``.

    A rate or pause that a target asked for may rule that out.
    """
    for target in eligibility.list_eligible(state, request):
        if target.name in request.tried_targets:
            continue
        if limits.find_send_time(state, target, now) <= until:
            return True
    return False


def _list_candidates(state: State, request: Request, now: Millis) -> list[Target]:
    accepting = []
    for target in eligibility.list_eligible(state, request):
        if target.name in request.tried_targets:
            continue
        if not warmups.may_send(state, target, now):
            continue
        if limits.may_send(state, target, now):
            accepting.append(target)
    # A request would wait there for a connection until a timeout.
    accepting = [one for one in accepting if not one.needs_check]
    trusted = [target for target in accepting if target.backoff_until <= now]
    silent = state.targets.find_unreachable_domains(request.service, now)
    reachable = [t for t in trusted if t.info.failure_domain not in silent]
    # A failure domain that is failing may lose the next target as well.
    lost = request.lost_domains
    elsewhere = [t for t in reachable if t.info.failure_domain not in lost]
    if elsewhere or reachable:
        return elsewhere or reachable
    # If every target is avoided, trying one is better than rejecting callers for
    # losses that may be over.
    return trusted or accepting


def _find_domain(state: State, name: str) -> str:
    target = state.targets.find(name)
    return "" if target is None else target.info.failure_domain
