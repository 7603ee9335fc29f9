"""Tests of the state that entries exchange."""

import random

from figstep.core.clock import Millis
from figstep.gateway import domains, peers, sources
from figstep.gateway.budgets import UseReport
from figstep.gateway.effects import Announce, CopyRun, OpenAttempt
from figstep.gateway.events import (
    AttemptLost,
    Loss,
    PeerHeard,
    PeerLoad,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.targets import UNREACHED_DURATION, Registration
from figstep.net.hellos import Hello, decode_hello, encode_hello
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    EntryHarness,
    build_large_fleet_entry,
)


def test_loads_of_all_peers_are_summed() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    harness.handle(PeerHeard("entry-2", (PeerLoad("e-1", 2, 8_000, 3_000),)))
    harness.handle(PeerHeard("entry-3", (PeerLoad("e-1", 1, 4_000),)))
    harness.handle(PeerHeard("entry-3", (PeerLoad("e-1", 3, 9_000),)))
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    assert (engine.peer_calls, engine.peer_memory) == (5, 17_000)
    assert engine.peer_reading == 3_000


def test_a_silent_peers_loads_expire_but_its_budget_share_stays() -> None:
    """Guards against two halves of a split fleet that each spend the whole budget.

    A peer behind a network partition falls silent. Its loads must not keep engines from
    work, but it still sends repeats, so this entry keeps to its own share.
    """
    harness = EntryHarness()
    harness.register("e-1")
    harness.handle(PeerHeard("entry-2", (PeerLoad("e-1", 2, 8_000),)))
    assert peers.sum_uses(harness.state, "engines").complete
    harness.clock.advance(peers.PEER_TIMEOUT)
    harness.handle(Ticked())
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    assert engine.peer_calls == 0
    assert not peers.sum_uses(harness.state, "engines").complete


def test_a_peer_that_announces_its_end_frees_its_budget_share() -> None:
    harness = EntryHarness()
    harness.handle(PeerHeard("entry-2"))
    harness.handle(PeerHeard("entry-2", closing=True))
    assert peers.sum_uses(harness.state, "engines").complete
    assert harness.state.peers == {}


def test_uses_of_all_peers_are_summed() -> None:
    harness = EntryHarness()
    uses = (UseReport("engines", 10, 2), UseReport("bookings", 50, 9))
    harness.handle(PeerHeard("entry-2", uses=uses))
    harness.handle(PeerHeard("entry-3", uses=uses))
    fleet = peers.sum_uses(harness.state, "engines")
    assert (fleet.requests, fleet.repeats, fleet.entries) == (20, 4, 3)


def test_sums_of_another_failure_domain_expire() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    load = PeerLoad("e-1", 4, 16_000)
    for entry in ("entry-8", "entry-9"):
        harness.handle(PeerHeard(entry, (load,), far=True, failure_domain="muc-b"))
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    assert engine.peer_memory == 16_000
    assert harness.state.peers == {}
    harness.clock.advance(peers.REMOTE_LOADS_TIMEOUT)
    harness.handle(Ticked())
    assert engine.peer_memory == 0


def test_sums_hold_what_all_entries_of_the_failure_domain_have_open() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.open_plan()
    own = peers.list_loads(harness.state)
    harness.handle(PeerHeard("entry-2", (PeerLoad("e-1", 2, 8_000),)))
    far = PeerHeard("x", (PeerLoad("e-1", 9, 9),), far=True, failure_domain="muc-b")
    harness.handle(far)
    message = domains.describe_domain(harness.state, harness.clock.now())
    assert message.far
    assert sum(load.calls for load in message.loads) == 2 + sum(o.calls for o in own)


def test_a_failure_domain_shares_its_part_of_the_retry_budget() -> None:
    harness = build_large_fleet_entry()
    fleet = peers.sum_uses(harness.state, "engines")
    assert fleet.entries == 19
    assert fleet.fleet_fraction == 19 / 73


def test_sums_of_loads_stay_right_over_messages_silence_and_new_targets() -> None:
    """Guards against prompts that avoid an idle engine or all go to a full one."""
    harness = EntryHarness()
    harness.register("e-1")
    rng = random.Random(5)
    for _ in range(300):
        harness.clock.advance(rng.randrange(400))
        loads = (
            PeerLoad("e-1", rng.randrange(9), 100, rng.randrange(9), rng.random()),
            PeerLoad("e-2", rng.randrange(9), 100),
        )
        node = f"entry-{rng.randrange(4)}"
        far = rng.random() < 0.3
        partial = far and rng.random() < 0.5
        loads = loads[: rng.randrange(3)] if partial else loads
        domain = "muc-b" if far else "muc-a"
        closing = rng.random() < 0.1 and not far
        harness.handle(
            PeerHeard(
                node,
                loads,
                closing=closing,
                far=far,
                failure_domain=domain,
                partial=partial,
            )
        )
        if rng.random() < 0.2:
            harness.register("e-2")
        if rng.random() < 0.1:
            info = Registration(
                "e-1", ENGINES, "e-1:80", "muc-a", 64, born=rng.randrange(9)
            )
            harness.handle(TargetRegistered(info))
        harness.handle(Ticked())
        for target in harness.state.targets.targets.values():
            kept = (target.peer_calls, target.peer_reading, target.peer_rate_count)
            rate = target.read_rate
            peers.recount_loads(harness.state)
            recomputed = (
                target.peer_calls,
                target.peer_reading,
                target.peer_rate_count,
            )
            assert kept == recomputed
            assert abs(rate - target.read_rate) < 1e-6


