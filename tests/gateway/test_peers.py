"""Tests of the state that entries exchange."""

import random
from collections.abc import Iterable
from dataclasses import replace

from figstep.core.clock import Millis
from figstep.gateway import domains, newcomers, peers, sources
from figstep.gateway.budgets import MAX_REPORTED_PAST_USES, FleetUse, UseReport
from figstep.gateway.effects import Announce, CopyRun, OpenAttempt
from figstep.gateway.events import (
    AttemptLost,
    EntriesCounted,
    Loss,
    PeerHeard,
    PeerLoad,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.targets import UNREACHED_DURATION, Registration
from figstep.net.hellos import Hello, decode_hello, encode_hello
from figstep.net.links import MAX_DATAGRAM_BYTES
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    EntryHarness,
    build_large_fleet_entry,
)

ALLOWANCE = 56
"""Repeats that the fleet may make in a window without requests."""


def sum_uses(harness: EntryHarness, service: str = BOOKINGS) -> FleetUse:
    """Return what an entry counts as the others' use of a service now."""
    return peers.sum_uses(harness.state, service, harness.clock.now())


def build_fleet(size: int) -> list[EntryHarness]:
    """Return entries that have heard each other and have spent nothing."""
    fleet = [EntryHarness() for _ in range(size)]
    for number, entry in enumerate(fleet, 1):
        entry.state.node = f"entry-{number}"
        entry.handle(EntriesCounted(size))
    for entry in fleet:
        tell(entry, fleet)
    return fleet


def tell(
    sender: EntryHarness,
    receivers: Iterable[EntryHarness],
    process: int = 1,
    closing: bool = False,
    to_new_process: bool = False,
) -> None:
    """Deliver an entry's message to others, as the link does."""
    now = sender.clock.now()
    message = replace(peers.describe_entry(sender.state, now), closing=closing)
    if to_new_process:
        message = newcomers.complete_message(sender.state, message, now)
    data = encode_hello(Hello(message, session=process))
    for receiver in receivers:
        if receiver is not sender:
            receiver.handle(decode_hello(data, "10.0.0.1:7000").content)


def spend(entry: EntryHarness) -> int:
    """Make urgent repeats until the budget denies one; return their number."""
    spent = 0
    while peers.spend_repeat(entry.state, BOOKINGS, entry.clock.now(), urgent=True):
        spent += 1
    return spent


def test_entries_that_close_in_turn_spend_the_budget_once() -> None:
    """Guards against repeats that are forgotten as their entry says goodbye."""
    fleet = build_fleet(8)
    spent = 0
    while fleet:
        closing = fleet.pop()
        spent += spend(closing)
        tell(closing, fleet, closing=True)
    assert 0 < spent <= ALLOWANCE


def test_repeats_of_a_closing_entry_count_while_it_drains() -> None:
    """Guards against an entry whose repeats after its goodbye nobody counts."""
    closing, other = build_fleet(2)
    tell(closing, [other], closing=True)
    spent = spend(closing)
    assert spent > 0
    tell(closing, [other], closing=True)
    assert spent + spend(other) <= ALLOWANCE


def test_entries_do_not_spend_again_what_one_spent_that_vanished() -> None:
    """Guards against repeats that are forgotten as their entry is killed."""
    fleet = build_fleet(8)
    killed = fleet.pop()
    spent = spend(killed)
    tell(killed, fleet)
    for _ in range(4):
        for entry in fleet:
            entry.clock.advance(1_000)
            tell(entry, fleet)
    for entry in fleet:
        entry.handle(Ticked())
        assert entry.state.silent_peers
    for entry in fleet:
        spent += spend(entry)
        tell(entry, fleet)
    assert spent <= ALLOWANCE


def test_a_new_process_does_not_make_the_repeats_of_the_one_before_vanish() -> None:
    """Guards against repeats that are forgotten as their entry starts again."""
    killed, other = build_fleet(2)
    spent = spend(killed)
    tell(killed, [other], process=1)
    started = EntryHarness()
    started.state.node = killed.state.node
    tell(started, [other], process=2)
    assert spent > 0
    assert sum_uses(other).repeats == spent
    assert spent + spend(other) <= ALLOWANCE


