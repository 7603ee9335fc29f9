"""Test of two regions that are partitioned for an hour, with membership alone."""

import random
from collections import deque

from figstep.core.clock import Millis
from figstep.core.effects import Effect, SendGossip
from figstep.core.events import (
    GossipReceived,
    GossipTimer,
    PeerListenerOpened,
    TimerFired,
)
from figstep.core.gossip import MemberStatus
from figstep.core.reducer import reduce
from figstep.core.state import State

REGIONS = {"127.0.0.1:1": "a", "127.0.0.1:2": "a", "127.0.0.1:3": "b"}
HOUR = 3_600_000
"""Duration of the partition, in milliseconds."""

PERIOD = 1_000
"""Interval between gossip rounds, in milliseconds."""


class Members:
    """Three membership states and the messages under way between them."""

    def __init__(self) -> None:
        self.now = Millis(0)
        self.partitioned = False
        self.states: dict[str, State] = {}
        self._waiting: deque[tuple[str, SendGossip]] = deque()
        for number, address in enumerate(REGIONS):
            state = State(f"n{number}", rng=random.Random(number))
            self.states[address] = state
        for address, state in self.states.items():
            opened = PeerListenerOpened(address, 1, tuple(REGIONS))
            self._send(address, reduce(state, opened, self.now))

    def _send(self, address: str, effects: list[Effect]) -> None:
        for effect in effects:
            if not isinstance(effect, SendGossip):
                continue
            if self.partitioned and REGIONS[address] != REGIONS[effect.address]:
                continue
            self._waiting.append((address, effect))

    def run(self, millis: int) -> None:
        """Run gossip rounds for ``millis`` and deliver the messages not cut off."""
        for _ in range(millis // PERIOD):
            self.now = Millis(self.now + PERIOD)
            for address, state in self.states.items():
                timer = TimerFired(GossipTimer())
                self._send(address, reduce(state, timer, self.now))
            while self._waiting:
                _, sent = self._waiting.popleft()
                state = self.states[sent.address]
                event = GossipReceived(sent.gossip)
                self._send(sent.address, reduce(state, event, self.now))

    def list_alive(self, address: str) -> set[str]:
        """Return the names of the members that an address considers alive."""
        alive = set()
        for name, member in self.states[address].membership.members.items():
            if member.status is MemberStatus.ALIVE:
                alive.add(name)
        return alive


def test_regions_remove_and_rejoin_each_other() -> None:
    """Guards against regions that stay separate after a long partition.

    Two regions lose their connection for an hour. Each side soon considers the other
    gone, so that nothing waits for it. The listed addresses are still tried, so the
    sides rejoin without an operator when the connection is restored.
    """
    members = Members()
    members.run(30_000)
    assert members.list_alive("127.0.0.1:1") == {"n1", "n2"}
    assert members.list_alive("127.0.0.1:3") == {"n0", "n1"}
    members.partitioned = True
    members.run(HOUR)
    assert members.list_alive("127.0.0.1:1") == {"n1"}
    assert members.list_alive("127.0.0.1:3") == set()
    members.partitioned = False
    members.run(60_000)
    assert members.list_alive("127.0.0.1:1") == {"n1", "n2"}
    assert members.list_alive("127.0.0.1:3") == {"n0", "n1"}
