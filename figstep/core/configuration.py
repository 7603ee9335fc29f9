"""Fold of the configuration stream: which document is in force.

Records are judged strictly in order of offset, so every node that has folded
the same records holds the same document. A node that lacks a record, because
the log dropped it or because a newer program wrote it, judges none of the later
ones until a checkpoint, from the log or from a peer, stands for the records
that it lacks.
"""

from dataclasses import dataclass, replace
from typing import Any

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

EDIT = "edit"
SNAPSHOT = "snapshot"

# A snapshot is renewed well before the log drops it: two lost appends and an
# outage of a third of the retention still leave one in the log.
RENEWALS_PER_RETENTION = 3
SNAPSHOT_RECORDS = 200
JITTER_DIVISOR = 12
SNAPSHOT_APPEND_KEY = -1


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record is in force."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The record changes nothing.

    Attributes:
        rule: Short name of the rule that refused it.
        why: What was wrong and the remedy.
    """

    rule: str
    why: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """This program cannot judge the record."""

    why: str


EditVerdict = Accepted | Refused | Unknown


def check_edit(current: Checkpoint | None, event: ConfigurationRead) -> EditVerdict:
    """Judge an edit against the document in force before it.

    Args:
        current: The accepted edit, or None before the first.
        event: The edit.
    """
    if not event.known:
        return Unknown(
            f"record {event.offset} needs validation version {event.validation};"
            " upgrade this program"
        )
    accepted = -1 if current is None else current.accepted
    if event.base != accepted:
        winner = "nothing" if current is None else f"{accepted} by {current.author}"
        return Refused(
            "base",
            f"made from offset {event.base} but {winner} is in force;"
            " show it, make the change again and publish",
        )
    if event.inventory is None:
        return Refused("validation", "; ".join(event.problems))
    return Accepted()


def fold_record(state: State, event: ConfigurationRead, now: Millis) -> list[Effect]:
    """Put an accepted document in force; never go back."""
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
            return _put_in_force(state, build_checkpoint(event), now)


def build_checkpoint(event: ConfigurationRead) -> Checkpoint:
    """Return the checkpoint right after an accepted edit."""
    return Checkpoint(
        accepted=event.offset,
        position=event.offset,
        edit=event.edit,
        author=event.author,
        reason=event.reason,
        validation=event.validation,
        document=event.document,
        inventory=event.inventory,
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
    """Take what a snapshot stands for; an equal one changes nothing."""
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
    """Jump to a checkpoint that stands for more records than were folded.

    The higher position wins, whether it came from the log or from a peer. The
    records after it are read again, because a stalled node passed over them.
    """
    fold = state.configuration
    if offer.position <= fold.position:
        return []
    if offer.inventory is None:
        return _stall(
            fold,
            f"checkpoint {offer.accepted} needs validation version"
            f" {offer.validation}; upgrade this program",
        )
    if offer.accepted < state.configuration_offset:
        # Accepted offsets only grow along the stream, so this checkpoint was
        # made by a program that folds wrongly; taking it would undo an edit.
        return [
            Count("configuration.checkpoint_invalid"),
            Note("configuration checkpoint ignored", {"accepted": offer.accepted}),
        ]
    fold.position = offer.position
    fold.stalled = ""
    effects: list[Effect] = [ReadConfigurationFrom(offer.position + 1)]
    if offer.accepted > state.configuration_offset:
        effects += _put_in_force(state, offer, now)
    return effects


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
    """Make the known targets those of ``inventory``; running work goes on."""
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
    """Wake when the newest snapshot is due for renewal, spread among nodes.

    All nodes find a snapshot due at the same time; the spread lets the first
    one append it and the others see it before their own turn.
    """
    made = state.configuration.snapshot_made
    due = now if made is None else made + _renewal_period(state)
    jitter = state.retention // JITTER_DIVISOR
    at = max(now, due) + state.rng.randrange(max(1, jitter))
    return WakeAt(SnapshotTimer(), Millis(at))


def needs_snapshot(state: State, now: Millis) -> bool:
    """Tell whether the log should hold a newer snapshot."""
    fold = state.configuration
    if fold.snapshot_made is None:
        return True
    if fold.position - fold.snapshot_position >= SNAPSHOT_RECORDS:
        return True
    return now - fold.snapshot_made >= _renewal_period(state)


def renew_snapshot(state: State, now: Millis) -> list[Effect]:
    """Append a snapshot unless another node did; look again later."""
    fold = state.configuration
    wake = _schedule_renewal(state, now)
    if fold.current is None or fold.stalled or not needs_snapshot(state, now):
        return [wake]
    record = encode_snapshot(fold.current, fold.position)
    return [
        AppendRecords(CONFIGURATION, SNAPSHOT_APPEND_KEY, [record]),
        Count("configuration.snapshots"),
        wake,
    ]


def encode_snapshot(current: Checkpoint, position: int) -> dict[str, Any]:
    """Return the record of a checkpoint after folding up to ``position``."""
    return {
        "kind": SNAPSHOT,
        "accepted": current.accepted,
        "position": position,
        "edit": current.edit,
        "author": current.author,
        "reason": current.reason,
        "validation": current.validation,
        "document": current.document,
    }


def apply_policy(state: State, inventory: Inventory) -> None:
    """Take the load policy and the customers' shares from the rules."""
    state.shares = {c.name: c.share for c in inventory.customers}
    policy = find_policy(inventory.rules.routing)
    if isinstance(policy, Figstep):
        policy = replace(policy, gap_goal=float(inventory.rules.gap_goal))
    set_policy(state, policy)


def set_policy(state: State, policy: Policy) -> None:
    """Decide by ``policy`` from now on."""
    state.policy = policy
    match policy:
        case Figstep(fair=fair, shortest_first=shortest_first):
            state.queue.order_by(fair, shortest_first)
        case _:
            state.queue.order_by(fair=False, shortest_first=False)
