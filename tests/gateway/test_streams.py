"""Tests of streams: delivery in order, each event once."""

from figstep.core.clock import Millis
from figstep.gateway.effects import (
    BeginStream,
    BreakStream,
    CloseAttempt,
    Deliver,
    FinishStream,
    OpenAttempt,
)
from figstep.gateway.events import (
    AttemptLost,
    Loss,
    StreamEnded,
    Ticked,
)
from tests.gateway.worlds import EntryHarness, start_with_backup


def test_a_stream_begins_with_its_first_event_and_ends_whole() -> None:
    world = EntryHarness()
    world.register("e-1", "e-2", "e-3")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 10)
    assert world.find(BeginStream).attempt == opened.attempt
    world.handle(StreamEnded(opened.attempt))
    assert world.find(FinishStream).number == opened.number
    assert world.state.requests == {}
    assert all(t.memory == 0 for t in world.state.targets.targets.values())


def test_a_plan_gets_a_running_backup_elsewhere() -> None:
    _, opened = start_with_backup()
    assert opened.backup
    assert opened.backup != opened.target


def test_a_stream_whose_engine_dies_goes_on_from_its_backup() -> None:
    world, opened = start_with_backup()
    world.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = world.find(OpenAttempt)
    assert resumed.target == opened.backup
    world.send_pieces(resumed.attempt, 11, 11)
    assert world.find(Deliver).data == b"id: 11\n\n"


def let_pass(world: EntryHarness, millis: int, step: int = 30) -> list[OpenAttempt]:
    """Let time pass with looks at the streams; returns what was opened."""
    opened = []
    for _ in range(millis // step):
        world.clock.advance(step)
        world.handle(Ticked())
        opened += world.find_all(OpenAttempt)
    return opened


def run_steadily(world: EntryHarness, attempt: int, pause: int) -> None:
    """Let twenty events of a stream come, one after each pause."""
    for index in range(11, 31):
        world.clock.advance(pause)
        world.handle(Ticked())
        world.send_pieces(attempt, index, index)


def test_a_stream_that_stalls_goes_on_from_its_backup_in_time() -> None:
    """The caller would see a pause of half a second: its run was preempted.

    Its engine sends an event each 45 ms, then nothing. The backup is asked after
    120 ms, which leaves 60 of the pause that the caller may see.
    """
    world, opened = start_with_backup()
    world.state.requests[1].longest_pause = Millis(0)
    run_steadily(world, opened.attempt, 45)
    assert let_pass(world, 90) == []
    assert [one.target for one in let_pass(world, 30)] == [opened.backup]


def test_a_slow_stream_is_not_taken_for_a_stalled_one() -> None:
    world, opened = start_with_backup()
    world.state.requests[1].longest_pause = Millis(0)
    run_steadily(world, opened.attempt, 110)
    assert let_pass(world, 180) == []
    assert [one.target for one in let_pass(world, 120)] == [opened.backup]


def test_a_stream_that_is_late_already_waits_longer() -> None:
    world, opened = start_with_backup()
    assert world.state.requests[1].longest_pause == 500
    run_steadily(world, opened.attempt, 45)
    assert let_pass(world, 390) == []
    assert [one.target for one in let_pass(world, 30)] == [opened.backup]


def test_an_entry_that_stood_still_reads_what_came_before_it_judges() -> None:
    """All streams of an entry would go on elsewhere at once.

    The process was frozen for two seconds; its engines sent on, and the events
    wait in its sockets.
    """
    world, opened = start_with_backup()
    world.state.requests[1].longest_pause = Millis(0)
    run_steadily(world, opened.attempt, 45)
    world.clock.advance(2_000)
    world.handle(Ticked())
    assert world.find_all(OpenAttempt) == []
    world.send_pieces(opened.attempt, 31, 70)
    assert let_pass(world, 30) == []


def test_a_run_is_never_left_open_at_two_engines() -> None:
    """The run would go on at both engines, and the caller get either's events.

    The holder accepts the run but sends nothing yet, while the engine that
    leaves still generates. After 300 ms the old one is closed.
    """
    world, opened = start_with_backup()
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    world.state.attempts[standby.attempt].answered = True
    world.clock.advance(300)
    world.handle(Ticked())
    assert world.find(CloseAttempt).attempt == opened.attempt


def test_a_stream_without_any_copy_is_cut_and_never_looks_whole() -> None:
    world = EntryHarness()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 3)
    world.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert len(world.find_all(BreakStream)) == 1
    assert world.find_all(FinishStream) == []


def test_an_event_that_is_missing_cuts_the_stream() -> None:
    world = EntryHarness()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 3)
    world.send_pieces(opened.attempt, 5, 5)
    assert world.find_all(Deliver) == []
    assert len(world.find_all(BreakStream)) == 1


def test_events_may_be_numbered_from_zero() -> None:
    world = EntryHarness()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 0, 2)
    assert world.find(Deliver).data == b"id: 0\n\nid: 1\n\nid: 2\n\n"


def test_a_run_that_went_on_has_the_backup_of_its_new_engine() -> None:
    """The caller would lose its plan at the second engine that leaves.

    The old engine delivers an event while the holder takes the run over. The
    copy used up there stays noted, and hides the new engine's backup as it dies.
    """
    world, opened = start_with_backup()
    world.register("e-4")
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    world.send_pieces(opened.attempt, 11, 11)
    world.send_pieces(standby.attempt, 12, 20)
    assert standby.backup
    world.handle(AttemptLost(standby.attempt, Loss.BROKEN))
    assert world.find(OpenAttempt).target == standby.backup
