"""What entries tell each other: open work by target, crashes, leaving."""

from figstep.core.clock import Millis
from figstep.gateway import placement
from figstep.gateway.budgets import FleetUse
from figstep.gateway.effects import Effect, FetchRecords, Note
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.state import Peer, State

SILENT_AFTER = Millis(3_000)
"""Silence after which a peer's work no longer counts. Messages come at least
once a second, and one in a hundred datagrams is lost."""

MISSED_FOR = Millis(20_000)
"""How long a peer that fell silent may still be at work behind a cut, spending
from the budget of the fleet; two windows of that budget."""

CATCH_UP_AFTER = Millis(400)
"""How long a peer may know newer records before they are asked of it. Entries
that read the store themselves learn of a record within some milliseconds of
each other; a store that turns this entry away may never tell it."""

MOST_CRASHES_TOLD = 16
"""Crashes told in a message; each is told again and again while it is new."""


def take_message(state: State, event: PeerHeard, now: Millis) -> None:
    """Take in a peer's message."""
    state.missed.pop(event.node, None)
    if event.closing:
        state.peers.pop(event.node, None)
    else:
        state.peers[event.node] = Peer(
            now,
            event.loads,
            event.uses,
            event.address,
            event.configuration,
            event.position,
        )
    for digest, crash in event.crashes:
        state.crashes.note_crash(digest, crash, now)
    count_loads(state)


def forget_silent(state: State, now: Millis) -> None:
    """Drop peers that have not been heard for long."""
    silent = [
        name for name, peer in state.peers.items() if now - peer.heard >= SILENT_AFTER
    ]
    for name in silent:
        del state.peers[name]
        state.missed[name] = now
    for name, since in list(state.missed.items()):
        if now - since >= MISSED_FOR:
            del state.missed[name]
    if silent:
        count_loads(state)


def count_loads(state: State) -> None:
    """Sum up what the peers have open at each target."""
    for target in state.targets.targets.values():
        target.peer_calls = 0
        target.peer_memory = 0
        target.peer_reading = 0
        target.peer_rates = ()
        target.peer_unprotected = 0
    for peer in state.peers.values():
        for load in peer.loads:
            found = state.targets.find(load.target)
            if found is None:
                continue
            found.peer_calls += load.calls
            found.peer_memory += load.memory
            found.peer_reading += load.reading
            found.peer_unprotected += load.unprotected
            if load.read_rate is not None:
                found.peer_rates += (load.read_rate,)


def list_loads(state: State) -> tuple[PeerLoad, ...]:
    """Return what this entry has open, by target."""
    unprotected = placement.count_unprotected(state)
    loads = []
    for target in state.targets.targets.values():
        if not (target.calls or target.memory or target.read_rate_own):
            continue
        loads.append(
            PeerLoad(
                target.name,
                target.calls,
                target.memory,
                target.reading,
                target.read_rate_own,
                unprotected.get(target.name, 0),
            )
        )
    return tuple(loads)


def sum_uses(state: State, service: str) -> FleetUse:
    """Return what the other entries sent to a service."""
    requests = repeats = 0
    for peer in state.peers.values():
        for use in peer.uses:
            if use.service == service:
                requests += use.requests
                repeats += use.repeats
    return FleetUse(
        requests,
        repeats,
        1 + len(state.peers) + len(state.missed),
        not state.missed,
    )


def spend_repeat(state: State, service: str, now: Millis, urgent: bool = False) -> bool:
    """Take one repeat from the fleet's budget; False if none is left."""
    if not state.budget.can_repeat(service, sum_uses(state, service), now, urgent):
        return False
    state.budget.note_repeat(service, now)
    return True


def catch_up(state: State, now: Millis) -> list[Effect]:
    """Ask a peer for records that the store has not told this entry."""
    version = -1 if state.table is None else state.table.version
    ahead = [
        peer
        for peer in state.peers.values()
        if peer.configuration > version or peer.position > state.position
    ]
    if not ahead:
        state.behind_since = None
        return []
    if state.behind_since is None:
        state.behind_since = now
    if now - state.behind_since < CATCH_UP_AFTER:
        return []
    state.behind_since = now
    peer = state.rng.choice(ahead)
    note = Note(
        "records asked of a peer",
        {
            "peer": peer.address,
            "configuration": version,
            "peer_configuration": peer.configuration,
            "position": state.position,
            "peer_position": peer.position,
        },
    )
    return [FetchRecords(peer.address), note]


def describe_own(state: State, now: Millis) -> PeerHeard:
    """Return what this entry tells the others."""
    return PeerHeard(
        state.node,
        list_loads(state),
        state.budget.report(now),
        tuple(state.crashes.list_recent(MOST_CRASHES_TOLD)),
        state.closes_at is not None,
        configuration=-1 if state.table is None else state.table.version,
        position=state.position,
    )
