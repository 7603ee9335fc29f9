"""Tests of the detection that an entry reaches no target at all."""

from figstep.core.clock import Millis
from figstep.core.reach import Reach


def fail(reach: Reach, name: str, at: int, known: int = 9) -> bool:
    """Record a connection that failed within half a second; return the result."""
    return reach.record_failure(name, Millis(at - 500), known, Millis(at))


def test_failures_at_three_targets_show_a_cut() -> None:
    reach = Reach()
    assert not fail(reach, "a", 1_000)
    assert not fail(reach, "b", 1_100)
    assert fail(reach, "c", 1_200)
    assert reach.cut_off
    assert reach.record_connection(Millis(5_000))
    assert not reach.cut_off


def test_one_target_that_is_down_shows_no_cut() -> None:
    reach = Reach()
    assert not any(fail(reach, "a", at) for at in (1_000, 2_000, 3_000))


def test_failures_at_all_of_few_targets_show_a_cut() -> None:
    reach = Reach()
    assert not fail(reach, "a", 1_000, known=2)
    assert fail(reach, "b", 1_000, known=2)


def test_a_connection_in_between_rules_a_cut_out() -> None:
    """Guards against targets that crash one after the other and look like a cut."""
    reach = Reach()
    fail(reach, "a", 1_000)
    fail(reach, "b", 1_100)
    reach.record_connection(Millis(1_150))
    assert not fail(reach, "c", 1_200)
    assert not fail(reach, "d", 1_600)
    assert not reach.cut_off
