"""Tests of placement by pace: replays of engines of unequal speed."""

import math
from collections import Counter

import pytest

from figstep.core.clock import Millis
from figstep.gateway.effects import OpenAttempt
from figstep.gateway.events import PeerHeard, PeerLoad
from tests.gateway.worlds import EntryHarness, build_fleet, exchange_messages

FAST_MS = 5.0
SLOW_MS = 12.0


def build_uneven_pool(harness: EntryHarness) -> None:
    """Register two slow engines and a fast one, whose pace other entries report."""
    harness.state.places_by_pace = True
    harness.register("e-1", "e-2", "e-3")
    loads = []
    for name, pace, rate in (
        ("e-1", SLOW_MS, 5.0),
        ("e-2", SLOW_MS, 5.0),
        ("e-3", FAST_MS, 12.0),
    ):
        loads.append(PeerLoad(name, 0, 0, read_rate=rate, pace=pace))
    harness.handle(PeerHeard("entry-2", tuple(loads)))


def test_long_runs_go_to_the_engine_that_generates_fastest() -> None:
    """Guards against long runs that take twice the time beside a half-empty engine."""
    harness = EntryHarness()
    build_uneven_pool(harness)
    chosen = Counter()
    for _ in range(4):
        harness.receive_plan()
        chosen[harness.find_effect(OpenAttempt).target] += 1
    assert chosen["e-3"] >= 3


@pytest.mark.parametrize("size", [8, 32, 88, 195])
def test_entries_learn_the_pace_of_engines_that_others_use(size: int) -> None:
    """Guards against entries of a large fleet that each measure all engines alone."""
    fleet = build_fleet(size, ["muc-a", "muc-b", "nue-a", "aug-a"])
    for harness in fleet:
        harness.state.places_by_pace = True
        harness.register("e-1", "e-2")
    first = fleet[0].state.targets.targets
    first["e-1"].own_pace, first["e-2"].own_pace = SLOW_MS, FAST_MS
    exchange_messages(fleet)
    for harness in fleet:
        targets = harness.state.targets.targets
        assert targets["e-1"].pace == pytest.approx(SLOW_MS)
        assert targets["e-2"].pace == pytest.approx(FAST_MS)


def test_without_the_setting_pace_is_not_learned() -> None:
    """Guards against a changed placement in deployments that don't ask for it."""
    harness = EntryHarness()
    harness.register("e-1")
    _play_stream(harness, events=40, gap=Millis(40))
    assert harness.state.targets.targets["e-1"].own_pace is None


@pytest.mark.parametrize("gap", [20, 48])
def test_the_pace_of_a_stream_is_learned(gap: int) -> None:
    harness = EntryHarness()
    harness.state.places_by_pace = True
    harness.register("e-1")
    _play_stream(harness, events=40, gap=Millis(gap))
    pool = harness.state.table
    assert pool is not None
    tokens = next(s.engine for s in pool.services.values() if s.engine).event_tokens
    pace = harness.state.targets.targets["e-1"].pace
    assert pace is not None
    assert math.isclose(pace, gap / tokens, rel_tol=0.01)


def _play_stream(harness: EntryHarness, events: int, gap: Millis) -> None:
    opened = harness.open_plan()
    for index in range(1, events + 1):
        harness.clock.advance(gap)
        harness.send_pieces(opened.attempt, index, index)
