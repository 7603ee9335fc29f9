"""Reacts to lost and regained links between this entry and all targets.

An entry that is cut off passes its requests on to other entries (`relays`). Targets
that look down only because this entry is cut off are not held to be down: otherwise
innocent requests would be suspected of crashing them, and they would be avoided after
the links are back. A refused connection therefore proves the end of its target only
once another target has accepted one.

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
    attempt.target.record_connection()
    return _record_connection(state, attempt.target, now)


def handle_checked(state: State, event: TargetChecked, now: Millis) -> list[Effect]:
    """Record the result of a check of a target."""
    target = state.targets.find(event.target)
    effects: list[Effect] = []
    if target is not None:
        effects = crashes.record_check(state, target, event.opened, event.reached, now)
    if not event.reached:
        return effects + record_unreached(state, event.target, event.opened, now)
    if target is not None:
        target.record_connection()
    return effects + _record_connection(state, target, now)


def handle_peer(state: State, event: PeerHeard, now: Millis) -> list[Effect]:
    """Check this entry's own links when another entry becomes cut off."""
    known = state.peers.get(event.node)
    if not event.cut_off or (known is not None and known.cut_off):
        return []
    if now - state.reach.connected_at < FRESH_CONNECTION:
        return []
    return _check_targets(state, now)


def check_links(state: State, now: Millis) -> list[Effect]:
    """Check whether targets are reached again to which connections timed out.

    An entry that is cut off checks one of all targets at a time.
    """
    if not state.reach.cut_off:
        return _check_unverified(state, now)
    if not state.reach.may_check(now):
        return []
    ready = _list_ready(state)
    if not ready:
        return []
    state.reach.checked_at = now
    return [CheckTarget(state.rng.choice(ready).name)]


def _check_unverified(state: State, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for target in _list_ready(state):
        if not target.needs_check or now < target.check_at:
            continue
        target.schedule_check(now)
        effects.append(CheckTarget(target.name))
    return effects


def record_unreached(
    state: State, target: str, opened: Millis, now: Millis
) -> list[Effect]:
    """Record that a connection to a target was not established.

    Other targets are checked at once, until enough have failed or one is reached. A
    target that is known to have ended says nothing of this entry's links.
    """
    known_target = state.targets.find(target)
    if known_target is not None and known_target.ended_at is not None:
        return []
    if opened <= state.reach.connected_at:
        return _record_ends(state)
    known = len(_list_ready(state))
    if state.reach.record_failure(target, opened, known, now):
        return _begin_cut(state, now)
    if state.reach.cut_off or not state.reach.failed:
        return []
    return _check_targets(state, now)


def _check_targets(state: State, now: Millis) -> list[Effect]:
    if not state.reach.may_check(now):
        return []
    ready = _list_ready(state)
    untried = [target for target in ready if target.name not in state.reach.failed]
    missing = min(state.reach.count_missing(len(ready)), len(untried))
    if not missing:
        return []
    state.reach.checked_at = now
    return [CheckTarget(one.name) for one in state.rng.sample(untried, missing)]


def _list_ready(state: State) -> list[Target]:
    targets = state.targets.targets.values()
    return [target for target in targets if target.accepts_work]


def _record_connection(
    state: State, reached: Target | None, now: Millis
) -> list[Effect]:
    since = state.reach.cut_off_since
    if not state.reach.record_connection(now) or since is None:
        return _record_ends(state)
    _forgive_targets(state)
    for target in _list_ready(state):
        if target is not reached:
            target.require_check(now)
    return [
        Announce(),
        Note("targets reached again", {"cut_off_ms": now - since}),
        *_check_unverified(state, now),
    ]


def _record_ends(state: State) -> list[Effect]:
    """Record the ends of targets that refused connections of this entry."""
    effects: list[Effect] = []
    for target in state.targets.targets.values():
        if target.refused_at is None:
            continue
        effects += crashes.record_end(state, target, target.refused_at)
        target.refused_at = None
    return effects


def _begin_cut(state: State, now: Millis) -> list[Effect]:
    failed = state.reach.failed
    _forgive_targets(state)
    effects: list[Effect] = [
        Announce(),
        Count("cut_off"),
        Note(
            "cut off from all targets",
            {
                "targets": " ".join(sorted(failed)),
                "connected_ms_ago": now - state.reach.connected_at,
                "entries": state.entries,
            },
        ),
    ]
    for request in list(state.requests.values()):
        effects += _move_request(state, request, now)
    return effects


def _forgive_targets(state: State) -> None:
    """Drop what this entry concluded from connections that failed for its own cut."""
    for target in state.targets.targets.values():
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
