"""Tests of the reducer: configuration, registrations and lapses."""

from figstep.core.clock import Millis
from figstep.core.positions import Position
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


def ready(harness: EntryHarness) -> list[str]:
    """Return the names of the targets that are ready."""
    return sorted(target.name for target in harness.state.targets.list_ready(ENGINES))


def test_configuration_never_goes_back() -> None:
    """Guards against a removed route that works again.

    A peer's copy holds version 3, while a slow read of the store returns 2.
    """
    harness = EntryHarness()
    harness.handle(ConfigurationRead(build_table(3)))
    harness.handle(ConfigurationRead(build_table(2)))
    assert harness.state.table is not None
    assert harness.state.table.version == 3


def test_targets_that_are_not_listed_are_gone() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    info = Registration("e-2", ENGINES, "e-2:80", "muc-a", 64, born=1)
    harness.handle(TargetsListed((info,), position=Position(1, 5)))
    assert ready(harness) == ["e-2"]


def test_an_older_list_changes_nothing() -> None:
    harness = EntryHarness()
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    harness.handle(TargetsListed((info,), position=Position(1, 5)))
    harness.handle(TargetsListed((), position=Position(1, 4)))
    assert ready(harness) == ["e-1"]


def test_lapsed_registrations_keep_their_targets_until_they_are_back() -> None:
    """Guards against callers refused although all engines are up.

    The store is away for long and registrations lapse. When it returns, all are missing
    for up to two seconds. One engine did end meanwhile.
    """
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.handle(StoreLost())
    harness.clock.advance(10_000)
    harness.handle(StoreRegained())
    harness.depart("e-1")
    harness.depart("e-2")
    assert ready(harness) == ["e-1", "e-2"]
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    harness.handle(TargetRegistered(info))
    harness.clock.advance(LAPSE_GRACE)
    harness.handle(Ticked())
    assert ready(harness) == ["e-1"]


def test_a_departure_long_after_an_outage_counts_at_once() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    harness.handle(StoreLost())
    harness.handle(StoreRegained())
    harness.clock.advance(Millis(LAPSE_GRACE + 1))
    harness.depart("e-1")
    assert ready(harness) == []


def test_an_entry_that_alone_was_cut_off_believes_departures_at_once() -> None:
    """Guards against a stream lost with an engine whose notice was in the store.

    The store rejects this entry but serves a peer all the time. When it answers this
    entry again, an engine has left; no registration can have lapsed.
    """
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.handle(PeerHeard("entry-2", reading=True))
    harness.clock.advance(500)
    harness.handle(StoreLost())
    harness.clock.advance(2_000)
    harness.handle(PeerHeard("entry-2", reading=True))
    harness.handle(StoreRegained())
    harness.depart("e-1")
    assert ready(harness) == ["e-2"]


def test_a_peer_that_also_lost_the_store_does_not_confirm_departures() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.handle(PeerHeard("entry-2"))
    harness.clock.advance(500)
    harness.handle(StoreLost())
    harness.handle(PeerHeard("entry-2", receives_records=False))
    harness.clock.advance(2_000)
    harness.handle(PeerHeard("entry-2"))
    harness.handle(StoreRegained())
    harness.depart("e-1")
    assert ready(harness) == ["e-1", "e-2"]


def test_most_targets_departing_at_once_have_lapsed() -> None:
    """Guards against callers refused although all engines are up.

    A read waits at the store through a short outage, so this entry does not notice the
    outage. All registrations lapse, and their loss is read at once.
    """
    harness = EntryHarness()
    names = [f"e-{number}" for number in range(6)]
    harness.register(*names)
    for name in names:
        harness.depart(name)
    assert len(ready(harness)) >= 3
    harness.clock.advance(MASS_LAPSE_GRACE)
    harness.handle(Ticked())
    assert ready(harness) == []


def test_one_target_after_another_is_believed() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3", "e-4")
    for name in ("e-1", "e-2", "e-3"):
        harness.depart(name)
        harness.clock.advance(1_000)
    assert ready(harness) == ["e-4"]


def test_targets_that_left_long_ago_don_t_make_a_departure_look_like_a_lapse() -> None:
    """Guards against plans lost, and prompts sent, at an engine that is leaving.

    An entry that the store rejects reads its peers' list repeatedly, and engines that
    left earlier are missing from each. If they counted as new departures, the next one
    would look like a lapse of all registrations, which is not believed for two seconds.
    The engine ends within that time.
    """
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3", "e-4", "e-5", "e-6")
    for name in ("e-1", "e-2", "e-3"):
        harness.depart(name)
        harness.clock.advance(3_000)
    left = [
        Registration(name, ENGINES, f"{name}:80", "muc-a", 64, born=1)
        for name in ("e-5", "e-6")
    ]
    harness.handle(TargetsListed(tuple(left), position=Position(1, 9)))
    assert ready(harness) == ["e-5", "e-6"]
    # Departures that are already known are not reported again.
    harness.handle(TargetsListed(tuple(left), position=Position(1, 10)))
    departed = [
        note for note in harness.find_effects(Note) if note.message == "target departed"
    ]
    assert departed == []
