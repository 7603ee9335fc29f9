"""Opens and closes attempts, and accounts for their load at targets."""

from figstep.core.clock import Millis
from figstep.gateway import (
    closes,
    crashes,
    limits,
    origins,
    placement,
    waiting,
    warmups,
)
from figstep.gateway.effects import (
    AnnounceTarget,
    CloseAttempt,
    Confirmation,
    DropCopy,
    Effect,
    Note,
    OpenAttempt,
    RelayTo,
)
from figstep.gateway.routes import RouteKind
from figstep.gateway.runs import RunCopy
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Registration, Target

BASE_PRIORITY = 4
"""Engine priority of a run of the most urgent route, from 0 to 9; 0 is the most urgent.

The request's own priority is added, which is larger for less urgent ones. Runs that
resume from a copy get `RESUMED_PRIORITY` instead.
"""

RESUMED_PRIORITY = 1
"""Engine priority of a run that resumes from a copy; its answer has already begun."""

LOWEST_PRIORITY = 9
"""Least urgent engine priority, and the upper bound of a run's priority."""


def start_attempt(
    state: State, request: Request, target: Target, now: Millis
) -> list[Effect]:
    """Send a request to a target that runs it from the start, not from a copy."""
    choice_fields: dict[str, str | int | float | None] = {}
    if request.spec.prompt is not None:
        # The fields describe the engine as it was when it was chosen.
        choice_fields = placement.describe_choice(state, request, target, now)
    attempt = _add_attempt(state, request, target, None, now)
    request.current = attempt
    after = request.delivered or request.spec.after
    effects: list[Effect] = [
        _build_open(state, request, attempt, after),
        _describe_attempt(request, attempt, now, choice_fields),
    ]
    if request.spec.prompt is not None and _is_remote_in_large_fleet(state, target):
        effects.append(AnnounceTarget(target.name))
    return effects


def _is_remote_in_large_fleet(state: State, target: Target) -> bool:
    """Return whether other failure domains must learn at once of a prompt at a target.

    In a large fleet, failure domains with few engines of their own use those of others.
    If they learned of a prompt a moment later, all would choose the same engine.
    """
    if not state.is_large:
        return False
    return target.info.failure_domain != state.failure_domain


def start_standby(
    state: State, request: Request, copy: RunCopy, now: Millis
) -> list[Effect]:
    """Open a standby attempt that resumes a run from its copy.

    The current attempt, if any, stays open. Returns no effects if the copy's holder is
    unknown.
    """
    target = state.targets.find(copy.holder.target)
    if target is None:
        return []
    release_copy(request)
    attempt = _add_attempt(state, request, target, copy, now)
    request.standby = attempt
    request.copy = None
    return [
        _build_open(state, request, attempt, request.delivered),
        _describe_attempt(request, attempt, now),
    ]


def start_relay(
    state: State, request: Request, relay: RelayTo, now: Millis
) -> list[Effect]:
    """Pass a request on to another entry, which chooses its target."""
    info = Registration(f"entry {relay.address}", request.service, relay.address, "", 1)
    number = state.next_attempt
    state.next_attempt += 1
    attempt = Attempt(number, request.spec.number, Target(info), now, relay=relay)
    attempt.target.calls = 1
    state.attempts[number] = attempt
    request.current = attempt
    request.tried_relays.add(relay.address)
    after = request.delivered or request.spec.after
    return [
        _build_open(state, request, attempt, after),
        _describe_attempt(request, attempt, now),
    ]


def end_attempt(state: State, attempt: Attempt) -> None:
    """Remove an attempt and its load, at its target and at its backup's holder."""
    if state.attempts.pop(attempt.number, None) is None:
        return
    request = state.requests.get(attempt.request)
    attempt.target.calls -= 1
    attempt.target.memory -= attempt.memory
    attempt.target.reading -= attempt.reading
    if attempt.holder is not None:
        attempt.holder.memory -= attempt.memory
    if request is None:
        return
    if request.current is attempt:
        request.current = None
    if request.standby is attempt:
        request.standby = None


def reserve_copy(
    state: State, request: Request, source: Target, holder: Target
) -> None:
    """Count a copy on order in its holder's memory and on the links of both engines.

    On the links, only tokens count that an earlier copy at the same holder lacks.
    """
    copied = request.copied_tokens if request.copy_destination is holder else 0
    release_copy(request)
    memory = placement.estimate_memory(state, request)
    request.copying = True
    request.copy_destination = holder
    request.copy_memory = memory
    holder.memory += memory
    request.copy_source = source
    request.copying_tokens = max(0, memory - copied)
    source.outgoing += request.copying_tokens
    holder.incoming += request.copying_tokens


def end_copying(request: Request) -> None:
    """Stop counting a copy on the links: it is complete, failed or not wanted."""
    if request.copy_source is not None and request.copy_destination is not None:
        request.copy_source.outgoing -= request.copying_tokens
        request.copy_destination.incoming -= request.copying_tokens
    request.copying = False
    request.copy_source = None
    request.copying_tokens = 0


def release_copy(request: Request) -> None:
    """Stop counting a copy on order on the links and in its holder's memory.

    The copy failed, was used, is dropped, or is replaced by a newer one.
    """
    end_copying(request)
    if request.copy_destination is not None:
        request.copy_destination.memory -= request.copy_memory
    request.copy_destination = None
    request.copy_memory = 0
    request.copied_tokens = 0


