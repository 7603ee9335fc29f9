"""Tests of the comparison of two checkouts."""

from pathlib import Path

import pytest

from tools.compare_days import DayRun, Pair, compute_difference

DAY_RUN = DayRun(Path("site.toml"), "scale-1", None)


def test_the_error_is_computed_over_pairs() -> None:
    """Guards against an error computed over days instead of over pairs.

    Scores differ more between days than between the two checkouts.
    """
    pairs = [
        Pair(DAY_RUN, 0.2, 0.3, ()),
        Pair(DAY_RUN, 0.8, 0.9, ()),
        Pair(DAY_RUN, 0.5, 0.6, ()),
    ]
    found = compute_difference(pairs)
    assert (found.pairs, found.mean) == (3, pytest.approx(0.1))
    assert found.error == pytest.approx(0.0, abs=1e-9)


def test_one_pair_has_no_error() -> None:
    """Guards against an error of 0 for a single pair, which would look certain."""
    assert compute_difference([Pair(DAY_RUN, 0.2, 0.3, ())]).error is None
