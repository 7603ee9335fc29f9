"""Tests of the retry budget."""

from figstep.core.clock import Millis
from figstep.gateway.budgets import FleetUse, RetryBudget

NOW = Millis(100_000)
WINDOW = Millis(10_000)


def spend(budget: RetryBudget, fleet: FleetUse, urgent: bool = True) -> int:
    """Spend repeats until the budget denies one, and return their number."""
    spent = 0
    while budget.can_repeat("engines", fleet, NOW, urgent):
        budget.record_repeat("engines", NOW)
        spent += 1
    return spent


def test_eight_connected_entries_stay_within_the_bound() -> None:
    budgets = [RetryBudget(0.2, 56.0, WINDOW) for _ in range(8)]
    repeats = [0] * 8
    for number, budget in enumerate(budgets):
        others = sum(repeats) - repeats[number]
        repeats[number] = spend(budget, FleetUse(0, others, 8, complete=True))
    assert 25 < sum(repeats) <= 56


def test_one_entry_may_use_what_the_others_leave() -> None:
    budget = RetryBudget(0.2, 56.0, WINDOW)
    assert spend(budget, FleetUse(0, 0, 8, complete=True)) > 56 / 8


def test_partitioned_entries_stay_within_the_bound_together() -> None:
    """Guards against more repeats than a service can handle.

    A network partition isolates eight entries. None receives the others' usage, and
    each could spend the whole budget.
    """
    budgets = [RetryBudget(0.2, 56.0, WINDOW) for _ in range(8)]
    alone = FleetUse(0, 0, 8, complete=False)
    assert 0 < sum(spend(budget, alone) for budget in budgets) <= 56


def test_a_restarted_entry_without_peers_repeats_nothing_at_first() -> None:
    """Guards against a restart that grants the whole budget again.

    An entry spends its share, is killed and restarts within the window. It has lost its
    counts, but the service receives the repeats of both processes.
    """
    budget = RetryBudget(0.2, 56.0, WINDOW, started=NOW, first_start=False)
    alone = FleetUse(0, 0, 1, complete=True)
    assert spend(budget, alone) == 0
    later = Millis(NOW + WINDOW)
    assert budget.can_repeat("engines", alone, later)


def test_short_requests_leave_the_reserve_to_streams_in_danger() -> None:
    budget = RetryBudget(0.2, 56.0, WINDOW)
    fleet = FleetUse(0, 0, 8, complete=True)
    spend(budget, fleet, urgent=False)
    assert spend(budget, fleet, urgent=True) > 0


def test_repeats_expire_with_the_window() -> None:
    budget = RetryBudget(0.2, 10.0, WINDOW)
    fleet = FleetUse(0, 0, 2, complete=True)
    spend(budget, fleet)
    assert not budget.can_repeat("engines", fleet, NOW, urgent=True)
    assert budget.can_repeat("engines", fleet, Millis(NOW + WINDOW), urgent=True)


def test_streams_in_danger_may_use_more_of_the_bound_than_short_requests() -> None:
    """Guards against long answers lost although their copies exist.

    Four engines leave at once. A failure domain of 18 entries, a quarter of the fleet,
    resumes 45 streams within a window in which its share is 46 of 186 repeats.
    """
    budget = RetryBudget(0.0, 186.0, Millis(10_000))
    fleet = FleetUse(0, 36, 18, True, fleet_fraction=0.25)
    assert budget.can_repeat("engines", fleet, Millis(100_000), urgent=True)
    assert not budget.can_repeat("engines", fleet, Millis(100_000))
    spent = FleetUse(0, 37, 18, True, fleet_fraction=0.25)
    assert not budget.can_repeat("engines", spent, Millis(100_000), urgent=True)


def test_an_entry_without_reports_counts_what_others_have_used() -> None:
    """Guards against shares that come on top of a budget that is used up."""
    budget = RetryBudget(0.2, 56.0, WINDOW)
    spent = FleetUse(0, 45, 8, complete=False)
    assert not budget.can_repeat("engines", spent, NOW, urgent=True)
    some = FleetUse(0, 20, 8, complete=False)
    assert budget.can_repeat("engines", some, NOW, urgent=True)
