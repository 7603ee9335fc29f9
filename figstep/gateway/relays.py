"""Passes requests on to other entries while this one reaches no target.

A request passes from one entry to one other, which treats it as its own or says at once
that it did not run. At the entry that passes it on it is an attempt like those at
targets: its events are delivered in order, its loss is recovered, and its connection is
closed when the caller leaves.
"""

from figstep.core.clock import Millis
from figstep.gateway import attempts
from figstep.gateway.effects import Count, Effect, RelayTo
from figstep.gateway.state import Peer, Request, State

MAX_RELAYS = 2
"""Maximum number of entries that a request is passed on to, one after the other."""

RELAY_BACKOFF = Millis(1_000)
"""Time, in milliseconds, for which an entry is avoided that could not be reached."""


def relay_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Pass a request on to another entry.

    Returns no effects if no other entry can take it. A request that was itself passed
    on is not passed on again: two entries that are both cut off would exchange it
    until its deadline.
    """
    if request.spec.relayed or request.relays >= MAX_RELAYS or now >= request.deadline:
        return []
    origin = request.origin
    if origin is not None and origin.version is None:
        return []
    address = _choose_address(state, request, now)
    if not address:
        return []
    request.relays += 1
    relay = RelayTo(
        address,
        Millis(now - request.first_arrived),
        request.lost_runs,
        None if origin is None else origin.version,
    )
    return [
        Count("relayed", (request.route.name,)),
        *attempts.start_relay(state, request, relay, now),
    ]


def record_unreached(state: State, address: str, now: Millis) -> None:
    """Avoid an entry for a moment, after a connection to it failed."""
    state.avoided_relays[address] = Millis(now + RELAY_BACKOFF)


def _choose_address(state: State, request: Request, now: Millis) -> str:
    """Return the address of the entry with the fewest of this entry's requests."""
    open_relays: dict[str, int] = {}
    for attempt in state.attempts.values():
        if attempt.relay is not None:
            address = attempt.relay.address
            open_relays[address] = open_relays.get(address, 0) + 1
    best = ""
    best_cost = 0.0
    for peer in [*state.peers.values(), *state.remote_peers.values()]:
        if not _is_allowed(state, request, peer):
            continue
        for address in peer.relays:
            if address in request.tried_relays:
                continue
            if state.avoided_relays.get(address, now) > now:
                continue
            cost = open_relays.get(address, 0) + state.rng.random()
            if not best or cost < best_cost:
                best, best_cost = address, cost
    return best


def _is_allowed(state: State, request: Request, peer: Peer) -> bool:
    """Return whether a request's body may be sent to a peer's region."""
    if request.allowed_regions is None:
        return True
    region = state.regions.get(peer.failure_domain)
    own = state.regions.get(state.failure_domain)
    return region is not None and (region == own or region in request.allowed_regions)
