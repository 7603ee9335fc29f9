"""Tests of streams: delivery in order, and going on at another engine."""

from figstep.gateway.effects import (
    BeginStream,
    BreakStream,
    CloseAttempt,
    CopyRun,
    Deliver,
    DropCopy,
    FinishStream,
    OpenAttempt,
    ReadReport,
    RunCopy,
)
from figstep.gateway.events import (
    AttemptLost,
    EngineReported,
    Loss,
    RunCopied,
    RunNotCopied,
    StoreLost,
    StreamEnded,
    Ticked,
)
from tests.gateway.worlds import World


def start_with_backup() -> tuple[World, OpenAttempt]:
    world = World()
    world.register("e-1", "e-2", "e-3")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 10)
    return world, opened


def test_a_stream_begins_with_its_first_event_and_ends_whole() -> None:
    world, opened = start_with_backup()
    assert world.find(BeginStream).attempt == opened.attempt
    world.handle(StreamEnded(opened.attempt))
    assert world.find(FinishStream).number == opened.number
    assert world.state.requests == {}
    assert all(t.memory == 0 for t in world.state.targets.targets.values())


def test_a_plan_gets_a_running_backup_elsewhere() -> None:
    _, opened = start_with_backup()
    assert opened.backup
    assert opened.backup != opened.target


def test_a_stream_goes_on_from_its_backup_when_its_engine_leaves() -> None:
    """The caller would lose its plan in mid-answer.

    The engine's registration vanishes; it is gone in 1.5 seconds. The backup's
    holder is opened beside it, and it is closed only once the holder delivers.
    What both send is delivered once.
    """
    world, opened = start_with_backup()
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    assert standby.target == opened.backup
    assert standby.source == RunCopy(opened.backup, opened.backup, "id-1")
    assert standby.after == 10
    world.send_pieces(opened.attempt, 11, 12)
    assert world.find(Deliver).data.endswith(b"id: 12\n\n")
    world.send_pieces(standby.attempt, 11, 14)
    assert world.find(CloseAttempt).attempt == opened.attempt
    assert world.find(Deliver).data == b"id: 13\n\nid: 14\n\n"


def test_a_backup_that_is_refused_leaves_the_run_where_it_is() -> None:
    world, opened = start_with_backup()
    world.depart(opened.target)
    standby = world.find(OpenAttempt)
    world.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert world.find_all(BreakStream) == []
    world.send_pieces(opened.attempt, 11, 11)
    assert world.find(Deliver).data == b"id: 11\n\n"
    world.handle(Ticked())
    assert world.find(CopyRun).source == opened.target


def test_a_run_without_a_backup_is_copied_in_the_notice() -> None:
    world, opened = start_with_backup()
    assert opened.backup
    world.depart(opened.backup)
    world.depart(opened.target)
    order = world.find(CopyRun)
    assert order.holder not in (opened.target, opened.backup)
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    standby = world.find(OpenAttempt)
    assert standby.source == RunCopy(order.holder, opened.target, "h-1")


def test_a_copy_that_fails_is_tried_at_another_engine() -> None:
    world = World()
    world.register("e-1", "e-2", "e-3", "e-4")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 10)
    world.depart(opened.backup)
    world.depart(opened.target)
    first = world.find(CopyRun)
    world.handle(RunNotCopied(1, first.source, first.holder, "answered 503"))
    second = world.find(CopyRun)
    assert second.holder != first.holder


def test_a_copy_of_a_run_that_ended_meanwhile_is_freed() -> None:
    world, opened = start_with_backup()
    world.depart(opened.backup)
    world.depart(opened.target)
    order = world.find(CopyRun)
    world.handle(StreamEnded(opened.attempt))
    world.handle(RunCopied(1, order.source, order.holder, "h-1"))
    assert world.find(DropCopy).copy.handle == "h-1"
    assert all(t.memory == 0 for t in world.state.targets.targets.values())


def test_a_stream_whose_engine_dies_goes_on_from_its_backup() -> None:
    world, opened = start_with_backup()
    world.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = world.find(OpenAttempt)
    assert resumed.target == opened.backup
    world.send_pieces(resumed.attempt, 11, 11)
    assert world.find(Deliver).data == b"id: 11\n\n"


def test_a_stream_that_stalls_goes_on_from_its_backup() -> None:
    world, opened = start_with_backup()
    world.clock.advance(400)
    world.handle(Ticked())
    assert world.find(OpenAttempt).target == opened.backup


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
    world = World()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 3)
    world.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert len(world.find_all(BreakStream)) == 1
    assert world.find_all(FinishStream) == []


def test_an_event_that_is_missing_cuts_the_stream() -> None:
    world = World()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 3)
    world.send_pieces(opened.attempt, 5, 5)
    assert world.find_all(Deliver) == []
    assert len(world.find_all(BreakStream)) == 1


def test_events_may_be_numbered_from_zero() -> None:
    world = World()
    world.register("e-1")
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 0, 2)
    assert world.find(Deliver).data == b"id: 0\n\nid: 1\n\nid: 2\n\n"


def test_a_run_goes_on_once_its_holder_has_read_its_prompts() -> None:
    """The caller would see a pause of a third of a second.

    A slow engine takes three times as long for each event while it reads a
    prompt. The run's own engine still generates for a second and a half, so
    the change-over waits until the holder has read all, but not for long.
    """
    world, opened = start_with_backup()
    holder = world.state.targets.find(opened.backup)
    assert holder is not None
    holder.peer_reading = 3_000
    world.depart(opened.target)
    assert world.find_all(OpenAttempt) == []
    world.clock.advance(100)
    holder.peer_reading = 0
    world.handle(Ticked())
    assert world.find(OpenAttempt).target == opened.backup


def test_a_run_does_not_wait_for_its_holder_until_its_engine_is_gone() -> None:
    world, opened = start_with_backup()
    holder = world.state.targets.find(opened.backup)
    assert holder is not None
    holder.peer_reading = 3_000
    world.depart(opened.target)
    for _ in range(8):
        world.send_pieces(opened.attempt, 11, 11)
        world.clock.advance(100)
        world.state.requests[1].delivered_at = world.clock.now()
    world.handle(Ticked())
    assert world.find(OpenAttempt).target == opened.backup


def test_while_the_store_is_away_engines_are_asked_whether_they_leave() -> None:
    """Streams would be lost with engines whose notice nobody could read.

    The store is away; an engine is reclaimed. Its registration can't tell, but
    it says so itself, and its stream goes on from the backup.
    """
    world, opened = start_with_backup()
    world.handle(Ticked())
    assert world.find_all(ReadReport) == []
    world.handle(StoreLost())
    world.handle(Ticked())
    assert world.find(ReadReport).target == opened.target
    world.handle(EngineReported(opened.target, leaving=False))
    assert world.effects == []
    world.handle(Ticked())
    assert world.find_all(ReadReport) == []
    world.handle(EngineReported(opened.target, leaving=True))
    assert world.find(OpenAttempt).target == opened.backup
