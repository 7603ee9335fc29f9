"""Decides which requests wait for capacity and when refused callers retry.

These rules are meant for a pool that stays full: requests arrive faster than engines
finish runs. Each position in the queue then has a predictable wait, and a caller that
can't be served within its limit is better refused at once.
"""

from figstep.core.clock import Millis
from figstep.gateway import placement, waiting
from figstep.gateway.demand import DEMAND_WINDOW, FleetDemand
from figstep.gateway.effects import Count, Effect, Note
from figstep.gateway.state import LATE_OBJECTIVE_FRACTION, Request, State

WAIT_OBJECTIVE_FRACTION = 1.5
"""Longest wait for capacity, as a fraction of the request's objective.

It counts from the first arrival at any entry; `LATE_OBJECTIVE_FRACTION`
replaces it while the service is overloaded. A late answer is still of use to its
caller, who would not be served earlier by retrying.
"""

WAIT_DEADLINE_FRACTION = 0.4
"""Longest wait for capacity, as a fraction of the time from arrival to the deadline.

A request that is queued for longer can't be answered in the remaining time, here or
at another entry.
"""

MIN_QUEUE_LIMIT = 2
"""Minimum of the limit on a service's requests that wait at an entry.

It holds however few requests the entry has started recently: a new engine brings
capacity for many requests at once. Less urgent requests don't count.
"""

RETURNED_WAIT_OBJECTIVE_FRACTION = 0.25
"""Minimum wait from the arrival at this entry, as a fraction of the objective.

It matters for a request that was refused before and has used up its wait. The bound of
`WAIT_DEADLINE_FRACTION` holds as well.
"""

START_RATE_WINDOW = Millis(4_000)
"""Milliseconds over which starts of requests are counted.

It is also the time for which a refusal marks the service as overloaded.
"""

MIN_RETRY_AFTER = Millis(300)
"""Shortest Retry-After of a refusal in milliseconds, before a random part is added.

Engines free memory a few times a second.
"""

MAX_RETRY_AFTER = Millis(8_000)
"""Longest Retry-After of a refusal in milliseconds, before a random part is added.

Predictions further ahead are guesses.
"""

RETRY_AFTER_DIVISOR = 3
"""Divisor of the time to the deadline that gives the upper bound of Retry-After.

`MIN_RETRY_AFTER` holds even so, and a random part is added to the result.
"""

CAPACITY_REASONS = frozenset({"no_room", "no_room_in_time"})
"""Reasons of rejections that are demand which found no capacity.

Requests rejected for another reason, as for their regions, would not use more capacity.
"""

DESCRIPTION_INTERVAL = Millis(5_000)
"""Milliseconds between two log lines with the fleet's demand."""


def find_wait_limit(state: State, request: Request, now: Millis) -> Millis:
    """Return the monotonic time in milliseconds until which a request may wait."""
    objective = request.route.objective
    share = WAIT_OBJECTIVE_FRACTION
    if state.demand is not None or _is_overloaded(state, request.service, now):
        # Capacity goes to requests that can still meet their objective; late ones
        # would get none. With the fleet's demand known, a request must not be let in
        # for a long wait that an overload cuts short: its client would wait in vain.
        share = LATE_OBJECTIVE_FRACTION
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
    """Return whether a request without a target is expected to get one in its wait.

    Fewer requests must wait ahead of it than started within a time as long as its
    remaining wait, or than `MIN_QUEUE_LIMIT`. A target must also allow one more request
    before the end of that wait. If the fleet's demand is known, all these numbers are
    those of the whole fleet.
    """
    limit = find_wait_limit(state, request, now)
    if now >= limit or not placement.can_send_before(state, request, now, limit):
        return False
    demand = state.estimate_demand(now)
    if demand is not None:
        ahead = _count_fleet_ahead(state, demand, request, now)
        expected = _expect_starts(demand, request, limit, now)
        return ahead < max(MIN_QUEUE_LIMIT, expected)
    started = _count_starts(state, request.service, now, Millis(limit - now))
    return waiting.count_ahead(state, request) < max(MIN_QUEUE_LIMIT, started)


def _count_fleet_ahead(
    state: State, demand: FleetDemand, request: Request, now: Millis
) -> int:
    """Return how many requests of the fleet wait ahead of a request.

    Those that wait at this entry for a later turn of their customer don't count.
    """
    ahead = demand.count_ahead(request.demand_class, request.is_late(now))
    return max(0, ahead - waiting.count_behind(state, request))


