"""What engines say of themselves when they are asked."""

from figstep.core.clock import Millis
from figstep.gateway import crashes, departures, placement, shares, sources
from figstep.gateway.effects import Effect, ReadReport
from figstep.gateway.events import EngineReported
from figstep.gateway.state import State
from figstep.gateway.targets import Target

QUERY_INTERVAL = Millis(400)
"""How often an engine is asked: its state is half a second old, and it is gone
1.5 s after its notice."""

UNCLAIMED_TIMEOUT = Millis(1_200)
"""How long an answer counts: three questions, of which two may stay unanswered."""

RESTART_QUERY_MARGIN = Millis(1_000)
"""How much longer than copies are kept a process asks after its start: one that
was ordered just before the kill is kept from when it arrives."""


def query_engines(state: State, now: Millis) -> list[Effect]:
    """Ask engines for their state where nobody else tells it.

    Without the store an engine's notice reaches nobody, and its streams are lost
    with it; the engine itself knows. After a restart nobody knows what copies the
    killed processes left: prompts sent on the belief that an engine is empty
    waited there for four seconds.
    """
    effects: list[Effect] = []
    live_entries = [state.node, *sources.list_live_peers(state, now)]
    for target in state.targets.targets.values():
        if target.unclaimed and now - target.reported_at >= UNCLAIMED_TIMEOUT:
            target.unclaimed = 0
        if not target.accepts_work:
            continue
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
    # An answer is as old as the time between two questions: it is compared with
    # what was counted at the one before, or now if that was long ago.
    recent = now - target.queried_at < UNCLAIMED_TIMEOUT
    claimed = target.claimed_memory
    target.claimed_baseline = target.claimed_at_query if recent else claimed
    target.claimed_at_query = claimed
    target.queried_at = now


def _is_querier(
    state: State, target: Target, live_entries: list[str], now: Millis
) -> bool:
    """Tell whether this entry asks an engine whether it leaves.

    In a large fleet one entry asks for its whole failure domain: were each to
    ask, questions would grow with the square of the fleet.
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
        # Questions of all entries to all engines would grow with the square of
        # the fleet, and there a few engines of dozens hold such copies.
        return False
    return now - state.budget.started < pool.copy_retention + RESTART_QUERY_MARGIN


def handle_report(state: State, event: EngineReported, now: Millis) -> list[Effect]:
    """Take in how full an engine is, and its own word that it leaves."""
    target = state.targets.find(event.target)
    if target is None:
        return []
    crashes.record_answer(state, target, target.queried_at)
    if event.memory is not None:
        _update_unclaimed(target, event.memory, now)
    if not event.leaving:
        return []
    if not event.ending and sources.is_store_unread(state, now):
        # One that is drained serves on until the store has taken its word, and no
        # other can be known to take its place.
        return []
    return departures.handle_leaving(state, target.info.incarnation, now)


def _update_unclaimed(target: Target, used: int, now: Millis) -> None:
    target.unclaimed = max(0, used - target.claimed_baseline)
    target.reported_at = now
