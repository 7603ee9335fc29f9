"""Requests that kill their targets are kept away from further ones."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.problems import Problem
from figstep.core.specs import RequestSpec


@dataclass(slots=True)
class Quarantine:
    """Digests that are refused, and until when (monotonic)."""

    until: dict[str, Millis] = field(default_factory=dict)


def judge_digest(
    quarantine: Quarantine, spec: RequestSpec, now: Millis
) -> Problem | None:
    """Return the refusal of a quarantined request, or None."""
    return None
