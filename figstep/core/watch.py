"""Selection of the engines whose load reports an entry reads."""

from figstep.core import leases
from figstep.core.clock import Millis
from figstep.core.inventory import EngineInfo
from figstep.core.placement import LEASE_PREFIX
from figstep.core.routing import list_pool
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import State


def list_watched(state: State, now: Millis) -> list[EngineInfo]:
    """Return the engines to which this entry may send work or orders.

    These are the engines of the pools that it uses and those of failure domains
    whose lease it holds. In a large fleet, reading the reports of all engines would
    cost an entry many times its budget for control traffic.
    """
    if state.inventory is None:
        return []
    watched: dict[str, EngineInfo] = {}
    for model in state.inventory.models:
        sample_spec = RequestSpec("", "", GenerationWork(model.name))
        for target in list_pool(state, sample_spec):
            if isinstance(target.info, EngineInfo):
                watched[target.info.name] = target.info
    held = _list_held_domains(state, now)
    for engine in state.inventory.engines:
        if engine.failure_domain in held:
            watched[engine.name] = engine
    return list(watched.values())


def _list_held_domains(state: State, now: Millis) -> set[str]:
    held = set()
    for lease in state.leases.holdings:
        if leases.find_holding(state.leases, lease, now) is not None:
            held.add(lease.removeprefix(LEASE_PREFIX))
    return held
