"""Crashes of targets that this entry and its peers know, and the requests involved.

The case handled here is a request that crashes every target that runs it and is sent
again and again, to any entry, among harmless requests. A lost attempt alone proves no
crash: targets also fail, reset connections and send garbled answers while they keep
running. Requests lost at a target are therefore recorded, and become suspects only if
the target is found to have ended before it answers a later request.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.gateway.effects import Announce, Effect, Note, ProbeTarget
from figstep.gateway.events import Loss
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Registration, Standing, Target

LOST_RETENTION = Millis(6_000)
"""Maximum time, in milliseconds, from the loss of a request to the discovery that its
target has ended, for the request to become a suspect. The end may show only when the
target's registration lapses, after three heartbeats, or when the target is back, after
some seconds."""

MIN_RESTART_TIME = Millis(1_000)
"""Shortest time, in milliseconds, in which a target restarts. A target that answers
sooner than this after a connection was refused has not restarted: it only refused
connections for a moment."""

PROBE_INTERVAL = Millis(200)
"""Shortest time, in milliseconds, between two probes of a target."""

SETTLING_RETRY_AFTER = Millis(400)
"""Retry delay, in milliseconds, of a request that is refused while other entries may
still report which other requests were at the crashed targets."""

REFUSED_RETRY_AFTER = Millis(60_000)
"""Retry delay, in milliseconds, of a request known to crash targets. Such a request is
refused for minutes."""

_CRASH_LOSSES = frozenset({Loss.BROKEN, Loss.GARBLED})
"""Losses that may be the immediate result of the end of a target."""


def record_lost(
    state: State, request: Request, attempt: Attempt, now: Millis
) -> list[Effect]:
    """Record that an attempt which may have run ended without an answer.

    A request crashes its target as it begins to run, so one whose stream has begun is
    not recorded. Losses at a target that leaves are not recorded either, as it ends all
    attempts that are still open there. If the target is known to have ended, the
    request becomes a suspect at once.
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
    """Return a probe of whether a target ended, after a loss that suggests it.

    Returns nothing if the end is known or no lost request is recorded at the target, or
    within ``PROBE_INTERVAL`` of the last probe.
    """
    if loss not in _CRASH_LOSSES or not target.lost or target.ended_at is not None:
        return []
    if now - target.probed_at < PROBE_INTERVAL:
        return []
    target.probed_at = now
    return [ProbeTarget(target.name)]


def record_answer(state: State, target: Target, asked: Millis) -> None:
    """Record that a target answered a request sent at ``asked``: it was running then.

    An end recorded less than ``MIN_RESTART_TIME`` before that is discarded as wrong.
    """
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
    """Record that an incarnation of a target ended; suspect requests lost there.

    A target that is leaving is ignored.
    """
    if target.standing is not Standing.READY or target.ended_at is not None:
        return []
    target.ended_at = now
    state.crashes.record_crash(_format_incarnation(target), now)
    return _suspect_lost(state, target, now)


def record_departure(state: State, target: Target, now: Millis) -> list[Effect]:
    """Suspect the requests lost at a target whose registration is gone.

    The target is not recorded as ended: it may keep serving for some time, so its open
    attempts may still be answered. A target that is leaving is ignored.
    """
    if target.standing is not Standing.READY:
        return []
    return _suspect_lost(state, target, now)


def record_successor(state: State, info: Registration, now: Millis) -> list[Effect]:
    """Record the end of earlier incarnations with the id or address of a new one."""
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
    """Apply the suspicions that another entry reports."""
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
    """Apply the clearances of suspected requests that ran at other entries."""
    for clearance in clearances:
        state.crashes.clear(clearance.digest, Millis(now - clearance.age), now)


def clear_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Drop the suspicions of a request that was answered or whose stream has begun."""
    if not state.crashes.clear(request.spec.digest, now, now):
        return []
    fields: dict[str, str | int | float | None] = {
        "request": request.spec.id,
        "digest": request.spec.digest,
    }
    return [Announce(), Note("request cleared", fields)]


def choose_retry_after(state: State, digest: str, now: Millis) -> Millis:
    """Return the retry delay, in milliseconds, of a request refused for its crashes."""
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
    """Return whether a target answered this entry after the crash of a suspicion.

    It is False for a crash that is at least ``MIN_RESTART_TIME`` old: later answers may
    come from a target that has restarted under the same id.
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
