"""Limit on the requests that all entries together send to a target that warms up.

The case handled here is a failure domain whose targets all come back cold while callers
wait: each entry knows them as idle, and the requests that all entries send at once
crash them. Each entry may send a whole number of requests per second, which it computes
from the entries that it knows, without an exchange of messages.
"""

from figstep.core.clock import Millis
from figstep.gateway import shares
from figstep.gateway.routes import Service
from figstep.gateway.state import State
from figstep.gateway.targets import Target

RATE_WINDOW = Millis(1_100)
"""Time, in milliseconds, in which a target gets one second's requests. It exceeds a
second, as requests sent a second apart may arrive a little closer together."""


def may_send(state: State, target: Target, now: Millis) -> bool:
    """Return whether one more request stays within a target's warm-up rate.

    It always does if the target is not cold or its service has no warm-up rate.
    """
    if now >= target.warm_at:
        return True
    rate = _find_rate(state, target)
    if rate <= 0:
        return True
    _drop_old_sends(target, now)
    service = target.info.service
    share = shares.share_requests(state, service, target.name, rate, now)
    return len(target.cold_sends) < share


def record_send(target: Target, now: Millis) -> None:
    """Record a request that is sent to a target, if the target is cold."""
    if now >= target.warm_at:
        return
    _drop_old_sends(target, now)
    target.cold_sends.append(now)


def assume_cold(state: State, target: Target, since: Millis) -> None:
    """Treat a target as cold from ``since`` on, for the warm-up time of its service.

    A later end of the warm-up that is already known is kept.
    """
    service = _find_service(state, target)
    if service is not None and service.warmup:
        target.warm_at = Millis(max(target.warm_at, since + service.warmup))


def _find_rate(state: State, target: Target) -> float:
    service = _find_service(state, target)
    return 0.0 if service is None else service.warmup_rate


def _find_service(state: State, target: Target) -> Service | None:
    if state.table is None:
        return None
    return state.table.services.get(target.info.service)


def _drop_old_sends(target: Target, now: Millis) -> None:
    while target.cold_sends and now - target.cold_sends[0] >= RATE_WINDOW:
        target.cold_sends.popleft()
