"""Copies running generations and resumes them on another engine when theirs leaves."""

from figstep.core.clock import Millis
from figstep.gateway import (
    attempts,
    eligibility,
    limits,
    peers,
    placement,
)
from figstep.gateway.effects import (
    CopyRun,
    DropCopy,
    Effect,
    Note,
)
from figstep.gateway.events import RunCopied, RunNotCopied
from figstep.gateway.routes import RouteKind
from figstep.gateway.runs import RunCopy, is_outdated
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Incarnation, Standing, Target

SWITCH_WAIT_TIMEOUT = Millis(800)
"""Maximum time after the notice, in milliseconds, for which a switch is delayed.

It is delayed while the holder has prompts to read, as the run's events take three times
as long meanwhile and the switch costs the time of two events, or while a running backup
may still be missing. The notice then leaves 0.7 s in case the switch fails.
"""

BACKUP_ARRIVAL_DELAY = Millis(400)
"""Milliseconds after an attempt's first event in which its backup may be missing.

A backup that is tried too early becomes unusable, and a complete copy has to be made
in its place.
"""

REFRESH_AGE_FRACTION = 0.6
"""Fraction of its retention after which a copy made on order is refreshed.

If the refresh fails, another can still be made before the holder drops the copy.
"""

MIN_REMAINING_TOKENS = 250
"""Expected remaining tokens below which a run gets no proactive copy.

Such a run ends within 1.5 s, and engines leave every few seconds.
"""

STALE_COPY_AGE = Millis(300)
"""Age of a copy, in milliseconds, from which it is refreshed before a switch."""

REFRESH_TIMEOUT = Millis(400)
"""Milliseconds that a refresh may take before the switch uses the older copy.

Links carry the copies of all runs one after another, and a run that has a copy must
not be lost while it waits for a newer one.
"""

LAST_COPY_ORDER_DELAY = Millis(900)
"""Milliseconds after the notice until which an ordered copy still completes.

A copy takes up to half a second, and engines end 1.5 s after their notice at the
earliest.
"""


def handle_copy_made(state: State, event: RunCopied, now: Millis) -> list[Effect]:
    """Record a complete copy, and switch to it if the run's engine leaves.

    The copy is dropped if the run has ended or has resumed on another engine.
    """
    copy = event.copy
    request = state.requests.get(event.number)
    current = None if request is None else request.current
    if (
        request is None
        or current is None
        or current.target.info.incarnation != copy.owner
    ):
        return [DropCopy(copy)]
    request.copied_tokens = request.copy_memory
    attempts.end_copying(request)
    request.copy = copy
    request.copied_at = now
    note = Note(
        "copy made",
        {
            "request": request.spec.id,
            "from": copy.owner.target,
            "to": copy.holder.target,
            "took_ms": now - request.copy_ordered_at,
        },
    )
    return [note, *migrate_request(state, request, now)]


def handle_copy_failed(state: State, event: RunNotCopied, now: Millis) -> list[Effect]:
    """Record that a holder could not take a copy.

    Another engine is tried if the run's engine leaves.
    """
    request = state.requests.get(event.number)
    if request is None:
        return []
    attempts.release_copy(request)
    request.copy_refused_at[event.holder] = now
    note = Note(
        "copy failed",
        {
            "request": request.spec.id,
            "from": event.source,
            "to": event.holder,
            "detail": event.detail,
        },
    )
    return [note, *migrate_request(state, request, now)]


def migrate_streams(state: State, now: Millis) -> list[Effect]:
    """Migrate streams whose engine leaves, the longest remaining ones first."""
    affected = []
    for request in state.requests.values():
        current = request.current
        if current is None or not request.stream_begun:
            continue
        if current.target.standing is Standing.READY:
            continue
        affected.append(request)
    # The run with the most remaining tokens loses most if it is cut.
    affected.sort(
        key=lambda request: count_remaining_tokens(state, request), reverse=True
    )
    effects: list[Effect] = []
    for request in affected:
        effects += migrate_request(state, request, now)
    return effects


def count_remaining_tokens(state: State, request: Request) -> int:
    """Return how many more tokens a run is expected to generate; 0 without a prompt.

    The number is negative for a run that has exceeded its expected length.
    """
    prompt = request.spec.prompt
    if prompt is None:
        return 0
    pool = placement.find_engine_pool(state, request.service)
    event_tokens = 1 if pool is None else pool.event_tokens
    return prompt.expected_output - event_tokens * request.pieces


