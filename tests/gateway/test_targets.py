"""Tests of the table of targets."""

import pytest

from figstep.core.clock import Millis
from figstep.gateway.targets import (
    Registration,
    Standing,
    TargetTable,
    contradicts_registration,
)

NOW = Millis(100_000)


def register(name: str = "i-1", **fields: object) -> Registration:
    given: dict[str, object] = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "failure_domain": "muc-a",
        "slots": 64,
        "born": 1,
    }
    given.update(fields)
    return Registration(name, **given)  # type: ignore[arg-type]


def test_a_draining_target_gets_no_new_work() -> None:
    table = TargetTable()
    table.record_registration(register(), NOW)
    table.record_registration(register(draining=True), NOW)
    assert table.list_ready("engines") == []


def test_a_new_start_under_the_old_id_is_another_incarnation() -> None:
    """Guards against counting work at an engine that has lost it.

    An engine crashes with open attempts and restarts under its id. Those attempts are
    lost, so they must not count as load of the new incarnation.
    """
    table = TargetTable()
    first = table.record_registration(register(born=1), NOW)
    first.calls = 7
    second = table.record_registration(register(born=2), NOW)
    assert second is not first
    assert second.calls == 0


def test_a_lapsed_registration_that_comes_back_is_ready_again() -> None:
    table = TargetTable()
    target = table.record_registration(register(), NOW)
    table.record_departure("i-1", NOW)
    assert target.standing is Standing.LEAVING
    table.record_registration(register(), NOW)
    assert target.standing is Standing.READY


def test_a_doubted_target_is_gone_unless_it_comes_back() -> None:
    table = TargetTable()
    for name in ("i-1", "i-2"):
        table.record_registration(register(name), NOW)
        table.defer_departure(name, Millis(NOW + 2_000))
    table.record_registration(register("i-1"), NOW)
    assert table.pop_due_departures(Millis(NOW + 1_999)) == []
    assert table.pop_due_departures(Millis(NOW + 2_000)) == ["i-2"]


def test_departed_targets_are_removed_once_nothing_is_open() -> None:
    table = TargetTable()
    target = table.record_registration(register(), NOW)
    target.calls = 1
    table.record_departure("i-1", NOW)
    table.remove_departed(Millis(NOW + 60_000), Millis(30_000))
    assert table.find("i-1") is target
    target.calls = 0
    table.remove_departed(Millis(NOW + 60_000), Millis(30_000))
    assert table.find("i-1") is None


def test_losses_in_a_row_make_a_target_avoided_for_longer_each_time() -> None:
    table = TargetTable()
    target = table.record_registration(register(), NOW)
    target.record_loss(NOW, reached=True)
    assert target.backoff_until <= NOW
    target.record_loss(NOW, reached=True)
    first = target.backoff_until
    target.record_loss(NOW, reached=True)
    assert NOW < first < target.backoff_until
    target.record_success(NOW)
    assert target.backoff_until <= NOW


def test_reading_time_is_estimated_from_past_prompts() -> None:
    table = TargetTable()
    slow = table.record_registration(register("i-1"), NOW)
    fast = table.record_registration(register("i-2"), NOW)
    for _ in range(5):
        slow.update_read_rate(3_000, 1_500)
        fast.update_read_rate(3_000, 300)
    assert slow.predict_read_time(3_000, NOW) > 2 * fast.predict_read_time(3_000, NOW)


@pytest.mark.parametrize(
    ("registered", "reported", "contradicts"),
    [(1, 1, False), (1, 2, True), (2, 1, True), (0, 2, False), (1, 0, False)],
)
def test_a_report_contradicts_another_start_only(
    registered: int, reported: int, contradicts: bool
) -> None:
    """Guards against streams lost at engines that do not state their start."""
    info = register(born=registered)
    assert contradicts_registration(info, reported) is contradicts
