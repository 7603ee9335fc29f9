"""Tests of the load generator: its scenario and short runs against the demo."""

import json
from pathlib import Path

import pytest

from figstep.demo import KEY, MODEL, run_deployment
from figstep.errors import SettingsError
from figstep.load import (
    LoadRun,
    Scenario,
    draw_arrivals,
    format_summary,
    load_scenario,
    write_results,
)
from figstep.plots import draw_measures, read_results
from tests.processes import write_yaml

CUSTOMERS = [{"name": "demo", "key": KEY}]


def build_scenario(*entries: str) -> dict[str, object]:
    return {
        "entries": list(entries),
        "model": MODEL,
        "customers": CUSTOMERS,
        "seconds": 0.5,
        "rate": 20,
        "lengths": {"most": 10},
    }


def test_the_same_seed_draws_the_same_requests() -> None:
    scenario = Scenario.model_validate(build_scenario("http://127.0.0.1:1"))
    assert draw_arrivals(scenario) == draw_arrivals(scenario)
    other = scenario.model_copy(update={"seed": 2})
    assert draw_arrivals(other) != draw_arrivals(scenario)


def test_a_wrong_scenario_names_the_field(tmp_path: Path) -> None:
    path = write_yaml(tmp_path / "load.yaml", {**build_scenario("x"), "rate": -1})
    with pytest.raises(SettingsError, match="rate"):
        load_scenario(path)


async def test_all_requests_of_a_run_are_answered_whole(tmp_path: Path) -> None:
    async with run_deployment() as deployment:
        entries = [entry.callers.address for entry in deployment.entries]
        scenario = Scenario.model_validate(build_scenario(*entries))
        summary = await LoadRun(scenario).run()
    arrivals = draw_arrivals(scenario)
    assert summary.whole == summary.requests == len(arrivals)
    assert summary.tokens == sum(arrival.length for arrival in arrivals)
    assert "stall sum" in format_summary(summary)
    results = tmp_path / "results.json"
    write_results(results, "figstep", summary)
    assert json.loads(results.read_text())["whole"] == summary.whole
    draw_measures(read_results([results, results]), tmp_path / "plot.png")
    assert (tmp_path / "plot.png").stat().st_size > 0


async def test_a_caller_moves_from_a_dead_entry_to_another() -> None:
    """One of two entries is down.

    A caller whose connection is refused must reconnect through the other entry
    and still get its complete answer.
    """
    async with run_deployment(entries=1) as deployment:
        entry = deployment.entries[0].callers.address
        document = build_scenario("http://127.0.0.1:9", entry)
        summary = await LoadRun(Scenario.model_validate(document)).run()
    assert summary.whole == summary.requests
