"""Tests of the measures, computed from fixed timestamps."""

import pytest

from figstep.measures import StreamTimes, find_percentile, summarize_streams


@pytest.mark.parametrize(
    ("values", "percent", "found"),
    [([], 99, 0.0), ([5], 50, 5), ([1, 2, 3, 4], 50, 2), (range(1, 101), 99, 99)],
)
def test_percentile(values: list[float], percent: float, found: float) -> None:
    assert find_percentile(values, percent) == found


def test_summary_of_a_stalled_a_smooth_and_a_refused_stream() -> None:
    smooth = StreamTimes("a", 0, [100, 120, 140], 140, whole=True)
    stalled = StreamTimes("a", 0, [300, 320, 1320], 1320, whole=True)
    refused = StreamTimes("b", 0, refused="overloaded")
    broken = StreamTimes("a", 0, [100])
    summary = summarize_streams([smooth, stalled, refused, broken])
    assert (summary.whole, summary.refused, summary.broken) == (2, 1, 1)
    assert summary.stall_sum == 1300
    assert summary.gap_max == 1000
    assert summary.first_token_p95 == 300
    assert summary.least_share == 0
