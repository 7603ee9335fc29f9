"""Tests of a request's life at the gateway."""

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
from tests.gateway.worlds import BOOKINGS, KEY, LOOKUP, EntryHarness, build_table


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
    world = EntryHarness()
    world.register("b-1", service=BOOKINGS)
    world.arrive(path, **fields)
    assert world.find(Refuse).problem.status == status
    assert world.find_all(OpenAttempt) == []


def test_without_a_configuration_nothing_is_denied() -> None:
    world = EntryHarness()
    world.state.table = None
    world.arrive("/order/a")
    problem = world.find(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)
    assert problem.retry_after is not None


def test_a_public_route_needs_no_key() -> None:
    world = EntryHarness()
    world.register("b-1", service=BOOKINGS)
    table = build_table(2, [replace(LOOKUP, public=True)])
    world.handle(ConfigurationRead(table))
    world.arrive("/lookup/a", key=None)
    assert world.find(OpenAttempt).customer == ""


def test_an_answer_goes_on_as_it_came() -> None:
    world = EntryHarness()
    world.register("b-1", service=BOOKINGS)
    number = world.arrive("/order/a", key=KEY)
    opened = world.find(OpenAttempt)
    assert opened.customer == "gurdwara"
    world.handle(AnswerArrived(opened.attempt, 200))
    assert world.find(Answer) == Answer(number, opened.attempt)
    assert world.state.requests == {}


def test_the_shorter_of_patience_and_route_bounds_a_request() -> None:
    world = EntryHarness()
    world.register("b-1", service=BOOKINGS)
    world.arrive("/order/a", max_wait=Millis(300))
    assert world.find(OpenAttempt).deadline == world.clock.now() + 300
    world.arrive("/order/a", max_wait=Millis(60_000))
    assert world.find(OpenAttempt).deadline == world.clock.now() + 800


def test_at_its_deadline_a_request_is_answered_and_its_target_freed() -> None:
    world = EntryHarness()
    world.register("b-1", service=BOOKINGS)
    world.arrive("/order/a")
    world.clock.advance(800)
    world.handle(Ticked())
    problem = world.find(Refuse).problem
    assert (problem.status, problem.ran) == (504, Ran.UNKNOWN)
    assert len(world.find_all(CloseAttempt)) == 1


def test_a_caller_that_leaves_frees_its_target() -> None:
    world = EntryHarness()
    world.register("b-1", service=BOOKINGS)
    number = world.arrive("/order/a")
    world.handle(CallerGone(number))
    assert len(world.find_all(CloseAttempt)) == 1
    target = world.state.targets.find("b-1")
    assert target is not None
    assert target.calls == 0


def test_what_finds_no_target_is_refused_at_once() -> None:
    world = EntryHarness()
    world.arrive("/order/a")
    problem = world.find(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)
    assert problem.retry_after is not None


def test_a_prompt_that_finds_no_room_waits_and_starts_when_there_is_some() -> None:
    world = EntryHarness()
    world.register("e-1")
    engine = world.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    world.arrive_plan()
    assert world.find_all(OpenAttempt) == []
    engine.peer_memory = 0
    world.handle(Ticked())
    assert len(world.find_all(OpenAttempt)) == 1


def test_a_prompt_that_waits_in_vain_is_told_that_it_did_not_run() -> None:
    world = EntryHarness()
    world.register("e-1")
    engine = world.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    world.arrive_plan()
    world.clock.advance(2_700)
    world.handle(Ticked())
    problem = world.find(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)


def test_urgent_prompts_start_first_and_one_at_a_time() -> None:
    """A new engine would be filled by all entries at once.

    Requests wait at every entry; an engine comes and each starts all that it
    has. Their prompts queue there for seconds. One a turn lets the entries
    hear of each other's between two starts.
    """
    world = EntryHarness()
    world.register("e-1")
    engine = world.state.targets.find("e-1")
    assert engine is not None
    engine.peer_calls, engine.peer_memory = 8, 34_000
    world.arrive_plan()
    question = world.arrive("/question/a", Prompt("m", 2_000, 50, 15))
    engine.peer_memory = 0
    world.handle(Ticked())
    assert world.find(OpenAttempt).number == question


def test_long_streams_are_sent_elsewhere_while_the_entry_ends() -> None:
    world = EntryHarness()
    world.register("e-1")
    world.register("b-1", service=BOOKINGS)
    until = Millis(world.clock.now() + 7_000)
    world.handle(ShutdownRequested(until))
    world.arrive_plan()
    assert world.find(Refuse).problem.ran is Ran.NO
    world.arrive("/order/a")
    assert len(world.find_all(OpenAttempt)) == 1


def test_refused_callers_come_back_spread() -> None:
    world = EntryHarness()
    pauses = set()
    for _ in range(20):
        world.arrive("/order/a")
        pauses.add(world.find(Refuse).problem.retry_after)
    assert len(pauses) > 10
