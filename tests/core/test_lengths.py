"""Tests of estimating the lengths of answers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figstep.core.lengths import DEFAULT_MEAN, Histogram, LengthTable
from figstep.core.specs import GenerationWork

CHAT = GenerationWork("m", 50)
PLAN = GenerationWork("m", 50, kind="completion")


def test_narrowest_known_key_decides_and_falls_back() -> None:
    table = LengthTable()
    assert table.estimate_remaining("a", CHAT, 0) == DEFAULT_MEAN
    for _ in range(20):
        table.record_length("a", CHAT, 30)
        table.record_length("b", PLAN, 2_000)
    cases = [
        ("a", CHAT, 30),
        ("new", CHAT, 30),
        ("b", PLAN, 2_000),
        ("new", PLAN, 2_000),
        ("new", GenerationWork("m", 900, kind="other"), 1_015),
        ("new", GenerationWork("other"), 1_015),
    ]
    for customer, work, expected in cases:
        found = table.estimate_remaining(customer, work, 0)
        assert found == pytest.approx(expected, rel=0.25)


def test_a_long_generation_is_expected_to_get_longer() -> None:
    """Guards against underestimating generations that have outlived the short ones.

    Most answers are short and a few are very long. Once a generation is longer than the
    short ones, its expected remaining length grows, although it has sent tokens.
    """
    table = LengthTable()
    for _ in range(90):
        table.record_length("a", CHAT, 20)
    for _ in range(10):
        table.record_length("a", CHAT, 4_000)
    fresh = table.estimate("a", CHAT, 0).mean
    outlived = table.estimate("a", CHAT, 100).mean
    assert fresh < 600
    assert outlived > 3_000
    assert table.estimate("a", CHAT, 50_000).mean >= 50_000


def test_old_answers_decay() -> None:
    table = LengthTable()
    for _ in range(500):
        table.record_length("a", CHAT, 2_000)
    for _ in range(1_500):
        table.record_length("a", CHAT, 10)
    assert table.estimate_remaining("a", CHAT, 0) < 20


def test_max_tokens_bounds_the_estimate() -> None:
    table = LengthTable()
    for _ in range(20):
        table.record_length("a", CHAT, 4_000)
    work = GenerationWork("m", 50, max_tokens=100)
    assert table.estimate("a", work, 40).mean == 60


@given(st.integers(0, 2**32), st.integers(0, 20_000))
@settings(max_examples=50, derandomize=True, deadline=None)
def test_estimates_are_finite_and_positive(seed: int, produced: int) -> None:
    rng = random.Random(seed)
    histogram = Histogram()
    for _ in range(rng.randint(1, 6_000)):
        histogram.record_length(rng.randint(1, 30_000))
    remaining = histogram.estimate(produced)
    if remaining is None:
        return
    assert 1.0 <= remaining.mean < 1e6
    assert 0.0 <= remaining.variance < 1e12
