"""Restoration of claims that the log lost when it came back from an older copy.

Each process appends its own recent claims again as soon as it reads of the return. What
nobody has restored once a process has read the new era to its end, it appends after a
random delay, as the owner may have ended. Records that are restored twice are harmless.

A process that does not know what was lost could own an identity whose request has run.
So claims that are made in a new era are held for `SETTLING_TIME`, also by a process
that starts in it; an earlier claim that is restored meanwhile owns the identity.
"""

from collections.abc import Mapping, Set
from typing import Any

from figstep.core import claims, settlement
from figstep.core.claims import Claim, ClaimTable, OwnClaimState
from figstep.core.clock import SECOND, Millis
from figstep.core.effects import AppendRecords, Count, Effect, Note, WakeAt
from figstep.core.events import EraTimer, RestoreTimer, StreamCaughtUp, StreamRestarted
from figstep.core.records import CLAIMS
from figstep.core.state import State

SETTLING_TIME = Millis(5 * SECOND)
"""Time for which claims are held in a new era, in milliseconds."""
RECENT_TIME = Millis(60 * SECOND)
"""Age in milliseconds up to which a claim is restored before it is known to be lost.

An older copy of the log lacks the records of some seconds.
"""
MIN_RESTORE_DELAY = Millis(300)
"""Shortest delay before claims of other processes are restored, in milliseconds."""
MAX_RESTORE_DELAY = Millis(2 * SECOND)
"""Longest delay before claims of other processes are restored, in milliseconds."""
RESTORE_BATCH = 500
"""Maximum number of claims that are restored by one append."""
RESTORE_APPEND_KEY = -2
"""Key of all appends of restored claims, which are repeated until they are read."""


def handle_restart(state: State, event: StreamRestarted, now: Millis) -> list[Effect]:
    """Restore this process's recent claims and hold new ones until others did so."""
    table = state.claims
    table.caught_up = False
    table.era = event.era
    table.settled_at = Millis(now + SETTLING_TIME)
    for claim in table.owners.values():
        if claim.outcome is not None and claim.outcome_era < 0:
            # The log may have lost an outcome before this process read it back.
            claim.outcome_era = 0
    records = _list_own_claims(state, now)
    message = "claims read in another era of the log"
    return [
        Count("claims.eras"),
        Note(message, {"era": event.era, "restored": len(records)}),
        WakeAt(EraTimer(), table.settled_at),
        *_append_restored(records),
    ]


def _list_own_claims(state: State, now: Millis) -> list[dict[str, Any]]:
    pending = []
    for own in state.claims.own.values():
        request = state.requests.get(own.request)
        if own.state is not OwnClaimState.PENDING or own.won is not None:
            continue
        if request is not None:
            data = claims.build_claim(own.record, own.identity, request.spec.digest)
            pending.append(data)
    recent = {}
    for name, claim in state.claims.owners.items():
        is_own = claim.record.startswith(f"{state.node}.")
        if is_own and now - claim.folded <= RECENT_TIME:
            recent[name] = claim
    records = _list_lost_releases(state.claims, set(recent))
    return records + _list_lost_claims(state.claims, recent) + pending


def handle_caught_up(state: State, event: StreamCaughtUp, now: Millis) -> list[Effect]:
    """Record that the claims stream is read to its end, so claims may be appended."""
    if event.stream != CLAIMS:
        return []
    table = state.claims
    table.caught_up = True
    if not table.era:
        return []
    delay = state.rng.randrange(MIN_RESTORE_DELAY, MAX_RESTORE_DELAY)
    return [WakeAt(RestoreTimer(), Millis(now + delay))]


def restore_lost(state: State, now: Millis) -> list[Effect]:
    """Restore what this process knows and has not read in the log's era.

    Nothing is restored while the era is not read to its end.
    """
    table = state.claims
    if not table.caught_up:
        return []
    remembered = {}
    for name, claim in table.owners.items():
        if now - claim.folded <= claim.window:
            remembered[name] = claim
    records = _list_lost_releases(table) + _list_lost_claims(table, remembered)
    if not records:
        return []
    again = WakeAt(RestoreTimer(), Millis(now + MAX_RESTORE_DELAY))
    return [*_append_restored(records[:RESTORE_BATCH]), again]


def _list_lost_releases(
    table: ClaimTable, names: Set[str] | None = None
) -> list[dict[str, Any]]:
    """Return records of releases that were not read in the log's era.

    They are appended before the claims: a claim that was made after the release of an
    earlier one owns its identity only if the release is read first.

    Args:
        table: Table of claims.
        names: Names of the identities; None for all.
    """
    records = []
    for record, release in table.released.items():
        if release.era < table.era and (names is None or release.name in names):
            records.append(claims.build_release(record, release.name))
    return records


def _list_lost_claims(
    table: ClaimTable, known: Mapping[str, Claim]
) -> list[dict[str, Any]]:
    """Return records of claims and outcomes that were not read in the log's era.

    Args:
        table: Table of claims.
        known: Claims that own their identities, by name of the identity.
    """
    records = []
    for name, claim in known.items():
        if claim.era < table.era:
            records.append(claims.restore_claim(name, claim))
        if claim.outcome is not None and 0 <= claim.outcome_era < table.era:
            records.append(claims.build_outcome(claim.record, name, claim.outcome))
    return records


def _append_restored(records: list[dict[str, Any]]) -> list[Effect]:
    if not records:
        return []
    return [
        AppendRecords(CLAIMS, RESTORE_APPEND_KEY, records),
        Count("claims.restored", len(records)),
    ]


def begin_held(state: State, now: Millis) -> list[Effect]:
    """Start the requests whose claims were held and still own their identities."""
    table = state.claims
    effects: list[Effect] = []
    if now < table.settled_at:
        return effects
    for own in list(table.own.values()):
        if own.won is None or own.state is not OwnClaimState.PENDING:
            continue
        owner = table.owners.get(own.identity.name)
        if owner is not None and owner.record == own.record:
            effects += settlement.begin_owned(state, own, own.won, now)
    return effects
