"""Requests that kill their targets: suspects, quarantine, sharing."""

from dataclasses import dataclass, field

from figstep.core.clock import MINUTE, Millis
from figstep.core.problems import Problem
from figstep.core.specs import RequestSpec

QUARANTINE_FOR = Millis(15 * MINUTE)
ECHO = Millis(10_000)
SUSPECT_FOR = Millis(15 * MINUTE)
DEATHS_TO_QUARANTINE = 2
MAX_DEATHS = 3


@dataclass(slots=True)
class Suspect:
    """A digest that was in flight where a target died.

    Attributes:
        deaths: Deaths that it was in, each named once.
        generations: Its generations that were counted.
        last: When the last death was seen (monotonic).
    """

    deaths: set[str] = field(default_factory=set)
    generations: set[str] = field(default_factory=set)
    last: Millis = Millis(0)


@dataclass(slots=True)
class Quarantine:
    """Digests that are refused, and those that may come to be.

    Attributes:
        until: When each refused digest is let in again (monotonic).
        suspects: Digests that were in flight where a target died.
    """

    until: dict[str, Millis] = field(default_factory=dict)
    suspects: dict[str, Suspect] = field(default_factory=dict)


def judge_digest(
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


def is_suspect(quarantine: Quarantine, digest: str) -> bool:
    """Tell whether a digest was in flight where a target died."""
    return digest in quarantine.suspects


def count_death(
    quarantine: Quarantine, digest: str, generation: str, death: str, now: Millis
) -> int:
    """Count a death against a digest, once, and return its deaths so far."""
    suspect = quarantine.suspects.get(digest)
    if suspect is None or suspect.last + SUSPECT_FOR < now:
        suspect = quarantine.suspects[digest] = Suspect()
    if generation not in suspect.generations:
        suspect.generations.add(generation)
        suspect.deaths.add(death)
        suspect.last = now
    return len(suspect.deaths)


def clear_suspect(quarantine: Quarantine, digest: str) -> None:
    """Forget a suspicion: the request ran to its end."""
    quarantine.suspects.pop(digest, None)


def sweep_suspects(quarantine: Quarantine, now: Millis) -> None:
    """Forget old suspicions of requests that never came back."""
    for digest, suspect in list(quarantine.suspects.items()):
        if suspect.last + SUSPECT_FOR < now:
            del quarantine.suspects[digest]


def hold_digest(
    quarantine: Quarantine, digest: str, remaining: Millis, now: Millis
) -> None:
    """Refuse a digest for ``remaining`` more milliseconds, or for longer if it is.

    Only remaining times travel between entries. What a message spent on its
    way is added at each hop, so entries that repeat a digest to each other
    would prolong it with every message; a little more than what is known is
    therefore taken for such an echo.
    """
    until = Millis(now + min(remaining, QUARANTINE_FOR))
    known = quarantine.until.get(digest)
    if known is not None and until <= known + ECHO:
        return
    quarantine.until[digest] = until
