"""Tests of a store that comes back from an older copy, without input and output."""

from figstep.core.clock import Millis
from figstep.core.positions import Position
from figstep.gateway.eras import STALE_COPY_DURATION
from figstep.gateway.events import (
    EvacuationsRead,
    PeerHeard,
    PositionRead,
    TargetDeparted,
    TargetRegistered,
    TargetsListed,
    Ticked,
)
from figstep.gateway.newcomers import complete_message
from figstep.gateway.peers import complete_eras, describe_entry
from figstep.gateway.places import Evacuations
from figstep.gateway.reducer import LAPSE_GRACE
from figstep.gateway.targets import Registration, Standing
from tests.gateway.worlds import BOOKINGS, EntryHarness

OLD = Position(1, 20)
"""Position that the entries have read in the first era."""

COPY = Position(2, 17)
"""End of the older copy in the era after it."""

FIRST = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=1)
SECOND = Registration("b-2", BOOKINGS, "b-2:80", "muc-b", 6, born=1)


def build_entry(*registrations: Registration) -> EntryHarness:
    """Return an entry that has read registrations in the first era."""
    harness = EntryHarness()
    harness.handle(TargetsListed(registrations, OLD))
    return harness


def find_standing(harness: EntryHarness, name: str) -> Standing:
    target = harness.state.targets.find(name)
    assert target is not None
    return target.standing


def wait(harness: EntryHarness, duration: Millis) -> None:
    harness.clock.advance(duration)
    harness.handle(Ticked())


def test_registrations_of_a_new_era_are_read_although_offsets_went_back() -> None:
    """Guards against a list of a new era that is taken for a peer's old copy."""
    harness = build_entry(FIRST)
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    assert harness.state.position == COPY
    assert find_standing(harness, "b-2") is Standing.READY


def test_records_of_an_earlier_era_change_nothing() -> None:
    """Guards against a peer's copy of the era before with higher offsets."""
    harness = build_entry(FIRST)
    harness.handle(TargetsListed((FIRST,), COPY))
    harness.handle(TargetsListed((FIRST, SECOND), Position(1, 30)))
    harness.handle(PositionRead(Position(1, 31)))
    assert harness.state.position == COPY
    assert harness.state.targets.find("b-2") is None


def test_a_copy_does_not_bring_back_a_target_that_drains() -> None:
    """Guards against requests to a target whose last word the copy lacks."""
    harness = build_entry(FIRST, SECOND)
    leaving = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, True, born=1)
    harness.handle(TargetRegistered(leaving))
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    wait(harness, Millis(2 * STALE_COPY_DURATION))
    assert find_standing(harness, "b-1") is Standing.LEAVING
    assert find_standing(harness, "b-2") is Standing.READY


def test_a_copy_does_not_bring_back_a_target_whose_registration_went() -> None:
    """Guards against requests to a departed target until its removal is repeated."""
    harness = build_entry(FIRST, SECOND)
    harness.handle(TargetDeparted("b-1"))
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    wait(harness, Millis(STALE_COPY_DURATION - 100))
    assert find_standing(harness, "b-1") is Standing.LEAVING
    harness.handle(TargetDeparted("b-1"))
    wait(harness, Millis(1_000))
    assert find_standing(harness, "b-1") is Standing.LEAVING


def test_a_registration_that_stays_in_the_store_is_believed_in_the_end() -> None:
    """Guards against a target whose registration had only lapsed and is shunned."""
    harness = build_entry(FIRST, SECOND)
    harness.handle(TargetDeparted("b-1"))
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    wait(harness, STALE_COPY_DURATION)
    assert find_standing(harness, "b-1") is Standing.READY


def test_a_record_of_the_new_era_ends_the_hold_of_a_registration() -> None:
    harness = build_entry(FIRST, SECOND)
    harness.handle(TargetDeparted("b-1"))
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    harness.handle(TargetRegistered(FIRST))
    assert find_standing(harness, "b-1") is Standing.READY


def test_targets_that_the_copy_lacks_are_kept_until_they_register_again() -> None:
    """Guards against targets that are dropped as they registered after the copy."""
    harness = build_entry(FIRST, SECOND)
    harness.handle(TargetsListed((FIRST,), COPY))
    wait(harness, Millis(LAPSE_GRACE - 100))
    assert find_standing(harness, "b-2") is Standing.READY
    wait(harness, Millis(200))
    assert find_standing(harness, "b-2") is Standing.LEAVING


def test_two_returns_within_a_moment() -> None:
    """Guards against a second return whose offsets went back further."""
    harness = build_entry(FIRST, SECOND)
    harness.handle(TargetDeparted("b-1"))
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    wait(harness, Millis(STALE_COPY_DURATION - 1_000))
    harness.handle(TargetsListed((FIRST, SECOND), Position(3, 4)))
    wait(harness, Millis(STALE_COPY_DURATION - 1_000))
    assert harness.state.position == Position(3, 4)
    assert find_standing(harness, "b-1") is Standing.LEAVING
    assert find_standing(harness, "b-2") is Standing.READY


def test_an_evacuation_that_the_copy_lacks_is_kept_for_a_while() -> None:
    """Guards against requests to an evacuated failure domain after a return."""
    harness = build_entry(FIRST, SECOND)
    harness.handle(EvacuationsRead(Evacuations(frozenset({"muc-a"}), OLD)))
    harness.handle(EvacuationsRead(Evacuations(frozenset(), COPY)))
    assert harness.state.evacuated_domains == {"muc-a"}
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    assert harness.state.targets.list_ready(BOOKINGS)[0].name == "b-2"
    wait(harness, STALE_COPY_DURATION)
    assert harness.state.evacuated_domains == frozenset()


def test_an_evacuation_after_a_return_is_in_force_at_once() -> None:
    """Guards against evacuations that are ignored for their lower offset."""
    harness = build_entry(FIRST, SECOND)
    harness.handle(EvacuationsRead(Evacuations(frozenset(), OLD)))
    harness.handle(EvacuationsRead(Evacuations(frozenset({"muc-b"}), COPY)))
    assert harness.state.evacuated_domains == {"muc-b"}
    harness.handle(EvacuationsRead(Evacuations(frozenset(), COPY.advance(1))))
    assert harness.state.evacuated_domains == frozenset()


def test_a_new_process_learns_what_the_copy_lacks() -> None:
    """Guards against a new entry that knows a copy of the store only."""
    harness = build_entry(FIRST, SECOND)
    leaving = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, True, born=1)
    harness.handle(TargetRegistered(leaving))
    harness.handle(EvacuationsRead(Evacuations(frozenset({"muc-b"}), OLD)))
    harness.handle(TargetsListed((FIRST, SECOND), COPY))
    harness.handle(EvacuationsRead(Evacuations(frozenset(), COPY)))
    now = harness.clock.now()
    message = complete_message(harness.state, describe_entry(harness.state, now), now)
    newcomer = EntryHarness()
    newcomer.handle(TargetsListed((FIRST, SECOND), COPY))
    newcomer.handle(EvacuationsRead(Evacuations(frozenset(), COPY)))
    newcomer.handle(message)
    assert newcomer.state.targets.list_ready(BOOKINGS) == []


def test_a_peer_that_names_no_era_is_taken_to_be_in_this_one() -> None:
    """Guards against an update in which entries of both versions read for others."""
    harness = build_entry(FIRST)
    old = PeerHeard("entry-2", position=Position(0, OLD.offset + 3))
    message = complete_eras(harness.state, old)
    assert harness.state.position.count_records_to(message.position) == 3
