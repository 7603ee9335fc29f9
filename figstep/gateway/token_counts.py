"""Tokens that engines put into an event, and how exactly they list what they keep.

An engine lists what it keeps of a complete run in tokens, while a stream has events. A
list states the number of events only if each event but the last holds the largest
number of tokens, and if the list names each token. Both are observed, for the engines
of each service:

- Two reports of a run show how many tokens its events between them held, and one does
  so of a run whose prompt is known.
- A list that is read while a prompt runs shows whether it names all its tokens. Some
  engines list whole blocks of tokens.
"""

from figstep.core.clock import Millis
from figstep.gateway import placement
from figstep.gateway.events import PromptListed
from figstep.gateway.state import State
from figstep.gateway.targets import ReportedRun, Target, TokenCounts

MIN_FULL_EVENTS = 16
"""Number of events in a row that must have been full before further ones count so."""

MIN_EXACT_LISTS = 4
"""Number of exact lists in a row after which no further one is read, and which are
needed after a list that was not exact."""

MAX_LIST_READS = 8
"""Maximum number of lists that are read for this, for each service."""

QUERY_INTERVAL = Millis(200)
"""Shortest time, in milliseconds, between two queries for this of an engine."""

MAX_PAUSE = Millis(3_200)
"""Longest time, in milliseconds, between them: it doubles while they show nothing."""

MAX_QUERIES = 12
"""Maximum number of queries for this of each incarnation of an engine."""

SAMPLED_ENGINES = 4
"""Number of engines of a service that are queried for this while its streams are
delimited, or in a large fleet."""


def needs_query(state: State, target: Target, now: Millis, is_open: bool) -> bool:
    """Return whether an engine is queried for the tokens in its events.

    A few engines stand for all those of their service in a large fleet, and while none
    of its last streams was left open (``is_open``).
    """
    pool = placement.find_engine_pool(state, target.info.service)
    if pool is None or not pool.run_retention or not target.load:
        return False
    if target.token_queries >= MAX_QUERIES:
        return False
    pause = min(QUERY_INTERVAL << target.token_queries // 2, MAX_PAUSE)
    if now - target.tokens_queried_at < pause:
        return False
    if is_open and not state.is_large:
        return target.full_events < MIN_FULL_EVENTS
    counts = find_counts(state, target)
    if counts.full_events >= MIN_FULL_EVENTS:
        return False
    return target.token_queries > 0 or counts.queried < SAMPLED_ENGINES


def record_query(state: State, target: Target, now: Millis) -> None:
    """Record that an engine is queried for the tokens in its events."""
    target.tokens_queried_at = now
    find_counts(state, target).queried += not target.token_queries
    target.token_queries += 1


def record_runs(state: State, target: Target, runs: tuple[ReportedRun, ...]) -> None:
    """Record what a report of an engine, and the one before, show of its events.

    Tokens that became fewer, or more than the events can hold, are those of a run that
    was preempted and read in again.
    """
    pool = placement.find_engine_pool(state, target.info.service)
    if pool is None:
        return
    before = {run.id: run for run in target.reported_runs.values() if run.events}
    target.reported_runs = {run.id: run for run in runs}
    counts = find_counts(state, target)
    for run in runs:
        earlier = before.get(run.id) or _find_begin(state, target, run.id)
        if earlier is None:
            continue
        events = run.events - earlier.events
        tokens = run.tokens - earlier.tokens
        if events <= 0 or tokens <= 0 or tokens > events * pool.event_tokens:
            continue
        if tokens < events * pool.event_tokens:
            target.full_events = counts.full_events = 0
            target.has_short_events = True
            return
        target.full_events += events
        counts.full_events += events
    if target.full_events >= MIN_FULL_EVENTS:
        target.has_short_events = False


def _find_begin(state: State, target: Target, name: str) -> ReportedRun | None:
    """Return a run of this entry as it began; None if that is not known."""
    for attempt in state.attempts.values():
        request = state.requests[attempt.request]
        if attempt.target is not target or request.spec.id != name:
            continue
        if request.spec.after is None and request.attempts_sent == 1:
            assert request.spec.prompt is not None
            return ReportedRun(name, request.spec.prompt.tokens, 0)
    return None


def wants_list(state: State, target: Target) -> bool:
    """Return whether the list of an engine is read while a prompt runs there."""
    counts = find_counts(state, target)
    if counts.exact_lists >= MIN_EXACT_LISTS or counts.list_reads >= MAX_LIST_READS:
        return False
    counts.list_reads += 1
    return True


def record_listed_prompt(state: State, event: PromptListed) -> None:
    """Record whether an engine listed each token of a prompt that it runs."""
    target = state.targets.find(event.incarnation.target)
    if target is None or target.info.incarnation != event.incarnation:
        return
    record_list(state, target, event.missing)


def record_list(state: State, target: Target, missing: int) -> None:
    """Record how many tokens of a prompt were missing in a list."""
    counts = find_counts(state, target)
    if missing:
        counts.exact_lists = 0
        counts.lists_vary = True
    else:
        counts.exact_lists += 1


def is_exact(state: State, target: Target) -> bool:
    """Return whether the list of an engine states a number of events."""
    counts = find_counts(state, target)
    needed = MIN_EXACT_LISTS if counts.lists_vary else 1
    if target.has_short_events or counts.exact_lists < needed:
        return False
    return counts.full_events >= MIN_FULL_EVENTS


def find_counts(state: State, target: Target) -> TokenCounts:
    """Return what is known of the engines of a target's service."""
    return state.token_counts.setdefault(target.info.service, TokenCounts())
