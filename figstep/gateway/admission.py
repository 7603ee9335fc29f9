"""Who waits for room, who is refused at once, and when refused callers return.

The load that this answers is a pool that stays full: more callers come than
engines end runs. There each place in the queue is worth a wait that can be told
ahead, and a caller who can't get one in time is better off to know it at once.
"""

from figstep.core.clock import Millis
from figstep.gateway import placement
from figstep.gateway.state import Request, State

WAIT_OBJECTIVE_FRACTION = 1.5
"""Part of a request's objective that it may wait for room. One that starts late
is still worth something to its caller, who would come back no sooner."""

WAIT_DEADLINE_FRACTION = 0.4
"""Part of the time that its caller has left that a request may wait for room: one
that is held longer can't be answered in what remains, here or elsewhere."""

MIN_QUEUE_LIMIT = 2
"""Requests that may wait at an entry whatever it has started of late: room comes
for many at once when an engine comes."""

RETURNED_WAIT_OBJECTIVE_FRACTION = 0.25
"""The same of one that was refused before and has used up its wait."""

START_RATE_WINDOW = Millis(4_000)
"""Time over which the starts of generations are counted, and for which a refusal
tells that the pool is full."""

MIN_RETRY_AFTER = Millis(300)
"""A refused caller's pause: engines free memory a few times a second."""

MAX_RETRY_AFTER = Millis(8_000)
"""Longest pause; what is told farther ahead is a guess."""

RETRY_AFTER_DIVISOR = 3
"""Callers come back within this part of the time that they have left."""


def find_wait_limit(state: State, request: Request, now: Millis) -> Millis:
    """Return until when a request may wait for room."""
    objective = request.route.objective
    share = WAIT_OBJECTIVE_FRACTION
    if _is_overloaded(state, request.service, now):
        # Room goes to those who can be in time; the others wait in vain.
        share = placement.LATE_OBJECTIVE_FRACTION
    wait = max(
        request.first_arrived + round(objective * share),
        request.arrived + round(objective * RETURNED_WAIT_OBJECTIVE_FRACTION),
    )
    deadline_wait = round((request.deadline - request.arrived) * WAIT_DEADLINE_FRACTION)
    return Millis(min(wait, request.arrived + deadline_wait))


def _is_overloaded(state: State, service: str, now: Millis) -> bool:
    refused = state.refused_at.get(service)
    return refused is not None and now - refused < START_RATE_WINDOW


def can_wait(state: State, request: Request, now: Millis) -> bool:
    """Tell whether a request that finds no room may expect some in time."""
    limit = find_wait_limit(state, request, now)
    if now >= limit or not placement.can_send_before(state, request, now, limit):
        return False
    started = _count_starts(state, request.service, now, Millis(limit - now))
    return _count_ahead(state, request) < max(MIN_QUEUE_LIMIT, started)


def _count_ahead(state: State, request: Request) -> int:
    ahead = 0
    for number in state.queue:
        other = state.requests[number]
        if other.service == request.service and other.priority <= request.priority:
            ahead += 1
    return ahead


def record_start(state: State, request: Request, now: Millis) -> None:
    """Count that a generation was started."""
    starts = state.start_times.setdefault(request.service, [])
    starts[:] = [at for at in starts if now - at < START_RATE_WINDOW]
    starts.append(now)


def _count_starts(state: State, service: str, now: Millis, within: Millis) -> int:
    return sum(1 for at in state.start_times.get(service, ()) if now - at < within)


def choose_retry_after(state: State, request: Request, now: Millis) -> Millis:
    """Return when a refused caller should come back.

    Returns are told one after another, behind what waits already and no more of
    them than room is expected for, so that a caller who keeps to its time isn't
    refused again. The part drawn at random keeps the entries apart.
    """
    started = _count_starts(state, request.service, now, START_RATE_WINDOW)
    interval = START_RATE_WINDOW // max(1, started)
    state.refused_at[request.service] = now
    returns = state.scheduled_returns.setdefault(request.service, [])
    returns[:] = [at for at in returns if at > now]
    behind = 1 + len(returns) + _count_ahead(state, request)
    pause = max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, behind * interval))
    latest = (request.deadline - now) // RETRY_AFTER_DIVISOR
    pause = max(MIN_RETRY_AFTER, min(pause, latest))
    pause = round(pause * (1.0 + 0.25 * state.rng.random()))
    returns.append(Millis(now + pause))
    return Millis(pause)
