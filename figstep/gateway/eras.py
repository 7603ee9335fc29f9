"""What an entry keeps against a store that came back from an older copy.

Such a copy lacks the newest records, or holds registrations whose removal it lacks. The
operator and the targets write what is missing again, so what this entry knew before is
believed for a while, and the store after that. Configurations need no such time, as the
one with the highest version applies, nor do targets that said that they leave, as no
incarnation takes that back.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.core.positions import NO_POSITION, Position
from figstep.gateway.effects import Count, Effect, Note
from figstep.gateway.state import HeldRegistration, State
from figstep.gateway.targets import Registration, Standing

STALE_COPY_DURATION = Millis(5_000)
"""How long, in milliseconds, an entry's knowledge of departures and evacuations holds
against a copy of the store that lacks them.

By then the store itself has dropped the registration of a target that no longer renews
it.
"""


def record_list_position(state: State, position: Position, now: Millis) -> list[Effect]:
    """Record up to where a list of all registrations was read, in which era."""
    before = state.position
    state.position = position
    if before == NO_POSITION or position.era == before.era:
        return []
    state.era_began_at = now
    # The copy may lack what entries wrote: it is written again.
    state.history.recorded.clear()
    state.history.confirmed.clear()
    state.starts.mark_unrecorded()
    fields: dict[str, str | int | float | None] = {
        "era": position.era,
        "era_before": before.era,
        "position": position.offset,
        "position_before": before.offset,
        "targets": len(state.targets.targets),
        "evacuated": " ".join(sorted(state.evacuated_domains)),
    }
    message = "store came back from an older copy; its registrations are read anew"
    return [Count("store_eras"), Note(message, fields)]


def hold_stale(
    state: State, registrations: Iterable[Registration], now: Millis
) -> tuple[list[Registration], list[Effect]]:
    """Hold back the listed registrations that a recent copy may have brought back.

    These are registrations of targets whose departure was read before. They are
    believed at the end of `STALE_COPY_DURATION`, or with a record that is read alone.

    Returns:
        The registrations that are believed now, and log lines on the others.
    """
    until = Millis(state.era_began_at + STALE_COPY_DURATION)
    believed = []
    effects: list[Effect] = []
    for info in registrations:
        if now >= until or not _has_departed(state, info):
            state.held_registrations.pop(info.target, None)
            believed.append(info)
            continue
        if info.target not in state.held_registrations:
            fields: dict[str, str | int | float | None] = {
                "target": info.target,
                "wait_ms": until - now,
            }
            effects.append(Note("registration held: it may be an old copy", fields))
        state.held_registrations[info.target] = HeldRegistration(info, until)
    return believed, effects


def is_later(
    state: State, known: Registration, info: Registration, now: Millis
) -> bool:
    """Return whether a registration is of a later incarnation than a known one.

    Both have the same id. Records are read in the order in which they were written,
    whatever the clocks of targets say, but for a recent older copy of the store.
    """
    if now < state.era_began_at + STALE_COPY_DURATION:
        return info.born > known.born
    return info.born != known.born


def _has_departed(state: State, info: Registration) -> bool:
    target = state.targets.find(info.target)
    if target is None or target.standing is not Standing.LEAVING:
        return False
    return target.info.incarnation == info.incarnation and not info.draining


def drop_held(state: State, target: str) -> None:
    """Drop a held registration, as a newer record of its target was read."""
    state.held_registrations.pop(target, None)


def pop_due(state: State, now: Millis) -> list[Registration]:
    """Remove and return the held registrations that are believed from now on."""
    due = [held.info for held in state.held_registrations.values() if held.until <= now]
    for info in due:
        del state.held_registrations[info.target]
    return due
