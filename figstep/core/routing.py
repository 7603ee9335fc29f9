"""Choice of the target that runs a request."""

import hashlib

from figstep.core import suspects
from figstep.core.clock import Millis
from figstep.core.inventory import EngineInfo, ServiceInfo
from figstep.core.pacing import Footprint
from figstep.core.policies import Figstep, LeastInFlight, RoundRobin, TwoChoices
from figstep.core.queues import name_pool
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from figstep.core.state import RequestState, State, TargetState
from figstep.core.targets import (
    estimate_footprint,
    estimate_others_memory,
    estimate_others_running,
    initialize_gaps,
)

PREFILL_GAP_FRACTION = 1 / 250
"""Time to prefill one token, as a fraction of the gap between tokens of a generation
that runs alone."""

SHARED_PREFIX_FRACTION = 0.5
"""Assumed fraction of a prompt's prefill time that a cached prefix saves."""

PREFIX_LIFETIME = Millis(60_000)
"""Time for which a prefix is assumed to stay in a target's cache, in milliseconds."""


def serves(target: TargetState, spec: RequestSpec) -> bool:
    """Return whether a target offers the request's model or service at all."""
    match (target.info, spec.work):
        case (EngineInfo(models=models), GenerationWork(model=model)):
            return model in models
        case (ServiceInfo(service=offered), ServiceWork(service=wanted)):
            return offered == wanted
        case _:
            return False


def has_loaded(target: TargetState, spec: RequestSpec) -> bool:
    """Return whether a target has a version of the request's model loaded.

    An engine that never received an order reports no models and serves those of its
    inventory entry, so an empty report counts as loaded. So does a plain service.
    """
    if not target.models or not isinstance(spec.work, GenerationWork):
        return True
    wanted = spec.work.model + "@"
    return any(loaded.startswith(wanted) for loaded in target.models)


def rank_target(node: str, target: str) -> bytes:
    """Return the rendezvous hash of a target for an entry.

    An entry prefers the targets with the highest hashes. ``target`` may also be the
    name of a failure domain.
    """
    return hashlib.sha256(f"{node}/{target}".encode()).digest()[:8]


def choose_subset(
    node: str, targets: list[TargetState], size: int
) -> list[TargetState]:
    """Return the targets that an entry uses, evenly from all failure domains.

    Each entry takes the targets that rank highest for it in each failure domain. If
    a target is added to a failure domain or removed from it, at most one of the
    domain's targets in the subset therefore changes. Every entry loses about the
    same number of targets with a failure domain.

    All targets are returned if ``size`` is 0 or less.
    """
    if size <= 0 or len(targets) <= size:
        return targets
    domains: dict[str, list[TargetState]] = {}
    for target in targets:
        domains.setdefault(target.info.failure_domain, []).append(target)
    for members in domains.values():
        members.sort(key=lambda t: rank_target(node, t.info.name), reverse=True)
    chosen: list[TargetState] = []
    # If the size is not a multiple of the number of domains, some domains give one
    # target more. Each entry has its own order of the domains, so that the domains
    # that give more differ between entries.
    order = sorted(domains, key=lambda name: rank_target(node, name))
    place = 0
    while len(chosen) < size:
        for name in order:
            members = domains[name]
            if place < len(members) and len(chosen) < size:
                chosen.append(members[place])
        place += 1
    return chosen


def list_pool(state: State, spec: RequestSpec) -> list[TargetState]:
    """Return the targets that this entry uses for the request's pool, from a cache."""
    cache = state.pools
    if cache.targets is not state.targets:
        cache.targets = state.targets
        cache.members = {}
        cache.turn = 0
    name = name_pool(spec)
    members = cache.members.get(name)
    if members is None:
        members = [t for t in state.targets.values() if serves(t, spec)]
        size = 0 if state.inventory is None else state.inventory.rules.subset
        members = choose_subset(state.node, members, size)
        cache.members[name] = members
    return members