def test_a_new_process_counts_what_the_one_before_has_spent() -> None:
    """Guards against a restarted entry that spends the budget once more."""
    killed, other = build_fleet(2)
    spent = spend(killed)
    tell(killed, [other], process=1)
    started = EntryHarness()
    started.state.node = killed.state.node
    tell(started, [other], process=2)
    tell(other, [started], to_new_process=True)
    assert spent > 0
    assert spent + spend(started) <= ALLOWANCE


def test_repeats_of_an_entry_that_ended_count_for_one_window() -> None:
    """Guards against requests that are lost as old repeats fill the budget."""
    closing, other = build_fleet(2)
    spent = spend(closing)
    tell(closing, [other], closing=True)
    window = other.state.budget.window
    other.clock.advance(window - 1)
    other.handle(Ticked())
    assert sum_uses(other).repeats == spent
    other.clock.advance(1)
    assert sum_uses(other).repeats == 0
    other.handle(Ticked())
    assert not other.state.past_uses.list_nodes()


def test_an_entry_that_is_heard_again_is_counted_once() -> None:
    """Guards against repeats that count twice after messages were lost."""
    silent, other = build_fleet(2)
    spent = spend(silent)
    tell(silent, [other])
    other.clock.advance(peers.PEER_TIMEOUT)
    other.handle(Ticked())
    assert sum_uses(other).repeats == spent
    tell(silent, [other])
    assert sum_uses(other).repeats == spent


def test_a_live_entry_that_another_does_not_hear_is_counted_once() -> None:
    """Guards against repeats that count twice in an entry that has just started."""
    silent, other, started = build_fleet(3)
    spent = spend(silent)
    tell(silent, [other, started])
    other.clock.advance(peers.PEER_TIMEOUT)
    other.handle(Ticked())
    tell(other, [started], to_new_process=True)
    assert sum_uses(started).repeats == spent


def test_requests_of_an_entry_that_ended_fade_within_the_window() -> None:
    """Guards against a bound raised twice by requests that went to other entries."""
    harness = EntryHarness()
    uses = (UseReport(BOOKINGS, 100, 0),)
    harness.handle(PeerHeard("entry-2", uses=uses, closing=True))
    assert sum_uses(harness).requests == 100
    harness.clock.advance(harness.state.budget.window // 2)
    assert sum_uses(harness).requests == 50


def test_uses_of_past_processes_are_bounded() -> None:
    """Guards against memory and messages that grow as 370 entries start again."""
    harness = EntryHarness()
    services = [f"service-{number}" for number in range(8)]
    uses = tuple(UseReport(service, 900, 9) for service in services)
    for process in range(1, 6):
        for number in range(370):
            node = f"entry-of-failure-domain-{number}"
            harness.handle(PeerHeard(node, uses=uses, process=process))
    now = harness.clock.now()
    message = peers.describe_entry(harness.state, now)
    message = newcomers.complete_message(harness.state, message, now)
    assert len(message.past_uses) == MAX_REPORTED_PAST_USES
    assert len(encode_hello(Hello(message))) < MAX_DATAGRAM_BYTES
    harness.clock.advance(harness.state.budget.window)
    harness.handle(Ticked())
    harness.clock.advance(harness.state.budget.window)
    harness.handle(Ticked())
    assert not harness.state.past_uses.list_nodes()


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
    assert sum_uses(harness, "engines").complete
    harness.clock.advance(peers.PEER_TIMEOUT)
    harness.handle(Ticked())
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    assert engine.peer_calls == 0
    assert not sum_uses(harness, "engines").complete


def test_a_peer_that_announces_its_end_frees_its_budget_share() -> None:
    harness = EntryHarness()
    harness.handle(PeerHeard("entry-2"))
    harness.handle(PeerHeard("entry-2", closing=True))
    assert sum_uses(harness, "engines").complete
    assert harness.state.peers == {}


def test_uses_of_all_peers_are_summed() -> None:
    harness = EntryHarness()
    uses = (UseReport("engines", 10, 2), UseReport("bookings", 50, 9))
    harness.handle(PeerHeard("entry-2", uses=uses))
    harness.handle(PeerHeard("entry-3", uses=uses))
    fleet = sum_uses(harness, "engines")
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
    fleet = sum_uses(harness, "engines")
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
