"""Tests of the experiment: the reducer in front of engine models, at a small size."""

from functools import cache

import pytest

from figstep.core.policies import POLICIES
from figstep.experiment.cost import measure_cost
from figstep.experiment.harness import Fault, Run
from figstep.experiment.measures import GapHistogram, RunStatistics, Stream
from figstep.experiment.scenarios import DEPLOYMENTS, draw_arrivals

LOAD = 3.4
"""Requested tokens per millisecond, close to the capacity of Bavaria's engines."""

DURATION = 60_000.0
"""Time during which requests arrive, in milliseconds."""


@cache
def run_policy(policy: str, kind: str = "", entries: int = 1) -> dict[str, float]:
    fault = Fault(kind, start=20_000, end=40_000)
    run = Run(
        DEPLOYMENTS["bavaria"],
        POLICIES[policy],
        3,
        LOAD,
        DURATION,
        fault,
        entries,
    )
    return run.simulate()


def test_same_seed_gives_the_same_arrivals_and_the_stated_load() -> None:
    deployment = DEPLOYMENTS["ireland"]
    first = draw_arrivals(deployment, 4, 1.0, DURATION)
    assert first == draw_arrivals(deployment, 4, 1.0, DURATION)
    tokens = sum(arrival.length for arrival in first)
    assert DURATION <= tokens < DURATION + deployment.long.longest
    assert all(0 <= arrival.at <= DURATION for arrival in first)


def test_memory_is_not_overcommitted_where_a_baseline_does() -> None:
    """Guards against preemptions when engines are fully loaded.

    The lengths of answers are unknown. ``least_in_flight`` lets the memory of an
    engine fill in the middle of answers, and their streams stall while they are
    recomputed. figstep predicts the memory and delays requests before it fills.
    """
    figstep_results, baseline = run_policy("figstep"), run_policy("least_in_flight")
    assert baseline["preemptions_per_1000"] > 10
    assert (
        figstep_results["preemptions_per_1000"] < baseline["preemptions_per_1000"] / 2
    )
    assert figstep_results["stall_sum_s"] < baseline["stall_sum_s"]
    assert figstep_results["tokens_whole"] >= baseline["tokens_whole"]


@pytest.mark.parametrize("kind", ["", "death", "slow", "silence", "flood"])
def test_every_request_gets_a_final_answer(kind: str) -> None:
    result = run_policy("figstep", kind)
    assert result["unfinished"] == 0
    answered = result["whole"] + result["given_up"] + result["lost"]
    assert answered == result["requests"]
    if kind != "death":
        assert result["lost"] == 0


def test_entries_without_gossip_answer_every_request() -> None:
    result = run_policy("figstep", entries=4)
    assert result["whole"] == result["requests"]


def test_measures_count_waits_of_callers() -> None:
    statistics = RunStatistics()
    stream = statistics.streams["r"] = Stream("c", 0.0, 3, 0.0)
    for at in (100.0, 130.0, 1_130.0):
        statistics.deliver(stream, at, 1)
    stream.ended = 1_130.0
    statistics.streams["never"] = Stream("c", 0.0, 3, 0.0)
    result = statistics.summarize(5_000.0, 2_000.0, 1)
    assert result["stall_sum_s"] == 6.0
    assert result["slowest_gap_p99_ms"] == 1_000.0
    assert result["unfinished"] == 1
    assert result["preemptions_per_1000"] == 500
    gaps = GapHistogram()
    for gap in range(1, 1_001):
        gaps.add(float(gap))
    assert gaps.find_quantile(0.99) == pytest.approx(990, rel=0.03)


def test_cost_is_measured_with_requests_in_flight_and_waiting() -> None:
    cost = measure_cost(5, 400)
    assert cost.waiting > 0
    assert cost.token > 0
