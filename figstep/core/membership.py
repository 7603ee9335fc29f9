"""Which instances live, leave or are gone."""

from figstep.core.clock import Millis
from figstep.core.effects import Effect
from figstep.core.events import InstancesListed
from figstep.core.state import State


def record_instances(state: State, event: InstancesListed, now: Millis) -> list[Effect]:
    """Mark targets that the platform's list calls leaving.

    The list lags, so a live entry never clears a mark that another source
    set; only a newer incarnation of the target does.
    """
    for instance in event.instances:
        target = state.targets.get(instance.name)
        if target is None:
            continue
        if instance.incarnation > target.incarnation:
            target.incarnation = instance.incarnation
            target.leaving = False
        if instance.leaving and instance.incarnation >= target.incarnation:
            target.leaving = True
    return []
