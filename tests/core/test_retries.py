"""Tests of the tables that decide on recovery and on "not run"."""

import random

import pytest

from figstep.core.events import Loss
from figstep.core.problems import Ran
from figstep.core.retries import (
    MAX_ATTEMPTS,
    MAX_RESUMES,
    LostAttempt,
    Recovery,
    classify_ran,
    combine_ran,
    compute_backoff,
    decide_recovery,
)

RESUME, RESTART, GIVE_UP = Recovery.RESUME, Recovery.RESTART, Recovery.GIVE_UP


@pytest.mark.parametrize("loss", list(Loss))
def test_not_run_is_said_of_two_losses_only(loss: Loss) -> None:
    proved = loss in (Loss.CONNECT_FAILED, Loss.REFUSED)
    assert (classify_ran(loss) is Ran.NO) is proved


def test_what_may_have_run_never_becomes_not_run() -> None:
    assert combine_ran(Ran.UNKNOWN, classify_ran(Loss.CONNECT_FAILED)) is Ran.UNKNOWN
    assert combine_ran(Ran.YES, classify_ran(Loss.BROKEN)) is Ran.YES


@pytest.mark.parametrize(
    ("lost", "expected"),
    [
        (LostAttempt(Loss.BROKEN, Ran.UNKNOWN, resumable=True), RESUME),
        (
            LostAttempt(Loss.SILENT, Ran.YES, resumable=True, reached_caller=True),
            RESUME,
        ),
        (LostAttempt(Loss.NOT_FOUND, Ran.YES, resuming=True, resumable=True), RESTART),
        (
            LostAttempt(
                Loss.NOT_FOUND,
                Ran.YES,
                resuming=True,
                resumable=True,
                reached_caller=True,
            ),
            GIVE_UP,
        ),
        (
            LostAttempt(
                Loss.BROKEN,
                Ran.YES,
                resumes=MAX_RESUMES,
                resuming=True,
                resumable=True,
            ),
            RESTART,
        ),
        (LostAttempt(Loss.CONNECT_FAILED, Ran.NO, resumable=True), RESTART),
        (
            LostAttempt(Loss.CONNECT_FAILED, Ran.YES, resuming=True, resumable=True),
            RESUME,
        ),
        (LostAttempt(Loss.REFUSED, Ran.NO, attempts=MAX_ATTEMPTS), GIVE_UP),
        (LostAttempt(Loss.REFUSED, Ran.NO, non_idempotent=True), RESTART),
        (LostAttempt(Loss.BROKEN, Ran.UNKNOWN, non_idempotent=True), GIVE_UP),
        (LostAttempt(Loss.REFUSED, Ran.UNKNOWN, non_idempotent=True), GIVE_UP),
        (LostAttempt(Loss.BROKEN, Ran.YES, reached_caller=True), GIVE_UP),
    ],
)
def test_recovery_table(lost: LostAttempt, expected: Recovery) -> None:
    assert decide_recovery(lost) is expected


def test_pauses_double_up_to_a_bound() -> None:
    rng = random.Random(1)
    assert compute_backoff(0, rng) == 0
    pauses = [compute_backoff(resumes, rng) for resumes in range(1, 20)]
    assert all(25 <= pause <= 2_000 for pause in pauses)
    assert pauses[-1] >= 1_000
