"""Deaths of targets, and the requests that may have caused them."""

from figstep.core import quarantine
from figstep.core.clock import Millis
from figstep.core.effects import Count, Effect, Note
from figstep.core.events import LoadReported
from figstep.core.state import AttemptState, RequestState, State, TargetState


def record_death(state: State, attempt: AttemptState, now: Millis) -> list[Effect]:
    """Make every request in flight on the dead target a suspect.

    The losses of one death come one by one. The first counts it for all that
    were there; a later one of the same death finds its generation counted.
    """
    target = state.targets.get(attempt.target)
    if target is None:
        return []
    victims = _list_victims(state, attempt)
    return _count_victims(state, target, victims, now)


def note_report(state: State, event: LoadReported, now: Millis) -> list[Effect]:
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
    victims = []
    for request in state.requests.values():
        if request.target == event.target and request.accepted:
            victims.append(request)
    return _count_victims(state, target, victims, now) if victims else []


def _list_victims(state: State, attempt: AttemptState) -> list[RequestState]:
    victims = [state.requests[attempt.request]]
    for request in state.requests.values():
        if request.target != attempt.target or not request.accepted:
            continue
        if request.spec.request != attempt.request:
            victims.append(request)
    return victims


def _count_victims(
    state: State, target: TargetState, victims: list[RequestState], now: Millis
) -> list[Effect]:
    held = state.quarantine
    quarantine.sweep_suspects(held, now)
    before = set()
    for victim in victims:
        if quarantine.is_suspect(held, victim.spec.digest):
            before.add(victim.spec.digest)
    if not target.dead:
        target.dead = True
        target.deaths += 1
        target.death_incarnation = target.incarnation
    death = f"{target.info.name}#{target.deaths}"
    effects: list[Effect] = [Count("targets.deaths")]
    for victim in victims:
        digest = victim.spec.digest
        deaths = quarantine.count_death(held, digest, victim.generation, death, now)
        # Two suspects that die together would each be taken for the other's
        # killer; only one that was the sole suspect is proved.
        if deaths < quarantine.DEATHS_TO_QUARANTINE or before != {digest}:
            continue
        if digest in held.until:
            continue
        quarantine.hold_digest(held, digest, quarantine.QUARANTINE_FOR, now)
        fields: dict[str, str | int] = {"digest": digest, "deaths": deaths}
        effects += [Count("quarantine.added"), Note("request quarantined", fields)]
    return effects


def blocks_target(state: State, request: RequestState, target: str) -> bool:
    """Tell whether a suspect has to keep away from where another one runs.

    A suspect that shares a target with another would leave it open which of
    the two killed it, and innocent ones would be quarantined with it.
    """
    digest = request.spec.digest
    if not quarantine.is_suspect(state.quarantine, digest):
        return False
    for other in state.requests.values():
        if other.target != target or other is request or other.attempt is None:
            continue
        if quarantine.is_suspect(state.quarantine, other.spec.digest):
            return True
    return False


def exhausted(state: State, request: RequestState) -> bool:
    """Tell whether a suspect was in so many deaths that it is not retried."""
    suspect = state.quarantine.suspects.get(request.spec.digest)
    return suspect is not None and len(suspect.deaths) >= quarantine.MAX_DEATHS
