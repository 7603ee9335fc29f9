"""Choice of targets: for calls, for generations and for copies of their runs."""

from dataclasses import dataclass
from enum import Enum

from figstep.core.clock import Millis
from figstep.gateway import eligibility, limits, warmups
from figstep.gateway.routes import EnginePool
from figstep.gateway.state import Request, State
from figstep.gateway.targets import TYPICAL_READ_RATE, Target

MAX_MEMORY_FRACTION = 0.95
"""Part of an engine's memory that expected work may fill. Lengths are known at
the median only; what is left takes the answers that outgrow their hint."""

LATE_MAX_MEMORY_FRACTION = 0.7
"""The same for requests that will be late in any case. They yield to those that
can be in time, also where these wait at other entries."""

LATE_OBJECTIVE_FRACTION = 0.5
"""Part of its objective after which a waiting request will be late: reading its
prompt takes most of the rest."""

BACKUP_MAX_MEMORY_FRACTION = 0.7
"""The same for running backups. Under load a prompt that finds no room costs more
than a run that is lost only if its engine leaves."""

PROACTIVE_MAX_MEMORY_FRACTION = 0.6
"""The same for copies made ahead on order, which most runs can still be given in
the notice: prompts need room for all that one engine held when it leaves."""

COPY_RETRY_DELAY = Millis(1_000)
"""How long an engine that had no room for a copy is not asked for the same run."""

NOTICE_COPY_RETRY_DELAY = Millis(250)
"""The same once the run's engine leaves: runs end at the others several times a
second, and a notice is 1.5 s long."""

MIGRATION_MAX_MEMORY_FRACTION = 1.1
"""The same for a run whose engine leaves: it is lost otherwise. Expected memory
holds two seconds of growth, so an engine at 1.0 has some room yet."""

FAILURE_COST = 8.0
"""Open calls that a target failing everything is worth in a comparison."""

TOLERATED_FAILURE_FRACTION = 0.25
"""Failed part that is no reason to avoid a target: services answer some calls
with errors of their own while they are well."""

REMOTE_CALL_COST = 0.5
"""Open calls that the caller's own failure domain is worth in a comparison.
Bytes between failure domains cost; half a call never outweighs real load."""

REMOTE_COPY_COST = 0.15
"""Part of its memory that a holder in the run's own failure domain is worth in
a comparison: copies between failure domains take twice as long."""

LARGE_FLEET_REMOTE_COPY_COST = 0.6
"""The same in a large fleet, where far loads are known a little later."""

LOCAL_PROACTIVE_COPY_COST = 0.6
"""The same for a holder elsewhere of a copy made ahead: a failure domain that is
lost as a whole takes its runs and the copies that lie there."""

COPY_QUEUE_COST = 3.0
"""The same for each part of its memory that is being copied there already: links
carry copies one after another, and a notice has time for a few."""

SLOW_HOLDER_COST = 0.2
"""The same for a holder that reads half as fast as the usual: the caller sees a
pause of some of its events when the run goes on there."""

READING_OBJECTIVE_FRACTION = 0.9
"""Part of a stream's objective by which its prompt has to be read."""

FULL_MEMORY_COST_MS = 400.0
"""Milliseconds of reading that a full engine is worth in a comparison: it will
preempt runs, which pause for about as long as a prompt takes to read."""

OUTPUT_TOKEN_COST_MS = 0.2
"""Milliseconds a token of expected output that an engine of the usual speed is
worth in a comparison; a slow one holds a long run's memory for longer."""

FAILURE_COST_MS = 2_000.0
"""The same for an engine that fails everything."""

REMOTE_COST_MS = 20.0
"""The same for an engine in another failure domain."""

LARGE_FLEET_REMOTE_COST_MS = 800.0
"""The same in a large fleet, where prompts that others send to their own engines
are known a little later: meanwhile one more may have gone there unseen."""

MAX_DESCRIBED_ENGINES = 8
"""Engines named in the log line of a refusal; a large fleet has dozens."""

TIE_BREAK_SPREAD_MS = 20.0
"""Random milliseconds that keep entries from choosing alike between messages."""


def choose_target(state: State, request: Request, now: Millis) -> Target | None:
    """Return the target that a request is sent to, or None for no room."""
    if request.spec.prompt is None:
        return choose_call_target(state, request, now)
    return choose_engine(state, request, now)


def choose_call_target(state: State, request: Request, now: Millis) -> Target | None:
    """Return the least loaded target of a plain service.

    Among equals the draw is random, so that entries which read the same loads
    don't all pick the same target.
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
    """Return the engine that is expected to begin a request's answer first.

    Returns None where no engine has room, or none would begin in time: prompts
    sent all the same would only delay those that are being read already.
    """
    prompt = request.spec.prompt
    output = 0 if prompt is None else prompt.expected_output
    best = None
    best_cost = 0.0
    for target in _list_candidates(state, request, now):
        fit = _fit_engine(state, request, target, now)
        if fit.obstacle is not None:
            continue
        cost = fit.reading + FULL_MEMORY_COST_MS * fit.filled
        cost += OUTPUT_TOKEN_COST_MS * output * TYPICAL_READ_RATE / target.read_rate
        cost += FAILURE_COST_MS * max(0.0, target.failures - TOLERATED_FAILURE_FRACTION)
        if target.info.failure_domain != state.failure_domain:
            cost += LARGE_FLEET_REMOTE_COST_MS if state.is_large else REMOTE_COST_MS
        cost += TIE_BREAK_SPREAD_MS * state.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


class Obstacle(Enum):
    """Why an engine can't take a prompt now."""

    SLOTS = "slots"  # it runs as many requests as it batches
    MEMORY = "memory"  # expected work fills its memory
    READING = "reading"  # prompts that wait there would make this one late
    DEADLINE = "deadline"  # its caller would be gone before the first event


