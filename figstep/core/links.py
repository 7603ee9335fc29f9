"""Refuses requests at once while this entry reaches no target.

Its callers are then served by another entry. If they waited for attempts at one target
after the other, they would learn only at their deadline that they have to go there.
"""

from figstep.core.clock import Millis
from figstep.core.effects import Count, Effect, Note
from figstep.core.problems import Problem, Ran
from figstep.core.reach import MIN_FAILED_TARGETS
from figstep.core.state import AttemptState, State

RETRY_INTERVAL = Millis(1_000)
"""Time in milliseconds after which requests are tried at targets again.

Load reports of engines usually show earlier that the links are back.
"""

RETRY_AFTER = Millis(300)
"""Retry-After in milliseconds; another entry may accept the request at once."""


def record_connection(state: State, now: Millis) -> list[Effect]:
    """Record that a target answered over a connection of this entry."""
    if not state.reach.record_connection(now):
        return []
    return [Note("targets reached again", {})]


def record_failure(state: State, attempt: AttemptState, now: Millis) -> list[Effect]:
    """Record that the connection of an attempt was not established.

    Fewer than ``MIN_FAILED_TARGETS`` targets never show a cut: they may all be down,
    and then requests wait for the first one that is back.
    """
    reach = state.reach
    if reach.record_failure(attempt.target, attempt.opened, MIN_FAILED_TARGETS, now):
        failed = " ".join(sorted(reach.failed))
        return [
            Count("entry.cut_off"),
            Note("cut off from all targets", {"targets": failed}),
        ]
    if reach.cut_off:
        reach.cut_off_since = now
    return []


def check_links(state: State, now: Millis) -> Problem | None:
    """Return the problem of a request that would reach no target; None if it may.

    After ``RETRY_INTERVAL`` without a failure requests may be tried again.
    """
    since = state.reach.cut_off_since
    if since is None or now - since >= RETRY_INTERVAL:
        return None
    return Problem(
        503,
        "cut_off",
        "this entry reaches no target; send the request again, to another entry",
        Ran.NO,
        RETRY_AFTER,
    )
