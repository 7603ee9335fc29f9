"""Tests of what entries tell each other."""

import random

from figstep.core.clock import Millis
from figstep.gateway import peers
from figstep.gateway.budgets import UseReport
from figstep.gateway.effects import FetchRecords
from figstep.gateway.events import (
    EntriesCounted,
    PeerHeard,
    PeerLoad,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.targets import Registration
from tests.gateway.worlds import ENGINES, World


def test_loads_of_all_peers_are_summed() -> None:
    world = World()
    world.register("e-1")
    world.handle(PeerHeard("entry-2", (PeerLoad("e-1", 2, 8_000, 3_000),)))
    world.handle(PeerHeard("entry-3", (PeerLoad("e-1", 1, 4_000),)))
    world.handle(PeerHeard("entry-3", (PeerLoad("e-1", 3, 9_000),)))
    engine = world.state.targets.find("e-1")
    assert engine is not None
    assert (engine.peer_calls, engine.peer_memory) == (5, 17_000)
    assert engine.peer_reading == 3_000


def test_a_silent_peer_counts_for_nothing_but_is_missed() -> None:
    """Two halves of a split fleet would each spend the whole retry budget.

    A peer falls silent behind a cut. Its loads must not keep engines from
    work; its repeats go on, so that this entry keeps to its own part.
    """
    world = World()
    world.register("e-1")
    world.handle(PeerHeard("entry-2", (PeerLoad("e-1", 2, 8_000),)))
    assert peers.sum_uses(world.state, "engines").complete
    world.clock.advance(peers.SILENT_AFTER)
    world.handle(Ticked())
    engine = world.state.targets.find("e-1")
    assert engine is not None
    assert engine.peer_calls == 0
    assert not peers.sum_uses(world.state, "engines").complete


def test_a_peer_that_says_that_it_ends_is_not_missed() -> None:
    world = World()
    world.handle(PeerHeard("entry-2"))
    world.handle(PeerHeard("entry-2", closing=True))
    assert peers.sum_uses(world.state, "engines").complete
    assert world.state.peers == {}


def test_uses_of_all_peers_are_summed() -> None:
    world = World()
    uses = (UseReport("engines", 10, 2), UseReport("bookings", 50, 9))
    world.handle(PeerHeard("entry-2", uses=uses))
    world.handle(PeerHeard("entry-3", uses=uses))
    fleet = peers.sum_uses(world.state, "engines")
    assert (fleet.requests, fleet.repeats, fleet.entries) == (20, 4, 3)


def test_records_that_the_store_does_not_tell_are_asked_of_a_peer() -> None:
    """A key that was taken away would work on at this entry.

    The store turns this entry away and serves the others; the operator takes a
    key away. A peer's message tells of a newer version.
    """
    world = World()
    world.handle(PeerHeard("entry-2", address="10.0.0.2:7200", configuration=2))
    world.handle(Ticked())
    assert world.find_all(FetchRecords) == []
    world.clock.advance(peers.CATCH_UP_AFTER)
    world.handle(Ticked())
    assert world.find(FetchRecords).address == "10.0.0.2:7200"


def test_an_entry_that_is_ahead_asks_nobody() -> None:
    world = World()
    world.handle(PeerHeard("entry-2", address="10.0.0.2:7200", configuration=1))
    for _ in range(3):
        world.clock.advance(Millis(500))
        world.handle(PeerHeard("entry-2", configuration=1))
        world.handle(Ticked())
        assert world.find_all(FetchRecords) == []


def test_sums_of_another_failure_domain_count_for_a_while() -> None:
    world = World()
    world.register("e-1")
    load = PeerLoad("e-1", 4, 16_000)
    for entry in ("entry-8", "entry-9"):
        world.handle(PeerHeard(entry, (load,), far=True, failure_domain="muc-b"))
    engine = world.state.targets.find("e-1")
    assert engine is not None
    assert engine.peer_memory == 16_000
    assert world.state.peers == {}
    world.clock.advance(peers.FAR_KEPT)
    world.handle(Ticked())
    assert engine.peer_memory == 0


def test_sums_hold_what_all_entries_of_the_failure_domain_have_open() -> None:
    world = World()
    world.register("e-1", "e-2")
    world.open_plan()
    own = peers.list_loads(world.state)
    world.handle(PeerHeard("entry-2", (PeerLoad("e-1", 2, 8_000),)))
    far = PeerHeard("x", (PeerLoad("e-1", 9, 9),), far=True, failure_domain="muc-b")
    world.handle(far)
    told = peers.describe_domain(world.state, world.clock.now())
    assert told.far
    assert sum(load.calls for load in told.loads) == 2 + sum(o.calls for o in own)


def build_large_world() -> World:
    world = World()
    world.handle(EntriesCounted(73))
    for number in range(18):
        world.handle(PeerHeard(f"entry-0-{number:02}", failure_domain="muc-a"))
    return world


def test_few_entries_of_a_large_fleet_read_the_store() -> None:
    world = build_large_world()
    now = world.clock.now()
    assert not peers.reads_store(world.state, now)
    world.state.node = "entry-0"
    assert peers.reads_store(world.state, now)


def test_another_entry_reads_when_the_readers_fall_silent() -> None:
    """A key that was taken away would work on in a whole failure domain.

    The three entries that read the store die in the same moment. The others
    hear nothing of them for a second and a half.
    """
    world = build_large_world()
    world.state.node = "entry-0-03-next"
    assert not peers.reads_store(world.state, world.clock.now())
    world.clock.advance(peers.READER_SILENT)
    for number in range(4, 18):
        world.handle(PeerHeard(f"entry-0-{number:02}", failure_domain="muc-a"))
    assert peers.reads_store(world.state, world.clock.now())


def test_an_entry_whose_store_is_away_keeps_asking() -> None:
    world = build_large_world()
    world.state.store_away = True
    assert peers.reads_store(world.state, world.clock.now())


def test_an_entry_keeps_asking_while_the_readers_are_turned_away_too() -> None:
    world = build_large_world()
    world.state.store_away = True
    for number in range(18):
        name = f"entry-0-{number:02}"
        world.handle(PeerHeard(name, failure_domain="muc-a", store_well=False))
    assert peers.reads_store(world.state, world.clock.now())


def test_a_failure_domain_shares_its_part_of_the_retry_budget() -> None:
    world = build_large_world()
    fleet = peers.sum_uses(world.state, "engines")
    assert fleet.entries == 19
    assert fleet.part == 19 / 73


def test_sums_of_loads_stay_right_over_messages_silence_and_new_targets() -> None:
    """Prompts would keep away from an idle engine, or all go to a full one.

    Sums are kept by taking off what a peer told before. Peers tell anew, end and
    fall silent, sums of another failure domain grow old, and a target starts
    again under its id.
    """
    world = World()
    world.register("e-1")
    rng = random.Random(5)
    for _ in range(300):
        world.clock.advance(rng.randrange(400))
        loads = (
            PeerLoad("e-1", rng.randrange(9), 100, rng.randrange(9), rng.random()),
            PeerLoad("e-2", rng.randrange(9), 100),
        )
        node = f"entry-{rng.randrange(4)}"
        far = rng.random() < 0.3
        domain = "muc-b" if far else "muc-a"
        closing = rng.random() < 0.1 and not far
        world.handle(
            PeerHeard(node, loads, closing=closing, far=far, failure_domain=domain)
        )
        if rng.random() < 0.2:
            world.register("e-2")
        if rng.random() < 0.1:
            info = Registration(
                "e-1", ENGINES, "e-1:80", "muc-a", 64, born=rng.randrange(9)
            )
            world.handle(TargetRegistered(info))
        world.handle(Ticked())
        for target in world.state.targets.targets.values():
            kept = (target.peer_calls, target.peer_reading, target.peer_rate_count)
            rate = target.read_rate
            peers.recount_loads(world.state)
            anew = (target.peer_calls, target.peer_reading, target.peer_rate_count)
            assert kept == anew
            assert abs(rate - target.read_rate) < 1e-6


def test_a_new_configuration_is_not_asked_of_one_peer_by_a_whole_failure_domain() -> (
    None
):
    """A key that was taken away works on for over three seconds.

    One entry of a failure domain has read a configuration of 1,100 routes, some
    300 KB, and tells its number. Within 150 ms the 17 others ask it for a copy; a
    link of 5 Mbit/s takes half a second for each.
    """
    asked = 0
    for number in range(17):
        world = build_large_world()
        world.state.rng.seed(number)
        world.state.node = f"entry-1-{number:02}"
        ahead = PeerHeard(
            "entry-0-05",
            address="10.0.0.5:7200",
            configuration=2,
            failure_domain="muc-a",
        )
        world.handle(ahead)
        world.handle(Ticked())
        world.clock.advance(peers.TOLD_AFTER)
        world.handle(Ticked())
        asked += len(world.find_all(FetchRecords))
    assert asked <= 4
