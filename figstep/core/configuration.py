"""Fold of the configuration stream: which document is in force.

Records are folded strictly in order of offset, so all nodes that have folded the
same records hold the same document. If a node misses a record because the log
dropped it, or cannot read one that a newer program wrote, its fold stalls. It
continues when a checkpoint, from the log or from a peer, replaces the missing
records.
"""

from dataclasses import dataclass, replace
from typing import Any

from figstep.core import lost_edits
from figstep.core.clock import Millis
from figstep.core.effects import (
    AppendRecords,
    Count,
    Effect,
    Note,
    ReadConfigurationFrom,
    WakeAt,
)
from figstep.core.events import (
    Checkpoint,
    ConfigurationRead,
    SnapshotRead,
    SnapshotTimer,
)
from figstep.core.inventory import Inventory
from figstep.core.policies import Figstep, Policy, find_policy
from figstep.core.records import CONFIGURATION
from figstep.core.state import ConfigurationFold, State, TargetState

SNAPSHOT = "snapshot"
"""Kind of a record that holds a checkpoint of the fold."""

RENEWALS_PER_RETENTION = 3
"""Number of snapshots that are appended within the log's retention.

A snapshot is thus renewed long before the log deletes it: two lost appends and an
outage of a third of the retention still leave one in the log.
"""
SNAPSHOT_RECORDS = 200
"""Number of folded records after which a new snapshot is appended early."""
JITTER_DIVISOR = 12
"""The log's retention divided by the longest random delay of a renewal."""
SNAPSHOT_APPEND_KEY = -1
"""Key of all appends of snapshots, whose answers are not awaited."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """Verdict on an edit that is accepted and comes into force."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Verdict on an edit that is refused and changes nothing.

    Attributes:
        rule: Short name of the rule that refused the edit.
        why: What was wrong, and the remedy.
    """

    rule: str
    why: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Verdict on an edit whose validation version this program does not know.

    Attributes:
        why: What is missing, and the remedy.
    """

    why: str


EditVerdict = Accepted | Refused | Unknown


def check_edit(current: Checkpoint | None, event: ConfigurationRead) -> EditVerdict:
    """Check an edit against the document that is in force before it.

    ``current`` is None before the first accepted edit.
    """
    if not event.known:
        return Unknown(
            f"record {event.offset} needs validation version {event.validation};"
            " upgrade this program"
        )
    accepted = -1 if current is None else current.accepted
    if event.base != accepted or not _names_base(event, current):
        winner = "nothing" if current is None else f"{accepted} by {current.author}"
        return Refused(
            "base",
            f"made from offset {event.base} but {winner} is in force;"
            " show it, make the change again and publish",
        )
    if event.inventory is None:
        return Refused("validation", "; ".join(event.problems))
    return Accepted()


def _names_base(event: ConfigurationRead, current: Checkpoint | None) -> bool:
    """Return whether an edit was made from the current one, if it names its base.

    When the log comes back from an older copy, another edit may have the same offset.
    """
    if not event.base_edit or current is None:
        return True
    return event.base_edit == current.edit


def fold_record(state: State, event: ConfigurationRead, now: Millis) -> list[Effect]:
    """Fold an edit and put its document in force if it is accepted.

    Records that were folded already are ignored, so an older document never comes
    back into force. Missing records before the edit, or a validation version that
    this program does not know, stall the fold.
    """
    fold = state.configuration
    if event.offset <= fold.position:
        return []
    if event.offset != fold.position + 1:
        return _stall(fold, f"records {fold.position + 1} to {event.offset - 1} lack")
    match check_edit(fold.current, event):
        case Unknown(why=why):
            return _stall(fold, why)
        case Refused(rule=rule, why=why):
            fold.position = event.offset
            return [Count("configuration.refused"), _describe_refusal(event, rule, why)]
        case Accepted():
            fold.position = event.offset
            checkpoint = build_checkpoint(event, fold.era)
            return _accept_checkpoint(state, checkpoint, now)


