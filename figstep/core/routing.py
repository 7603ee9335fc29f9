"""Choice of the target for a request."""

from figstep.core import suspects
from figstep.core.inventory import EngineInfo, ServiceInfo
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from figstep.core.state import RequestState, State, TargetState


def serves(target: TargetState, spec: RequestSpec) -> bool:
    """Tell whether ``target`` can run the request at all."""
    match (target.info, spec.work):
        case (EngineInfo(models=models), GenerationWork(model=model)):
            return model in models
        case (ServiceInfo(service=offered), ServiceWork(service=wanted)):
            return offered == wanted
        case _:
            return False


def list_candidates(state: State, request: RequestState) -> list[TargetState]:
    """Return the targets that may take the request now."""
    candidates = []
    for target in state.targets.values():
        if target.leaving or target.draining:
            continue
        if not serves(target, request.spec):
            continue
        if target.info.name in request.failed_targets:
            continue
        if suspects.blocks_target(state, request, target.info.name):
            continue
        candidates.append(target)
    return candidates


def choose_target(state: State, request: RequestState) -> TargetState | None:
    """Return the candidate with the least work in flight from here, or None."""
    candidates = list_candidates(state, request)
    if not candidates:
        return None
    return min(candidates, key=lambda t: (t.in_flight, state.rng.random()))
