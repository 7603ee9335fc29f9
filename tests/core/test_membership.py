"""Tests of membership: liveness, leaving marks, counts and documents of entries."""

import random
from dataclasses import replace

import pytest

from figstep.core import datagrams, membership
from figstep.core.clock import Millis
from figstep.core.effects import Effect, FetchCheckpoint, SendGossip
from figstep.core.events import (
    FetchTimer,
    GossipReceived,
    GossipTimer,
    InstanceInfo,
    InstancesListed,
    LoadReported,
    PeerListenerOpened,
    ShutdownRequested,
    TimerFired,
)
from figstep.core.gossip import (
    Gossip,
    LeavingMark,
    MemberNews,
    MemberStatus,
    QuarantineMark,
    TargetCount,
    hash_target,
)
from figstep.core.inventory import EngineInfo
from figstep.core.reducer import reduce
from figstep.core.state import State, TargetState
from figstep.errors import PeerMessageError
from figstep.net.messages import (
    Keyring,
    MessageKind,
    decode_gossip,
    encode_gossip,
)

NUMBER_WITHOUT_ZERO_BYTES = 0x7EDC_BA98_7654_3210
"""An integer without zero bytes, which a packed message cannot shorten."""


def make_state(members: int = 0, targets: int = 2) -> State:
    state = State("a", rng=random.Random(1))
    for number in range(targets):
        name = f"engine-{number}"
        state.targets[name] = TargetState(EngineInfo(name, "http://h", "d", ("m",)))
    feed(state, PeerListenerOpened("127.0.0.1:1", 10))
    for number in range(members):
        feed(state, build_gossip_event(f"n{number}", f"127.0.0.1:{number + 100}"))
    return state


def build_gossip_event(
    sender: str, address: str = "127.0.0.1:2", **members: object
) -> object:
    """Return the event of a received gossip message with the given members."""
    gossip = Gossip(sender, address, 5, 1, wants_answer=False)
    return GossipReceived(replace(gossip, **members))  # type: ignore[arg-type]


def feed(state: State, event: object, now: int = 0) -> list[Effect]:
    return reduce(state, event, Millis(now))  # type: ignore[arg-type]


def list_sent(effects: list[Effect]) -> list[SendGossip]:
    """Return the gossip messages among some effects."""
    return [effect for effect in effects if isinstance(effect, SendGossip)]


def test_silent_entry_is_suspected_then_gone_and_returns_when_it_speaks() -> None:
    """Guards against a peer that stays removed after its connection is restored.

    A peer is silent for seconds; it is suspected and then gone. Its next message with
    the same incarnation does not revive it. The answer reports its status to it, and it
    returns with a newer incarnation.
    """
    state = make_state(members=1)
    statuses = []
    for now in range(0, 12_000, 1_000):
        feed(state, TimerFired(GossipTimer()), now)
        statuses.append(state.membership.members["n0"].status)
    assert MemberStatus.SUSPECT in statuses
    assert statuses[-1] is MemberStatus.GONE
    effects = feed(
        state, build_gossip_event("n0", sequence=2, wants_answer=True), 12_000
    )
    member = list_sent(effects)[0].gossip.members[0]
    assert (member.name, member.status) == ("n0", MemberStatus.GONE)
    feed(state, build_gossip_event("n0", incarnation=6), 12_001)
    assert state.membership.members["n0"].status is MemberStatus.ALIVE


def test_suspected_entry_refutes_by_a_newer_incarnation() -> None:
    state = make_state()
    news = MemberNews("a", "127.0.0.1:1", 10, MemberStatus.SUSPECT)
    effects = feed(state, build_gossip_event("b", members=(news,)))
    assert list_sent(effects)[0].gossip.incarnation == 11


def test_leaving_mark_is_sent_on_at_once_and_once() -> None:
    """Guards against work sent to a leaving target by entries that do not know it yet.

    A target reports to one entry that it leaves. Each entry to which the mark is new
    forwards it at once, so it crosses the fleet in a few messages' time. An entry that
    already has the mark does not forward it, which ends the flood.
    """
    state = make_state(members=8)
    mark = LeavingMark("engine-1", 3)
    effects = feed(state, build_gossip_event("n0", sequence=2, marks=(mark,)))
    sent = list_sent(effects)
    assert len(sent) == membership.URGENT_FANOUT
    assert all(mark in s.gossip.marks for s in sent)
    assert state.targets["engine-1"].leaving
    assert not list_sent(
        feed(state, build_gossip_event("n1", sequence=2, marks=(mark,)))
    )


