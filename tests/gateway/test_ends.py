"""Tests of streams whose end their target leaves open."""

import pytest

from figstep.core.clock import Millis
from figstep.gateway.copies import BACKUP_ARRIVAL_DELAY
from figstep.gateway.effects import (
    BreakStream,
    CopyRun,
    Deliver,
    FinishStream,
    OpenAttempt,
    StopRun,
)
from figstep.gateway.ends import QUESTION_TIMEOUT
from figstep.gateway.events import (
    AttemptLost,
    Loss,
    PiecesArrived,
    RunCopied,
    StreamClosed,
    StreamEnded,
    StreamOpened,
    StreamPiece,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import Registration
from tests.gateway.worlds import (
    ENGINES,
    EntryHarness,
    build_copy,
    start_with_backup,
)


def ask_for_rest() -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry that asks the holder of a backup for a stream's rest."""
    harness, opened = start_with_backup()
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    asked = harness.find_effect(OpenAttempt)
    assert (asked.target, asked.after) == (opened.backup, 10)
    return harness, asked


def test_events_of_the_holder_go_on_to_the_caller() -> None:
    """Guards against a part of a stream that ends as the whole."""
    harness, asked = ask_for_rest()
    harness.send_pieces(asked.attempt, 11, 12)
    harness.handle(StreamEnded(asked.attempt))
    assert harness.find_effects(FinishStream)


def test_a_continuation_without_an_event_states_the_end() -> None:
    """Guards against whole streams that are cut off."""
    harness, asked = ask_for_rest()
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True))
    assert harness.find_effects(FinishStream)


def test_a_continuation_that_nobody_asked_about_the_end_states_none() -> None:
    """Guards against the empty answer of a holder after a crash that seems the end."""
    harness, opened = start_with_backup()
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = harness.find_effect(OpenAttempt)
    harness.handle(StreamEnded(resumed.attempt, confirmed=False, empty=True))
    assert not harness.find_effects(FinishStream)
    assert harness.find_effects(BreakStream)


def start_standby() -> tuple[EntryHarness, OpenAttempt, OpenAttempt]:
    """Return an entry whose stream stalled, with its two attempts."""
    harness, opened = start_with_backup()
    standby: list[OpenAttempt] = []
    while not standby:
        harness.clock.advance(30)
        harness.handle(Ticked())
        standby = harness.find_effects(OpenAttempt)
    return harness, opened, standby[0]


def test_an_empty_standby_leaves_the_stream_that_goes_on_again() -> None:
    """Guards against a standby that closes at once and ends a living stream."""
    harness, opened, standby = start_standby()
    harness.send_pieces(opened.attempt, 11, 14)
    harness.handle(StreamEnded(standby.attempt, confirmed=False, empty=True))
    assert not harness.find_effects(FinishStream)
    harness.send_pieces(opened.attempt, 15, 15)
    assert harness.find_effects(Deliver)


def test_a_standby_that_closes_after_repeated_events_states_no_end() -> None:
    """Guards against repeats that count as a continuation without events."""
    harness, opened, standby = start_standby()
    harness.send_pieces(opened.attempt, 11, 14)
    harness.send_pieces(standby.attempt, 11, 12)
    harness.handle(StreamEnded(standby.attempt, confirmed=False))
    assert not harness.find_effects(FinishStream)


def test_a_stream_whose_target_is_asked_if_it_lives_has_not_stalled() -> None:
    """Guards against whole streams whose backup is tried while that is asked."""
    harness, opened = start_with_backup()
    harness.handle(StreamClosed(opened.attempt))
    for _ in range(20):
        harness.clock.advance(30)
        harness.handle(Ticked())
        assert not harness.find_effects(OpenAttempt)


def test_a_backup_that_is_gone_as_its_standby_asks_states_the_end() -> None:
    """Guards against whole streams that are cut off as they end in a switch."""
    harness, opened, standby = start_standby()
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    harness.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    assert harness.find_effects(FinishStream)


def test_a_stalled_entry_reads_waiting_answers_before_it_gives_up() -> None:
    """Guards against questions that are all given up as the process wakes."""
    harness, asked = ask_for_rest()
    harness.handle(Ticked())
    harness.clock.advance(5 * QUESTION_TIMEOUT)
    harness.handle(Ticked())
    assert not harness.find_effects(BreakStream)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True))
    assert harness.find_effects(FinishStream)


@pytest.mark.parametrize(
    ("loss", "retry_after", "ends"),
    [
        (Loss.REFUSED, None, True),
        (Loss.REFUSED, Millis(100), False),
        (Loss.UNREACHED, None, False),
        (Loss.BROKEN, None, False),
    ],
)
def test_only_a_backup_that_is_gone_states_the_end(
    loss: Loss, retry_after: Millis | None, ends: bool
) -> None:
    """Guards against a holder that is full or lost and seems to confirm the end."""
    harness, asked = ask_for_rest()
    harness.handle(AttemptLost(asked.attempt, loss, retry_after))
    assert bool(harness.find_effects(FinishStream)) is ends
    assert bool(harness.find_effects(BreakStream)) is not ends


def test_a_backup_that_may_not_have_arrived_states_nothing() -> None:
    """Guards against a short stream whose missing backup seems to confirm the end."""
    harness = EntryHarness(moves=False)
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.clock.advance(BACKUP_ARRIVAL_DELAY - 1)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    asked = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(asked.attempt, Loss.REFUSED))
    assert harness.find_effects(BreakStream)


def test_a_question_without_an_answer_breaks_the_stream_in_time() -> None:
    """Guards against callers who wait for a silent holder until they leave."""
    harness, _asked = ask_for_rest()
    for _ in range(QUESTION_TIMEOUT // 100):
        assert harness.state.requests
        harness.clock.advance(100)
        harness.handle(Ticked())
    assert harness.find_effects(BreakStream)
    assert not harness.state.requests


def test_a_run_that_its_engine_may_go_on_with_is_stopped() -> None:
    """Guards against a run at two engines after the first one closed its stream."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    holder = "e-2" if opened.target == "e-1" else "e-1"
    request = harness.state.requests[opened.number]
    request.copying = True
    harness.handle(RunCopied(opened.number, build_copy(opened.target, holder)))
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert harness.find_effect(OpenAttempt).target == holder
    assert harness.find_effect(StopRun).target.target == opened.target


def test_a_stream_that_may_be_resumed_is_asked_for_at_its_target() -> None:
    """Guards against a run at more targets than the route allows."""
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3")
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    asked = harness.find_effect(OpenAttempt)
    assert (asked.target, asked.after) == (opened.target, 3)


def test_the_close_of_the_only_engine_ends_its_stream() -> None:
    """Guards against a loss of all streams where nobody could be asked."""
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert harness.find_effects(FinishStream)


def test_an_engine_of_another_version_leaves_the_close_unconfirmed() -> None:
    """Guards against a part that counts as whole as its version has one engine."""
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    info = Registration("e-2", ENGINES, "e-2:80", "muc-a", 64, born=1, version="v2")
    harness.handle(TargetRegistered(info))
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert harness.find_effects(BreakStream)


def test_a_short_stream_without_a_length_is_copied_early() -> None:
    """Guards against a short stream for which there is nobody to ask at its end."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.receive_plan(output=20)
    opened = harness.find_effect(OpenAttempt)
    harness.handle(StreamOpened(opened.attempt, delimited=False))
    piece = StreamPiece(1, b"id: 1\n\n")
    harness.handle(PiecesArrived(opened.attempt, [piece]))
    assert harness.find_effect(CopyRun).source == opened.target
