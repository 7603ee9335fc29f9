"""Tests of the decision on what an entry buffers, without a network."""

import pytest

from figstep.core.buffers import (
    MAX_RETRY_AFTER,
    MIN_BUDGET_BYTES,
    STALL_TIMEOUT,
    WINDOW_BYTES,
    BufferBudget,
    derive_limit,
)
from figstep.core.clock import Millis

ANSWER = 2_000_000
START = Millis(1_000)


def fill(budget: BufferBudget) -> int:
    """Open requests with a body of 100 kB until one is rejected; return their count."""
    while budget.open_account(100_000, START) is not None:
        pass
    return len(budget)


def test_unread_answers_of_2_mb_never_exceed_the_budget() -> None:
    """Guards against 300 callers that do not read, whose answers fill the memory."""
    budget = BufferBudget(derive_limit(136 << 20))
    for _ in range(300):
        account = budget.open_account(0, START)
        assert account is not None
        while account.answer < ANSWER and budget.may_read(account):
            budget.add_answer(account, WINDOW_BYTES, START)
    assert budget.used <= budget.limit
    assert budget.open_account(0, START) is not None


def test_an_answer_goes_on_as_fast_as_its_caller_reads() -> None:
    """Guards against a reading caller whose answer waits for callers that do not."""
    budget = BufferBudget(MIN_BUDGET_BYTES)
    reader = budget.open_account(0, START)
    assert reader is not None
    fill(budget)
    for second in range(25):
        assert budget.may_read(reader)
        budget.add_answer(reader, 80_000, START)
        assert not budget.may_read(reader)
        budget.take_answer(reader, 80_000, Millis(START + 1_000 * second))


def test_only_callers_that_take_nothing_are_terminated() -> None:
    """Guards against a slow reader, or an answer still awaited, that is cut off."""
    budget = BufferBudget(derive_limit(136 << 20))
    accounts = [budget.open_account(0, START) for _ in range(3)]
    silent, slow, waiting = accounts
    assert silent is not None and slow is not None and waiting is not None
    budget.add_answer(silent, ANSWER, START)
    budget.add_answer(slow, ANSWER, START)
    later = Millis(START + STALL_TIMEOUT)
    budget.take_answer(slow, 1, later)
    assert budget.list_stalled(Millis(later - 1)) == []
    assert budget.list_stalled(later) == [silent]


def test_an_answer_is_set_aside_whole_or_not_at_all() -> None:
    """Guards against many answers that are each read in part and none in full."""
    budget = BufferBudget(2 * MIN_BUDGET_BYTES)
    kept = []
    for _ in range(5):
        account = budget.open_account(0, START)
        assert account is not None
        kept.append(budget.reserve_answer(account, ANSWER))
    assert kept == [True, True, False, False, False]


def test_an_ended_request_gives_all_its_bytes_back() -> None:
    """Guards against a budget that shrinks with each retry, cut or ended request."""
    budget = BufferBudget(MIN_BUDGET_BYTES)
    account = budget.open_account(1_000, START)
    assert account is not None
    assert budget.grow_body(account, 500)
    assert budget.reserve_answer(account, ANSWER)
    budget.add_answer(account, ANSWER, START)
    budget.drop_answer(account)
    budget.add_answer(account, 5, START)
    budget.close_account(account)
    budget.close_account(account)
    budget.take_answer(account, 5, START)
    assert budget.used == 0


def test_a_body_that_does_not_fit_is_rejected_and_told_when_to_return() -> None:
    """Guards against bodies that targets do not read, and callers that return early."""
    budget = BufferBudget(MIN_BUDGET_BYTES)
    account = budget.open_account(0, START)
    assert account is not None
    budget.add_answer(account, 1, START)
    fill(budget)
    assert budget.open_account(100_000, START) is None
    assert not budget.grow_body(account, 1_000_000)
    assert budget.choose_retry_after(START) == MAX_RETRY_AFTER
    assert budget.choose_retry_after(Millis(START + STALL_TIMEOUT - 700)) == 700


@pytest.mark.parametrize("mebibytes", [16, 136, 552])
def test_the_budget_leaves_room_for_the_process(mebibytes: int) -> None:
    """Guards against a budget that alone reaches the limit of the process."""
    limit = derive_limit(mebibytes << 20)
    assert MIN_BUDGET_BYTES <= limit < mebibytes << 20
