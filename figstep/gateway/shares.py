"""Split of the requests that a target accepts into whole requests of each entry.

Some targets accept only a few requests per second from a fleet of entries that all know
the same target and do not coordinate before they send. Each entry computes its own
share from the entries that it has contact with, so no message has to arrive first.
"""

import zlib

from figstep.core.clock import Millis
from figstep.gateway.state import State

RESTART_SHARE_DELAY = Millis(1_500)
"""How long, in milliseconds, a restarted process has no share. It has to receive
messages of the other entries first, and what its earlier process sent still counts."""


def share_requests(state: State, key: str, requests: float, now: Millis) -> int:
    """Return how many of some requests this entry may send.

    The requests are split over all entries of the fleet into whole requests. Where that
    gives less than one request to each entry, entries are selected by a hash: all
    entries compute the same selection, so no two take the same request.

    Args:
        state: The gateway's state.
        key: Key of the hash; another key selects other entries.
        requests: Requests of the whole fleet.
        now: Monotonic time, in milliseconds.
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

    A large fleet's entries in other failure domains send no messages to this entry.
    What equal parts of the domains leave over is rounded up in some domains, and all
    entries select the same ones.

    Args:
        state: The gateway's state.
        key: Key of the hash; another key selects other failure domains.
        part: Requests of each failure domain, before rounding.
    """
    own = hash_rank(state.failure_domain, key)
    before = sum(1 for name in state.remote_loads if hash_rank(name, key) < own)
    return int((before + 1) * part) - int(before * part)


def hash_rank(name: str, key: str) -> tuple[int, str]:
    """Return a sort key that orders names pseudorandomly, alike at all entries."""
    return zlib.crc32(f"{name} {key}".encode()), name
