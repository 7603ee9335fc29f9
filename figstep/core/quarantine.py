"""Quarantine of requests that crash targets."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.crashes import CRASH_RETENTION, CrashTable
from figstep.core.problems import Problem
from figstep.core.specs import RequestSpec

QUARANTINE_DURATION = CRASH_RETENTION
"""Time for which a digest is refused, in milliseconds."""

ECHO_TOLERANCE = Millis(10_000)
"""Largest postponement of the end of a digest's quarantine that is ignored, in
milliseconds."""


@dataclass(slots=True)
class Quarantine:
    """Digests of refused requests, and the crashes that may lead to more of them.

    Attributes:
        until: Refused digests, each with the end of its quarantine (monotonic), in
            milliseconds.
    """

    until: dict[str, Millis] = field(default_factory=dict)
    crashes: CrashTable = field(default_factory=CrashTable)


def check_digest(
    quarantine: Quarantine, spec: RequestSpec, now: Millis
) -> Problem | None:
    """Return the problem for a quarantined request, or None if it may run."""
    until = quarantine.until.get(spec.digest)
    if until is None:
        return None
    if until <= now:
        del quarantine.until[spec.digest]
        return None
    return Problem(
        422,
        "request_quarantined",
        "targets died each time that they ran this request; change it, or come"
        " back after Retry-After",
        retry_after=Millis(until - now),
    )


def quarantine_digest(
    quarantine: Quarantine, digest: str, remaining: Millis, now: Millis
) -> None:
    """Quarantine a digest for ``remaining`` milliseconds, or keep a later end.

    Entries exchange remaining times, to which the transit time of a message is added
    at each hop. Entries that repeat a digest to each other would therefore prolong its
    quarantine with every message, so a postponement of the end by up to
    ``ECHO_TOLERANCE`` is treated as such an echo and ignored. The time is limited to
    ``QUARANTINE_DURATION``.
    """
    until = Millis(now + min(remaining, QUARANTINE_DURATION))
    known = quarantine.until.get(digest)
    if known is not None and until <= known + ECHO_TOLERANCE:
        return
    quarantine.until[digest] = until