def test_leaving_ends_only_by_a_newer_incarnation() -> None:
    state = make_state(members=1)
    target = state.targets["engine-1"]
    feed(
        state, build_gossip_event("n0", sequence=2, marks=(LeavingMark("engine-1", 3),))
    )
    live = InstanceInfo("engine-1", "target", "", "d", incarnation=3)
    feed(state, InstancesListed((live,)))
    feed(state, LoadReported("engine-1", incarnation=3))
    assert target.leaving
    feed(state, LoadReported("engine-1", incarnation=4))
    assert not target.leaving
    feed(
        state, build_gossip_event("n0", sequence=3, marks=(LeavingMark("engine-1", 3),))
    )
    assert not target.leaving


def test_own_shutdown_is_announced_to_peers() -> None:
    state = make_state(members=4)
    sent = list_sent(feed(state, ShutdownRequested()))
    assert sent
    assert all(s.gossip.leaving for s in sent)


def test_counts_of_peers_are_summed_and_scaled_to_silent_ones() -> None:
    state = make_state(members=3)
    counts = (TargetCount(hash_target("engine-0"), 4),)
    feed(state, build_gossip_event("n0", sequence=2, counts=counts), 10_000)
    feed(state, build_gossip_event("n1", sequence=2, counts=counts), 10_000)
    membership.estimate_peer_counts(state, Millis(10_000))
    assert state.targets["engine-0"].peers_in_flight == 12
    feed(state, build_gossip_event("n2", sequence=2, counts=counts), 16_000)
    membership.estimate_peer_counts(state, Millis(16_000))
    assert state.targets["engine-0"].peers_in_flight == 0
    membership.estimate_peer_counts(state, Millis(30_000))
    assert state.targets["engine-0"].peers_in_flight == 0


def test_quarantine_is_received_and_forwarded() -> None:
    state = make_state(members=1)
    mark = QuarantineMark("ab" * 32, Millis(5_000))
    feed(state, build_gossip_event("n0", sequence=2, quarantined=(mark,)), 1_000)
    assert state.quarantine.until[mark.digest] == 6_000
    gossip = datagrams.build_gossip(state, None, Millis(2_000), True)
    assert gossip.quarantined == (QuarantineMark(mark.digest, Millis(4_000)),)


def test_newer_document_is_fetched_from_the_peer_that_holds_it() -> None:
    state = make_state(members=2)
    feed(
        state,
        build_gossip_event("n0", "127.0.0.1:100", sequence=2, accepted=4, position=4),
    )
    effects = feed(state, TimerFired(FetchTimer()))
    assert FetchCheckpoint("127.0.0.1:100") in effects


def test_messages_sent_do_not_grow_with_the_fleet() -> None:
    for members in (8, 370):
        state = make_state(members=members, targets=670)
        for target in state.targets.values():
            target.in_flight = 9
            target.leaving = True
            membership.mark_leaving(
                state, LeavingMark(target.info.name, NUMBER_WITHOUT_ZERO_BYTES)
            )
        state.membership.incarnation = NUMBER_WITHOUT_ZERO_BYTES
        state.configuration_offset = state.configuration.position = (
            NUMBER_WITHOUT_ZERO_BYTES
        )
        for digest in range(50):
            state.quarantine.until[f"{digest:064x}"] = Millis(60_000)
        keys = Keyring("k" * 32)
        sent = list_sent(feed(state, TimerFired(GossipTimer()), 1_000))
        assert len(sent) == membership.FANOUT
        for effect in sent:
            body = encode_gossip(effect.gossip)
            data = keys.sign(MessageKind.GOSSIP, body)
            assert len(data) <= datagrams.MAX_BYTES
            assert decode_gossip(body) == effect.gossip


def test_second_key_is_accepted_while_keys_are_changed() -> None:
    body = encode_gossip(Gossip("a", "h:1", 1, 1))
    signed = Keyring("old").sign(MessageKind.GOSSIP, body)
    assert Keyring("new", "old").verify(MessageKind.GOSSIP, signed) == body
    with pytest.raises(PeerMessageError, match=r"peers\.key"):
        Keyring("new").verify(MessageKind.GOSSIP, signed)
    with pytest.raises(PeerMessageError):
        Keyring("old").verify(MessageKind.ANSWER, signed)
    for damaged in (b"", b"\xff" * 40, signed[:-3]):
        with pytest.raises(PeerMessageError):
            Keyring("old").verify(MessageKind.GOSSIP, damaged)


def test_a_list_without_incarnations_counts_while_it_says_so() -> None:
    """Guards against new work for a target that the platform lists as leaving.

    The platform's list has no incarnations. The target has reported its own, so the
    listed line looks older; if it were ignored, the target would get new work until it
    is gone.
    """
    state = make_state(members=1)
    target = state.targets["engine-0"]
    feed(state, LoadReported("engine-0", incarnation=3))
    line = InstanceInfo("engine-0", "target", "", "muc-a", leaving=True)
    feed(state, InstancesListed((line,)))
    assert not target.accepts_work
    feed(state, InstancesListed((replace(line, leaving=False),)))
    assert target.accepts_work
