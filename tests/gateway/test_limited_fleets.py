"""Tests of targets that name a rate, in a large fleet with uneven failure domains."""

import pytest

from figstep.net.neighbors import NEIGHBOR_EXPIRY_SECONDS
from tests.gateway.limited_fleets import LimitedFleet

RATE = 1.5
"""Requests a second that each target names."""

BURST = 210.0
"""Calls a second to the fleet while many callers come at once."""

SEEDS = range(3)


def limit_all(fleet: LimitedFleet) -> None:
    """Let all targets name a rate from now on."""
    for name in fleet.targets:
        fleet.limit(name, RATE)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_large_fleet_keeps_to_the_rates_of_all_targets(seed: int) -> None:
    """Guards against shares that exceed a rate in failure domains of uneven size."""
    fleet = LimitedFleet(seed, calls_per_second=BURST)
    fleet.run(3)
    limit_all(fleet)
    fleet.run(12)
    assert fleet.find_excess() <= 0


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_that_has_run_for_a_while_keeps_to_the_rates(seed: int) -> None:
    """Guards against shares drawn as if one failure domain were the whole fleet."""
    fleet = LimitedFleet(seed, calls_per_second=5.0)
    fleet.run(NEIGHBOR_EXPIRY_SECONDS + 2)
    limit_all(fleet)
    fleet.calls_per_second = BURST
    fleet.run(9)
    counted = {entry.harness.state.entries for entry in fleet.entries}
    assert fleet.find_excess() <= 0
    assert counted == {len(fleet.entries)}


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_join_keep_to_the_rates_of_all_targets(seed: int) -> None:
    """Guards against shares that are too large at entries that know few others."""
    fleet = LimitedFleet(seed, calls_per_second=BURST)
    fleet.run(3)
    limit_all(fleet)
    fleet.run(5)
    fleet.add_entries(16, lag=500)
    fleet.run(7)
    assert fleet.find_excess() <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_failures_that_name_no_rate_do_not_end_a_limit(seed: int) -> None:
    """Guards against a limit that each failure of a target lifts at all entries."""
    fleet = LimitedFleet(
        seed, calls_per_second=BURST, silent_share=0.4, silent_status=500
    )
    fleet.run(3)
    limit_all(fleet)
    fleet.run(12)
    assert fleet.find_excess() <= 0
