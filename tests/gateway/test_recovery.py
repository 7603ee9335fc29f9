"""Tests of what follows a lost attempt."""

import pytest

from figstep.core.problems import Ran
from figstep.gateway.effects import Answer, BreakStream, Note, OpenAttempt, Refuse
from figstep.gateway.events import (
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


def build_world() -> EntryHarness:
    world = EntryHarness()
    world.register("b-1", "b-2", "b-3", service=BOOKINGS)
    world.register("e-1", "e-2")
    return world


@pytest.mark.parametrize("loss", [Loss.UNREACHED, Loss.REFUSED, Loss.MISDIRECTED])
def test_what_did_not_run_is_sent_to_another_target(loss: Loss) -> None:
    world = build_world()
    world.arrive("/order/a")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, loss))
    assert world.find(OpenAttempt).target != first.target


@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.GARBLED])
def test_an_order_that_may_have_run_is_not_sent_again(loss: Loss) -> None:
    """A doubled flour order lands two pallets.

    The connection breaks after the order was sent. Whether it ran is unknown,
    so it goes to no other target, and its caller is not told "not run".
    """
    world = build_world()
    world.arrive("/order/a")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, loss))
    problem = world.find(Refuse).problem
    assert (problem.status, problem.ran) == (502, Ran.UNKNOWN)
    assert world.find_all(OpenAttempt) == []


def test_an_order_that_all_refuse_is_told_not_run() -> None:
    world = build_world()
    world.arrive("/order/a")
    while world.find_all(OpenAttempt):
        opened = world.find(OpenAttempt)
        world.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    problem = world.find(Refuse).problem
    assert (problem.status, problem.ran) == (503, Ran.NO)


def test_an_order_that_may_have_run_at_one_is_never_told_not_run() -> None:
    world = build_world()
    world.arrive("/order/a")
    first = world.find(OpenAttempt)
    world.state.requests[first.number].may_have_run = True
    world.handle(AttemptLost(first.attempt, Loss.REFUSED))
    while world.find_all(OpenAttempt):
        opened = world.find(OpenAttempt)
        world.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    assert world.find(Refuse).problem.ran is Ran.UNKNOWN


def test_a_lookup_runs_again_within_its_attempts() -> None:
    world = build_world()
    number = world.arrive("/lookup/a")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    second = world.find(OpenAttempt)
    assert second.target != first.target
    world.handle(AttemptLost(second.attempt, Loss.FAILED, status=500))
    assert world.find(Answer) == Answer(number, second.attempt)


def test_a_failure_that_an_order_got_is_handed_on() -> None:
    world = build_world()
    number = world.arrive("/order/a")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    assert world.find(Answer) == Answer(number, first.attempt)


def test_a_failure_that_would_say_not_run_is_not_handed_on() -> None:
    world = build_world()
    world.arrive("/order/a")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, Loss.FAILED, status=None))
    assert world.find(Refuse).problem.status == 502


def test_a_silent_lookup_is_asked_of_another_target() -> None:
    world = build_world()
    world.arrive("/lookup/a")
    first = world.find(OpenAttempt)
    world.clock.advance(400)
    world.handle(Ticked())
    assert world.find(OpenAttempt).target != first.target


def test_a_silent_order_is_left_alone() -> None:
    world = build_world()
    world.arrive("/order/a")
    world.clock.advance(700)
    world.handle(Ticked())
    assert world.find_all(OpenAttempt) == []


def test_a_route_with_one_attempt_is_not_cut_for_silence() -> None:
    """A slow answer would be thrown away though none other can be had.

    A request of a route with one attempt gets no second one, so giving up on
    the first before the deadline only turns a late answer into a failure.
    """
    world = build_world()
    world.arrive("/lookup/a")
    first = world.find(OpenAttempt)
    world.state.requests[first.number].lost_runs = 1
    world.clock.advance(400)
    world.handle(Ticked())
    assert world.effects == []


def test_a_request_that_crashed_two_targets_is_kept_from_the_third() -> None:
    """Each engine that runs it dies, and its caller sends it again and again.

    The connection breaks before the first event, twice, at engines that were
    not leaving, and nobody listens there after it. The third time it is refused
    at once.
    """
    world = build_world()
    prompt = Prompt("m", 100, 50, 10)
    world.arrive("/question/a", prompt, digest="poison")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, Loss.BROKEN))
    second = world.find(OpenAttempt)
    world.handle(TargetDown(Incarnation(first.target, 1)))
    world.handle(AttemptLost(second.attempt, Loss.BROKEN))
    world.handle(TargetDown(Incarnation(second.target, 1)))
    world.arrive("/question/a", prompt, digest="poison")
    assert world.find(Refuse).problem.code == "crashes_targets"


