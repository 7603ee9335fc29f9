"""Tests of streams: each event is delivered once and in order."""

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
    StreamOpened,
    Ticked,
)
from tests.gateway.worlds import EntryHarness, start_with_backup


def test_a_stream_begins_with_its_first_event_and_ends_whole() -> None:
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 10)
    assert harness.find_effect(BeginStream).attempt == opened.attempt
    harness.handle(StreamEnded(opened.attempt))
    assert harness.find_effect(FinishStream).number == opened.number
    assert harness.state.requests == {}
    assert all(t.memory == 0 for t in harness.state.targets.targets.values())


def test_a_plan_gets_a_running_backup_elsewhere() -> None:
    _, opened = start_with_backup()
    assert opened.backup
    assert opened.backup != opened.target


def test_a_stream_whose_engine_dies_resumes_from_its_backup() -> None:
    harness, opened = start_with_backup()
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = harness.find_effect(OpenAttempt)
    assert resumed.target == opened.backup
    harness.send_pieces(resumed.attempt, 11, 11)
    assert harness.find_effect(Deliver).data == b"id: 11\n\n"


def advance_time(
    harness: EntryHarness, millis: int, step: int = 30
) -> list[OpenAttempt]:
    """Advance the clock with a tick at each step; return the attempts opened."""
    opened = []
    for _ in range(millis // step):
        harness.clock.advance(step)
        harness.handle(Ticked())
        opened += harness.find_effects(OpenAttempt)
    return opened


def send_steadily(harness: EntryHarness, attempt: int, pause: int) -> None:
    """Deliver twenty events of a stream, one after each pause."""
    for index in range(11, 31):
        harness.clock.advance(pause)
        harness.handle(Ticked())
        harness.send_pieces(attempt, index, index)


def test_a_stalled_stream_resumes_from_its_backup_before_its_limit() -> None:
    """Guards against a stall of half a second because a run is preempted.

    The engine sends an event every 45 ms, then none. The attempt at the backup's holder
    is opened after 120 ms, which leaves 60 ms of the longest stall that the caller may
    see.
    """
    harness, opened = start_with_backup()
    harness.state.requests[1].longest_pause = Millis(0)
    send_steadily(harness, opened.attempt, 45)
    assert advance_time(harness, 90) == []
    assert [one.target for one in advance_time(harness, 30)] == [opened.backup]


def test_a_slow_stream_is_not_taken_for_a_stalled_one() -> None:
    harness, opened = start_with_backup()
    harness.state.requests[1].longest_pause = Millis(0)
    send_steadily(harness, opened.attempt, 110)
    assert advance_time(harness, 180) == []
    assert [one.target for one in advance_time(harness, 120)] == [opened.backup]


def test_a_stream_that_is_late_already_waits_longer() -> None:
    harness, opened = start_with_backup()
    assert harness.state.requests[1].longest_pause == 500
    send_steadily(harness, opened.attempt, 45)
    assert advance_time(harness, 390) == []
    assert [one.target for one in advance_time(harness, 30)] == [opened.backup]


def test_a_frozen_entry_reads_buffered_events_before_it_detects_stalls() -> None:
    """Guards against an entry that moves all of its streams at once.

    The process was frozen for two seconds. Its engines kept sending, and the events
    wait in its sockets.
    """
    harness, opened = start_with_backup()
    harness.state.requests[1].longest_pause = Millis(0)
    send_steadily(harness, opened.attempt, 45)
    harness.clock.advance(2_000)
    harness.handle(Ticked())
    assert harness.find_effects(OpenAttempt) == []
    harness.send_pieces(opened.attempt, 31, 70)
    assert advance_time(harness, 30) == []


def test_a_run_is_never_left_open_at_two_engines() -> None:
    """Guards against a run that continues at two engines that both send events.

    The holder accepts the run but sends nothing yet, while the leaving engine still
    generates. The old attempt is closed after 300 ms.
    """
    harness, opened = start_with_backup()
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    harness.state.attempts[standby.attempt].answered = True
    harness.clock.advance(300)
    harness.handle(Ticked())
    assert harness.find_effect(CloseAttempt).attempt == opened.attempt


def test_a_stream_without_any_copy_is_cut_and_never_looks_whole() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert len(harness.find_effects(BreakStream)) == 1
    assert harness.find_effects(FinishStream) == []


def test_an_event_that_is_missing_cuts_the_stream() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.send_pieces(opened.attempt, 5, 5)
    assert harness.find_effects(Deliver) == []
    assert len(harness.find_effects(BreakStream)) == 1


def test_events_may_be_numbered_from_zero() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 0, 2)
    assert harness.find_effect(Deliver).data == b"id: 0\n\nid: 1\n\nid: 2\n\n"


def test_a_resumed_run_has_the_backup_of_its_new_engine() -> None:
    """Guards against a plan lost at the second engine that leaves.

    The old engine delivers an event while the holder takes over the run. If the entry
    kept the copy used for that, it would not know the new engine's backup when that
    engine dies.
    """
    harness, opened = start_with_backup()
    harness.register("e-4")
    harness.depart(opened.target)
    standby = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 11, 11)
    harness.send_pieces(standby.attempt, 12, 20)
    assert standby.backup
    harness.handle(AttemptLost(standby.attempt, Loss.BROKEN))
    assert harness.find_effect(OpenAttempt).target == standby.backup


def test_a_standby_whose_engine_states_its_start_late_is_not_given_up() -> None:
    """Guards against a copy that is lost while its holder is asked for its start."""
    harness, opened = start_with_backup()
    for _ in range(5):
        harness.clock.advance(100)
        harness.handle(Ticked())
    (standby,) = set(harness.state.attempts) - {opened.attempt}
    harness.handle(StreamOpened(standby))
    closed = []
    for _ in range(8):
        harness.clock.advance(100)
        closed += [
            effect.attempt
            for effect in harness.handle(Ticked())
            if isinstance(effect, CloseAttempt)
        ]
    assert closed == [opened.attempt]