def record_prompt_read(attempt: Attempt, now: Millis) -> None:
    """Record that an attempt's first event arrived: its prompt has been read.

    The target's read rate is updated from the time that this took.
    """
    if not attempt.reading:
        return
    elapsed = now - attempt.opened
    attempt.target.update_read_rate(attempt.reading + attempt.reading_ahead, elapsed)
    attempt.target.reading -= attempt.reading
    attempt.reading = 0


def update_memory(state: State, request: Request, attempt: Attempt) -> None:
    """Update the expected memory of a run, at its engine and in its backup."""
    memory = placement.estimate_memory(state, request)
    grown = memory - attempt.memory
    attempt.memory = memory
    attempt.target.memory += grown
    if attempt.holder is not None:
        attempt.holder.memory += grown


def close_attempt(state: State, attempt: Attempt | None, now: Millis) -> list[Effect]:
    """End an attempt whose answer is no longer wanted, and close its connection.

    Does nothing for None or an attempt that is no longer open.
    """
    if attempt is None or attempt.number not in state.attempts:
        return []
    end_attempt(state, attempt)
    effects: list[Effect] = [CloseAttempt(attempt.number)]
    request = state.requests.get(attempt.request)
    if request is not None:
        effects += crashes.record_lost(state, request, attempt, None, now)
    return effects


def close_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Remove a request, close its attempts and drop its copy."""
    effects = close_attempt(state, request.current, now)
    effects += close_attempt(state, request.standby, now)
    open_request = state.requests.pop(request.spec.number, None)
    was_sent = request.attempts_sent > request.unreached
    if state.demand is not None and open_request is not None and was_sent:
        state.demand.record_end(request.demand_class, now)
    release_copy(request)
    waiting.leave(state, request)
    copy = request.copy
    if copy is not None and copy.on_order:
        # A copy made on order would hold memory for seconds; a running backup ends with
        # its run.
        effects.append(DropCopy(copy))
    return effects


def _choose_backup(
    state: State, request: Request, source: Target, now: Millis
) -> Target | None:
    pool = placement.find_engine_pool(state, request.service)
    if pool is None or not pool.backups or request.route.idempotent:
        # A request that may run again on another engine needs no copy.
        return None
    if pool.moves:
        # Copies made on order protect a run as well, and are made only while there is
        # free memory. A running backup takes memory from the first token on: prompts
        # wait for memory, and other runs are preempted.
        return None
    if request.route.kind is not RouteKind.STREAM:
        return None
    return placement.choose_copy_holder(
        state, request, source.name, now, placement.BACKUP_MAX_MEMORY_FRACTION
    )


def _add_attempt(
    state: State,
    request: Request,
    target: Target,
    source: RunCopy | None,
    now: Millis,
) -> Attempt:
    number = state.next_attempt
    state.next_attempt += 1
    memory = placement.estimate_memory(state, request)
    reading = 0
    if source is None and request.spec.prompt is not None:
        reading = request.spec.prompt.tokens
    holder = _choose_backup(state, request, target, now)
    attempt = Attempt(
        number,
        request.spec.number,
        target,
        now,
        memory=memory,
        reading=reading,
        reading_ahead=target.reading_load,
        holder=holder,
        source=source,
    )
    state.attempts[number] = attempt
    warmups.record_send(target, now)
    limits.record_send(state, target, now)
    target.calls += 1
    target.memory += memory
    target.reading += reading
    if holder is not None:
        holder.memory += memory
    request.attempts_sent += 1
    request.tried_targets.add(target.name)
    return attempt


def _build_open(
    state: State, request: Request, attempt: Attempt, after: int | None
) -> OpenAttempt:
    priority = None
    if request.spec.prompt is not None:
        priority = min(LOWEST_PRIORITY, BASE_PRIORITY + request.priority)
        if attempt.source is not None:
            priority = RESUMED_PRIORITY
    confirm = Confirmation.NONE
    if attempt.relay is None:
        confirm = origins.choose_confirmation(state, request, attempt.target)
    keep = closes.choose_kept_run(state, request, attempt)
    attempt.keeps_run = keep is not None
    return OpenAttempt(
        request.spec.number,
        attempt.number,
        attempt.target.name,
        request.customer,
        request.deadline,
        priority=priority,
        backup=_name_or_empty(attempt.holder),
        source=attempt.source,
        after=after,
        stream=request.route.kind is RouteKind.STREAM,
        relay=attempt.relay,
        confirm=confirm,
        born=attempt.target.info.born,
        keep=keep,
    )


def _name_or_empty(target: Target | None) -> str:
    return "" if target is None else target.name


def _describe_attempt(
    request: Request,
    attempt: Attempt,
    now: Millis,
    choice_fields: dict[str, str | int | float | None] | None = None,
) -> Note:
    return Note(
        "attempt opened",
        {
            "request": request.spec.id,
            "attempt": attempt.number,
            "target": attempt.target.name,
            "version": attempt.target.info.version,
            "backup": _name_or_empty(attempt.holder),
            "goes_on_from": attempt.source.owner.target if attempt.source else "",
            "after": request.delivered,
            "waited_ms": now - request.arrived,
            **(choice_fields or {}),
        },
    )
