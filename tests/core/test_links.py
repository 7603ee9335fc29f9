"""Tests of the own interface's entry while it reaches no target."""

from figstep.core.clock import Millis
from figstep.core.effects import OpenAttempt, Refuse
from figstep.core.events import (
    AttemptAnswered,
    AttemptLost,
    LoadReported,
    Loss,
    RequestArrived,
)
from figstep.core.links import ENGINES, RETRY_INTERVAL
from figstep.core.problems import Ran
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from tests.core.entries import Entry, make_inventory


def lose_links(entry: Entry) -> None:
    """Let the connections of requests to as many engines as possible fail."""
    for number in range(6):
        send(entry, f"lost-{number}")
        opened = entry.find_effects(OpenAttempt)
        if not opened:
            return
        lost = AttemptLost(opened[0].attempt, Loss.CONNECT_FAILED)
        entry.feed(lost, after=10)


def send(entry: Entry, name: str = "later") -> None:
    """Let a request for a generation arrive."""
    spec = RequestSpec(name, "demo", GenerationWork("m"), digest=name)
    entry.feed(RequestArrived(spec))


def test_requests_are_refused_at_once_while_no_target_is_reached() -> None:
    """Guards against callers who wait for one unreachable target after the other."""
    entry = Entry(inventory=make_inventory(engines=5))
    lose_links(entry)
    assert entry.state.reaches[ENGINES].cut_off
    send(entry)
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("cut_off", Ran.NO)
    assert problem.retry_after


def test_a_service_that_is_reached_does_not_hide_that_engines_are_not() -> None:
    """Guards against a cut that each answer of another service ends."""
    entry = Entry(inventory=make_inventory(engines=5))
    for number in range(3):
        send(entry, f"lost-{number}")
        opened = entry.find_effect(OpenAttempt)
        work = ServiceWork("shop", "GET", "/a")
        entry.feed(RequestArrived(RequestSpec(f"call-{number}", "demo", work)))
        answered = entry.find_effect(OpenAttempt)
        entry.feed(AttemptLost(opened.attempt, Loss.CONNECT_FAILED), after=10)
        entry.feed(AttemptAnswered(answered.attempt))
    send(entry)
    assert entry.find_effect(Refuse).problem.code == "cut_off"
    entry.feed(RequestArrived(RequestSpec("last", "demo", work)))
    assert entry.find_effects(OpenAttempt)


def test_a_load_report_ends_it() -> None:
    entry = Entry(inventory=make_inventory(engines=5))
    lose_links(entry)
    entry.feed(LoadReported("e1", 1))
    send(entry)
    assert entry.find_effects(OpenAttempt)


def test_targets_are_tried_again_after_a_while() -> None:
    entry = Entry(inventory=make_inventory(engines=5))
    lose_links(entry)
    entry.now = Millis(entry.now + RETRY_INTERVAL)
    send(entry)
    assert not entry.find_effects(Refuse)


def test_few_targets_that_are_all_down_refuse_nobody() -> None:
    """Guards against requests refused that could wait for a target to be back."""
    entry = Entry(inventory=make_inventory(engines=2))
    lose_links(entry)
    assert not entry.state.reaches[ENGINES].cut_off
