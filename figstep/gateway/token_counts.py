"""Tokens that engines put into an event, and how exactly they list what they keep.

An engine lists what it keeps of a complete run in tokens, while a stream has events. A
list states the number of events only if each event but the last holds the largest
number of tokens, and if the list names each token. Both are observed:

- Two reports of a run show how many tokens its events between them held, and one does
  so of a run whose prompt is known. What they show holds for all engines of a service
  until an event held fewer tokens; then each engine has to show it for itself.
- A list that is read while a prompt runs shows whether it names all its tokens, for the
  engines of a software version. Some engines list whole blocks of tokens.
"""

from figstep.core.clock import Millis
from figstep.gateway import placement
from figstep.gateway.events import PromptListed
from figstep.gateway.prompts import Prompt
from figstep.gateway.state import State
from figstep.gateway.targets import EventCounts, ListCounts, ReportedRun, Target

MIN_FULL_EVENTS = 16
"""Number of events in a row that must have been full before further ones count so."""

MIN_EXACT_LISTS = 4
"""Number of exact lists in a row after which no further one is read, and which are
needed after a list that was not exact."""

MAX_LIST_READS = 8
"""Number of lists that show too little after which they are read seldom."""

SELDOM = 16
"""Number of streams of which one is read a list for then."""

BLOCK = 4
"""Size in tokens of which blocks are multiples. A list in blocks lacks tokens of each
prompt that is no multiple of it."""

QUERY_INTERVAL = Millis(200)
"""Shortest time, in milliseconds, between two queries for this of an engine."""

MAX_PAUSE = Millis(12_800)
"""Longest time, in milliseconds, between them: it doubles while they show nothing."""

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
    pause = min(QUERY_INTERVAL << min(target.token_queries // 2, 8), MAX_PAUSE)
    if target.full_events >= MIN_FULL_EVENTS:
        pause = MAX_PAUSE
    if now - target.tokens_queried_at < pause:
        return False
    if is_open and not state.is_large:
        return True
    counts = _find_event_counts(state, target)
    if counts.full_events >= MIN_FULL_EVENTS:
        return False
    for name, queried_at in list(counts.sampled.items()):
        if now - queried_at > 2 * MAX_PAUSE:
            del counts.sampled[name]
    return target.name in counts.sampled or len(counts.sampled) < SAMPLED_ENGINES


def record_query(state: State, target: Target, now: Millis) -> None:
    """Record that an engine is queried for the tokens in its events."""
    target.tokens_queried_at = now
    target.token_queries += 1
    _find_event_counts(state, target).sampled[target.name] = now


def record_runs(state: State, target: Target, runs: tuple[ReportedRun, ...]) -> None:
    """Record what a report of an engine, and the one before, show of its events.

    Tokens that became fewer, or more than the events can hold, are those of a run that
    was preempted and read in again.
    """
    pool = placement.find_engine_pool(state, target.info.service)
    if pool is None:
        return
    counts = _find_event_counts(state, target)
    if counts.event_tokens != pool.event_tokens:
        _forget_events(state, target.info.service, pool.event_tokens)
        counts = _find_event_counts(state, target)
    before = {run.id: run for run in target.reported_runs.values() if run.events}
    target.reported_runs = {run.id: run for run in runs}
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
            target.has_short_events = counts.has_short_events = True
            return
        target.full_events += events
        counts.full_events += events
    if target.full_events >= MIN_FULL_EVENTS:
        target.has_short_events = False


def _forget_events(state: State, service: str, event_tokens: int) -> None:
    """Forget what events of a service held, as they may now hold another number."""
    state.event_counts[service] = EventCounts(event_tokens)
    for target in state.targets.targets.values():
        if target.info.service == service:
            target.reported_runs.clear()
            target.full_events = 0
            target.has_short_events = False


def _find_begin(state: State, target: Target, name: str) -> ReportedRun | None:
    """Return a run of this entry as it began; None if that is not known."""
    for attempt in state.attempts.values():
        request = state.requests[attempt.request]
        if attempt.target is not target or request.spec.id != name:
            continue
        prompt = request.spec.prompt
        if prompt is None or request.spec.after is not None:
            return None
        if request.attempts_sent == 1:
            return ReportedRun(name, prompt.tokens, 0)
    return None


def wants_list(state: State, target: Target, prompt: Prompt) -> bool:
    """Return whether the list of an engine is read while a prompt runs there."""
    counts = _find_list_counts(state, target)
    if counts.exact >= MIN_EXACT_LISTS or prompt.tokens % BLOCK == 0:
        return False
    if counts.reads < MAX_LIST_READS:
        return True
    counts.skipped += 1
    return counts.skipped % SELDOM == 0


def record_listed_prompt(state: State, event: PromptListed) -> None:
    """Record whether an engine listed each token of a prompt that it runs."""
    target = state.targets.find(event.incarnation.target)
    if target is None or target.info.incarnation != event.incarnation:
        return
    counts = _find_list_counts(state, target)
    counts.reads += 1
    if event.missing is None:
        return
    if event.missing:
        counts.exact = 0
        counts.has_varied = True
    else:
        counts.exact += 1


def is_exact(state: State, target: Target) -> bool:
    """Return whether the list of an engine states a number of events."""
    pool = placement.find_engine_pool(state, target.info.service)
    events = _find_event_counts(state, target)
    lists = _find_list_counts(state, target)
    if pool is None or events.event_tokens != pool.event_tokens:
        return False
    needed = MIN_EXACT_LISTS if lists.has_varied else 1
    if target.has_short_events or lists.exact < needed:
        return False
    if target.full_events >= MIN_FULL_EVENTS:
        return True
    return not events.has_short_events and events.full_events >= MIN_FULL_EVENTS


def describe(state: State, target: Target) -> dict[str, str | int | float | None]:
    """Return what is known of how an engine counts, for the log."""
    return {
        "full_events": target.full_events,
        "full_events_of_service": _find_event_counts(state, target).full_events,
        "short_events": target.has_short_events,
        "exact_lists": _find_list_counts(state, target).exact,
    }


def _find_event_counts(state: State, target: Target) -> EventCounts:
    return state.event_counts.setdefault(target.info.service, EventCounts())


def _find_list_counts(state: State, target: Target) -> ListCounts:
    key = (target.info.service, target.info.version)
    return state.list_counts.setdefault(key, ListCounts())