def migrate_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Migrate a run whose engine leaves: refresh or order its copy, or switch to it.

    Returns no effects if there is nothing to do now.
    """
    current = request.current
    if current is None or request.standby is not None:
        return []
    if current.relay is not None:
        # The entry that it was passed on to migrates it.
        return []
    if request.copying and not _has_refresh_timed_out(request, now):
        return []
    if current.target.standing is Standing.READY or not request.stream_begun:
        return []
    if request.route.resumable:
        # A resumable stream ends before its engine does, or restarts on another one.
        return []
    discard_unusable_copy(state, request)
    if request.copy is not None:
        if _should_delay_switch(state, request, now):
            return []
        holder = state.targets.find(request.copy.holder.target)
        if holder is not None and _should_refresh_copy(request, current, now):
            return _order_copy_to(state, request, current, holder, now)
        return switch_to_copy(state, request, now)
    return _order_copy(state, request, now)


def _should_refresh_copy(request: Request, current: Attempt, now: Millis) -> bool:
    """Return whether a copy is refreshed before the run resumes from it.

    The holder has to read the tokens that the copy lacks, and to generate again those
    that the run's engine generates meanwhile: the caller sees a pause for both. Only
    copies made on order are refreshed, once in a notice.
    """
    copy = request.copy
    left_at = current.target.left_at
    if copy is None or not copy.on_order or left_at is None:
        return False
    if request.copying or request.copy_ordered_at >= left_at:
        return False
    if now - left_at >= LAST_COPY_ORDER_DELAY:
        return False
    return now - request.copied_at >= STALE_COPY_AGE


def _has_refresh_timed_out(request: Request, now: Millis) -> bool:
    if request.copy is None:
        return False
    return now - request.copy_ordered_at >= REFRESH_TIMEOUT


def _should_delay_switch(state: State, request: Request, now: Millis) -> bool:
    current = request.current
    copy = request.copy
    if current is None or copy is None or current.target.left_at is None:
        return False
    if now - current.target.left_at >= SWITCH_WAIT_TIMEOUT:
        return False
    if not copy.on_order and may_lack_backup(current, now):
        return True
    holder = state.targets.find(copy.holder.target)
    return holder is not None and holder.reading_load > 0


def may_lack_backup(attempt: Attempt, now: Millis) -> bool:
    """Return whether the running backup of an attempt may not have arrived yet."""
    since = attempt.first_delivery_at
    return since is None or now - since < BACKUP_ARRIVAL_DELAY


def is_too_late_to_copy(source: Target, now: Millis) -> bool:
    """Return whether an engine ends before one more copy of a run could be made.

    A copy is used up once its holder is asked to resume from it. A busy holder may take
    longer to start than `streams.MAX_OVERLAP`; abandoning the holder when no other copy
    can be made would lose the stream with its engine.
    """
    if source.left_at is None:
        return False
    return now - source.left_at >= LAST_COPY_ORDER_DELAY


def discard_unusable_copy(state: State, request: Request) -> None:
    """Discard the record of a copy that the run can no longer resume from.

    Its holder accepts no more work of the run or has restarted, or its owner has
    restarted and may have given the copy's name to a copy of another run.
    """
    copy = request.copy
    if copy is None:
        return
    holder = state.targets.find(copy.holder.target)
    if holder is None or not eligibility.is_eligible(state, request, holder):
        request.copy = None
    elif is_outdated(copy, state.targets.find):
        request.copy = None


def switch_to_copy(state: State, request: Request, now: Millis) -> list[Effect]:
    """Resume a run from its copy, beside its current attempt, within the retry budget.

    Does nothing without a copy, or if the holder's rate or pause permits no request
    now. A repeat that the budget denies is counted and logged.
    """
    copy = request.copy
    if copy is None:
        return []
    holder = state.targets.find(copy.holder.target)
    if holder is not None and not limits.may_send(state, holder, now):
        return []
    if not peers.spend_repeat(state, request.service, now, urgent=True):
        return peers.record_denied(state, request, now)
    return attempts.start_standby(state, request, copy, now)


def _order_copy(state: State, request: Request, now: Millis) -> list[Effect]:
    pool = placement.find_engine_pool(state, request.service)
    current = request.current
    if pool is None or not pool.moves or current is None:
        return []
    holder = placement.choose_copy_holder(
        state,
        request,
        current.target.name,
        now,
        placement.MIGRATION_MAX_MEMORY_FRACTION,
    )
    if holder is None:
        return []
    return _order_copy_to(state, request, current, holder, now)


def _order_copy_to(
    state: State, request: Request, current: Attempt, holder: Target, now: Millis
) -> list[Effect]:
    queued = max(current.target.outgoing_load, holder.incoming_load)
    attempts.reserve_copy(state, request, current.target, holder)
    request.copy_ordered_at = now
    return [
        CopyRun(request.spec.number, current.target.name, holder.name),
        Note(
            "copy ordered",
            {
                "request": request.spec.id,
                "from": current.target.name,
                "to": holder.name,
                "events": request.pieces,
                "engine": current.target.standing.value,
                "queued_tokens": queued,
            },
        ),
    ]


def order_proactive_copies(state: State, now: Millis) -> list[Effect]:
    """Order copies of long runs whose engine stays, while there is free memory.

    After a notice all runs of an engine are copied at once: copies queue on its link,
    and the last of six or seven are not made before the engine ends. A run without a
    proactive copy is also lost with an engine that leaves without notice. One run of
    each engine is copied at a time, so that copies ordered after a notice need not wait
    for proactive ones.
    """
    effects: list[Effect] = []
    copy_sources = _list_copy_sources(state)
    for request in sorted(
        state.requests.values(),
        key=lambda request: count_remaining_tokens(state, request),
        reverse=True,
    ):
        current = request.current
        if current is None or current.target.name in copy_sources:
            continue
        if not _needs_copy(state, request, now):
            continue
        order = _order_proactive_copy(state, request, current, now)
        if not order:
            continue
        copy_sources.add(current.target.name)
        effects += order
    return effects


def copy_open_ended(state: State, request: Request, now: Millis) -> list[Effect]:
    """Order a copy of a stream as it begins, if its holder may be asked for its end.

    A short one is done before the next check of all runs.
    """
    current = request.current
    if not request.open_ended or current is None:
        return []
    if current.target.name in _list_copy_sources(state):
        return []
    if not _needs_copy(state, request, now):
        return []
    return _order_proactive_copy(state, request, current, now)


def drop_copies_for_memory(state: State, now: Millis) -> list[Effect]:
    """Drop proactive copies at engines that are expected to run out of memory.

    An engine that runs out of memory preempts a run, whose caller sees a pause of half
    a second while its prompt is read again. A dropped copy costs something only if its
    run's engine leaves before another copy is made. One copy per holder is dropped in a
    call, as other entries drop theirs as well.
    """
    effects: list[Effect] = []
    relieved_holders: set[Incarnation] = set()
    for request in sorted(
        state.requests.values(),
        key=lambda request: count_remaining_tokens(state, request),
    ):
        copy = request.copy
        if copy is None or not copy.on_order or copy.holder in relieved_holders:
            continue
        current = request.current
        if current is None or current.target.standing is not Standing.READY:
            continue
        holder = state.targets.find(copy.holder.target)
        if holder is None or request.copying:
            continue
        if holder.memory_load <= placement.find_engine_memory(state, request.service):
            continue
        relieved_holders.add(copy.holder)
        effects += _drop_proactive_copy(request, copy, holder, now)
    return effects


def _drop_proactive_copy(
    request: Request, copy: RunCopy, holder: Target, now: Millis
) -> list[Effect]:
    request.copy = None
    request.copy_refused_at[holder.name] = now
    attempts.release_copy(request)
    note = Note(
        "copy dropped for lack of room",
        {
            "request": request.spec.id,
            "holder": holder.name,
            "expected_memory": holder.memory_load,
        },
    )
    return [DropCopy(copy), note]


def _list_copy_sources(state: State) -> set[str]:
    return {
        request.current.target.name
        for request in state.requests.values()
        if request.copying and request.current is not None
    }


def _needs_copy(state: State, request: Request, now: Millis) -> bool:
    current = request.current
    if current is None or not request.stream_begun or request.standby is not None:
        return False
    if current.relay is not None:
        return False
    if request.copying or request.route.resumable:
        return False
    if request.route.kind is not RouteKind.STREAM:
        return False
    if not current.target.accepts_work or current.target.is_limited:
        # A rate-limited target is not loaded with copies that may never be used.
        return False
    pool = placement.find_engine_pool(state, request.service)
    if pool is None or not pool.moves:
        return False
    if _has_backup(current):
        return False
    discard_unusable_copy(state, request)
    if now - request.copied_at >= pool.copy_retention:
        request.copy = None
    if request.copy is not None:
        if placement.was_refused_copy(
            request, request.copy.holder.target, now, proactive=True
        ):
            return False
        return now - request.copied_at >= REFRESH_AGE_FRACTION * pool.copy_retention
    if request.open_ended:
        # Its holder is asked whether the stream is complete.
        return True
    return count_remaining_tokens(state, request) >= MIN_REMAINING_TOKENS


def _has_backup(attempt: Attempt) -> bool:
    holder = attempt.holder
    if holder is None or attempt.backup_unusable:
        return False
    return holder.accepts_work


def _order_proactive_copy(
    state: State, request: Request, current: Attempt, now: Millis
) -> list[Effect]:
    holder = None
    if request.copy is not None:
        # Only tokens that the holder's copy lacks are transferred.
        holder = state.targets.find(request.copy.holder.target)
    elif not state.queue:
        # A queued prompt matters more than a copy that may not be needed.
        holder = placement.choose_copy_holder(
            state,
            request,
            current.target.name,
            now,
            placement.PROACTIVE_MAX_MEMORY_FRACTION,
            proactive=True,
        )
    if holder is None or _is_link_busy(current.target, holder):
        return []
    return _order_copy_to(state, request, current, holder, now)


def _is_link_busy(source: Target, holder: Target) -> bool:
    """Return whether a link that a proactive copy would use carries another copy.

    Links carry copies one after another. When a new engine joins, all entries have
    runs to copy to it. If another engine gave notice then, its runs would queue behind
    those copies for longer than the notice lasts, and be lost.
    """
    return bool(source.outgoing_load or holder.incoming_load)