def test_a_resumable_stream_goes_on_anew_where_it_broke() -> None:
    world = build_world()
    world.arrive("/question/a", Prompt("m", 100, 50, 10))
    first = world.find(OpenAttempt)
    world.send_pieces(first.attempt, 1, 2)
    world.handle(AttemptLost(first.attempt, Loss.BROKEN))
    again = world.find(OpenAttempt)
    assert again.after == 2
    assert again.source is None


def test_a_stream_that_the_budget_denies_is_ended_at_once_and_told_in_the_log() -> None:
    """The caller would wait for an answer that nobody works on any more.

    The engine dies, a backup is there, but the fleet has used up its repeats.
    """
    world, opened = start_with_backup()
    world.state.budget.allowance = 0.0
    world.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert len(world.find_all(BreakStream)) == 1
    assert world.state.requests == {}
    notes = [note.message for note in world.find_all(Note)]
    assert "repeat denied by the fleet's budget" in notes


def build_domains(*sizes: tuple[str, int]) -> EntryHarness:
    """Return an entry in muc-a with some engines in each failure domain."""
    world = EntryHarness()
    world.handle(EntriesCounted(79))
    for domain, engines in sizes:
        for number in range(engines):
            name = f"e-{domain}-{number}"
            info = Registration(name, ENGINES, f"{name}:80", domain, 24, born=1)
            world.handle(TargetRegistered(info))
    return world


def find_tries(world: EntryHarness, path: str = "/plan/a") -> list[str]:
    """Let a prompt come and lose all tries in muc-a; returns where it was sent."""
    world.arrive(path, Prompt("m", 300, 200, 40))
    tries = []
    while world.find_all(OpenAttempt):
        opened = world.find(OpenAttempt)
        tries.append(opened.target)
        if not opened.target.startswith("e-muc-a"):
            world.send_pieces(opened.attempt, 1, 1)
            break
        world.clock.advance(7)
        world.handle(AttemptLost(opened.attempt, Loss.UNREACHED))
    return tries


@pytest.mark.parametrize("path", ["/plan/a", "/question/a"])
def test_a_failure_domain_that_goes_down_costs_no_prompt(path: str) -> None:
    """Guards against callers refused after four dead engines beside idle ones."""
    world = build_domains(("muc-a", 9), ("muc-b", 9))
    for _ in range(10):
        tries = find_tries(world, path)
        assert tries[-1].startswith("e-muc-b"), tries


def test_a_failure_domain_that_goes_down_is_found_in_two_tries() -> None:
    """Guards against entries that try all engines of a lost failure domain."""
    world = build_domains(("muc-a", 9), ("muc-b", 9))
    assert len(find_tries(world)) == 3
    for _ in range(5):
        world.clock.advance(20)
        assert len(find_tries(world)) == 1


def test_a_failure_domain_that_is_back_is_tried_again() -> None:
    """Guards against a failure domain that is spared for good."""
    world = build_domains(("muc-a", 9), ("muc-b", 9))
    find_tries(world)
    world.clock.advance(UNREACHED_DURATION)
    world.arrive_plan()
    assert world.find(OpenAttempt).target.startswith("e-muc-a")


def test_engines_that_answer_keep_their_failure_domain() -> None:
    """Guards against a whole failure domain spared for two engines of it."""
    world = build_domains(("muc-a", 9), ("muc-b", 9))
    find_tries(world)
    alive = world.state.targets.targets["e-muc-a-8"]
    alive.record_success(world.clock.now())
    world.arrive_plan()
    assert world.find(OpenAttempt).target.startswith("e-muc-a")


def test_refusals_still_bound_the_tries_of_a_request() -> None:
    """Guards against a prompt that goes round all engines of a full pool."""
    world = build_domains(("muc-a", 9))
    world.state.budget.allowance = 10_000.0
    world.arrive_plan()
    tries = 0
    while world.find_all(OpenAttempt):
        tries += 1
        opened = world.find(OpenAttempt)
        world.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    assert tries == MAX_SENDS


def test_a_read_goes_on_in_another_failure_domain() -> None:
    """Guards against a read that follows a failure domain as it is lost."""
    world = EntryHarness()
    world.register("b-1", "b-2", "b-3", service=BOOKINGS)
    far = Registration("b-4", BOOKINGS, "b-4:80", "muc-b", 64, born=1)
    world.handle(TargetRegistered(far))
    world.arrive("/lookup/a")
    first = world.find(OpenAttempt)
    assert first.target != far.target
    world.handle(AttemptLost(first.attempt, Loss.BROKEN))
    assert world.find(OpenAttempt).target == far.target
