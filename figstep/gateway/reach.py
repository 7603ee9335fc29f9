"""Reacts to lost and regained links between this entry and the targets of a service.

An entry that is cut off from a service passes the service's requests on to other
entries (`relays`). Each service is judged by its own connections, as an entry may reach
one and not the other. Targets that look down only because this entry is cut off are not
held to be down: otherwise innocent requests would be suspected of crashing them, and
they would be avoided after the links are back. A refused connection therefore proves
the end of its target only once another target of the service has accepted one.

An entry may also lose the links to some targets only. Each request that it sent there
would wait for a connection until a timeout, so these targets are checked without
requests until one of the checks reaches them.
"""

from figstep.core.clock import Millis
from figstep.gateway import crashes, requests
from figstep.gateway.effects import (
    Announce,
    CheckTarget,
    CloseAttempt,
    Count,
    Effect,
    Note,
)
from figstep.gateway.events import AttemptConnected, PeerHeard, TargetChecked
from figstep.gateway.state import Request, State
from figstep.gateway.targets import Target

FRESH_CONNECTION = Millis(500)
"""Age, in milliseconds, up to which an established connection shows that this entry is
not cut off, although another entry reports that it is."""


def handle_connected(
    state: State, event: AttemptConnected, now: Millis
) -> list[Effect]:
    """Record that an attempt's connection was established."""
    attempt = state.attempts.get(event.attempt)
    if attempt is None:
        return []
    attempt.connected = True
    if attempt.relay is not None:
        return []
    return _record_connection(state, attempt.target, now)


def handle_checked(state: State, event: TargetChecked, now: Millis) -> list[Effect]:
    """Record the result of a check of a target."""
    target = state.targets.find(event.target)
    if target is None:
        return []
    effects: list[Effect] = []
    if event.lives is not None:
        lives = event.reached and event.lives
        effects += crashes.record_check(state, target, event.opened, lives, now)
    if event.reached:
        return effects + _record_connection(state, target, now)
    if event.refused == target.info.incarnation and may_show_end(
        state, target, event.opened
    ):
        target.refused_at = now
    return effects + record_unreached(state, target, event.opened, now)


def may_show_end(state: State, target: Target, opened: Millis) -> bool:
    """Return whether a refusal of a connection may show that a target has ended.

    It does not if this entry was cut off from the service as it opened the connection.
    """
    reach = state.find_reach(target.info.service)
    return not reach.cut_off and opened > reach.cut_ended_at


def handle_peer(state: State, event: PeerHeard, now: Millis) -> list[Effect]:
    """Check this entry's own links to a service from which another one is cut off."""
    if event.far or not (event.cut_off or event.cuts):
        return []
    services = {cut.service for cut in event.cuts}
    if event.cut_off:
        services |= state.targets.list_services()
    known = state.peers.get(event.node)
    effects: list[Effect] = []
    for service in sorted(services):
        if known is None or not known.is_cut_off(service):
            effects += _check_doubtful(state, service, now)
    return effects


def _check_doubtful(state: State, service: str, now: Millis) -> list[Effect]:
    """Check the links to a service unless a recent connection shows that they work."""
    if now - state.find_reach(service).connected_at < FRESH_CONNECTION:
        return []
    return _check_targets(state, service, now)


def check_links(state: State, now: Millis) -> list[Effect]:
    """Check whether targets are reached again to which connections timed out.

    Of a service that this entry is cut off from, one target at a time is checked.
    """
    effects = _check_unverified(state, now)
    for service in sorted(state.cut_services):
        reach = state.find_reach(service)
        ready = state.targets.list_ready(service)
        if not ready or not reach.may_check(now):
            continue
        reach.checked_at = now
        effects.append(CheckTarget(state.rng.choice(ready).name))
    return effects