def test_one_entry_represents_its_failure_domain() -> None:
    harness = build_large_fleet_entry()
    assert not domains.is_domain_representative(harness.state, harness.clock.now())
    harness.clock.advance(sources.READER_TIMEOUT)
    assert domains.is_domain_representative(harness.state, harness.clock.now())


def test_only_changed_loads_are_sent_between_whole_messages() -> None:
    """Guards against traffic between failure domains that grows with all targets."""
    last_sent = {name: PeerLoad(name, 2, 8_000, 0) for name in ("e-1", "e-2", "e-3")}
    loads = (PeerLoad("e-1", 2, 8_100, 0), PeerLoad("e-2", 3, 11_000, 3_000))
    changed = peers.select_changed(last_sent, loads)
    assert changed == (loads[1], PeerLoad("e-3", 0, 0))


def test_accumulated_growth_is_sent() -> None:
    last_sent = {"e-1": PeerLoad("e-1", 2, 8_000)}
    loads = (PeerLoad("e-1", 2, 8_000 + peers.MEMORY_REPORT_STEP),)
    assert peers.select_changed(last_sent, loads) == loads


def report_unreachable(harness: EntryHarness, entry: str, *targets: str) -> None:
    """Let a peer report targets that it could not connect to."""
    harness.handle(PeerHeard(entry, failure_domain="muc-a", unreached=targets))


def test_a_target_that_others_can_not_reach_is_not_tried() -> None:
    """Guards against entries that each find a dead engine by a failed try."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    report_unreachable(harness, "entry-2", "e-1")
    report_unreachable(harness, "entry-3", "e-1")
    for _ in range(2):
        assert harness.open_plan().target == "e-2"


def test_no_copy_is_made_at_an_engine_that_others_can_not_reach() -> None:
    """Guards against runs without a copy because each order went to a dead engine."""
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.register("e-2", "e-3")
    report_unreachable(harness, "entry-2", "e-2")
    report_unreachable(harness, "entry-3", "e-2")
    harness.send_pieces(opened.attempt, 1, 9)
    harness.handle(Ticked())
    assert harness.find_effect(CopyRun).holder == "e-3"


def test_a_single_partitioned_entry_is_not_believed() -> None:
    """Guards against one partitioned entry that blocks engines for all others."""
    harness = EntryHarness()
    harness.register("e-1")
    for _ in range(5):
        report_unreachable(harness, "entry-2", "e-1")
        harness.clock.advance(100)
    assert harness.open_plan().target == "e-1"
    assert harness.state.targets.targets["e-1"].backoff_until <= harness.clock.now()


def test_a_target_that_answers_this_entry_is_kept() -> None:
    """Guards against engines blocked by reports of entries that can't reach them."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 1)
    report_unreachable(harness, "entry-2", opened.target)
    report_unreachable(harness, "entry-3", opened.target)
    target = harness.state.targets.targets[opened.target]
    assert target.backoff_until <= harness.clock.now()


def test_unreachable_targets_are_reported_at_once_and_briefly() -> None:
    """Guards against peers that keep trying a dead engine, or never return to it."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS)
    harness.receive_request("/order/a")
    lost = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(lost.attempt, Loss.UNREACHED))
    assert harness.find_effects(Announce)
    now = harness.clock.now()
    message = peers.describe_entry(harness.state, now)
    assert message.unreached == (lost.target,)
    data = encode_hello(Hello(message))
    assert decode_hello(data, "10.0.0.1:7000").content.unreached == message.unreached
    later = Millis(now + UNREACHED_DURATION)
    assert peers.describe_entry(harness.state, later).unreached == ()


def test_reports_of_peers_are_not_forwarded() -> None:
    """Guards against entries that keep each other from a target that has returned."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    report_unreachable(harness, "entry-2", "e-1")
    report_unreachable(harness, "entry-3", "e-1")
    assert peers.describe_entry(harness.state, harness.clock.now()).unreached == ()
