"""Tests of the contract between entries: gossip datagrams and checkpoints."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from figstep.core.configuration import encode_snapshot
from figstep.core.events import (
    Checkpoint,
    CheckpointOffered,
    Event,
    GossipReceived,
    PeerListenerOpened,
)
from figstep.core.gossip import Gossip
from figstep.demo import build_document
from figstep.net.messages import Keyring, MessageKind, encode_gossip
from figstep.net.peers import PeerEdge
from figstep.settings import Peers
from figstep.standins.proxy import (
    CutAfter,
    Delay,
    Direction,
    Drip,
    Fault,
    Lose,
    LoseAnswers,
    TcpProxy,
    UdpProxy,
)
from tests.fleet import wait_for

KEY = "shared"
GOSSIP = Gossip("entry-1", "127.0.0.1:9", 1, 7, accepted=3)
DOCUMENT = build_document({"engine-1": "http://127.0.0.1:9"}, "http://127.0.0.1:9")
CHECKPOINT = Checkpoint(3, 5, "e", "ops", "why", 1, DOCUMENT, None)


@dataclass(slots=True)
class Peer:
    """A peer edge and the events that it dispatched."""

    edge: PeerEdge
    events: list[Event]

    def list_received_events(self) -> list[Event]:
        """Return the events except the one that reports the own address."""
        return [
            event for event in self.events if not isinstance(event, PeerListenerOpened)
        ]


@asynccontextmanager
async def run_peer(key: str = KEY, old_key: str = "") -> AsyncIterator[Peer]:
    events: list[Event] = []
    record: dict[str, Any] = encode_snapshot(CHECKPOINT, 5)
    settings = Peers(key=key, old_key=old_key)
    edge = PeerEdge(settings, 1, events.append, lambda: record)
    await edge.start()
    yield Peer(edge, events)
    await edge.stop()


def sign(key: str = KEY, kind: MessageKind = MessageKind.GOSSIP) -> bytes:
    return Keyring(key).sign(kind, encode_gossip(GOSSIP))


DATAGRAMS = {
    "signed": (sign(), True),
    "signed with the old key": (sign("old"), True),
    "one byte": (b"\x00", False),
    "noise": (os.urandom(200), False),
    "another key": (sign("stranger"), False),
    "of another kind": (sign(kind=MessageKind.REQUEST), False),
    "cut short": (sign()[:-3], False),
    "changed on the way": (sign()[:-1] + b"\x00\x01", False),
    "signed noise": (Keyring(KEY).sign(MessageKind.GOSSIP, b"\xff" * 64), False),
}


@pytest.mark.parametrize(
    ("data", "is_accepted"), DATAGRAMS.values(), ids=DATAGRAMS.keys()
)
async def test_only_whole_datagrams_with_a_known_key_are_accepted(
    data: bytes, is_accepted: bool
) -> None:
    async with run_peer(old_key="old") as peer:
        host, _, port = peer.edge.address.rpartition(":")
        loop = asyncio.get_running_loop()
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, int(port))
        )
        sender.sendto(data)
        await wait_for(
            lambda: peer.list_received_events() or peer.edge.rejected,
            "the datagram arrived",
        )
        sender.close()
        assert peer.list_received_events() == (
            [GossipReceived(GOSSIP)] if is_accepted else []
        )


@pytest.mark.parametrize(
    ("fault", "arrives"),
    [(None, True), (Delay(0.05), True), (Lose(Direction.TO_TARGET), False)],
)
async def test_a_lost_datagram_is_replaced_by_the_next(
    fault: Fault | None, arrives: bool
) -> None:
    async with run_peer() as sender, run_peer() as receiver:
        host, _, port = receiver.edge.address.rpartition(":")
        proxy = UdpProxy(host, int(port))
        await proxy.start()
        proxy.fault = fault
        sender.edge.send(proxy.address, GOSSIP)
        if not arrives:
            await asyncio.sleep(0.1)
            assert receiver.list_received_events() == []
            proxy.fault = None
            sender.edge.send(proxy.address, GOSSIP)
        await wait_for(receiver.list_received_events, "the gossip arrived")
        await proxy.stop()
        assert receiver.list_received_events() == [GossipReceived(GOSSIP)]


@pytest.mark.parametrize(
    ("fault", "arrives"),
    [
        (None, True),
        (Delay(0.05), True),
        (Drip(100, 0.005), True),
        (CutAfter(100), False),
        (LoseAnswers(1), False),
        (Lose(Direction.TO_CLIENT), False),
    ],
)
async def test_a_checkpoint_is_applied_whole_or_not_at_all(
    fault: Fault | None, arrives: bool
) -> None:
    """Guards against half a document in force, and against fetches that stay blocked.

    The link to the peer with the newer document fails during the transfer. A later
    fetch must succeed once the link works again.
    """
    async with run_peer() as requester, run_peer() as provider:
        host, _, port = provider.edge.address.rpartition(":")
        proxy = TcpProxy(host, int(port))
        await proxy.start()
        if fault is not None:
            proxy.set_fault(fault)
        requester.edge.fetch(proxy.address)
        if not arrives:
            await wait_for(lambda: provider.edge.bytes_sent, "the answer was sent")
            await asyncio.sleep(0.1)
            assert requester.list_received_events() == []
            proxy.clear_fault()
            proxy.cut()

        def has_events() -> bool:
            requester.edge.fetch(proxy.address)
            return bool(requester.list_received_events())

        await wait_for(has_events, "the checkpoint arrived")
        await proxy.stop()
        offered = requester.list_received_events()[0]
    assert isinstance(offered, CheckpointOffered)
    assert offered.checkpoint.document == DOCUMENT
    assert offered.checkpoint.inventory is not None
