"""Deaths of targets, and the requests that may have caused them."""

from figstep.core import quarantine
from figstep.core.clock import Millis
from figstep.core.crashes import Suspicion
from figstep.core.effects import Count, Effect, Note, ProbeTarget
from figstep.core.events import LoadReported
from figstep.core.state import AttemptState, RequestState, State, TargetState

MAX_DEATHS = 3
"""Deaths after which a request is given up on, though another may have caused them."""

LOST_CALL_RETENTION = Millis(6_000)
"""How long a call whose connection broke may have been the end of its target."""

PROBE_INTERVAL = Millis(200)
"""Time between two probes of a target."""


def record_death(state: State, attempt: AttemptState, now: Millis) -> list[Effect]:
    """Make every request in flight on the dead target a suspect.

    The losses of one death come one by one. The first counts it for all that
    were there; a later one of the same death finds its generation counted.
    """
    target = state.targets.get(attempt.target)
    if target is None:
        return []
    affected = _list_affected(state, attempt)
    return _count_affected(state, target, affected, now)


def detect_restart(state: State, event: LoadReported, now: Millis) -> list[Effect]:
    """Take a newer incarnation as the death of the one before."""
    target = state.targets.get(event.target)
    if target is None or target.incarnation == 0:
        return []
    if event.incarnation <= target.incarnation:
        return []
    if target.death_incarnation == target.incarnation:
        # Its streams have told of this death already; what runs there now was
        # started on the new incarnation and is innocent.
        return []
    affected = []
    for request in state.requests.values():
        if request.target == event.target and request.accepted:
            affected.append(request)
    return _count_affected(state, target, affected, now) if affected else []


def record_broken_call(
    state: State, request: RequestState, attempt: AttemptState, now: Millis
) -> list[Effect]:
    """Keep a call whose connection broke, until its target answers or has ended.

    A plain service names no incarnation and resumes nothing: only a probe tells one
    that has ended from one that resets connections.
    """
    target = state.targets.get(attempt.target)
    if target is None:
        return []
    digest = request.spec.digest
    if target.dead and attempt.opened <= target.died_at:
        return _count_death(state, target, [digest], now)
    # It took a connection since it was last found dead: another life has begun.
    target.dead = False
    target.lost[digest] = now
    if now - target.probed_at < PROBE_INTERVAL:
        return []
    target.probed_at = now
    return [ProbeTarget(attempt.target)]


def handle_target_down(state: State, name: str, now: Millis) -> list[Effect]:
    """Take in that nobody listens at a target: calls that broke there are suspects."""
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
    """Take in that a target answered: it lived when it was asked."""
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
            # A late loss of a death that was counted, at a target that lives again.
            continue
        affected_request.died_with = affected_request.generation
        digests.append(affected_request.spec.digest)
    return _count_death(state, target, digests, now)


def _count_death(
    state: State, target: TargetState, digests: list[str], now: Millis
) -> list[Effect]:
    """Count a target's death for the requests that were there, and judge them."""
    crashes = state.quarantine.crashes
    crashes.remove_expired(now)
    if not target.dead:
        target.dead = True
        target.died_at = now
        target.deaths += 1
        target.death_incarnation = target.incarnation
    life = f"{target.info.name}#{target.deaths}"
    for digest in digests:
        crashes.record_suspicion(Suspicion(digest, life), now)
    effects: list[Effect] = [Count("targets.deaths")]
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
    """Tell whether a suspect has to keep away from where another one runs.

    A suspect that shares a target with another would leave it open which of
    the two killed it, and innocent ones would be quarantined with it.
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
    """Tell whether a request was in flight where a target died."""
    return state.quarantine.crashes.is_suspected(digest)


def clear_suspect(state: State, digest: str, now: Millis) -> None:
    """Forget the deaths of a request that ran to its end."""
    state.quarantine.crashes.clear(digest, now, now)


def reached_death_limit(state: State, request: RequestState) -> bool:
    """Tell whether a suspect was in so many deaths that it is not retried."""
    return state.quarantine.crashes.count(request.spec.digest) >= MAX_DEATHS
