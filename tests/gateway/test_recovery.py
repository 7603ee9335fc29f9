"""Tests of the handling of lost attempts."""

import pytest

from figstep.core.problems import Ran
from figstep.gateway.effects import (
    Answer,
    BeginStream,
    BreakStream,
    Note,
    OpenAttempt,
    Refuse,
)
from figstep.gateway.events import (
    AnswerArrived,
    AnswerBegan,
    AttemptConnected,
    AttemptLost,
    EntriesCounted,
    Loss,
    TargetDown,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.recovery import MAX_SENDS
from figstep.gateway.targets import UNREACHED_DURATION, Incarnation, Registration
from tests.gateway.worlds import BOOKINGS, ENGINES, EntryHarness, start_with_backup


def build_harness() -> EntryHarness:
    harness = EntryHarness()
    harness.register("b-1", "b-2", "b-3", service=BOOKINGS)
    harness.register("e-1", "e-2")
    return harness


@pytest.mark.parametrize("loss", [Loss.UNREACHED, Loss.REFUSED, Loss.MISDIRECTED])
def test_a_request_that_did_not_run_is_sent_to_another_target(loss: Loss) -> None:
    harness = build_harness()
    harness.receive_request("/order/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, loss))
    assert harness.find_effect(OpenAttempt).target != first.target


@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.GARBLED])
def test_an_order_that_may_have_run_is_not_sent_again(loss: Loss) -> None:
    """Guards against an order that runs twice, such as two pallets of flour for one.

    The connection breaks after the order was sent. Whether it ran is unknown, so it is
    sent to no other target, and the answer does not say "not run".
    """
    harness = build_harness()
    harness.receive_request("/order/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, loss))
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (502, Ran.UNKNOWN)
    assert harness.find_effects(OpenAttempt) == []


def test_an_order_that_all_refuse_is_reported_as_not_run() -> None:
    harness = build_harness()
    harness.receive_request("/order/a")
    while harness.find_effects(OpenAttempt):
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)


def test_an_order_that_may_have_run_is_never_reported_as_not_run() -> None:
    harness = build_harness()
    harness.receive_request("/order/a")
    first = harness.find_effect(OpenAttempt)
    harness.state.requests[first.number].may_have_run = True
    harness.handle(AttemptLost(first.attempt, Loss.REFUSED))
    while harness.find_effects(OpenAttempt):
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    assert harness.find_effect(Refuse).problem.ran is Ran.UNKNOWN


def test_a_lookup_runs_again_within_its_attempts() -> None:
    harness = build_harness()
    number = harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    second = harness.find_effect(OpenAttempt)
    assert second.target != first.target
    harness.handle(AttemptLost(second.attempt, Loss.FAILED, status=500))
    assert harness.find_effect(Answer) == Answer(number, second.attempt)


