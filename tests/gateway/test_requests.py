"""Tests of the handling of requests from arrival to answer."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.problems import Ran
from figstep.gateway.effects import (
    Answer,
    CloseAttempt,
    OpenAttempt,
    Refuse,
)
from figstep.gateway.events import (
    AnswerArrived,
    CallerGone,
    ConfigurationRead,
    ShutdownRequested,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from tests.gateway.worlds import (
    BOOKINGS,
    KEY,
    LOOKUP,
    ORDER,
    EntryHarness,
    build_table,
)


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        ("/nowhere/a", {}, 404),
        ("/order/a", {"key": None}, 401),
        ("/order/a", {"key": "unknown"}, 401),
        ("/order/a", {"body_bytes": 5_000_000}, 413),
    ],
)
def test_bad_requests_reach_no_target(
    path: str, fields: dict[str, object], status: int
) -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    harness.receive_request(path, **fields)
    assert harness.find_effect(Refuse).problem.status == status
    assert harness.find_effects(OpenAttempt) == []


def test_without_a_configuration_nothing_is_denied() -> None:
    harness = EntryHarness()
    harness.state.table = None
    harness.receive_request("/order/a")
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)
    assert problem.retry_after is not None


def test_a_public_route_needs_no_key() -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    table = build_table(2, [replace(LOOKUP, public=True)])
    harness.handle(ConfigurationRead(table))
    harness.receive_request("/lookup/a", key=None)
    assert harness.find_effect(OpenAttempt).customer == ""


def test_an_answer_is_forwarded_unchanged() -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    number = harness.receive_request("/order/a", key=KEY)
    opened = harness.find_effect(OpenAttempt)
    assert opened.customer == "gurdwara"
    harness.handle(AnswerArrived(opened.attempt, 200))
    assert harness.find_effect(Answer) == Answer(number, opened.attempt)
    assert harness.state.requests == {}


def test_the_shorter_of_patience_and_route_bounds_a_request() -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    harness.receive_request("/order/a", max_wait=Millis(300))
    assert harness.find_effect(OpenAttempt).deadline == harness.clock.now() + 300
    harness.receive_request("/order/a", max_wait=Millis(60_000))
    assert harness.find_effect(OpenAttempt).deadline == harness.clock.now() + 800


def test_at_its_deadline_a_request_is_answered_and_its_target_freed() -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    harness.receive_request("/order/a")
    harness.clock.advance(800)
    harness.handle(Ticked())
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (504, Ran.UNKNOWN)
    assert len(harness.find_effects(CloseAttempt)) == 1


def test_a_caller_that_leaves_frees_its_target() -> None:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    number = harness.receive_request("/order/a")
    harness.handle(CallerGone(number))
    assert len(harness.find_effects(CloseAttempt)) == 1
    target = harness.state.targets.find("b-1")
    assert target is not None
    assert target.calls == 0


def test_what_finds_no_target_is_refused_at_once() -> None:
    harness = EntryHarness()
    harness.receive_request("/order/a")
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)
    assert problem.retry_after is not None


def test_a_prompt_waits_until_an_engine_has_free_memory() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    harness.receive_plan()
    assert harness.find_effects(OpenAttempt) == []
    engine.peer_memory = 0
    harness.handle(Ticked())
    assert len(harness.find_effects(OpenAttempt)) == 1


def test_a_prompt_that_never_starts_is_reported_as_not_run() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    harness.receive_plan()
    harness.clock.advance(2_700)
    harness.handle(Ticked())
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)


def test_urgent_prompts_start_first_and_one_at_a_time() -> None:
    """Guards against a new engine that all entries fill at once.

    Requests wait at every entry. An engine joins, and if each entry started all of its
    requests, their prompts would queue there for seconds. Starting one a turn lets the
    entries learn of each other's prompts in between.
    """
    harness = EntryHarness()
    harness.register("e-1")
    engine = harness.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    harness.receive_plan()
    question = harness.receive_request("/question/a", Prompt("m", 2_000, 50, 15))
    engine.peer_memory = 0
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).number == question


def test_long_streams_are_sent_elsewhere_while_the_entry_ends() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    harness.register("b-1", service=BOOKINGS)
    until = Millis(harness.clock.now() + 7_000)
    harness.handle(ShutdownRequested(until))
    harness.receive_plan()
    assert harness.find_effect(Refuse).problem.ran is Ran.NO
    harness.receive_request("/order/a")
    assert len(harness.find_effects(OpenAttempt)) == 1


@pytest.mark.parametrize(("path", "wait"), [("/order/a", 800), ("/question/a", 3_000)])
def test_a_request_that_may_outlast_its_entry_is_sent_elsewhere(
    path: str, wait: int
) -> None:
    """Guards against a request that is passed on late in a stop, and then cut off."""
    harness = EntryHarness()
    harness.register("e-1")
    harness.register("b-1", service=BOOKINGS)
    until = Millis(harness.clock.now() + 7_000)
    harness.handle(ShutdownRequested(until))
    harness.clock.advance(7_000 - wait)
    prompt = Prompt("m", 300, 200, 80) if path.startswith("/question") else None
    for more, accepted in ((0, True), (1, False)):
        max_wait = Millis(wait + more)
        harness.clock.advance(more)
        harness.receive_request(path, prompt, max_wait=max_wait)
        assert (harness.find_effects(OpenAttempt) != []) is accepted
    assert harness.find_effect(Refuse).problem.ran is Ran.NO


def test_retry_times_of_refused_callers_are_spread() -> None:
    harness = EntryHarness()
    pauses = set()
    for _ in range(20):
        harness.receive_request("/order/a")
        pauses.add(harness.find_effect(Refuse).problem.retry_after)
    assert len(pauses) > 10


def test_a_request_that_reached_no_target_by_its_deadline_has_not_run() -> None:
    """Guards against an order that its caller may not send again, though none ran."""
    harness = EntryHarness(reachable=False)
    harness.register("b-1", service=BOOKINGS)
    harness.receive_request("/order/a")
    assert harness.find_effects(OpenAttempt)
    harness.clock.advance(ORDER.timeout)
    harness.handle(Ticked())
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)
