"""Tests of targets that have reported that they are leaving."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.positions import Position
from figstep.gateway import domains, peers
from figstep.gateway.effects import Announce, CopyRun, Note, OpenAttempt, Refuse
from figstep.gateway.events import (
    AttemptLost,
    EngineReported,
    EntriesCounted,
    Loss,
    PeerHeard,
    StoreLost,
    StoreRegained,
    TargetDeparted,
    TargetLeaving,
    TargetRegistered,
    TargetsListed,
    Ticked,
)
from figstep.gateway.state import LEAVING_ANNOUNCE_DURATION, LEAVING_RETENTION
from figstep.gateway.targets import Incarnation, Registration, Standing
from tests.gateway.worlds import BOOKINGS, ENGINES, EntryHarness, build_fleet

RETENTION_DURATION = Millis(31_000)
"""Milliseconds after which a departed, idle target is removed."""


def build_harness(*names: str) -> EntryHarness:
    """Return an entry with plain targets."""
    harness = EntryHarness()
    harness.register(*names, service=BOOKINGS, slots=6)
    return harness


def build_leaving(target: str, born: int = 1) -> TargetLeaving:
    """Return a target's report that it is leaving."""
    return TargetLeaving(Incarnation(target, born))


def list_called_targets(harness: EntryHarness, calls: int = 6) -> set[str]:
    """Return the targets to which ``calls`` requests are sent."""
    called = set()
    for _ in range(calls):
        harness.receive_request("/order/a")
        called |= {opened.target for opened in harness.find_effects(OpenAttempt)}
    return called


def test_calls_avoid_a_target_that_reports_leaving() -> None:
    """Guards against departures that are known from the store alone."""
    harness = build_harness("b-1", "b-2")
    harness.handle(StoreLost())
    harness.handle(build_leaving("b-1"))
    assert list_called_targets(harness) == {"b-2"}


def test_streams_move_from_an_engine_that_reports_leaving() -> None:
    """Guards against streams lost with an engine whose answer announced its end."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    harness.handle(build_leaving(opened.target))
    assert harness.find_effect(CopyRun).source == opened.target


def test_a_call_is_refused_at_once_where_all_targets_leave() -> None:
    """Guards against callers that wait for targets that accept no more work."""
    harness = build_harness("b-1")
    harness.handle(build_leaving("b-1"))
    harness.receive_request("/order/a")
    assert harness.find_effect(Refuse).problem.status == 503


@pytest.mark.parametrize("pause", [0, 5_000, LEAVING_ANNOUNCE_DURATION + 1, 60_000])
def test_a_registration_from_before_does_not_bring_a_target_back(pause: int) -> None:
    """Guards against work for a target whose old record is read after an outage."""
    harness = build_harness("b-1", "b-2")
    old = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=1)
    harness.handle(StoreLost())
    harness.handle(build_leaving("b-1"))
    harness.clock.advance(pause)
    harness.handle(Ticked())
    harness.handle(StoreRegained())
    harness.handle(TargetRegistered(old))
    listed = (old, replace(old, target="b-2"))
    harness.handle(TargetsListed(listed, Position(1, 9)))
    assert list_called_targets(harness) == {"b-2"}


def test_a_departed_target_that_registers_again_stays_leaving() -> None:
    """Guards against a lapsed registration that returns while its target leaves."""
    harness = build_harness("b-1", "b-2")
    harness.handle(TargetDeparted("b-1"))
    harness.handle(build_leaving("b-1"))
    harness.register("b-1", service=BOOKINGS, slots=6)
    assert list_called_targets(harness) == {"b-2"}


def test_a_target_that_starts_again_gets_work() -> None:
    """Guards against a restarted target avoided for its predecessor's leaving mark."""
    harness = build_harness("b-1", "b-2")
    harness.handle(build_leaving("b-1"))
    message = peers.describe_entry(harness.state, harness.clock.now())
    info = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=2)
    other = build_harness("b-2")
    for one in (harness, other):
        one.handle(TargetRegistered(info))
        one.handle(replace(message, node="entry-9"))
        found = one.state.targets.find("b-1")
        assert found is not None
        assert found.standing is Standing.READY


def test_a_late_leaving_mark_does_not_apply_to_a_newer_incarnation() -> None:
    """Guards against a restarted target avoided for a delayed answer."""
    harness = build_harness("b-1", "b-2")
    info = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=2)
    harness.handle(TargetRegistered(info))
    harness.handle(build_leaving("b-1", born=1))
    found = harness.state.targets.find("b-1")
    assert found is not None
    assert found.standing is Standing.READY


