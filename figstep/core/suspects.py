"""Handling of deaths of targets, and of the requests that may have caused them."""

from figstep.core import quarantine
from figstep.core.clock import Millis
from figstep.core.crashes import Suspicion
from figstep.core.effects import Count, Effect, Note, ProbeTarget
from figstep.core.events import LoadReported
from figstep.core.state import AttemptState, RequestState, State, TargetState

MAX_DEATHS = 3
"""Number of deaths of a request's targets after which the request is not restarted,
even if another request may have caused them."""

LOST_CALL_RETENTION = Millis(6_000)
"""Time after a call's connection broke in which the call becomes a suspect if its
target is found dead, in milliseconds."""

PROBE_INTERVAL = Millis(200)
"""Shortest time between two probes of a target, in milliseconds."""


def record_death(state: State, attempt: AttemptState, now: Millis) -> list[Effect]:
    """Make every request in flight on a target that died a suspect.

    The attempts that one death ends are reported as lost one by one. The first loss
    counts the death for all requests on the target; at a later loss of the same death
    the request's generation is already counted.

    ``attempt`` is the one whose loss showed the death; it is removed already.
    """
    target = state.targets.get(attempt.target)
    if target is None:
        return []
    affected = _list_affected(state, attempt)
    return _count_affected(state, target, affected, now)


def detect_restart(state: State, event: LoadReported, now: Millis) -> list[Effect]:
    """Count a newer incarnation in a load report as the death of the previous one.

    Nothing is counted unless the target has accepted a request that is still open, or
    has failed to resume one since.
    """
    target = state.targets.get(event.target)
    if target is None or target.incarnation == 0:
        return []
    if event.incarnation <= target.incarnation:
        if event.incarnation == target.incarnation:
            _clear_failed(target, Millis(now - event.age))
        return []
    failed = list(target.lost)
    target.lost.clear()
    if target.death_incarnation == target.incarnation:
        # Lost streams have reported this death already. The requests that run on the
        # target now were started on the new incarnation and cannot have caused it.
        return _suspect(state, target, failed, now)
    affected = []
    for request in state.requests.values():
        if request.target == event.target and request.accepted:
            affected.append(request)
    effects = _count_affected(state, target, affected, now) if affected else []
    return effects + (_count_death(state, target, failed, now) if failed else [])


def record_failed_resume(
    state: State, request: RequestState, attempt: AttemptState, now: Millis
) -> None:
    """Record a request that its target fails to resume, until its next report.

    A target that is busy refuses, and one that has died and started again may as well.
    Its incarnation distinguishes the two.
    """
    target = state.targets.get(attempt.target)
    if target is None or target.incarnation == 0:
        return
    if request.died_with != request.generation:
        target.lost[request.spec.digest] = now


def _clear_failed(target: TargetState, reported: Millis) -> None:
    """Clear what a target failed to resume before a report of the same incarnation."""
    for digest, lost_at in list(target.lost.items()):
        if lost_at < reported:
            del target.lost[digest]


def record_broken_call(
    state: State, request: RequestState, attempt: AttemptState, now: Millis
) -> list[Effect]:
    """Record a call whose connection broke, until its target answers or is found dead.

    A plain service reports no incarnation and resumes nothing, so only a probe can
    distinguish a service that has ended from one that resets connections.
    """
    target = state.targets.get(attempt.target)
    if target is None:
        return []
    digest = request.spec.digest
    if target.dead and attempt.opened <= target.died_at:
        return _count_death(state, target, [digest], now)
    # The target accepted a connection since it was last found dead, so it restarted.
    target.dead = False
    target.lost[digest] = now
    if now - target.probed_at < PROBE_INTERVAL:
        return []
    target.probed_at = now
    return [ProbeTarget(attempt.target)]


