"""What entries tell each other: open work by target, crashes, leaving."""

from figstep.core.clock import Millis
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.state import Peer, State

SILENT_AFTER = Millis(3_000)
"""Silence after which a peer's work no longer counts. Messages come at least
once a second, and one in a hundred datagrams is lost."""

MOST_CRASHES_TOLD = 16
"""Crashes told in a message; each is told again and again while it is new."""


def take_message(state: State, event: PeerHeard, now: Millis) -> None:
    """Take in a peer's message."""
    if event.closing:
        state.peers.pop(event.node, None)
    else:
        state.peers[event.node] = Peer(now, event.loads)
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
    if silent:
        count_loads(state)


def count_loads(state: State) -> None:
    """Sum up what the peers have open at each target."""
    for target in state.targets.targets.values():
        target.peer_calls = 0
        target.peer_memory = 0
    for peer in state.peers.values():
        for load in peer.loads:
            found = state.targets.find(load.target)
            if found is None:
                continue
            found.peer_calls += load.calls
            found.peer_memory += load.memory


def list_loads(state: State) -> tuple[PeerLoad, ...]:
    """Return what this entry has open, by target."""
    loads = []
    for target in state.targets.targets.values():
        if target.calls or target.memory:
            loads.append(PeerLoad(target.name, target.calls, target.memory))
    return tuple(loads)
