"""Rates that targets name in their answers."""

from figstep.gateway.effects import Effect, Note
from figstep.gateway.events import RateNamed
from figstep.gateway.state import State
from figstep.gateway.targets import RateLimit


def take_rate(state: State, event: RateNamed) -> list[Effect]:
    """Take in the rate that a target's answer named, or that it named none."""
    target = state.targets.find(event.target)
    if target is None:
        return []
    known = target.limit or RateLimit()
    if known.rate == event.rate:
        return []
    note = Note(
        "target names a rate" if event.rate is not None else "target takes any rate",
        {"target": target.name, "rate": event.rate, "before": known.rate},
    )
    target.limit = RateLimit(event.rate)
    return [note]
