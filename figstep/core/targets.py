"""What targets report of themselves."""

from figstep.core.clock import Millis
from figstep.core.effects import Effect
from figstep.core.events import LoadReported
from figstep.core.state import State


def record_load(state: State, event: LoadReported, now: Millis) -> list[Effect]:
    """Keep a load report; one of an older incarnation is stale."""
    target = state.targets.get(event.target)
    if target is None or event.incarnation < target.incarnation:
        return []
    if event.incarnation > target.incarnation:
        target.incarnation = event.incarnation
        target.leaving = False
    target.leaving = target.leaving or event.leaving
    target.running = event.running
    target.waiting = event.waiting
    target.memory_used = event.memory_used
    target.memory_total = event.memory_total
    target.models = event.models
    target.reported = Millis(now - event.age)
    return []
