"""Tests of the count of bytes that bring no message further."""

from figstep.core.clock import Millis
from figstep.net.allowances import FramingAllowance


def test_the_limit_is_not_used_up_before_it_is_passed() -> None:
    """Guards against a bound that refuses what is as large as the limit."""
    allowance = FramingAllowance(limit=100)
    allowance.count(60, Millis(0))
    allowance.count(40, Millis(0))
    assert not allowance.is_used_up
    allowance.count(1, Millis(0))
    assert allowance.is_used_up


def test_progress_begins_the_count_anew() -> None:
    """Guards against connections that are refused for all that they ever sent."""
    allowance = FramingAllowance(limit=100)
    for _ in range(10):
        allowance.count(90, Millis(0))
        allowance.reset()
    assert not allowance.is_used_up


def test_time_counts_from_the_first_byte_and_not_from_the_last() -> None:
    """Guards against heads that a byte now and then keeps open."""
    allowance = FramingAllowance(limit=100)
    for now in (10, 500, 1_009):
        allowance.count(1, Millis(now))
    assert not allowance.is_late(Millis(1_009), Millis(1_000))
    assert allowance.is_late(Millis(1_010), Millis(1_000))
    allowance.reset()
    assert not allowance.is_late(Millis(5_000), Millis(1_000))


def test_empty_lines_begin_no_head() -> None:
    """Guards against idle connections that an empty line makes late."""
    allowance = FramingAllowance(limit=100)
    allowance.count(2, Millis(0), empty_lines=True)
    assert not allowance.is_late(Millis(5_000), Millis(1_000))
    assert allowance.used == 2