def test_a_failure_answer_to_an_order_is_passed_to_the_caller() -> None:
    harness = build_harness()
    number = harness.receive_request("/order/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    assert harness.find_effect(Answer) == Answer(number, first.attempt)


def test_a_failure_answer_that_means_not_run_is_not_passed_on() -> None:
    harness = build_harness()
    harness.receive_request("/order/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.FAILED, status=None))
    assert harness.find_effect(Refuse).problem.status == 502


def test_a_silent_lookup_is_retried_at_another_target() -> None:
    harness = build_harness()
    harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptConnected(first.attempt))
    harness.clock.advance(400)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target != first.target


def test_a_lookup_without_a_connection_is_not_counted_as_run() -> None:
    """Guards against lookups that use up their runs on targets nobody reaches."""
    harness = build_harness()
    harness.reachable = False
    harness.receive_request("/lookup/a")
    harness.clock.advance(400)
    harness.handle(Ticked())
    assert harness.find_effects(OpenAttempt) == []
    assert harness.state.requests[1].lost_runs == 0


def test_a_silent_order_is_left_alone() -> None:
    harness = build_harness()
    harness.receive_request("/order/a")
    harness.clock.advance(700)
    harness.handle(Ticked())
    assert harness.find_effects(OpenAttempt) == []


def test_a_route_with_one_attempt_is_not_cut_for_silence() -> None:
    """Guards against a slow answer discarded although no other one can follow.

    A request on a route with one attempt gets no second one, so abandoning the first
    before the deadline only turns a late answer into a failure.
    """
    harness = build_harness()
    harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    harness.state.requests[first.number].lost_runs = 1
    harness.clock.advance(400)
    harness.handle(Ticked())
    assert harness.effects == []


def test_a_request_that_crashed_two_targets_is_kept_from_the_third() -> None:
    """Guards against a request that crashes every engine as its caller retries.

    The connection breaks before the first event, twice, at engines that were not
    leaving and at whose address nothing listens afterwards. The third try is refused at
    once.
    """
    harness = build_harness()
    prompt = Prompt("m", 100, 50, 10)
    harness.receive_request("/question/a", prompt, digest="poison")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.BROKEN))
    second = harness.find_effect(OpenAttempt)
    harness.handle(TargetDown(Incarnation(first.target, 1)))
    harness.handle(AttemptLost(second.attempt, Loss.BROKEN))
    harness.handle(TargetDown(Incarnation(second.target, 1)))
    harness.receive_request("/question/a", prompt, digest="poison")
    assert harness.find_effect(Refuse).problem.code == "crashes_targets"


def test_a_resumable_stream_resumes_after_its_last_event() -> None:
    harness = build_harness()
    harness.receive_request("/question/a", Prompt("m", 100, 50, 10))
    first = harness.find_effect(OpenAttempt)
    harness.send_pieces(first.attempt, 1, 2)
    harness.handle(AttemptLost(first.attempt, Loss.BROKEN))
    again = harness.find_effect(OpenAttempt)
    assert again.after == 2
    assert again.source is None


def test_a_stream_that_the_budget_denies_is_ended_at_once_and_logged() -> None:
    """Guards against a caller that waits for an answer that no engine generates.

    The engine dies and a backup exists, but the fleet has spent its repeats.
    """
    harness, opened = start_with_backup()
    harness.state.budget.allowance = 0.0
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert len(harness.find_effects(BreakStream)) == 1
    assert harness.state.requests == {}
    notes = [note.message for note in harness.find_effects(Note)]
    assert "repeat denied by the fleet's budget" in notes


def build_domains(*sizes: tuple[str, int]) -> EntryHarness:
    """Return an entry in muc-a with some engines in each failure domain."""
    harness = EntryHarness()
    harness.handle(EntriesCounted(79))
    for domain, engines in sizes:
        for number in range(engines):
            name = f"e-{domain}-{number}"
            info = Registration(name, ENGINES, f"{name}:80", domain, 24, born=1)
            harness.handle(TargetRegistered(info))
    return harness


def find_tries(harness: EntryHarness, path: str = "/plan/a") -> list[str]:
    """Send a prompt, lose all of its tries in muc-a and return the targets tried."""
    harness.receive_request(path, Prompt("m", 300, 200, 40))
    tries = []
    while harness.find_effects(OpenAttempt):
        opened = harness.find_effect(OpenAttempt)
        tries.append(opened.target)
        if not opened.target.startswith("e-muc-a"):
            harness.send_pieces(opened.attempt, 1, 1)
            break
        harness.clock.advance(7)
        harness.handle(AttemptLost(opened.attempt, Loss.UNREACHED))
    return tries


@pytest.mark.parametrize("path", ["/plan/a", "/question/a"])
def test_a_failure_domain_that_goes_down_costs_no_prompt(path: str) -> None:
    """Guards against callers refused after four dead engines while others are idle."""
    harness = build_domains(("muc-a", 9), ("muc-b", 9))
    for _ in range(10):
        tries = find_tries(harness, path)
        assert tries[-1].startswith("e-muc-b"), tries


