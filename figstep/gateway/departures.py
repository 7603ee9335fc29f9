"""Targets that have announced that they leave.

The case handled here is a fleet that cannot read the store while targets leave: their
registrations stay as they were, and only the targets know that they leave. What a
target has announced to any entry holds for all entries, and for `LEAVING_RETENTION`:
earlier registrations are read again and again, from the store once it is back and from
copies that other entries hold.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.gateway import copies, crashes
from figstep.gateway.effects import Announce, Effect, Note
from figstep.gateway.events import TargetRestarted
from figstep.gateway.state import LEAVING_RETENTION, Departure, State
from figstep.gateway.targets import Incarnation, Registration, Standing, Target


def handle_leaving(state: State, incarnation: Incarnation, now: Millis) -> list[Effect]:
    """Handle a target's announcement to this entry that it leaves.

    Other entries are informed at once if the target was not known to leave.
    """
    state.departures[incarnation] = Departure(now, own=True)
    target = state.targets.find(incarnation.target)
    if target is None or target.info.incarnation != incarnation:
        return []
    if target.announced_leaving:
        return []
    target.announced_leaving = True
    effects = _apply_leaving(state, target, "itself", now)
    return [Announce(), *effects] if effects else []


def handle_restarted(state: State, event: TargetRestarted, now: Millis) -> list[Effect]:
    """Handle a target's report of another start than the one it registered.

    The registered incarnation has ended, and gets nothing more here or from other
    entries. The target serves again once its new registration, which names its version,
    is read. An earlier start shows that as well, as the target's clock may have been
    set back: the query was sent after the registration was read.
    """
    incarnation = event.incarnation
    target = state.targets.find(incarnation.target)
    if event.born in (0, incarnation.born) or target is None:
        return []
    if target.info.incarnation != incarnation or target.restarted:
        return []
    target.restarted = True
    effects = crashes.record_end(state, target, now)
    fields: dict[str, str | int | float | None] = {
        "target": target.name,
        "registered": incarnation.born,
        "reported": event.born,
    }
    note = Note("target restarted before its registration was read", fields)
    return [note, *effects, *handle_leaving(state, incarnation, now)]


def apply_leaving_reports(
    state: State, leaving: Iterable[Incarnation], source: str, now: Millis
) -> list[Effect]:
    """Apply another entry's report of targets that leave."""
    effects: list[Effect] = []
    for incarnation in leaving:
        state.departures.setdefault(incarnation, Departure(now, own=False))
        target = state.targets.find(incarnation.target)
        if target is not None and target.info.incarnation == incarnation:
            effects += _apply_leaving(state, target, source, now)
    return effects


def record_draining(state: State, info: Registration, now: Millis) -> None:
    """Record that a registration states that its target leaves.

    An older copy of the store may hold an earlier registration of the incarnation. One
    that does not state its start can't be told from a later one.
    """
    if info.born:
        state.departures.setdefault(info.incarnation, Departure(now, own=False))


def _apply_leaving(
    state: State, target: Target, source: str, now: Millis
) -> list[Effect]:
    if target.standing is not Standing.READY:
        return []
    state.targets.record_departure(target.name, now)
    fields: dict[str, str | int | float | None] = {
        "target": target.name,
        "told_by": source,
    }
    note = Note("target says that it leaves", fields)
    return [note, *copies.migrate_streams(state, now)]


def has_announced_leaving(state: State, info: Registration) -> bool:
    """Return whether a registration's incarnation has announced that it leaves."""
    return info.incarnation in state.departures


def remove_expired(state: State, now: Millis) -> None:
    """Remove announcements that are older than `LEAVING_RETENTION`."""
    for incarnation, departure in list(state.departures.items()):
        if now - departure.at >= LEAVING_RETENTION:
            del state.departures[incarnation]
