"""Tests of requests that are refused or held back for crashes of targets."""

from figstep.core.clock import Millis
from figstep.core.crashes import Suspicion, name_part
from figstep.gateway.culprits import CAUTION_DURATION, TRIAL_DELAY, TRIAL_SPACING
from figstep.gateway.effects import OpenAttempt, Refuse
from figstep.gateway.events import AttemptLost, Loss, Ticked
from figstep.gateway.prompts import Prompt
from tests.gateway.worlds import EntryHarness

GUILTY = name_part("guilty")


def build_entry(crashes: int) -> EntryHarness:
    """Return an entry with engines that knows of crashes under a part of prompts."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    for number in range(crashes):
        age = Millis(500 * (crashes - number) - 400)
        suspicion = Suspicion(GUILTY, f"old-{number}@1", age)
        harness.state.crashes.record_suspicion(suspicion, harness.clock.now())
    return harness


def send_prompt(harness: EntryHarness, *parts: str) -> list[OpenAttempt]:
    """Send a prompt with some parts between its first and its last one."""
    names = ("first", *parts, f"own {harness.next_number}")
    prompt = Prompt("m", 300, 50, 50, tuple((name, 100) for name in names))
    harness.receive_request("/question/a", prompt)
    return harness.find_effects(OpenAttempt)


def test_a_part_in_doubt_waits_for_reports_and_runs_alone() -> None:
    """Guards against a burst of requests with a part that two crashes share."""
    harness = build_entry(crashes=2)
    assert send_prompt(harness, "guilty") == []
    assert send_prompt(harness, "guilty") == []
    assert len(send_prompt(harness, "other")) == 1
    harness.clock.advance(CAUTION_DURATION)
    harness.handle(Ticked())
    assert len(harness.find_effects(OpenAttempt)) == 1
    harness.handle(Ticked())
    assert harness.find_effects(OpenAttempt) == []


def test_a_refused_part_gets_a_plain_answer() -> None:
    harness = build_entry(crashes=3)
    assert send_prompt(harness, "guilty") == []
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.code) == (503, "crashes_targets")
    assert len(send_prompt(harness, "other")) == 1


def test_prompts_are_not_refused_for_their_first_or_last_part() -> None:
    """Guards against refusing all prompts of a kind."""
    harness = build_entry(crashes=3)
    prompt = Prompt("m", 300, 50, 50, (("guilty", 100), ("b", 100), ("c", 100)))
    harness.receive_request("/question/a", prompt)
    assert harness.find_effects(OpenAttempt)


def test_one_request_tries_a_part_that_was_refused() -> None:
    """Guards against a part that is refused after the engines were changed."""
    harness = build_entry(crashes=3)
    harness.clock.advance(TRIAL_DELAY + TRIAL_SPACING)
    [tried] = send_prompt(harness, "guilty")
    assert send_prompt(harness, "guilty") == []
    harness.handle(AttemptLost(tried.attempt, Loss.BROKEN))
    assert harness.find_effects(OpenAttempt) == []
