"""Refuses requests at once while this entry reaches no target that could run them.

Their callers are then served by another entry. If they waited for attempts at one
target after the other, they would learn only at their deadline that they have to go
there. Engines and each plain service are judged by their own connections, as an entry
may reach some and not the others.
"""

from figstep.core.clock import Millis
from figstep.core.effects import Count, Effect, Note
from figstep.core.inventory import ServiceInfo, TargetInfo
from figstep.core.problems import Problem, Ran
from figstep.core.reach import MIN_FAILED_TARGETS, Reach
from figstep.core.specs import RequestSpec, ServiceWork
from figstep.core.state import AttemptState, State

RETRY_INTERVAL = Millis(1_000)
"""Time in milliseconds after which requests are tried at targets again.

Load reports of engines usually show earlier that the links are back.
"""

DEATH_DURATION = Millis(6_000)
"""Time in milliseconds after the death of a target in which its refusals show no cut.

Services start again sooner. A cut that looked like deaths shows after that.
"""

RETRY_AFTER = Millis(300)
"""Retry-After in milliseconds; another entry may accept the request at once."""

ENGINES = ""
"""Name under which the links to all engines are judged together."""


def record_connection(state: State, target: str, now: Millis) -> list[Effect]:
    """Record that a target answered over a connection of this entry."""
    known = state.targets.get(target)
    if known is None:
        return []
    service = _name_service(known.info)
    if not _find_reach(state, service).record_connection(now):
        return []
    return [Note("targets reached again", {"service": service})]


def record_failure(state: State, attempt: AttemptState, now: Millis) -> list[Effect]:
    """Record that the connection of an attempt was not established.

    Fewer than ``MIN_FAILED_TARGETS`` targets never show a cut: they may all be down,
    and then requests wait for the first one that is back. One that was found dead shows
    none for ``DEATH_DURATION`` if another one has accepted a call since: this entry's
    links had not failed with it.
    """
    known = state.targets.get(attempt.target)
    if known is None:
        return []
    service = _name_service(known.info)
    reach = _find_reach(state, service)
    if known.dead and now - known.died_at < DEATH_DURATION:
        if known.broken_at <= reach.accepted_at:
            return []
    if reach.record_failure(attempt.target, attempt.opened, MIN_FAILED_TARGETS, now):
        failed = " ".join(sorted(reach.failed))
        return [
            Count("entry.cut_off"),
            Note("cut off from all targets", {"service": service, "targets": failed}),
        ]
    if reach.cut_off:
        reach.cut_off_since = now
    return []


def record_broken(state: State, attempt: AttemptState, now: Millis) -> None:
    """Record a service call whose connection broke: the target had accepted it."""
    known = state.targets.get(attempt.target)
    if known is None:
        return
    known.broken_at = now
    reach = _find_reach(state, _name_service(known.info))
    reach.accepted_at = max(reach.accepted_at, attempt.opened)


def check_links(state: State, spec: RequestSpec, now: Millis) -> Problem | None:
    """Return the problem of a request that would reach no target; None if it may.

    After ``RETRY_INTERVAL`` without a failure requests may be tried again.
    """
    work = spec.work
    service = work.service if isinstance(work, ServiceWork) else ENGINES
    since = _find_reach(state, service).cut_off_since
    if since is None or now - since >= RETRY_INTERVAL:
        return None
    return Problem(
        503,
        "cut_off",
        "this entry reaches no target; send the request again, to another entry",
        Ran.NO,
        RETRY_AFTER,
    )


def _find_reach(state: State, service: str) -> Reach:
    return state.reaches.setdefault(service, Reach())


def _name_service(info: TargetInfo) -> str:
    return info.service if isinstance(info, ServiceInfo) else ENGINES
