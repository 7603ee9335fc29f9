"""Crashes of targets as this entry and the others see them, and what was there.

The load that this answers is a request that crashes each target that runs it, and
comes again and again, to any entry, among requests that do no harm. A lost attempt
alone proves no crash: targets also fail, reset and garble while they live on. So what
was lost at a target is kept until the target answers, or is found to have ended.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.gateway.effects import Announce, Effect, Note, ProbeTarget
from figstep.gateway.events import Loss
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Registration, Standing, Target

LOST_RETENTION = Millis(6_000)
"""How long a target may take to be found to have ended: its registration lapses
after three heartbeats, and it is back after some seconds."""

MIN_RESTART_TIME = Millis(1_000)
"""A target that answers sooner than this after nobody listened at its address has
not started again: it had turned connections away."""

PROBE_INTERVAL = Millis(200)
"""Time between two probes of a target."""

SETTLING_RETRY_AFTER = Millis(400)
"""Pause of a request that is refused while others may still tell who else was there."""

REFUSED_RETRY_AFTER = Millis(60_000)
"""A request that crashes targets is refused for minutes."""

_CRASH_LOSSES = frozenset({Loss.BROKEN, Loss.GARBLED})
"""Losses that a target's end may cause, and that come as it ends."""


def record_lost(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Take in that an attempt which may have run ended without an answer.

    A request crashes its target as it begins to run; one whose answer had begun was
    only there. A target that leaves ends all that is left.
    """
    target = attempt.target
    if request.stream_begun or target.standing is not Standing.READY:
        return []
    digest = request.spec.digest
    if target.ended_at is not None and attempt.opened <= target.ended_at:
        return _suspect(state, target, [digest], target.ended_at, now)
    target.lost[digest] = now
    return []


def probe_target(target: Target, loss: Loss, now: Millis) -> list[Effect]:
    """Find out at once whether a target has ended that broke a connection."""
    if loss not in _CRASH_LOSSES or not target.lost or target.ended_at is not None:
        return []
    if now - target.probed_at < PROBE_INTERVAL:
        return []
    target.probed_at = now
    return [ProbeTarget(target.name)]


def record_answer(state: State, target: Target, asked: Millis) -> None:
    """Take in that a target answered what it was asked at some time: it lived then."""
    if target.lost:
        for digest, lost_at in list(target.lost.items()):
            if lost_at <= asked:
                del target.lost[digest]
    ended_at = target.ended_at
    if ended_at is None or asked < ended_at:
        return
    target.ended_at = None
    if asked - ended_at < MIN_RESTART_TIME:
        state.crashes.discard_crash(_format_incarnation(target))


def record_end(state: State, target: Target, now: Millis) -> list[Effect]:
    """Take in that a target's life has ended: what was lost there is suspected."""
    if target.standing is not Standing.READY or target.ended_at is not None:
        return []
    target.ended_at = now
    state.crashes.record_crash(_format_incarnation(target), now)
    return _suspect_lost(state, target, now)


def record_departure(state: State, target: Target, now: Millis) -> list[Effect]:
    """Take in that a target's registration has gone.

    One that goes without a word may serve on for a while, so what is open there may
    yet be answered.
    """
    if target.standing is not Standing.READY:
        return []
    return _suspect_lost(state, target, now)


def record_successor(state: State, info: Registration, now: Millis) -> list[Effect]:
    """Take in that a target starts: another had its id or its address before."""
    effects: list[Effect] = []
    for target in state.targets.targets.values():
        known = target.info
        if known.born >= info.born:
            continue
        if known.target == info.target or known.address == info.address:
            effects += record_end(state, target, now)
    return effects


def apply_suspicions(
    state: State, suspicions: Iterable[Suspicion], source: str, now: Millis
) -> list[Effect]:
    """Take in what another entry tells of crashes."""
    effects: list[Effect] = []
    for suspicion in suspicions:
        if _has_answered_since(state, suspicion, now):
            continue
        if state.crashes.record_suspicion(suspicion, now):
            effects.append(_describe_suspicion(state, suspicion, source))
    return effects


def apply_clearances(
    state: State, clearances: Iterable[Clearance], now: Millis
) -> None:
    """Take in which suspected requests have run at other entries."""
    for clearance in clearances:
        state.crashes.clear(clearance.digest, Millis(now - clearance.age), now)


def clear_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Take in that a request has run to an answer, or into a stream."""
    if not state.crashes.clear(request.spec.digest, now, now):
        return []
    fields: dict[str, str | int | float | None] = {
        "request": request.spec.id,
        "digest": request.spec.digest,
    }
    return [Announce(), Note("request cleared", fields)]


def choose_retry_after(state: State, digest: str, now: Millis) -> Millis:
    """Return when a request that was refused for its crashes may come again."""
    if state.crashes.is_settled(digest, now):
        return REFUSED_RETRY_AFTER
    return SETTLING_RETRY_AFTER


def _suspect_lost(state: State, target: Target, now: Millis) -> list[Effect]:
    recent = [
        digest
        for digest, lost_at in target.lost.items()
        if now - lost_at < LOST_RETENTION
    ]
    target.lost.clear()
    return _suspect(state, target, recent, now, now)


def _suspect(
    state: State, target: Target, digests: Iterable[str], ended_at: Millis, now: Millis
) -> list[Effect]:
    effects: list[Effect] = []
    for digest in digests:
        suspicion = Suspicion(
            digest, _format_incarnation(target), Millis(now - ended_at)
        )
        if state.crashes.record_suspicion(suspicion, now):
            effects.append(_describe_suspicion(state, suspicion, "itself"))
    return [Announce(), *effects] if effects else []


def _has_answered_since(state: State, suspicion: Suspicion, now: Millis) -> bool:
    """Tell whether a target that is said to have crashed has answered since.

    Later answers may be those of a target that has started again under its id.
    """
    if suspicion.age >= MIN_RESTART_TIME:
        return False
    target = state.targets.find(suspicion.life.rpartition("@")[0])
    if target is None or _format_incarnation(target) != suspicion.life:
        return False
    return target.answered_at > now - suspicion.age


def _format_incarnation(target: Target) -> str:
    return f"{target.name}@{target.info.born}"


def _describe_suspicion(state: State, suspicion: Suspicion, source: str) -> Note:
    return Note(
        "request suspected",
        {
            "digest": suspicion.digest,
            "crash": suspicion.life,
            "told_by": source,
            "crashes": state.crashes.count(suspicion.digest),
        },
    )