def _check_unverified(state: State, now: Millis) -> list[Effect]:
    """Check each target to which a connection timed out, unless its service is cut."""
    effects: list[Effect] = []
    cut_services = state.cut_services
    for target in state.targets.targets.values():
        if not target.needs_check or now < target.check_at or not target.accepts_work:
            continue
        if target.info.service in cut_services:
            continue
        target.schedule_check(now)
        effects.append(CheckTarget(target.name))
    return effects


def record_unreached(
    state: State, target: Target, opened: Millis, now: Millis
) -> list[Effect]:
    """Record that a connection to a target was not established.

    Other targets of its service are checked at once, until enough have failed or one is
    reached. A target that is known to have ended says nothing of this entry's links.
    """
    if target.ended_at is not None:
        return []
    service = target.info.service
    reach = state.find_reach(service)
    if opened <= reach.connected_at:
        return _record_ends(state, service)
    known = len(state.targets.list_ready(service))
    if reach.record_failure(target.name, opened, known, now):
        return _begin_cut(state, service, now)
    if reach.cut_off or not reach.failed:
        return []
    return _check_targets(state, service, now)


def _check_targets(state: State, service: str, now: Millis) -> list[Effect]:
    reach = state.find_reach(service)
    if not reach.may_check(now):
        return []
    ready = state.targets.list_ready(service)
    untried = [target for target in ready if target.name not in reach.failed]
    missing = min(reach.count_missing(len(ready)), len(untried))
    if not missing:
        return []
    reach.checked_at = now
    return [CheckTarget(one.name) for one in state.rng.sample(untried, missing)]


def _record_connection(state: State, reached: Target, now: Millis) -> list[Effect]:
    reached.record_connection()
    service = reached.info.service
    reach = state.find_reach(service)
    since = reach.cut_off_since
    if not reach.record_connection(now) or since is None:
        return _record_ends(state, service)
    _forgive_targets(state, service)
    for target in state.targets.list_ready(service):
        if target is not reached:
            target.require_check(now)
    fields: dict[str, str | int | float | None] = {
        "service": service,
        "cut_off_ms": now - since,
    }
    return [
        Announce(),
        Note("targets reached again", fields),
        *_check_unverified(state, now),
    ]


def _record_ends(state: State, service: str) -> list[Effect]:
    """Record the ends of a service's targets that refused connections."""
    effects: list[Effect] = []
    for target in state.targets.targets.values():
        if target.refused_at is None or target.info.service != service:
            continue
        effects += crashes.record_end(state, target, target.refused_at)
        target.refused_at = None
    return effects


def _begin_cut(state: State, service: str, now: Millis) -> list[Effect]:
    reach = state.find_reach(service)
    _forgive_targets(state, service)
    effects: list[Effect] = [
        Announce(),
        Count("cut_off", (service,)),
        Note(
            "cut off from all targets",
            {
                "service": service,
                "targets": " ".join(sorted(reach.failed)),
                "connected_ms_ago": now - reach.connected_at,
                "entries": state.entries,
            },
        ),
    ]
    for request in list(state.requests.values()):
        if request.service == service:
            effects += _move_request(state, request, now)
    for other in sorted(state.targets.list_services() - {service}):
        if not state.find_reach(other).cut_off:
            # The links to all services are often lost together.
            effects += _check_doubtful(state, other, now)
    return effects


def _forgive_targets(state: State, service: str) -> None:
    """Drop what this entry concluded from connections that failed for its own cut."""
    for target in state.targets.targets.values():
        if target.info.service == service:
            target.forgive_losses()


def _move_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Place a request anew that waits for capacity or for a connection."""
    if request.queued:
        return requests.restart_queued(state, request, now)
    attempt = request.current
    if attempt is None or attempt.connected or attempt.relay is not None:
        return []
    if request.standby is not None or request.stream_begun:
        return []
    requests.end_unreached(state, request, attempt)
    return [
        CloseAttempt(attempt.number),
        *requests.place_request(state, request, now),
    ]
