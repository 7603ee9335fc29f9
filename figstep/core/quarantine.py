"""Requests that are kept away from targets, and for how long."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.crashes import CRASH_RETENTION, CrashTable
from figstep.core.problems import Problem
from figstep.core.specs import RequestSpec

QUARANTINE_DURATION = CRASH_RETENTION
ECHO_TOLERANCE = Millis(10_000)


@dataclass(slots=True)
class Quarantine:
    """Digests that are refused, and those that may come to be.

    Attributes:
        until: When each refused digest is let in again (monotonic).
        crashes: Deaths of targets, and the requests that were there.
    """

    until: dict[str, Millis] = field(default_factory=dict)
    crashes: CrashTable = field(default_factory=CrashTable)


def check_digest(
    quarantine: Quarantine, spec: RequestSpec, now: Millis
) -> Problem | None:
    """Return the refusal of a quarantined request, or None."""
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
    """Refuse a digest for ``remaining`` more milliseconds, or for longer if it is.

    Only remaining times travel between entries. What a message spent on its
    way is added at each hop, so entries that repeat a digest to each other
    would prolong it with every message; a little more than what is known is
    therefore taken for such an echo.
    """
    until = Millis(now + min(remaining, QUARANTINE_DURATION))
    known = quarantine.until.get(digest)
    if known is not None and until <= known + ECHO_TOLERANCE:
        return
    quarantine.until[digest] = until