def handle_target_down(state: State, name: str, now: Millis) -> list[Effect]:
    """Handle a probe that found no listener: make recent lost calls suspects."""
    target = state.targets.get(name)
    if target is None:
        return []
    recent = []
    for digest, lost_at in target.lost.items():
        if now - lost_at < LOST_CALL_RETENTION:
            recent.append(digest)
    target.lost.clear()
    return _count_death(state, target, recent, now) if recent else []


def clear_lost_calls(state: State, attempt: AttemptState) -> None:
    """Mark a target that answered an attempt as alive, and clear its older lost calls.

    The target accepted the attempt after those calls were lost, which is taken to show
    that it had not died.
    """
    target = state.targets.get(attempt.target)
    if target is None:
        return
    target.dead = False
    for digest, lost_at in list(target.lost.items()):
        if lost_at <= attempt.opened:
            del target.lost[digest]


def _list_affected(state: State, attempt: AttemptState) -> list[RequestState]:
    affected = [state.requests[attempt.request]]
    for request in state.requests.values():
        if request.target != attempt.target or not request.accepted:
            continue
        if request.spec.request != attempt.request:
            affected.append(request)
    return affected


def _count_affected(
    state: State, target: TargetState, affected: list[RequestState], now: Millis
) -> list[Effect]:
    digests = []
    for affected_request in affected:
        if affected_request.died_with == affected_request.generation:
            # This loss belongs to a death that was counted for the request already;
            # the target may be running again.
            continue
        affected_request.died_with = affected_request.generation
        digests.append(affected_request.spec.digest)
    return _count_death(state, target, digests, now)


def _count_death(
    state: State, target: TargetState, digests: list[str], now: Millis
) -> list[Effect]:
    """Count a target's death for the requests on it, and quarantine them if due."""
    crashes = state.quarantine.crashes
    crashes.remove_expired(now)
    if not target.dead:
        target.dead = True
        target.died_at = now
        target.deaths += 1
        target.death_incarnation = target.incarnation
    return [Count("targets.deaths"), *_suspect(state, target, digests, now)]


def _suspect(
    state: State, target: TargetState, digests: list[str], now: Millis
) -> list[Effect]:
    """Make requests suspects of a target's last death; quarantine them if due."""
    life = f"{target.info.name}#{target.deaths}"
    for digest in digests:
        state.quarantine.crashes.record_suspicion(Suspicion(digest, life), now)
    effects: list[Effect] = []
    for digest in digests:
        effects += _quarantine_if_refused(state, digest, now)
    return effects


def _quarantine_if_refused(state: State, digest: str, now: Millis) -> list[Effect]:
    table = state.quarantine
    if digest in table.until or not table.crashes.is_refused(digest, now):
        return []
    quarantine.quarantine_digest(table, digest, quarantine.QUARANTINE_DURATION, now)
    fields: dict[str, str | int] = {
        "digest": digest,
        "deaths": table.crashes.count(digest),
    }
    return [Count("quarantine.added"), Note("request quarantined", fields)]


def blocks_target(state: State, request: RequestState, target: str) -> bool:
    """Return whether a suspect must avoid a target because another suspect runs there.

    If the target died with two suspects on it, it would not be known which of them
    caused the death, and the one that did not could be quarantined too.
    """
    digest = request.spec.digest
    if not is_suspect(state, digest):
        return False
    for other in state.requests.values():
        if other.target != target or other is request or other.attempt is None:
            continue
        if is_suspect(state, other.spec.digest):
            return True
    return False


def is_suspect(state: State, digest: str) -> bool:
    """Return whether a request was on a target that died, and not answered since."""
    return state.quarantine.crashes.is_suspected(digest)


def clear_suspect(state: State, digest: str, now: Millis) -> None:
    """Drop the suspicions of a request that was answered, and record the answer."""
    state.quarantine.crashes.record_answer(digest, now)
    state.quarantine.crashes.clear(digest, now, now)


def reached_death_limit(state: State, request: RequestState) -> bool:
    """Return whether a suspect was on ``MAX_DEATHS`` targets or more when they died."""
    return state.quarantine.crashes.count(request.spec.digest) >= MAX_DEATHS