@dataclass(frozen=True, slots=True)
class Fit:
    """How a prompt would fare at an engine.

    Attributes:
        filled: Part of the engine's memory that would be in use.
        reading: Time until the prompt is read, in milliseconds.
        obstacle: Why it can't go there; None if it can.
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
    obstacle = None
    if target.load >= target.info.slots:
        obstacle = Obstacle.SLOTS
    elif filled > max_fraction and (target.load > 0 or target.unclaimed > 0):
        obstacle = Obstacle.MEMORY
    elif now + reading > request.deadline:
        obstacle = Obstacle.DEADLINE
    elif now + reading > latest and target.reading_load > 0:
        obstacle = Obstacle.READING
    return Fit(filled, reading, obstacle)


def describe_obstacles(state: State, request: Request, now: Millis) -> str:
    """Return, for the log, why each engine can't take a prompt now."""
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
    """Return, for the log, what an engine is chosen on."""
    fit = _fit_engine(state, request, target, now)
    return {
        "expected_ms": round(fit.reading),
        "filled": round(fit.filled, 2),
        "reading_ahead": target.reading_load,
        "others_reading": target.peer_reading,
        "near": target.info.failure_domain == state.failure_domain,
    }


def is_late(request: Request, now: Millis) -> bool:
    """Tell whether a request that has not started will miss its objective."""
    return (
        now - request.first_arrived > LATE_OBJECTIVE_FRACTION * request.route.objective
    )


def choose_copy_holder(
    state: State,
    request: Request,
    source: str,
    now: Millis,
    max_fraction: float,
    proactive: bool = False,
) -> Target | None:
    """Return the engine that a run's copy goes to, or None for no room.

    Args:
        state: The gateway's state.
        request: Request whose run it is.
        source: Target that runs it.
        now: Monotonic time.
        max_fraction: Part of an engine's memory that may be filled with it.
        proactive: Whether the run's engine stays, as far as is known.
    """
    memory = find_engine_memory(state, request.service)
    need = estimate_memory(state, request)
    best = None
    best_cost = 0.0
    for target in eligibility.list_eligible(state, request):
        if target.name == source:
            continue
        if was_refused_copy(request, target.name, now, proactive):
            continue
        if target.backoff_until > now or not limits.may_send(state, target, now):
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
        cost += SLOW_HOLDER_COST * (TYPICAL_READ_RATE / target.read_rate - 1.0)
        cost += 0.01 * state.rng.random()
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


def was_refused_copy(request: Request, name: str, now: Millis, proactive: bool) -> bool:
    """Tell whether an engine has just had no room for a copy of a run.

    Args:
        request: Request whose run it is.
        name: The engine.
        now: Monotonic time.
        proactive: Whether the run's engine stays, as far as is known.
    """
    refused = request.copy_refused_at.get(name)
    retry_delay = COPY_RETRY_DELAY if proactive else NOTICE_COPY_RETRY_DELAY
    return refused is not None and now - refused < retry_delay


def estimate_memory(state: State, request: Request) -> int:
    """Return the tokens that a request needs at an engine within seconds."""
    prompt = request.spec.prompt
    if prompt is None:
        return 0
    pool = find_engine_pool(state, request.service)
    event_tokens = 1 if pool is None else pool.event_tokens
    return prompt.estimate_run_memory(event_tokens * request.pieces)


def find_engine_pool(state: State, service: str) -> EnginePool | None:
    """Return what the engines of a service have in common, or None."""
    found = None if state.table is None else state.table.services.get(service)
    return None if found is None else found.engine


def find_engine_memory(state: State, service: str) -> int:
    """Return the memory of one engine of a service, in tokens."""
    pool = find_engine_pool(state, service)
    return 1 << 30 if pool is None else pool.memory


def has_untried_target(state: State, request: Request) -> bool:
    """Tell whether a target is left that has not lost or refused a request.

    Without one, waiting would only hold its caller.
    """
    for target in eligibility.list_eligible(state, request):
        if target.name not in request.tried_targets:
            return True
    return False


def can_send_before(state: State, request: Request, now: Millis, until: Millis) -> bool:
    """Tell whether an untried target will take one more request by some time.

    Those that name a rate may be known to take none before.
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
    trusted = [target for target in accepting if target.backoff_until <= now]
    silent = state.targets.find_unreachable_domains(request.service, now)
    reachable = [t for t in trusted if t.info.failure_domain not in silent]
    # A failure domain that is being lost may take the next target as well.
    lost = request.lost_domains
    elsewhere = [t for t in reachable if t.info.failure_domain not in lost]
    if elsewhere or reachable:
        return elsewhere or reachable
    # Where all are avoided, asking one is better than turning callers away for
    # losses that may be over.
    return trusted or accepting


def _find_domain(state: State, name: str) -> str:
    target = state.targets.find(name)
    return "" if target is None else target.info.failure_domain
