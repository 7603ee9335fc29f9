"""Fold of the configuration stream: which document is in force."""

from dataclasses import replace

from figstep.core.clock import Millis
from figstep.core.effects import Count, Effect, Note
from figstep.core.events import ConfigurationRead
from figstep.core.inventory import Inventory
from figstep.core.policies import Figstep, Policy, find_policy
from figstep.core.state import State, TargetState


def judge_record(accepted: int, event: ConfigurationRead) -> str:
    """Return why a record is refused, or "" if it is accepted.

    Args:
        accepted: Offset of the document in force; -1 for none.
        event: The record.
    """
    if event.inventory is None:
        return "the document is not valid: " + "; ".join(event.problems)
    if event.base != accepted:
        return (
            f"made from offset {event.base} but {accepted} is in force;"
            " show it, make the change again and publish"
        )
    return ""


def fold_record(state: State, event: ConfigurationRead, now: Millis) -> list[Effect]:
    """Put an accepted document in force; never go back."""
    if event.offset <= state.configuration_offset:
        return []
    refusal = judge_record(state.configuration_offset, event)
    if refusal or event.inventory is None:
        return [
            Count("configuration.refused"),
            Note(
                "configuration refused",
                {"offset": event.offset, "author": event.author, "why": refusal},
            ),
        ]
    state.configuration_offset = event.offset
    apply_inventory(state, event.inventory)
    return [
        Count("configuration.accepted"),
        Note(
            "configuration in force",
            {"offset": event.offset, "author": event.author, "reason": event.reason},
        ),
    ]


def apply_inventory(state: State, inventory: Inventory) -> None:
    """Make the known targets those of ``inventory``; running work goes on."""
    state.inventory = inventory
    apply_policy(state, inventory)
    known = state.targets
    state.targets = {}
    for info in inventory.list_targets():
        target = known.pop(info.name, None)
        if target is None:
            target = TargetState(info)
        target.info = info
        state.targets[info.name] = target
    for name, target in known.items():
        if target.in_flight == 0:
            continue
        target.leaving = True
        state.targets[name] = target


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
