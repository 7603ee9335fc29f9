"""Queries of engines for their state, and the engines' reports."""

from figstep.core.clock import Millis
from figstep.gateway import (
    closes,
    crashes,
    departures,
    placement,
    shares,
    sources,
    token_counts,
)
from figstep.gateway.effects import Effect, ReadReport
from figstep.gateway.events import EngineReported
from figstep.gateway.state import State
from figstep.gateway.targets import Target, contradicts_registration

QUERY_INTERVAL = Millis(400)
"""Shortest time, in milliseconds, between two queries of an engine. The reported state
is half a second old, and an engine is gone 1.5 s after its notice."""

UNCLAIMED_TIMEOUT = Millis(1_200)
"""How long, in milliseconds, a report of unclaimed memory counts. It is the time of
three queries, two of which may stay unanswered."""

RESTART_QUERY_MARGIN = Millis(1_000)
"""Time, in milliseconds, that a restarted process queries engines beyond the retention
of copies. The retention of a copy that was ordered just before the earlier process was
killed starts only when the copy arrives."""


def query_engines(state: State, now: Millis) -> list[Effect]:
    """Query engines for their state where no other source reports it.

    Without the store, only an engine itself knows that it leaves; its notice reaches no
    entry, and its streams would be lost with it. After a restart, this entry does not
    know which copies the killed processes left: prompts sent on the assumption that an
    engine is empty waited there for four seconds.
    """
    effects: list[Effect] = []
    live_entries = [state.node, *sources.list_live_peers(state, now)]
    for target in state.targets.targets.values():
        if target.unclaimed and now - target.reported_at >= UNCLAIMED_TIMEOUT:
            target.unclaimed = 0
        if not target.accepts_work:
            continue
        is_open = closes.leaves_open(state, target.info.service)
        if token_counts.needs_query(state, target, now, is_open):
            token_counts.record_query(state, target, now)
            effects.append(ReadReport(target.name))
        if now - target.queried_at < QUERY_INTERVAL:
            continue
        needed = state.store_unreachable and _is_querier(
            state, target, live_entries, now
        )
        if not needed and not _may_hold_unclaimed(state, target, now):
            continue
        _record_query(target, now)
        effects.append(ReadReport(target.name))
    return effects


def _record_query(target: Target, now: Millis) -> None:
    # A report describes the engine at about the time of the previous query. It is
    # compared with the memory claimed then, or now if that query was long ago.
    recent = now - target.queried_at < UNCLAIMED_TIMEOUT
    claimed = target.claimed_memory
    target.claimed_baseline = target.claimed_at_query if recent else claimed
    target.claimed_at_query = claimed
    target.queried_at = now


def _is_querier(
    state: State, target: Target, live_entries: list[str], now: Millis
) -> bool:
    """Return whether this entry queries an engine on whether the engine leaves.

    In a small fleet each entry with a run there does. In a large fleet one entry, drawn
    by hash, queries for its whole failure domain: if every entry did, the number of
    queries would grow with the square of the fleet.
    """
    if not target.load:
        return False
    if placement.find_engine_pool(state, target.info.service) is None:
        return False
    if not state.is_large:
        return _runs_at(state, target)
    if target.querier_drawn_at + QUERY_INTERVAL > now:
        return False
    target.querier_drawn_at = now
    return (
        min(live_entries, key=lambda name: shares.hash_rank(name, target.name))
        == state.node
    )


def _runs_at(state: State, target: Target) -> bool:
    for request in state.requests.values():
        current = request.current
        if current is None or request.spec.prompt is None:
            continue
        if current.target is target:
            return True
    return False


def _may_hold_unclaimed(state: State, target: Target, now: Millis) -> bool:
    pool = placement.find_engine_pool(state, target.info.service)
    if pool is None or state.budget.first_start:
        return False
    if state.is_large:
        # Queries of all entries to all engines would grow with the square of the
        # fleet, where only a few engines of dozens hold copies of killed processes.
        return False
    return now - state.budget.started < pool.copy_retention + RESTART_QUERY_MARGIN


def handle_report(state: State, event: EngineReported, now: Millis) -> list[Effect]:
    """Handle an engine's report of its memory in use and of whether it leaves."""
    target = state.targets.find(event.target)
    if target is None:
        return []
    crashes.record_answer(state, target, target.queried_at)
    if not contradicts_registration(target.info, event.born):
        token_counts.record_runs(state, target, event.runs)
    if event.memory is not None and _counts_memory(state, target, now):
        _update_unclaimed(target, event.memory, now)
    if not event.leaving:
        return []
    if not event.ending and sources.is_store_unread(state, now):
        # The engine is only drained: it keeps serving until the store has recorded
        # that it leaves. Without the store no replacement for it can be known.
        return []
    return departures.handle_leaving(state, target.info.incarnation, now)


def _counts_memory(state: State, target: Target, now: Millis) -> bool:
    """Return whether an engine was queried for memory that no run or copy claims."""
    if now - target.queried_at >= UNCLAIMED_TIMEOUT:
        return False
    return state.store_unreachable or _may_hold_unclaimed(state, target, now)


def _update_unclaimed(target: Target, used: int, now: Millis) -> None:
    target.unclaimed = max(0, used - target.claimed_baseline)
    target.reported_at = now
