"""Passes requests on to other entries that can send them to targets.

An entry does so while it reaches no target of a request's service, and where it has
used up its share of what the targets accept of all entries: callers may be spread
unevenly over the entries.

A request passes from one entry to one other, which treats it as its own or says at once
that it did not run. At the entry that passes it on it is an attempt like those at
targets: its events are delivered in order, its loss is recovered, and its connection is
closed when the caller leaves.
"""

from figstep.core.clock import Millis
from figstep.gateway import attempts, eligibility, limits
from figstep.gateway.effects import Count, Effect, RelayTo
from figstep.gateway.state import Peer, Request, State

MAX_RELAYS = 2
"""Maximum number of entries that a request is passed on to, one after the other."""

MAX_SHARE_RELAYS = 5
"""Maximum number of entries that a request is passed on to if each of them says at once
whether it has a share left for it."""

RELAY_BACKOFF = Millis(1_000)
"""Time, in milliseconds, for which an entry is avoided that could not be reached."""

MIN_SPENT_DURATION = Millis(300)
"""Shortest time, in milliseconds, for which an entry is not asked again that had no
share left. It says itself for how long."""

MAX_SPENT_DURATION = Millis(4_000)
"""Longest such time, in milliseconds. Shares change as targets and entries do."""


def relay_request(state: State, request: Request, now: Millis) -> list[Effect]:
    """Pass a request on to another entry, because this one reaches no target of it.

    Where all targets name rates, entries that have a share left are looked for first;
    then one may let it wait, as this entry's own callers wait for a share elsewhere.

    Returns no effects if no other entry can take it.
    """
    if not limits.are_all_limited(eligibility.list_eligible(state, request)):
        return _start_relay(state, request, now, MAX_RELAYS, may_wait=True)
    relayed = relay_for_share(state, request, now)
    if relayed:
        return relayed
    return _start_relay(state, request, now, MAX_SHARE_RELAYS + 1, may_wait=True)


def relay_for_share(state: State, request: Request, now: Millis) -> list[Effect]:
    """Pass a request on to an entry that may have a share of a limit left for it.

    Returns no effects if no other entry can take it.
    """
    return _start_relay(state, request, now, MAX_SHARE_RELAYS, may_wait=False)


def _start_relay(
    state: State, request: Request, now: Millis, most: int, may_wait: bool
) -> list[Effect]:
    """Pass a request on to another entry, unless it was passed on ``most`` times.

    A request that another entry passed on is not passed on again: two entries that are
    both cut off would exchange it until its deadline. ``may_wait`` tells the other
    entry whether it may let the request wait for a target.
    """
    if request.spec.relayed or request.relays >= most or now >= request.deadline:
        return []
    origin = request.origin
    if origin is not None and origin.version is None:
        return []
    address = _choose_address(state, request, may_wait, now)
    if not address:
        return []
    request.relays += 1
    relay = RelayTo(
        address,
        Millis(now - request.first_arrived),
        request.lost_runs,
        None if origin is None else origin.version,
        may_wait,
    )
    return [
        Count("relayed", (request.route.name,)),
        *attempts.start_relay(state, request, relay, now),
    ]


def record_unreached(state: State, address: str, now: Millis) -> None:
    """Avoid an entry for a moment, after a connection to it failed."""
    state.avoided_relays[address] = Millis(now + RELAY_BACKOFF)


def record_spent(
    state: State, relay: RelayTo, retry_after: Millis | None, now: Millis
) -> None:
    """Record that an entry had no share left for a request, if it had to say so."""
    if not relay.may_wait:
        pause = max(MIN_SPENT_DURATION, retry_after or MIN_SPENT_DURATION)
        state.spent_relays[relay.address] = Millis(now + pause)


def choose_pause(state: State, request: Request, now: Millis) -> Millis:
    """Return for how many milliseconds this entry has no share left for a request."""
    due = [
        limits.find_send_time(state, target, now)
        for target in eligibility.list_eligible(state, request)
    ]
    pause = min(due, default=now) - now
    return Millis(max(MIN_SPENT_DURATION, min(MAX_SPENT_DURATION, pause)))


def _choose_address(state: State, request: Request, may_wait: bool, now: Millis) -> str:
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
        for address in peer.list_relays(request.service):
            if address in request.tried_relays:
                continue
            if state.avoided_relays.get(address, now) > now:
                continue
            if not may_wait and state.spent_relays.get(address, now) > now:
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