@pytest.mark.parametrize("size", [8, 73])
def test_what_a_target_said_to_one_entry_reaches_the_others(size: int) -> None:
    """Guards against entries that send work until the target has informed each one."""
    fleet = build_fleet(size, ("muc-a", "muc-b", "nue-a", "aug-a"))
    for harness in fleet:
        harness.register("b-1", "b-2", service=BOOKINGS, slots=6)
    fleet[0].handle(build_leaving("b-1"))
    assert fleet[0].find_effects(Announce)
    now = fleet[0].clock.now()
    local_message = peers.describe_entry(fleet[0].state, now)
    remote_message = domains.describe_domain(fleet[0].state, now)
    for harness in fleet[1:]:
        same = harness.state.failure_domain == fleet[0].state.failure_domain
        harness.handle(local_message if same or size == 8 else remote_message)
    assert {name for harness in fleet for name in list_called_targets(harness)} == {
        "b-2"
    }


def test_a_leaving_mark_received_before_the_registration_applies() -> None:
    """Guards against a starting entry that trusts a target's outdated record."""
    sender = build_harness("b-1")
    sender.handle(build_leaving("b-1"))
    harness = build_harness("b-2")
    harness.handle(peers.describe_entry(sender.state, sender.clock.now()))
    harness.register("b-1", service=BOOKINGS, slots=6)
    assert list_called_targets(harness) == {"b-2"}


def test_a_leaving_mark_is_sent_briefly_and_kept_longer() -> None:
    """Guards against messages and state that grow with every departure."""
    harness = build_harness("b-1", "b-2")
    harness.handle(build_leaving("b-1"))
    assert peers.describe_entry(harness.state, harness.clock.now()).leaving
    harness.clock.advance(LEAVING_ANNOUNCE_DURATION)
    assert not peers.describe_entry(harness.state, harness.clock.now()).leaving
    assert harness.state.departures
    harness.clock.advance(LEAVING_RETENTION)
    harness.handle(Ticked())
    assert not harness.state.departures


def test_an_engine_report_does_not_undo_a_leaving_mark() -> None:
    """Guards against an engine used again after it had announced its end."""
    harness = EntryHarness()
    harness.handle(EntriesCounted(8))
    harness.register("e-1", "e-2")
    harness.handle(EngineReported("e-1", leaving=True))
    harness.clock.advance(RETENTION_DURATION)
    harness.handle(Ticked())
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=1)
    harness.handle(TargetRegistered(info))
    assert harness.open_plan().target == "e-2"


def test_a_target_that_reports_leaving_is_logged_once() -> None:
    """Guards against a departure that is missing from the log."""
    harness = build_harness("b-1")
    logged = []
    for _ in range(3):
        harness.handle(build_leaving("b-1"))
        logged += [note.message for note in harness.find_effects(Note)]
    assert logged == ["target says that it leaves"]


def test_a_leaving_mark_of_an_unknown_target_is_ignored() -> None:
    """Guards against an answer that arrives after its target was removed."""
    assert EntryHarness().handle(build_leaving("b-9")) == []


def start_plan_without_store() -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry with a running plan and a store that no entry can read."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    harness.handle(StoreLost())
    return harness, opened


def test_a_draining_engine_keeps_its_runs_while_no_entry_reads_the_store() -> None:
    """Guards against runs moved, and capacity lost, while the engine still serves."""
    harness, opened = start_plan_without_store()
    harness.handle(EngineReported(opened.target, leaving=True, ending=False))
    assert not harness.find_effects(CopyRun)
    found = harness.state.targets.find(opened.target)
    assert found is not None
    assert found.accepts_work


def test_an_engine_that_reports_its_end_is_evacuated_at_once() -> None:
    """Guards against runs lost with an engine that was only draining at first."""
    harness, opened = start_plan_without_store()
    harness.handle(EngineReported(opened.target, leaving=True, ending=False))
    harness.handle(EngineReported(opened.target, leaving=True, ending=True))
    assert harness.find_effect(CopyRun).source == opened.target


def test_an_engine_is_left_at_once_where_another_entry_reads_the_store() -> None:
    """Guards against runs kept at an engine whose departure the store confirms."""
    harness, opened = start_plan_without_store()
    harness.handle(PeerHeard("entry-2", reading=True))
    harness.handle(EngineReported(opened.target, leaving=True, ending=False))
    assert harness.find_effect(CopyRun).source == opened.target


def test_a_target_that_is_down_is_not_waited_for_after_an_outage() -> None:
    """Guards against requests sent to engines that ended during a store outage."""
    harness = build_harness("b-1", "b-2", "b-3")
    harness.handle(StoreLost())
    harness.receive_request("/lookup/a")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(opened.attempt, Loss.UNREACHED))
    harness.handle(StoreRegained())
    for name in ("b-1", "b-2", "b-3"):
        harness.depart(name)
    standings = {
        name: target.standing for name, target in harness.state.targets.targets.items()
    }
    assert standings.pop(opened.target) is Standing.LEAVING
    assert set(standings.values()) == {Standing.READY}
