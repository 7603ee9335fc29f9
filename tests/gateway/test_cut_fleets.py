"""Tests of large fleets in which some entries lose their links to targets."""

import pytest

from figstep.core.clock import Millis
from tests.gateway.cut_fleets import CutFleet, CutKind
from tests.gateway.limited_fleets import SimulatedEntry

DOMAIN_SIZES = (19, 18, 18, 18)
"""Entries of each failure domain; 73 together."""

SEEDS = range(3)

EACH_KIND = pytest.mark.parametrize("kind", CutKind)


def build_fleet(seed: int) -> CutFleet:
    """Return a fleet with six targets that has run for three seconds."""
    fleet = CutFleet(seed, domain_sizes=DOMAIN_SIZES)
    fleet.run(3)
    return fleet


def pick_share(fleet: CutFleet, share: float) -> list[SimulatedEntry]:
    """Return a random share of all entries."""
    return fleet.rng.sample(fleet.entries, round(share * len(fleet.entries)))


def pick_domain(fleet: CutFleet) -> list[SimulatedEntry]:
    """Return all entries of one failure domain."""
    return [
        entry
        for entry in fleet.entries
        if entry.harness.state.failure_domain == "domain-0"
    ]


@EACH_KIND
@pytest.mark.parametrize("share", [0.1, 0.4, 0.8])
def test_entries_without_targets_serve_their_callers(
    kind: CutKind, share: float
) -> None:
    """Guards against cut entries whose callers are served worse, in a large fleet."""
    fleet = build_fleet(0)
    fleet.cut(pick_share(fleet, share), kind)
    fleet.run(10)
    assert not fleet.breaks_promise(), (fleet.at_cut, fleet.elsewhere)


@EACH_KIND
def test_a_failure_domain_without_targets_serves_its_callers(kind: CutKind) -> None:
    """Guards against cut entries that know no entry outside of their domain."""
    fleet = build_fleet(0)
    fleet.cut(pick_domain(fleet), kind)
    fleet.run(10)
    assert not fleet.breaks_promise(), (fleet.at_cut, fleet.elsewhere)


@EACH_KIND
@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_reach_one_target_serve_their_callers(
    kind: CutKind, seed: int
) -> None:
    """Guards against one reached target that hides that the others are out of reach."""
    fleet = build_fleet(seed)
    fleet.cut(pick_share(fleet, 0.4), kind, spared=frozenset({"b-0"}))
    fleet.run(10)
    assert not fleet.breaks_promise(), (fleet.at_cut, fleet.elsewhere)


@EACH_KIND
@pytest.mark.parametrize("share", [0.4, 0.8])
@pytest.mark.parametrize("pause", [400, 2_000])
def test_entries_without_targets_of_one_service_serve_its_callers(
    kind: CutKind, share: float, pause: int
) -> None:
    """Guards against a service that is reached and hides that another one is not."""
    fleet = build_fleet(0)
    fleet.reach_other_service(Millis(pause))
    fleet.cut(pick_share(fleet, share), kind)
    fleet.run(10)
    assert not fleet.breaks_promise(), (fleet.at_cut, fleet.elsewhere)


@pytest.mark.parametrize("rate", [1.5, 20.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_requests_that_are_passed_on_count_against_rates(
    seed: int, rate: float
) -> None:
    """Guards against rates that are exceeded as cut entries pass requests on."""
    fleet = CutFleet(seed, domain_sizes=DOMAIN_SIZES, calls_per_second=210.0)
    fleet.run(3)
    for name in fleet.targets:
        fleet.limit(name, rate)
    fleet.cut(pick_share(fleet, 0.4), CutKind.HANG)
    fleet.run(8)
    fleet.heal()
    fleet.run(4)
    assert fleet.find_excess() <= 0


@EACH_KIND
@pytest.mark.parametrize("rate", [4.0, 10.0])
def test_cut_entries_serve_their_callers_where_rates_are_named(
    rate: float, kind: CutKind
) -> None:
    """Guards against cut entries whose shares of the rates nobody can use."""
    fleet = build_fleet(0)
    for name in fleet.targets:
        fleet.limit(name, rate)
    fleet.run(5)
    fleet.cut(pick_share(fleet, 0.4), kind)
    fleet.run(10)
    assert not fleet.breaks_promise(), (fleet.at_cut, fleet.elsewhere)
    fleet.heal()
    fleet.run(6)
    assert fleet.find_excess() <= 0
