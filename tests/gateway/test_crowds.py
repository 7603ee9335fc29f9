"""Tests of fleets in which most callers come to one entry."""

import pytest

from tests.gateway.cut_fleets import CutFleet

MIN_SHARE = 0.75
"""Smallest share of first tries that are served while most callers come to one entry,
as a fraction of the share before."""

LOAD = 2 / 3
"""Calls as a fraction of what all targets take."""

TARGETS = 4

EACH_SIZE = pytest.mark.parametrize(
    "sizes", [(2, 2, 2, 2), (6, 6, 6, 6), (19, 18, 18, 18)], ids=["8", "24", "73"]
)


def run_crowd(sizes: tuple[int, ...], rate: float, limited: bool) -> CutFleet:
    """Return a fleet to one of whose entries most callers came for a while."""
    calls = LOAD * rate * TARGETS
    fleet = CutFleet(0, domain_sizes=sizes, targets=TARGETS, calls_per_second=calls)
    fleet.run(3)
    if limited:
        for name in fleet.targets:
            fleet.limit(name, rate)
    fleet.run(8)
    fleet.count_tries()
    fleet.run(8)
    fleet.crowd(fleet.entries[3])
    fleet.run(12)
    return fleet


@EACH_SIZE
@pytest.mark.parametrize("rate", [10.0, 40.0])
def test_one_entry_with_most_callers_uses_the_shares_of_others(
    sizes: tuple[int, ...], rate: float
) -> None:
    """Guards against shares that lie idle where no callers come."""
    fleet = run_crowd(sizes, rate, limited=True)
    assert fleet.uneven.share >= MIN_SHARE * fleet.even.share
    assert fleet.find_excess() <= 0


@EACH_SIZE
def test_one_entry_with_most_callers_serves_them(sizes: tuple[int, ...]) -> None:
    fleet = run_crowd(sizes, 10.0, limited=False)
    assert fleet.uneven.share >= MIN_SHARE * fleet.even.share


def test_an_entry_passes_nothing_on_while_all_shares_are_spent() -> None:
    """Guards against a request that goes from entry to entry under overload."""
    fleet = CutFleet(0, domain_sizes=(2, 2, 2, 2), calls_per_second=300.0)
    fleet.run(3)
    for name in fleet.targets:
        fleet.limit(name, 1.5)
    fleet.run(6)
    calls = sum(entry.harness.next_number for entry in fleet.entries)
    fleet.count_tries()
    fleet.run(5)
    added = sum(entry.harness.next_number for entry in fleet.entries) - calls
    assert added <= 1.5 * fleet.even.tries
    assert fleet.find_excess() <= 0