def test_a_failure_domain_that_goes_down_is_found_in_two_tries() -> None:
    """Guards against entries that try all engines of a lost failure domain."""
    harness = build_domains(("muc-a", 9), ("muc-b", 9))
    assert len(find_tries(harness)) == 3
    for _ in range(5):
        harness.clock.advance(20)
        assert len(find_tries(harness)) == 1


def test_a_failure_domain_that_is_back_is_tried_again() -> None:
    """Guards against a failure domain that is avoided forever."""
    harness = build_domains(("muc-a", 9), ("muc-b", 9))
    find_tries(harness)
    harness.clock.advance(UNREACHED_DURATION)
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).target.startswith("e-muc-a")


def test_engines_that_answer_keep_their_failure_domain() -> None:
    """Guards against a whole failure domain avoided for two of its engines."""
    harness = build_domains(("muc-a", 9), ("muc-b", 9))
    find_tries(harness)
    alive = harness.state.targets.targets["e-muc-a-8"]
    alive.record_success(harness.clock.now())
    harness.receive_plan()
    assert harness.find_effect(OpenAttempt).target.startswith("e-muc-a")


def test_refusals_still_bound_the_tries_of_a_request() -> None:
    """Guards against a prompt that is tried at every engine of a full pool."""
    harness = build_domains(("muc-a", 9))
    harness.state.budget.allowance = 10_000.0
    harness.receive_plan()
    tries = 0
    while harness.find_effects(OpenAttempt):
        tries += 1
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    assert tries == MAX_SENDS


def test_a_read_is_retried_in_another_failure_domain() -> None:
    """Guards against a read retried within a failure domain that is being lost."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", "b-3", service=BOOKINGS)
    far = Registration("b-4", BOOKINGS, "b-4:80", "muc-b", 64, born=1)
    harness.handle(TargetRegistered(far))
    harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    assert first.target != far.target
    harness.handle(AttemptLost(first.attempt, Loss.BROKEN))
    assert harness.find_effect(OpenAttempt).target == far.target


def test_a_target_that_is_silent_for_a_moment_is_not_taken_for_dead() -> None:
    """Guards against crash news and a target set aside for a short silence."""
    harness = build_harness()
    opened = []
    for number in range(6):
        path = "/order/a" if number % 2 else "/lookup/a"
        harness.receive_request(path, digest=f"d-{number}")
        attempt = harness.find_effect(OpenAttempt)
        harness.handle(AttemptConnected(attempt.attempt))
        opened.append(attempt)
    silent = opened[0].target
    for _ in range(12):
        harness.clock.advance(50)
        harness.handle(Ticked())
    answered = []
    for attempt in opened:
        if attempt.target == silent:
            harness.handle(AnswerArrived(attempt.attempt, 200))
            answered += harness.find_effects(Answer)
    orders = [one for one in opened if one.target == silent and one.number % 2 == 0]
    assert len(answered) == len(orders) > 0
    for number in range(6):
        assert harness.state.crashes.count(f"d-{number}") == 0
    target = harness.state.targets.targets[silent]
    assert target.backoff_until <= harness.clock.now()
    assert target.ended_at is None


def test_an_answer_that_has_begun_is_never_replaced_or_ended_by_its_deadline() -> None:
    """Guards against two answers in one, and a slow reader that gets a part of one."""
    harness = build_harness()
    harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptConnected(first.attempt))
    harness.handle(AnswerBegan(first.attempt))
    assert harness.find_effects(BeginStream)
    harness.clock.advance(60_000)
    harness.handle(Ticked())
    assert harness.find_effects(BreakStream) == []
    harness.handle(AttemptLost(first.attempt, Loss.CUT))
    assert harness.find_effects(BreakStream)
    assert harness.find_effects(OpenAttempt) == []
