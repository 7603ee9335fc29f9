"""Tests of placement: replays of the loads that each rule was made for."""

from collections import Counter

from figstep.gateway.effects import OpenAttempt
from figstep.gateway.events import (
    EntriesCounted,
    PeerHeard,
    PeerLoad,
    TargetRegistered,
)
from figstep.gateway.targets import Registration
from tests.gateway.worlds import BOOKINGS, ENGINES, EntryHarness


def test_an_empty_engine_does_not_draw_all_prompts() -> None:
    """Guards against prompts that queue for seconds at an engine that has just joined.

    The engine is empty, so by memory alone it is the best choice for each prompt until
    the first ones are read; the fifth one there waits for four others.
    """
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3")
    for name in ("e-1", "e-2"):
        engine = harness.state.targets.find(name)
        assert engine is not None
        engine.own_read_rate = 7.0
        engine.peer_memory = 12_000
    targets = Counter()
    for _ in range(6):
        harness.receive_plan()
        targets[harness.find_effect(OpenAttempt).target] += 1
    assert max(targets.values()) <= 3


def test_prompts_keep_away_from_an_engine_that_reads_slowly() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    slow, fast = (harness.state.targets.find(name) for name in ("e-1", "e-2"))
    assert slow is not None
    assert fast is not None
    slow.own_read_rate, fast.own_read_rate = 2.0, 7.0
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).target == "e-2"


def test_a_prompt_that_would_be_late_behind_others_waits() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    harness.handle(PeerHeard("entry-2", (PeerLoad("e-1", 4, 12_000, 12_000),)))
    harness.receive_plan()
    assert harness.find_effects(OpenAttempt) == []


def test_backups_leave_room_for_prompts() -> None:
    """Guards against prompts refused while half of the memory holds copies.

    Four engines run 23 generations and a backup of each. The next prompt would be
    refused although the runs alone leave enough free memory.
    """
    harness = EntryHarness(moves=False)
    harness.register("e-1", "e-2")
    for name in ("e-1", "e-2"):
        engine = harness.state.targets.find(name)
        assert engine is not None
        engine.peer_memory = 25_000
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).backup == ""


def test_calls_go_to_the_least_loaded_target_that_answers() -> None:
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS, slots=6)
    failing = harness.state.targets.find("b-1")
    assert failing is not None
    failing.failures = 0.8
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-2"
    failing.failures = 0.0
    busy = harness.state.targets.find("b-2")
    assert busy is not None
    busy.peer_calls = 6
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_an_avoided_target_is_used_where_there_is_no_other() -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    target = harness.state.targets.find("b-1")
    assert target is not None
    target.record_loss(harness.clock.now(), reached=False)
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_in_a_large_fleet_prompts_stay_with_engines_whose_loads_are_known() -> None:
    """Guards against late answers behind prompts of another domain not yet reported.

    The fleet has 73 entries. Loads of other failure domains arrive one or two seconds
    late, and an engine there gets two more prompts in that time. An engine of the
    entry's own domain with two waiting prompts is preferred to one there that looks
    empty.
    """
    harness = EntryHarness()
    harness.handle(EntriesCounted(73))
    harness.register("near")
    far = Registration("far", ENGINES, "far:80", "muc-b", 64, born=1)
    harness.handle(TargetRegistered(far))
    for name in ("near", "far"):
        harness.state.targets.targets[name].own_read_rate = 7.0
    harness.handle(PeerHeard("entry-2", (PeerLoad("near", 1, 3_400, 3_000),)))
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).target == "near"
