"""Split of what a target takes into whole requests of each entry.

Targets bear a few requests a second from a fleet of entries that all see the same
target and don't ask each other before they send. Each entry works out its own share
from the entries that it hears, so that no message has to arrive first.
"""

import zlib

from figstep.core.clock import Millis
from figstep.gateway.state import State

RESTART_SHARE_DELAY = Millis(1_500)
"""How long a process that starts again has no share: it has to hear the others
first, and what its earlier process sent still counts."""


def share_requests(state: State, key: str, requests: float, now: Millis) -> int:
    """Return how many of some requests this entry may send.

    They are split over all entries of the fleet into whole requests. Where that
    gives less than one to each, entries are drawn: all of them draw alike, so that
    no two take the same request.

    Args:
        state: The gateway's state.
        key: What is drawn by; another one draws other entries.
        requests: Requests of the whole fleet.
        now: Monotonic time.
    """
    budget = state.budget
    if not budget.first_start and now < budget.started + RESTART_SHARE_DELAY:
        return 0
    others = {*state.peers, *state.silent_peers}
    participants = 1 + len(others)
    part = min(1.0, participants / max(1, state.entries))
    domain_requests = _share_domain(state, key, requests * part)
    own = hash_rank(state.node, key)
    before = sum(1 for name in others if hash_rank(name, key) < own)
    return domain_requests // participants + (
        1 if before < domain_requests % participants else 0
    )


def _share_domain(state: State, key: str, part: float) -> int:
    """Return the whole requests of this failure domain.

    In a large fleet the entries of other ones aren't heard. What the domains'
    equal parts leave over is rounded up in some of them, which all draw alike.
    """
    own = hash_rank(state.failure_domain, key)
    before = sum(1 for name in state.remote_loads if hash_rank(name, key) < own)
    return int((before + 1) * part) - int(before * part)


def hash_rank(name: str, key: str) -> tuple[int, str]:
    """Return what orders names by chance, in the same way at all entries."""
    return zlib.crc32(f"{name} {key}".encode()), name