def _expect_starts(
    demand: FleetDemand, request: Request, limit: Millis, now: Millis
) -> float:
    """Return how many requests up to a request's class start within its wait.

    The wait is shortened by the age of the counts: other entries have let as many
    requests wait since then as would start in that time.
    """
    within = Millis(max(0, limit - now - demand.age))
    return demand.expect_starts(request.demand_class, within)


def record_start(state: State, request: Request, now: Millis) -> None:
    """Record the start of a request, as a measure of the service's capacity."""
    if state.demand is not None:
        state.demand.record_start(request.demand_class, now)
    starts = state.start_times.setdefault(request.service, [])
    starts[:] = [at for at in starts if now - at < START_RATE_WINDOW]
    starts.append(now)


def _count_starts(state: State, service: str, now: Millis, within: Millis) -> int:
    return sum(1 for at in state.start_times.get(service, ()) if now - at < within)


def choose_retry_after(state: State, request: Request, now: Millis) -> Millis:
    """Return the Retry-After of a refused request in milliseconds.

    Returns of callers are scheduled one after another, behind the queued requests, and
    no faster than capacity is expected, so that a caller that keeps to its time isn't
    refused again. A random part of up to a quarter keeps callers of different entries
    apart. The return is recorded, and the service marked as overloaded.
    """
    demand = state.estimate_demand(now)
    returns = state.scheduled_returns.setdefault(request.service, [])
    returns[:] = [at for at in returns if at > now]
    if demand is not None:
        own = request.demand_class
        interval = round(
            DEMAND_WINDOW / max(1, demand.expect_starts(own, DEMAND_WINDOW))
        )
        behind = 1 + demand.count_returning(own) + demand.count_ahead(own, True)
    else:
        started = _count_starts(state, request.service, now, START_RATE_WINDOW)
        interval = START_RATE_WINDOW // max(1, started)
        behind = 1 + len(returns) + waiting.count_ahead(state, request)
    state.refused_at[request.service] = now
    pause = max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, behind * interval))
    latest = (request.deadline - now) // RETRY_AFTER_DIVISOR
    pause = max(MIN_RETRY_AFTER, min(pause, latest))
    pause = round(pause * (1.0 + 0.25 * state.rng.random()))
    returns.append(Millis(now + pause))
    return Millis(pause)


def describe_position(
    state: State, request: Request, now: Millis
) -> dict[str, str | int | float | None]:
    """Return log fields with the figures on which an admission rests.

    There are none if it doesn't depend on the fleet's demand.
    """
    demand = state.estimate_demand(now)
    if demand is None:
        return {}
    own = request.demand_class
    limit = find_wait_limit(state, request, now)
    return {
        "priority": own.priority,
        "long": own.long,
        "remaining_wait_ms": limit - now,
        "fleet_ahead": _count_fleet_ahead(state, demand, request, now),
        "fleet_expected": round(_expect_starts(demand, request, limit, now), 1),
        "fleet_returning": demand.count_returning(own),
        "reporting": demand.reporting,
        "entries": demand.entries,
        "age_ms": demand.age,
    }


def record_rejection(
    state: State, request: Request, reason: str, pause: Millis, now: Millis
) -> list[Effect]:
    """Record a rejection, as demand if it is for lack of capacity; return its count."""
    if state.demand is not None and reason in CAPACITY_REASONS:
        state.demand.record_rejection(request.demand_class, Millis(now + pause), now)
    return count_outcome(state, request, reason)


def count_outcome(state: State, request: Request, outcome: str) -> list[Effect]:
    """Return a count by class of a request that waits or why it was rejected."""
    if state.demand is None:
        return []
    own = request.demand_class
    size = "long" if own.long else "short"
    labels = (own.service, str(own.priority), size, outcome)
    return [Count("fleet_admission", labels)]


def describe_fleet(state: State, now: Millis) -> list[Effect]:
    """Return a log line for each class of which requests wait or were rejected.

    There are none within `DESCRIPTION_INTERVAL` of the last ones.
    """
    table = state.demand
    if table is None or now - table.described_at < DESCRIPTION_INTERVAL:
        return []
    table.described_at = now
    demand = table.sum_fleet(state.list_demand(now), now)
    return [
        Note(
            "fleet demand",
            {
                "service": known.service,
                "priority": known.priority,
                "long": known.long,
                "waiting": counts.waiting,
                "late": counts.late,
                "returning": counts.returning,
                "started": counts.started,
                "ended": counts.ended,
                "rejected": counts.rejected,
                "reporting": demand.reporting,
                "entries": demand.entries,
                "age_ms": demand.age,
            },
        )
        for known, counts in sorted(demand.classes.items())
        if counts.waiting or counts.rejected
    ]