def build_checkpoint(event: ConfigurationRead, era: int = 0) -> Checkpoint:
    """Return the checkpoint that results from folding an accepted edit."""
    return Checkpoint(
        accepted=event.offset,
        position=event.offset,
        edit=event.edit,
        author=event.author,
        reason=event.reason,
        validation=event.validation,
        document=event.document,
        inventory=event.inventory,
        time=event.time,
        era=era,
    )


def _describe_refusal(event: ConfigurationRead, rule: str, why: str) -> Note:
    return Note(
        "configuration refused",
        {"offset": event.offset, "author": event.author, "rule": rule, "why": why},
    )


def _stall(fold: ConfigurationFold, why: str) -> list[Effect]:
    if fold.stalled:
        return []
    fold.stalled = why
    return [
        Count("configuration.stalled"),
        Note(
            "configuration stalled: the document in force stays",
            {"position": fold.position, "why": why},
        ),
    ]


def fold_snapshot(state: State, event: SnapshotRead, now: Millis) -> list[Effect]:
    """Fold a snapshot: apply its checkpoint and schedule the next renewal.

    A snapshot of a state that this node has folded already leaves the document as
    it is. The checkpoint of a snapshot that claims to cover its own offset or later
    ones is counted as invalid and not applied.
    """
    fold = state.configuration
    effects: list[Effect] = []
    checkpoint = event.checkpoint
    if checkpoint.position >= event.offset:
        effects.append(Count("configuration.snapshot_invalid"))
    else:
        effects += apply_checkpoint(state, checkpoint, now)
    if event.offset == fold.position + 1:
        fold.position = event.offset
    if checkpoint.position >= fold.snapshot_position:
        fold.snapshot_position = checkpoint.position
        fold.snapshot_made = Millis(now - event.age)
        effects.append(_schedule_renewal(state, now))
    return effects


def apply_checkpoint(state: State, offer: Checkpoint, now: Millis) -> list[Effect]:
    """Continue from a checkpoint that covers more records than were folded.

    The higher position wins, whether the checkpoint comes from the log or from a
    peer, and a position of a later era of the log before any earlier one. The records
    after the checkpoint are read again, because a stalled node skipped them. A
    checkpoint that this program cannot validate stalls the fold.
    """
    fold = state.configuration
    if offer.era < fold.era:
        return []
    if offer.era > fold.era:
        begun = lost_edits.begin_era(state, offer.era)
        return begun + apply_checkpoint(state, offer, now)
    if offer.position <= fold.position:
        return []
    if offer.inventory is None:
        return _stall(
            fold,
            f"checkpoint {offer.accepted} needs validation version"
            f" {offer.validation}; upgrade this program",
        )
    if offer.accepted < state.configuration_offset:
        # Accepted offsets only grow along the stream, so a faulty program made
        # this checkpoint; applying it would undo an edit.
        return [
            Count("configuration.checkpoint_invalid"),
            Note("configuration checkpoint ignored", {"accepted": offer.accepted}),
        ]
    fold.position = offer.position
    fold.stalled = ""
    effects: list[Effect] = [ReadConfigurationFrom(offer.position + 1)]
    if offer.accepted > state.configuration_offset:
        effects += _accept_checkpoint(state, offer, now)
    return effects


def _accept_checkpoint(state: State, accepted: Checkpoint, now: Millis) -> list[Effect]:
    """Put a document in force unless the kept one of an era before is newer."""
    fold = state.configuration
    if fold.kept is not None and not lost_edits.supersedes(accepted, fold.kept):
        fold.current = accepted
        return []
    fold.kept = None
    return _put_in_force(state, accepted, now)


def _put_in_force(state: State, accepted: Checkpoint, now: Millis) -> list[Effect]:
    assert accepted.inventory is not None
    fold = state.configuration
    first = fold.current is None
    fold.current = accepted
    state.configuration_offset = accepted.accepted
    apply_inventory(state, accepted.inventory)
    effects: list[Effect] = [
        Count("configuration.accepted"),
        Note(
            "configuration in force",
            {
                "offset": accepted.accepted,
                "author": accepted.author,
                "reason": accepted.reason,
            },
        ),
    ]
    if first:
        effects.append(_schedule_renewal(state, now))
    return effects


