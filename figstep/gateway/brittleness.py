"""Spares targets that fall over if they have to reject too many requests in a second.

The targets of a service name in their answers how many rejections a second each of them
bears. The case handled here is a burst: many entries find all slots taken at the same
time, and send requests that can only be rejected, or send one rejected request to each
target in turn. Requests are therefore held back where all slots are known to be taken,
where another request was just rejected at any entry, and beyond what the target can
serve in a second.
"""

from collections.abc import Iterable
from http import HTTPStatus

from figstep.core.clock import Millis
from figstep.gateway.effects import Announce, AnnounceTarget, Effect, Note
from figstep.gateway.events import (
    BrittlenessNamed,
    PeerHeard,
    RejectionReport,
)
from figstep.gateway.state import Brittleness, State
from figstep.gateway.targets import Target

PAUSE_PER_REJECTION = Millis(2_000)
"""Pause after a rejection, in milliseconds, at a target that bears one a second.

It is divided by the number that the target bears. Several entries may have sent a
request before they learn of the rejection, so that the pause is twice as long as one
rejection after the other would need.
"""

SLOT_CHECK_DELAY = Millis(60)
"""Time in milliseconds after which a target whose slots are all taken is looked at
again."""

REJECTION_WINDOW = Millis(1_000)
"""Time, in milliseconds, in which a target's rejections are counted."""

DEFAULT_ANSWER_TIME = 200.0
"""Time of an answer that is assumed before it was measured, in milliseconds."""

EXPIRY = Millis(30_000)
"""Time, in milliseconds, after which a service counts as brittle no longer if none of
its targets has said so again."""


def handle_brittleness(
    state: State, event: BrittlenessNamed, now: Millis
) -> list[Effect]:
    """Handle an answer that names the rejections a target bears, or names none."""
    target = state.targets.find(event.target)
    if target is None:
        return []
    service = target.info.service
    known = state.brittle.get(service)
    if event.rejections is None and event.status >= HTTPStatus.BAD_REQUEST:
        # The target may fail a request before it looks at it.
        return []
    target.named_brittle = event.rejections is not None
    if event.rejections is None and (known is None or event.asked < known.stated_at):
        return []
    effects = _record(state, service, event.rejections, now, "itself")
    state.brittle[service].received_at = now
    return [Announce(), *effects] if effects else []


def apply_reports(state: State, event: PeerHeard, now: Millis) -> list[Effect]:
    """Apply what another entry reports of brittle targets, where it is newer."""
    effects: list[Effect] = []
    for report in event.brittle:
        stated_at = Millis(now - report.age)
        known = state.brittle.get(report.service)
        if known is not None and stated_at <= known.stated_at:
            continue
        effects += _record(
            state, report.service, report.rejections, stated_at, event.node
        )
    _apply_rejections(state, event.rejected, now)
    return effects


def _record(
    state: State, service: str, rejections: float | None, at: Millis, source: str
) -> list[Effect]:
    known = state.brittle.setdefault(service, Brittleness())
    before = known.rejections
    known.rejections = rejections
    known.stated_at = at
    if before == rejections:
        return []
    message = "targets are brittle" if rejections is not None else "targets are sound"
    fields = {"service": service, "rejections": rejections, "told_by": source}
    return [Note(message, fields)]


def record_rejection(state: State, target: Target, now: Millis) -> list[Effect]:
    """Hold requests back from a brittle target that has rejected one, at all entries.

    Does nothing if the target's service is not brittle.
    """
    rejections = _find_rejections(state, target, now)
    if rejections is None:
        return []
    target.rejected_at = now
    _pause(target, rejections, now)
    if state.is_large:
        return [Announce(), AnnounceTarget(target.name)]
    return [Announce()]


def is_brittle(state: State, target: Target, now: Millis) -> bool:
    """Return whether a target falls over after too many rejections in a second."""
    return _find_rejections(state, target, now) is not None


def _apply_rejections(
    state: State, rejected: Iterable[RejectionReport], now: Millis
) -> None:
    for report in rejected:
        target = state.targets.find(report.target)
        if target is None:
            continue
        rejections = _find_rejections(state, target, now)
        if rejections is not None:
            _pause(target, rejections, Millis(now - report.age))


def _pause(target: Target, rejections: float, since: Millis) -> None:
    pause = round(PAUSE_PER_REJECTION / max(1.0, rejections))
    target.full_until = Millis(max(target.full_until, since + pause))


def record_send(state: State, target: Target, now: Millis) -> None:
    """Space out the requests of this entry to a brittle target in a large fleet.

    Loads of other entries become known too late there: all would see the same free
    slot, and fill it together.
    """
    rejections = _find_rejections(state, target, now)
    if rejections is None or not state.is_large or _is_engine(state, target):
        return
    interval = state.entries * REJECTION_WINDOW / _estimate_rate(target, rejections)
    target.next_send_at = Millis(now + round(interval * (0.5 + state.rng.random())))


def find_send_time(state: State, target: Target, now: Millis) -> Millis:
    """Return the earliest time at which a target is expected to have room.

    It is the current time for a target that is not brittle.
    """
    rejections = _find_rejections(state, target, now)
    if rejections is None:
        return now
    send_time = max(now, target.full_until, target.next_send_at)
    if target.load >= target.info.slots:
        send_time = max(send_time, Millis(now + SLOT_CHECK_DELAY))
    return send_time


def _estimate_rate(target: Target, rejections: float) -> float:
    """Return how many requests a second a target serves or may reject."""
    answer_time = target.answer_time or DEFAULT_ANSWER_TIME
    return target.info.slots * REJECTION_WINDOW / answer_time + rejections


def _find_rejections(state: State, target: Target, now: Millis) -> float | None:
    known = state.brittle.get(target.info.service)
    if known is None or now - known.stated_at >= EXPIRY:
        return None
    return known.rejections


def _is_engine(state: State, target: Target) -> bool:
    if state.table is None:
        return False
    service = state.table.services.get(target.info.service)
    return service is not None and service.engine is not None
