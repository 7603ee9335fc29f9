"""Targets that say in their answers that they leave."""

from figstep.gateway.effects import Effect, Note
from figstep.gateway.events import TargetLeaving
from figstep.gateway.state import State


def take_word(state: State, event: TargetLeaving) -> list[Effect]:
    """Take in that a target's answer said that the target leaves."""
    target = state.targets.find(event.target)
    if target is None or target.said_leaving:
        return []
    target.said_leaving = True
    note = Note(
        "target says that it leaves",
        {"target": target.name, "standing": target.standing.value},
    )
    return [note]
