"""Tests of the reducer: configuration, registrations and lapses."""

from figstep.core.clock import Millis
from figstep.gateway.effects import Note
from figstep.gateway.events import (
    ConfigurationRead,
    PeerHeard,
    StoreLost,
    StoreRegained,
    TargetRegistered,
    TargetsListed,
    Ticked,
)
from figstep.gateway.reducer import LAPSE_GRACE, MASS_LAPSE_GRACE
from figstep.gateway.targets import Registration
from tests.gateway.worlds import ENGINES, EntryHarness, build_table


def ready(world: EntryHarness) -> list[str]:
    return sorted(target.name for target in world.state.targets.list_ready(ENGINES))


def test_configuration_never_goes_back() -> None:
    """A dropped route would work again.

    A peer's copy brings version 3 while a slow read of the store brings 2.
    """
    world = EntryHarness()
    world.handle(ConfigurationRead(build_table(3)))
    world.handle(ConfigurationRead(build_table(2)))
    assert world.state.table is not None
    assert world.state.table.version == 3


def test_targets_that_are_not_listed_are_gone() -> None:
    world = EntryHarness()
    world.register("e-1", "e-2")
    info = Registration("e-2", ENGINES, "e-2:80", "muc-a", 64, born=1)
    world.handle(TargetsListed((info,), position=5))
    assert ready(world) == ["e-2"]


def test_an_older_list_changes_nothing() -> None:
    world = EntryHarness()
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    world.handle(TargetsListed((info,), position=5))
    world.handle(TargetsListed((), position=4))
    assert ready(world) == ["e-1"]


def test_lapsed_registrations_keep_their_targets_until_they_are_back() -> None:
    """Every caller would be refused although all engines live.

    The store is away for long, registrations lapse, and on its return all are
    gone for up to two seconds. One engine did die meanwhile.
    """
    world = EntryHarness()
    world.register("e-1", "e-2")
    world.handle(StoreLost())
    world.clock.advance(10_000)
    world.handle(StoreRegained())
    world.depart("e-1")
    world.depart("e-2")
    assert ready(world) == ["e-1", "e-2"]
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    world.handle(TargetRegistered(info))
    world.clock.advance(LAPSE_GRACE)
    world.handle(Ticked())
    assert ready(world) == ["e-1"]


def test_a_departure_long_after_an_outage_counts_at_once() -> None:
    world = EntryHarness()
    world.register("e-1")
    world.handle(StoreLost())
    world.handle(StoreRegained())
    world.clock.advance(Millis(LAPSE_GRACE + 1))
    world.depart("e-1")
    assert ready(world) == []


def test_an_entry_that_alone_was_cut_off_believes_departures_at_once() -> None:
    """A stream would be lost with an engine whose notice was there to read.

    The store turns this entry away and serves a peer all the while. On its
    return this entry reads that an engine left; nothing can have lapsed.
    """
    world = EntryHarness()
    world.register("e-1", "e-2")
    world.handle(PeerHeard("entry-2", reading=True))
    world.clock.advance(500)
    world.handle(StoreLost())
    world.clock.advance(2_000)
    world.handle(PeerHeard("entry-2", reading=True))
    world.handle(StoreRegained())
    world.depart("e-1")
    assert ready(world) == ["e-2"]


def test_a_peer_that_lost_the_store_too_proves_nothing() -> None:
    world = EntryHarness()
    world.register("e-1", "e-2")
    world.handle(PeerHeard("entry-2"))
    world.clock.advance(500)
    world.handle(StoreLost())
    world.handle(PeerHeard("entry-2", receives_records=False))
    world.clock.advance(2_000)
    world.handle(PeerHeard("entry-2"))
    world.handle(StoreRegained())
    world.depart("e-1")
    assert ready(world) == ["e-1", "e-2"]


def test_most_targets_departing_at_once_have_lapsed() -> None:
    """Every caller would be refused although all engines live.

    A read waits at the store through a short outage, so that this entry does
    not notice it. All registrations lapse, and their loss is read at once.
    """
    world = EntryHarness()
    names = [f"e-{number}" for number in range(6)]
    world.register(*names)
    for name in names:
        world.depart(name)
    assert len(ready(world)) >= 3
    world.clock.advance(MASS_LAPSE_GRACE)
    world.handle(Ticked())
    assert ready(world) == []


def test_one_target_after_another_is_believed() -> None:
    world = EntryHarness()
    world.register("e-1", "e-2", "e-3", "e-4")
    for name in ("e-1", "e-2", "e-3"):
        world.depart(name)
        world.clock.advance(1_000)
    assert ready(world) == ["e-4"]


def test_targets_that_left_long_ago_don_t_make_a_departure_look_like_a_lapse() -> None:
    """The caller would lose its plan, and prompts go to an engine that leaves.

    An entry that the store turns away has its peers' list read again and again.
    Engines that left before are missing from each; counted as departures anew,
    they make the next one look like a lapse of all registrations, which is not
    believed for two seconds. The engine is gone by then.
    """
    world = EntryHarness()
    world.register("e-1", "e-2", "e-3", "e-4", "e-5", "e-6")
    for name in ("e-1", "e-2", "e-3"):
        world.depart(name)
        world.clock.advance(3_000)
    left = [
        Registration(name, ENGINES, f"{name}:80", "muc-a", 64, born=1)
        for name in ("e-5", "e-6")
    ]
    world.handle(TargetsListed(tuple(left), position=9))
    assert ready(world) == ["e-5", "e-6"]
    # What is known already is not told again.
    world.handle(TargetsListed(tuple(left), position=10))
    departed = [
        note for note in world.find_all(Note) if note.message == "target departed"
    ]
    assert departed == []
