"""Tests of orders to stop runs that go on elsewhere."""

import pytest

from figstep.core.clock import Millis
from figstep.gateway.effects import (
    CloseAttempt,
    CopyRun,
    Effect,
    OpenAttempt,
    StopRun,
)
from figstep.gateway.events import AttemptLost, Loss, RunCopied, Ticked
from figstep.gateway.prompts import Prompt
from figstep.gateway.streams import MAX_OVERLAP
from figstep.gateway.targets import Incarnation
from tests.gateway.worlds import EntryHarness, build_copy, start_with_backup


def start_switch() -> tuple[EntryHarness, OpenAttempt, OpenAttempt]:
    """Return an entry with a plan whose engine leaves, and its two attempts."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    harness.depart(opened.target)
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(1, build_copy(order.source, order.holder)))
    return harness, opened, harness.find_effect(OpenAttempt)


def build_stop(left: OpenAttempt, continued: OpenAttempt) -> StopRun:
    source = Incarnation(left.target, 1)
    return StopRun(1, "id-1", source, continued.target, left.deadline)


def list_ends(harness: EntryHarness) -> list[Effect]:
    return [
        effect
        for effect in harness.effects
        if isinstance(effect, (CloseAttempt, StopRun))
    ]


def test_a_run_is_stopped_once_another_engine_delivers() -> None:
    """Guards against a run that works on at the engine that it has left."""
    harness, opened, standby = start_switch()
    harness.send_pieces(standby.attempt, 11, 12)
    stop = build_stop(opened, standby)
    assert list_ends(harness) == [CloseAttempt(opened.attempt), stop]


def test_a_run_is_stopped_as_its_switch_takes_too_long() -> None:
    """Guards against two runs while the other engine is slow to deliver."""
    harness, opened, standby = start_switch()
    harness.send_pieces(opened.attempt, 11, 11)
    harness.state.attempts[standby.attempt].answered = True
    harness.clock.advance(MAX_OVERLAP)
    harness.handle(Ticked())
    stop = build_stop(opened, standby)
    assert list_ends(harness) == [CloseAttempt(opened.attempt), stop]


def test_a_standby_that_lost_is_stopped_at_its_engine() -> None:
    """Guards against a standby that works on beside the run that continues."""
    harness, opened, standby = start_switch()
    harness.clock.advance(MAX_OVERLAP)
    harness.handle(Ticked())
    stop = build_stop(standby, opened)
    assert list_ends(harness) == [CloseAttempt(standby.attempt), stop]


@pytest.mark.parametrize(
    ("loss", "stops"),
    [
        (Loss.BROKEN, True),
        (Loss.GARBLED, True),
        (Loss.SILENT, True),
        (Loss.REFUSED, False),
        (Loss.UNREACHED, False),
        (Loss.FAILED, False),
    ],
)
def test_a_lost_run_is_stopped_if_its_engine_may_work_on(
    loss: Loss, stops: bool
) -> None:
    """Guards against two runs after a connection broke between entry and engine."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.receive_request("/question/a", Prompt("m", 300, 200, 80))
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(opened.attempt, loss))
    continued = harness.find_effect(OpenAttempt)
    expected = [build_stop(opened, continued)] if stops else []
    assert harness.find_effects(StopRun) == expected


def test_a_lost_run_that_goes_on_from_its_copy_is_stopped() -> None:
    """Guards against two runs after a stream went on from its copy at once."""
    harness, opened, standby = start_switch()
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(StopRun) == [build_stop(opened, standby)]


def test_a_run_at_an_engine_that_ended_is_not_stopped() -> None:
    """Guards against orders to engines that are known to have crashed."""
    harness, opened, _ = start_switch()
    harness.state.targets.targets[opened.target].ended_at = Millis(1)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(StopRun) == []


def test_engines_that_take_no_orders_on_runs_get_none() -> None:
    """Guards against calls that an engine does not know."""
    harness, opened = start_with_backup()
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    harness.send_pieces(standby.attempt, 11, 14)
    assert list_ends(harness) == [CloseAttempt(opened.attempt)]


def test_a_run_that_ends_with_its_request_is_not_stopped() -> None:
    """Guards against orders for each caller that leaves."""
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(StopRun) == []
