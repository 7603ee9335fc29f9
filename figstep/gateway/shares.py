"""Computation of the whole requests that one entry may send of a target's limit.

Some targets accept only a few requests per second from all entries together. Each entry
computes its own share from the entries that it knows, including those that recently
fell silent, so no messages have to be exchanged before each request.
"""

import zlib

from figstep.core.clock import Millis
from figstep.gateway.state import State

RESTART_SHARE_DELAY = Millis(1_500)
"""How long, in milliseconds, a restarted process has no share. It first has to receive
messages of the other entries, and requests that its earlier process sent still count
against the limit."""


REACHED_SHARE_DELAY = Millis(4_100)
"""How long, in milliseconds, an entry that was cut off from a service has no share of
its targets.

Meanwhile its share belonged to the others, and what they sent counts against limits for
about as long."""


def share_requests(
    state: State, service: str, key: str, requests: float, now: Millis
) -> int:
    """Return how many of the fleet's requests this entry may send.

    The requests are split into whole requests of each entry. Those that do not divide
    evenly go to entries selected by a hash. Entries that know the same entries compute
    the same selection, so no two of them take the same request. A restarted process
    gets 0 until ``RESTART_SHARE_DELAY`` has passed. An entry that is cut off from the
    service gets 0, also for ``REACHED_SHARE_DELAY`` afterwards; the others have its
    share.

    ``key`` is the key of the hash; another key selects other entries. ``requests`` is
    what the whole fleet may send within the caller's window.
    """
    budget = state.budget
    if not budget.first_start and now < budget.started + RESTART_SHARE_DELAY:
        return 0
    reach = state.find_reach(service)
    if reach.cut_off or now < reach.cut_ended_at + REACHED_SHARE_DELAY:
        return 0
    others = _list_other_participants(state, service)
    participants = 1 + len(others)
    known = 1 + len(state.peers.keys() | state.silent_peers.keys())
    part = min(1.0, known / max(1, state.entries))
    domain_requests = _share_domain(state, key, requests * part)
    own = hash_rank(state.node, key)
    before = sum(1 for name in others if hash_rank(name, key) < own)
    return domain_requests // participants + (
        1 if before < domain_requests % participants else 0
    )


def count_participants(state: State, service: str) -> int:
    """Return how many entries share limits of a service's targets, with this one.

    Entries that recently fell silent count, as they may still send requests.
    """
    return 1 + len(_list_other_participants(state, service))


def _list_other_participants(state: State, service: str) -> set[str]:
    reaching = {
        name for name, peer in state.peers.items() if not peer.is_cut_off(service)
    }
    return reaching | state.silent_peers.keys()


def find_turn(state: State, key: str) -> int:
    """Return this entry's place in an order of all entries, from 0.

    Entries that know the same entries compute the same order, which depends on ``key``.
    In a large fleet, the failure domains take turns.
    """
    known = state.peers.keys() | state.silent_peers.keys()
    own = hash_rank(state.node, key)
    before = sum(1 for name in known if hash_rank(name, key) < own)
    domain = hash_rank(state.failure_domain, key)
    remote = state.remote_loads
    domains_before = sum(1 for name in remote if hash_rank(name, key) < domain)
    return before * (1 + len(remote)) + domains_before


def _share_domain(state: State, key: str, part: float) -> int:
    """Return the whole requests of this failure domain.

    In a large fleet, entries know the entries of their own failure domain only, and
    assume that each domain gets an equal part. The part is rounded up in some domains
    and down in others, so that the sum is kept. A hash selects these domains; another
    key selects others.
    """
    own = hash_rank(state.failure_domain, key)
    before = sum(1 for name in state.remote_loads if hash_rank(name, key) < own)
    return int((before + 1) * part) - int(before * part)


def hash_rank(name: str, key: str) -> tuple[int, str]:
    """Return a sort key that gives names a pseudorandom order, equal at all entries."""
    return zlib.crc32(f"{name} {key}".encode()), name
