"""Tests of the reducer: configuration, registrations and lapses."""

from figstep.core.clock import Millis
from figstep.gateway.events import (
    ConfigurationRead,
    StoreLost,
    StoreRegained,
    TargetRegistered,
    TargetsListed,
    Ticked,
)
from figstep.gateway.reducer import LAPSE
from figstep.gateway.targets import Registration
from tests.gateway.worlds import ENGINES, World, build_table


def ready(world: World) -> list[str]:
    return sorted(target.name for target in world.state.targets.list_ready(ENGINES))


def test_configuration_never_goes_back() -> None:
    """A dropped route would work again.

    A peer's copy brings version 3 while a slow read of the store brings 2.
    """
    world = World()
    world.handle(ConfigurationRead(build_table(3)))
    world.handle(ConfigurationRead(build_table(2)))
    assert world.state.table is not None
    assert world.state.table.version == 3


def test_targets_that_are_not_listed_are_gone() -> None:
    world = World()
    world.register("e-1", "e-2")
    info = Registration("e-2", ENGINES, "e-2:80", "muc-a", 64, born=1)
    world.handle(TargetsListed((info,), position=5))
    assert ready(world) == ["e-2"]


def test_an_older_list_changes_nothing() -> None:
    world = World()
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    world.handle(TargetsListed((info,), position=5))
    world.handle(TargetsListed((), position=4))
    assert ready(world) == ["e-1"]


def test_lapsed_registrations_keep_their_targets_until_they_are_back() -> None:
    """Every caller would be refused although all engines live.

    The store is away for long, registrations lapse, and on its return all are
    gone for up to two seconds. One engine did die meanwhile.
    """
    world = World()
    world.register("e-1", "e-2")
    world.handle(StoreLost())
    world.clock.advance(10_000)
    world.handle(StoreRegained())
    world.depart("e-1")
    world.depart("e-2")
    assert ready(world) == ["e-1", "e-2"]
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    world.handle(TargetRegistered(info))
    world.clock.advance(LAPSE)
    world.handle(Ticked())
    assert ready(world) == ["e-1"]


def test_a_departure_long_after_an_outage_counts_at_once() -> None:
    world = World()
    world.register("e-1")
    world.handle(StoreLost())
    world.handle(StoreRegained())
    world.clock.advance(Millis(LAPSE + 1))
    world.depart("e-1")
    assert ready(world) == []