def apply_inventory(state: State, inventory: Inventory) -> None:
    """Replace the known targets by those of ``inventory`` and apply its load policy.

    Targets that are no longer listed but still run attempts are kept and drained;
    the other unlisted ones are removed.
    """
    state.inventory = inventory
    draining = {mark.target for mark in inventory.draining}
    evacuated = {mark.failure_domain for mark in inventory.evacuated}
    apply_policy(state, inventory)
    previous = state.targets
    state.targets = {}
    for info in inventory.list_targets():
        target = previous.pop(info.name, None)
        if target is None:
            target = TargetState(info)
        target.info = info
        is_evacuated = info.failure_domain in evacuated
        target.draining = is_evacuated or info.name in draining
        state.targets[info.name] = target
    for name, target in previous.items():
        if target.in_flight == 0:
            continue
        target.draining = True
        state.targets[name] = target


def _renewal_period(state: State) -> int:
    return state.retention // RENEWALS_PER_RETENTION


def _schedule_renewal(state: State, now: Millis) -> WakeAt:
    """Schedule a wake-up for when the newest snapshot is due for renewal.

    A snapshot becomes due on all nodes at the same time. The random delay lets one
    node append the new snapshot and the others read it before they are due.
    """
    made = state.configuration.snapshot_made
    due = now if made is None else made + _renewal_period(state)
    jitter = state.retention // JITTER_DIVISOR
    at = max(now, due) + state.rng.randrange(max(1, jitter))
    return WakeAt(SnapshotTimer(), Millis(at))


def needs_snapshot(state: State, now: Millis) -> bool:
    """Return whether the log should get a newer snapshot.

    A newer one is needed if this node has read none, if ``SNAPSHOT_RECORDS`` or more
    records were folded after the newest one, or if its age has reached the renewal
    period.
    """
    fold = state.configuration
    if fold.snapshot_made is None:
        return True
    if fold.position - fold.snapshot_position >= SNAPSHOT_RECORDS:
        return True
    return now - fold.snapshot_made >= _renewal_period(state)


def renew_snapshot(state: State, now: Millis) -> list[Effect]:
    """Append a snapshot if the log needs a newer one, and schedule the next check.

    None is appended while no document is in force or the fold is stalled.
    """
    fold = state.configuration
    wake = _schedule_renewal(state, now)
    if fold.current is None or fold.kept is not None or fold.stalled:
        return [wake]
    if not needs_snapshot(state, now):
        return [wake]
    record = encode_snapshot(fold.current, fold.position)
    return [
        AppendRecords(CONFIGURATION, SNAPSHOT_APPEND_KEY, [record]),
        Count("configuration.snapshots"),
        wake,
    ]


def encode_snapshot(current: Checkpoint, position: int) -> dict[str, Any]:
    """Return the snapshot record of a checkpoint.

    ``position`` is the last offset that was folded, which the snapshot covers.
    """
    return {
        "kind": SNAPSHOT,
        "accepted": current.accepted,
        "position": position,
        "edit": current.edit,
        "author": current.author,
        "reason": current.reason,
        "validation": current.validation,
        "document": current.document,
        "time": current.time,
        "era": current.era,
    }


def apply_policy(state: State, inventory: Inventory) -> None:
    """Apply the load policy of the rules and the shares of the customers."""
    state.shares = {c.name: c.share for c in inventory.customers}
    policy = find_policy(inventory.rules.routing)
    if isinstance(policy, Figstep):
        policy = replace(policy, gap_goal=float(inventory.rules.gap_goal))
    set_policy(state, policy)


def set_policy(state: State, policy: Policy) -> None:
    """Set the load policy and order the queue accordingly."""
    state.policy = policy
    match policy:
        case Figstep(fair=fair, shortest_first=shortest_first):
            state.queue.order_by(fair, shortest_first)
        case _:
            state.queue.order_by(fair=False, shortest_first=False)
