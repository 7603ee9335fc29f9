"""Tests of how stalls of the event loop are noticed."""

from figstep.core.clock import Millis
from figstep.core.stalls import StallWatch


def build_watch() -> StallWatch:
    """Return a watch whose loop ran at 1,000 and 1,030 and is due at 1,060 ms."""
    watch = StallWatch(Millis(1_000))
    watch.expect(Millis(1_000), Millis(30))
    watch.expect(Millis(1_030), Millis(30))
    return watch


def test_a_signal_to_a_loop_that_runs_was_sent_now() -> None:
    assert build_watch().find_earliest(Millis(1_050)) == 1_050


def test_a_signal_handled_first_after_a_stall_may_be_as_old_as_the_stall() -> None:
    """Guards against a stop that counts its grace time from the end of a freeze."""
    assert build_watch().find_earliest(Millis(3_000)) == 1_030


def test_a_signal_handled_after_the_first_task_may_be_as_old_as_the_stall() -> None:
    """Guards against a task that runs before the signal and hides the freeze."""
    watch = build_watch()
    watch.expect(Millis(3_000), Millis(30))
    assert watch.find_earliest(Millis(3_001)) == 1_030


def test_a_stall_that_ended_before_says_nothing_of_a_signal() -> None:
    watch = build_watch()
    watch.expect(Millis(3_000), Millis(500))
    assert watch.find_earliest(Millis(3_400)) == 3_400
