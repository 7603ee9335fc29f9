"""Tests of the retry budget, which grows with successes."""

from figstep.core.budgets import INITIAL_RETRIES, MAX_RETRIES, RETRY_SHARE, RetryBudget
from figstep.core.effects import OpenAttempt, Refuse
from figstep.core.events import AttemptLost, Loss, RequestArrived
from figstep.core.specs import GenerationWork, RequestSpec
from tests.core.entries import Entry, make_inventory


def test_retries_stay_a_share_of_successes() -> None:
    budget = RetryBudget()
    assert sum(budget.spend() for _ in range(1_000)) == INITIAL_RETRIES
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(1_000)) == int(100 * RETRY_SHARE)
    for _ in range(10_000):
        budget.earn()
    assert budget.left == MAX_RETRIES


def test_failing_pool_is_not_sent_a_multiple_of_its_load() -> None:
    """Guards against a failing pool that gets a multiple of its load as retries.

    Every target breaks each connection before its first token. The first requests are
    retried from the reserve; after that each request is sent once, and its caller
    learns at once that it may have run.
    """
    entry = Entry(inventory=make_inventory(engines=4))
    opened = refused = 0
    requested = 200
    for number in range(requested):
        spec = RequestSpec(f"r{number}", "c", GenerationWork("m"), digest=str(number))
        pending = list(entry.feed(RequestArrived(spec), after=9_000))
        while pending:
            effect = pending.pop()
            if isinstance(effect, Refuse):
                refused += 1
            if not isinstance(effect, OpenAttempt):
                continue
            opened += 1
            pending += entry.feed(AttemptLost(effect.attempt, Loss.FAILED))
    assert opened <= requested + INITIAL_RETRIES
    assert refused + len(entry.state.queue) == requested