def list_candidates(
    state: State, request: RequestState, now: Millis = Millis(0)
) -> list[TargetState]:
    """Return the targets that may run the request now, whatever their load.

    Targets are left out that get no new work, lack the model, are avoided by the
    request after a lost attempt, or run another suspect while this request is one.
    Under a ``Figstep`` policy only a random sample of ``choices`` targets is
    considered.
    """
    candidates = []
    for target in _sample_pool(state, list_pool(state, request.spec)):
        if not target.accepts_work:
            continue
        if not has_loaded(target, request.spec):
            continue
        if target.info.name in request.failed_targets:
            continue
        if suspects.blocks_target(state, request, target.info.name):
            continue
        candidates.append(target)
    return candidates


def _sample_pool(state: State, pool: list[TargetState]) -> list[TargetState]:
    match state.policy:
        case Figstep(choices=choices) if len(pool) > choices:
            return state.rng.sample(pool, choices)
        case _:
            return pool


def choose_target(
    state: State, request: RequestState, now: Millis = Millis(0)
) -> TargetState | None:
    """Return the target that the policy chooses for the request.

    It is None if no target may run the request now, or if a ``Figstep`` policy finds
    no engine with capacity.
    """
    candidates = list_candidates(state, request, now)
    if not candidates:
        return None
    match state.policy:
        case RoundRobin():
            state.pools.turn += 1
            return candidates[state.pools.turn % len(candidates)]
        case LeastInFlight():
            return _choose_least_in_flight(state, candidates)
        case TwoChoices():
            pair = state.rng.sample(candidates, min(2, len(candidates)))
            return min(pair, key=lambda t: t.running + t.waiting)
        case Figstep() as policy:
            if not isinstance(request.spec.work, GenerationWork):
                return _choose_least_in_flight(state, candidates)
            return _choose_by_pace(state, policy, candidates, request, now)


def _choose_least_in_flight(state: State, candidates: list[TargetState]) -> TargetState:
    return min(candidates, key=lambda t: (t.in_flight, state.rng.random()))


def _choose_by_pace(
    state: State,
    policy: Figstep,
    candidates: list[TargetState],
    request: RequestState,
    now: Millis,
) -> TargetState | None:
    footprint = estimate_footprint(state, request.spec, request.delivered, now)
    assert footprint is not None
    best, best_score = None, 0.0
    for target in candidates:
        if now < target.pace.avoid_until:
            continue
        others = estimate_others_running(target, now) if policy.others else 0.0
        if not has_capacity(policy, target, footprint, others):
            continue
        score = _score_target(policy, target, request.spec, footprint, others, now)
        score *= 1.0 + 0.01 * state.rng.random()
        if best is None or score < best_score:
            best, best_score = target, score
    return best


def has_capacity(
    policy: Figstep,
    target: TargetState,
    footprint: Footprint,
    others: float = 0.0,
) -> bool:
    """Return whether a target is expected to run a generation without preemptions.

    An idle engine accepts any generation; otherwise a request larger than the memory
    of every engine would wait forever. A plain service has no limit.

    ``others`` is the number of generations that other entries run on the target.
    """
    pace, info = target.pace, target.info
    if not isinstance(info, EngineInfo):
        return True
    running = pace.running + others
    if running == 0:
        return True
    if running + 1 > info.max_running:
        return False
    if policy.reported_queue and target.waiting > 0:
        return False
    if policy.limit and running >= pace.limit:
        return False
    if not policy.memory:
        return True
    predicted = pace.predict_memory(footprint, policy.growth, policy.deviations)
    if others:
        predicted += others * estimate_others_memory(target)
    return predicted <= (target.memory_total or info.memory_tokens)


def _score_target(
    policy: Figstep,
    target: TargetState,
    spec: RequestSpec,
    footprint: Footprint,
    others: float,
    now: Millis,
) -> float:
    pace = target.pace
    running = pace.running + others
    if not policy.pace:
        return running + 1.0
    if pace.gaps.weight == 0.0:
        initialize_gaps(target)
    gap = pace.gaps.predict(running + 1)
    prefill = footprint.held * pace.gaps.predict(1.0) * PREFILL_GAP_FRACTION
    if policy.affinity and _has_prefix(target, spec, now):
        prefill *= 1.0 - SHARED_PREFIX_FRACTION
    return footprint.mean * gap + prefill


def _has_prefix(target: TargetState, spec: RequestSpec, now: Millis) -> bool:
    if not isinstance(spec.work, GenerationWork):
        return False
    sent = target.pace.prefixes.get(spec.work.prefix)
    return sent is not None and now - sent < PREFIX_LIFETIME
