"""Start and end of the evacuation of failure domains.

Runs and calls that are open at targets of an evacuated failure domain finish there: its
targets and entries keep running, and the other engines already have to accept all new
work. Nothing else is sent to the failure domain.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.core.positions import NO_POSITION
from figstep.gateway import warmups
from figstep.gateway.effects import Effect, Note
from figstep.gateway.eras import STALE_COPY_DURATION
from figstep.gateway.places import Evacuations
from figstep.gateway.state import State


def apply_evacuations(
    state: State, received: Evacuations, source: str, now: Millis
) -> list[Effect]:
    """Apply a set of evacuated failure domains if it is newer than the known one.

    Evacuations that are missing as the store came back from an older copy are kept for
    a while. For the log, `source` is "store" or the name of the peer that sent the set.
    """
    known = state.evacuations
    if received.position <= known.position:
        return []
    before = state.evacuated_domains
    if known.position != NO_POSITION and received.position.era > known.position.era:
        hold_evacuations(state, known.domains - received.domains, now)
    for domain in received.domains:
        state.held_evacuations.pop(domain, None)
    state.evacuations = received
    return _update_targets(state, before, source, now)


def hold_evacuations(state: State, domains: Iterable[str], now: Millis) -> None:
    """Keep failure domains evacuated for a while that the store does not name."""
    for domain in domains:
        until = Millis(now + STALE_COPY_DURATION)
        state.held_evacuations.setdefault(domain, until)


def apply_held_evacuations(
    state: State, domains: Iterable[str], source: str, now: Millis
) -> list[Effect]:
    """Apply the evacuations that a peer keeps against an older copy of the store."""
    before = state.evacuated_domains
    hold_evacuations(state, frozenset(domains) - before, now)
    return _update_targets(state, before, source, now)


def drop_expired(state: State, now: Millis) -> list[Effect]:
    """End the kept evacuations that the operator has not written again in time."""
    before = state.evacuated_domains
    for domain, until in list(state.held_evacuations.items()):
        if until <= now:
            del state.held_evacuations[domain]
    return _update_targets(state, before, "store", now)


def _update_targets(
    state: State, before: frozenset[str], source: str, now: Millis
) -> list[Effect]:
    """Apply a change of the evacuated failure domains, and describe it."""
    domains = state.evacuated_domains
    if domains == before:
        return []
    ended = before - domains
    for target in state.targets.targets.values():
        domain = target.info.failure_domain
        target.evacuated = domain in domains
        if domain in ended:
            # Targets of the failure domain are mostly cold when they come back, and
            # registrations that state it may arrive after the first requests.
            warmups.assume_cold(state, target, now)
    return [
        *_list_notes(state, "failure domain evacuated", domains - before, source),
        *_list_notes(state, "evacuation taken back", ended, source),
    ]


def _list_notes(
    state: State, message: str, domains: frozenset[str], source: str
) -> list[Effect]:
    position = state.evacuations.position
    notes: list[Effect] = []
    for domain in sorted(domains):
        fields: dict[str, str | int | float | None] = {
            "failure_domain": domain,
            "era": position.era,
            "position": position.offset,
            "told_by": source,
        }
        notes.append(Note(message, fields))
    return notes
