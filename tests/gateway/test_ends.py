"""Tests of streams whose end their target leaves open."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.gateway import culprits
from figstep.gateway.copies import BACKUP_ARRIVAL_DELAY
from figstep.gateway.effects import (
    BreakStream,
    CopyRun,
    Deliver,
    FinishStream,
    OpenAttempt,
    StopRun,
)
from figstep.gateway.ends import MAX_LOST_QUESTIONS, QUESTION_TIMEOUT
from figstep.gateway.events import (
    AttemptLost,
    ConfigurationRead,
    Loss,
    PeerHeard,
    PiecesArrived,
    RunCopied,
    RunNotCopied,
    StreamClosed,
    StreamEnded,
    StreamPiece,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import EnginePool, Service
from figstep.gateway.targets import CloseCount, Registration, ServiceCloses
from tests.gateway.worlds import (
    ENGINES,
    QUESTION,
    EntryHarness,
    build_copy,
    build_table,
    start_with_backup,
)

EACH_BELIEF = pytest.mark.parametrize("believed", [True, False])
"""Whether the closes of engines are believed, or were often early."""


def set_belief(harness: EntryHarness, believed: bool) -> None:
    """Let all closes of engines that were checked have been early, or none."""
    count = CloseCount(checked=1, early=0 if believed else 1)
    harness.state.closes[ENGINES] = ServiceCloses(count)


def check_settled(harness: EntryHarness, believed: bool) -> None:
    """Check that a close that nothing states or contradicts counts if believed."""
    assert bool(harness.find_effects(FinishStream)) is believed
    assert bool(harness.find_effects(BreakStream)) is not believed


def ask_for_rest(believed: bool = False) -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry that asks the holder of a backup for a stream's rest."""
    harness, opened = start_with_backup()
    set_belief(harness, believed)
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


def test_a_delimited_continuation_without_an_event_states_the_end() -> None:
    """Guards against whole streams that are cut off."""
    harness, asked = ask_for_rest()
    harness.handle(StreamEnded(asked.attempt, confirmed=True, empty=True))
    assert harness.find_effects(FinishStream)
    assert not harness.find_effects(BreakStream)


@EACH_BELIEF
def test_a_second_close_states_no_end(believed: bool) -> None:
    """Guards against two early closes taken for the end, or a loss of whole streams."""
    harness, asked = ask_for_rest(believed)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True))
    check_settled(harness, believed)


def test_a_close_after_some_of_the_rest_states_no_end() -> None:
    """Guards against a continuation that is closed too, and taken for whole."""
    harness, asked = ask_for_rest()
    harness.send_pieces(asked.attempt, 11, 12)
    harness.handle(StreamEnded(asked.attempt, confirmed=False))
    assert not harness.find_effects(FinishStream)


def test_a_continuation_of_repeated_events_only_states_no_end() -> None:
    """Guards against repeats for which one target is asked again without end."""
    harness, opened = open_question()
    asked = harness.find_effect(OpenAttempt)
    for _ in range(3):
        harness.send_pieces(asked.attempt, 1, 3)
        harness.handle(StreamEnded(asked.attempt, confirmed=False))
        assert not harness.find_effects(FinishStream)
        found = harness.find_effects(OpenAttempt)
        if not found:
            break
        asked = found[0]
    assert harness.find_effects(BreakStream)
    assert asked.target != opened.target


def test_a_continuation_that_nobody_asked_about_the_end_states_none() -> None:
    """Guards against the empty answer of a holder after a crash that seems the end."""
    harness, opened = start_with_backup()
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = harness.find_effect(OpenAttempt)
    harness.handle(StreamEnded(resumed.attempt, confirmed=False, empty=True))
    assert not harness.find_effects(FinishStream)
    assert harness.find_effects(BreakStream)


def start_standby(
    believed: bool = False,
) -> tuple[EntryHarness, OpenAttempt, OpenAttempt]:
    """Return an entry whose stream stalled, with its two attempts."""
    harness, opened = start_with_backup()
    set_belief(harness, believed)
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


def test_a_standby_that_states_the_end_completes_the_stream() -> None:
    """Guards against whole streams that are cut off as they end in a switch."""
    harness, opened, standby = start_standby()
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert not harness.find_effects(BreakStream)
    harness.handle(StreamEnded(standby.attempt, confirmed=True, empty=True))
    assert harness.find_effects(FinishStream)


@EACH_BELIEF
def test_a_backup_that_is_gone_as_its_standby_asks_states_nothing(
    believed: bool,
) -> None:
    """Guards against a part that ends as the whole in a switch."""
    harness, opened, standby = start_standby(believed)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    harness.handle(AttemptLost(standby.attempt, Loss.REFUSED))
    check_settled(harness, believed)


def test_a_stalled_entry_reads_waiting_answers_before_it_gives_up() -> None:
    """Guards against questions that are all given up as the process wakes."""
    harness, asked = ask_for_rest()
    harness.handle(Ticked())
    harness.clock.advance(5 * QUESTION_TIMEOUT)
    harness.handle(Ticked())
    assert not harness.find_effects(BreakStream)
    harness.handle(StreamEnded(asked.attempt, confirmed=True, empty=True))
    assert harness.find_effects(FinishStream)


@EACH_BELIEF
@pytest.mark.parametrize("retry_after", [None, Millis(100)])
@pytest.mark.parametrize("loss", list(Loss))
def test_a_lost_question_states_nothing(
    loss: Loss, retry_after: Millis | None, believed: bool
) -> None:
    """Guards against a holder without the copy that seems to confirm the end."""
    harness, asked = ask_for_rest(believed)
    lose_questions(harness, asked, loss, retry_after)
    check_settled(harness, believed)


def lose_questions(
    harness: EntryHarness,
    asked: OpenAttempt,
    loss: Loss,
    retry_after: Millis | None = None,
) -> list[str]:
    """Lose a question and those that follow; return the targets that were asked."""
    names = []
    found = [asked]
    while found:
        names.append(found[0].target)
        assert len(names) <= 1 + MAX_LOST_QUESTIONS
        harness.handle(AttemptLost(found[0].attempt, loss, retry_after))
        found = harness.find_effects(OpenAttempt)
    return names


def test_a_holder_that_was_not_reached_is_asked_again() -> None:
    """Guards against whole streams lost for one connection that was not opened."""
    harness, asked = ask_for_rest()
    harness.handle(AttemptLost(asked.attempt, Loss.UNREACHED))
    again = harness.find_effect(OpenAttempt)
    assert (again.target, again.source) == (asked.target, asked.source)
    harness.handle(StreamEnded(again.attempt, confirmed=True, empty=True))
    assert harness.find_effects(FinishStream)


@EACH_BELIEF
@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.REFUSED])
def test_questions_whose_answers_are_lost_end_soon(loss: Loss, believed: bool) -> None:
    """Guards against one target after another asked without end."""
    harness, _opened = open_question(attempts=2, believed=believed)
    asked = harness.find_effect(OpenAttempt)
    names = lose_questions(harness, asked, loss)
    assert len(names) > 1
    assert set(names) == {"e-1", "e-2"} if loss is Loss.REFUSED else {asked.target}
    check_settled(harness, believed)


def test_no_lost_question_is_asked_again_once_the_time_has_passed() -> None:
    """Guards against callers who wait for one lost answer after another."""
    harness, _opened = open_question()
    asked = harness.find_effect(OpenAttempt)
    harness.clock.advance(QUESTION_TIMEOUT)
    harness.handle(AttemptLost(asked.attempt, Loss.BROKEN))
    assert not harness.find_effects(OpenAttempt)
    assert harness.find_effects(BreakStream)


@EACH_BELIEF
def test_a_backup_that_may_not_have_arrived_states_nothing(believed: bool) -> None:
    """Guards against a short stream whose missing backup seems to confirm the end."""
    harness = EntryHarness(moves=False)
    set_belief(harness, believed)
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.clock.advance(BACKUP_ARRIVAL_DELAY - 1)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    asked = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(asked.attempt, Loss.REFUSED))
    check_settled(harness, believed)


@EACH_BELIEF
def test_a_question_without_an_answer_ends_the_stream_in_time(believed: bool) -> None:
    """Guards against callers who wait for a silent holder until they leave."""
    harness, _asked = ask_for_rest(believed)
    for _ in range(QUESTION_TIMEOUT // 100):
        assert harness.state.requests
        harness.clock.advance(100)
        harness.handle(Ticked())
    check_settled(harness, believed)
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


def open_question(
    *more: str, attempts: int = 2, believed: bool = False
) -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry whose resumable stream was closed, with its first attempt."""
    harness = EntryHarness()
    set_belief(harness, believed)
    route = replace(QUESTION, attempts=attempts)
    harness.handle(ConfigurationRead(build_table(2, [route])))
    harness.register("e-1", "e-2", *more)
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    return harness, opened


def test_a_stream_that_may_be_resumed_is_asked_for_at_another_target() -> None:
    """Guards against a question to a target that leaves each end open."""
    harness, opened = open_question()
    asked = harness.find_effect(OpenAttempt)
    assert asked.target != opened.target
    assert asked.after == 3
    harness.handle(StreamEnded(asked.attempt, confirmed=True, empty=True))
    assert harness.find_effects(FinishStream)


@EACH_BELIEF
def test_a_question_goes_to_no_more_targets_than_the_route_allows(
    believed: bool,
) -> None:
    """Guards against a run at more targets than the route allows."""
    harness, opened = open_question("e-3", attempts=1, believed=believed)
    asked = harness.find_effect(OpenAttempt)
    assert (asked.target, asked.after) == (opened.target, 3)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True))
    check_settled(harness, believed)


@pytest.mark.parametrize("loss", [None, Loss.BROKEN, Loss.REFUSED])
def test_the_next_target_is_asked_within_the_time_of_the_first_question(
    loss: Loss | None,
) -> None:
    """Guards against whole streams cut off beside targets that could state the end."""
    harness, opened = open_question("e-3", attempts=3)
    first = harness.find_effect(OpenAttempt)
    harness.clock.advance(QUESTION_TIMEOUT - 200)
    harness.handle(Ticked())
    if loss is None:
        harness.handle(StreamEnded(first.attempt, confirmed=False, empty=True))
    else:
        harness.handle(AttemptLost(first.attempt, loss))
    second = harness.find_effect(OpenAttempt)
    assert len({opened.target, first.target, second.target}) == 3
    harness.clock.advance(100)
    harness.handle(Ticked())
    assert harness.state.requests
    harness.clock.advance(100)
    harness.handle(Ticked())
    assert harness.find_effects(BreakStream)


def test_no_further_target_is_asked_once_the_time_has_passed() -> None:
    """Guards against callers who wait for one target after another."""
    harness, _opened = open_question("e-3", attempts=3)
    asked = harness.find_effect(OpenAttempt)
    harness.clock.advance(QUESTION_TIMEOUT)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True))
    assert not harness.find_effects(OpenAttempt)
    assert harness.find_effects(BreakStream)


def test_targets_that_leave_their_streams_open_ended_are_asked_last() -> None:
    """Guards against questions to targets whose close would state nothing."""
    for _ in range(8):
        harness = EntryHarness()
        harness.register("e-1", "e-2", "e-3", "e-4")
        for target in harness.state.targets.targets.values():
            target.open_ended = target.name != "e-4"
        harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
        opened = harness.find_effect(OpenAttempt)
        harness.open_stream(opened.attempt, delimited=False)
        piece = StreamPiece(1, b"id: 1\n\n")
        harness.handle(PiecesArrived(opened.attempt, [piece]))
        harness.handle(StreamEnded(opened.attempt, confirmed=False))
        asked = harness.find_effect(OpenAttempt)
        assert (asked.target == "e-4") is (opened.target != "e-4")


def test_a_copy_goes_to_an_engine_that_does_not_leave_its_streams_open_ended() -> None:
    """Guards against a holder whose close would state nothing."""
    harness = EntryHarness()
    harness.register("e-1")
    opened = harness.open_plan()
    harness.register("e-2", "e-3", "e-4")
    for name in ("e-2", "e-3"):
        target = harness.state.targets.find(name)
        assert target is not None
        target.open_ended = True
    harness.open_stream(opened.attempt, delimited=False)
    piece = StreamPiece(1, b"id: 1\n\n")
    harness.handle(PiecesArrived(opened.attempt, [piece]))
    assert harness.find_effect(CopyRun).holder == "e-4"


def test_a_target_is_known_by_the_framing_of_its_last_stream() -> None:
    """Guards against a target that is asked although it leaves each end open."""
    harness = EntryHarness()
    harness.register("e-1")
    target = harness.state.targets.find("e-1")
    assert target is not None
    for delimited in (False, True):
        opened = harness.open_plan()
        harness.open_stream(opened.attempt, delimited)
        assert target.open_ended is not delimited


@EACH_BELIEF
@pytest.mark.parametrize("others", [(), ("e-2",)])
def test_the_close_of_a_stream_that_engines_could_copy_states_no_end(
    others: tuple[str, ...], believed: bool
) -> None:
    """Guards against a part that counts as whole as no other engine is ready."""
    harness = EntryHarness()
    set_belief(harness, believed)
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.register(*others)
    for name in others:
        harness.depart(name)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    check_settled(harness, believed)


def test_the_close_ends_a_stream_that_nobody_could_ever_go_on_with() -> None:
    """Guards against a loss of all streams where nobody can ever be asked."""
    harness = EntryHarness()
    table = build_table(2)
    pool = EnginePool(64, 34_000, event_tokens=4)
    table.services[ENGINES] = Service(ENGINES, engine=pool)
    harness.handle(ConfigurationRead(table))
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert harness.find_effects(FinishStream)


@EACH_BELIEF
def test_an_engine_of_another_version_leaves_the_close_unconfirmed(
    believed: bool,
) -> None:
    """Guards against a part that counts as whole as its version has one engine."""
    harness = EntryHarness()
    set_belief(harness, believed)
    harness.register("e-1")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    info = Registration("e-2", ENGINES, "e-2:80", "muc-a", 64, born=1, version="v2")
    harness.handle(TargetRegistered(info))
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    check_settled(harness, believed)


def test_a_short_stream_without_a_length_is_copied_early() -> None:
    """Guards against a short stream for which there is nobody to ask at its end."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.receive_plan(output=20)
    opened = harness.find_effect(OpenAttempt)
    harness.open_stream(opened.attempt, delimited=False)
    piece = StreamPiece(1, b"id: 1\n\n")
    harness.handle(PiecesArrived(opened.attempt, [piece]))
    assert harness.find_effect(CopyRun).source == opened.target


def close_while_copying(
    believed: bool = False,
) -> tuple[EntryHarness, OpenAttempt, CopyRun]:
    """Return an entry whose stream was closed as its copy was being made."""
    harness = EntryHarness()
    set_belief(harness, believed)
    harness.register("e-1", "e-2")
    harness.receive_plan(output=20)
    opened = harness.find_effect(OpenAttempt)
    harness.open_stream(opened.attempt, delimited=False)
    piece = StreamPiece(1, b"id: 1\n\n")
    harness.handle(PiecesArrived(opened.attempt, [piece]))
    ordered = harness.find_effect(CopyRun)
    harness.handle(StreamClosed(opened.attempt))
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert harness.actions == []
    return harness, opened, ordered


@pytest.mark.parametrize("confirmed", [True, False])
def test_a_copy_that_is_being_made_is_asked_for_the_end(confirmed: bool) -> None:
    """Guards against short whole streams that are cut off beside their copy."""
    harness, opened, ordered = close_while_copying()
    copy = build_copy(opened.target, ordered.holder)
    harness.handle(RunCopied(opened.number, copy))
    asked = harness.find_effect(OpenAttempt)
    assert (asked.target, asked.after) == (ordered.holder, 1)
    harness.handle(StreamEnded(asked.attempt, confirmed=confirmed, empty=True))
    assert bool(harness.find_effects(FinishStream)) is confirmed
    assert bool(harness.find_effects(BreakStream)) is not confirmed


@EACH_BELIEF
def test_a_copy_that_fails_states_no_end(believed: bool) -> None:
    """Guards against callers who wait for a holder that has no copy."""
    harness, opened, ordered = close_while_copying(believed)
    harness.handle(RunNotCopied(opened.number, opened.target, ordered.holder, "full"))
    check_settled(harness, believed)
    assert not harness.state.requests


@EACH_BELIEF
def test_the_time_of_a_question_includes_that_of_the_copy(believed: bool) -> None:
    """Guards against callers who wait for a copy, and then for its holder."""
    harness, opened, ordered = close_while_copying(believed)
    for _ in range(QUESTION_TIMEOUT // 100 - 1):
        harness.clock.advance(100)
        harness.handle(Ticked())
        assert harness.state.requests
    harness.handle(RunCopied(opened.number, build_copy(opened.target, ordered.holder)))
    assert harness.find_effects(OpenAttempt)
    harness.clock.advance(100)
    harness.handle(Ticked())
    check_settled(harness, believed)


@EACH_BELIEF
def test_a_copy_that_is_not_made_in_time_ends_the_stream(believed: bool) -> None:
    """Guards against callers who wait for a copy until they leave."""
    harness, opened, ordered = close_while_copying(believed)
    for _ in range(QUESTION_TIMEOUT // 100):
        harness.clock.advance(100)
        harness.handle(Ticked())
    check_settled(harness, believed)
    assert not harness.state.requests
    harness.handle(RunCopied(opened.number, build_copy(opened.target, ordered.holder)))
    assert not harness.find_effects(OpenAttempt)


@EACH_BELIEF
@pytest.mark.parametrize("engine", [None, EnginePool(64, 34_000, event_tokens=4)])
def test_a_configuration_that_takes_copies_away_does_not_end_a_stream(
    engine: EnginePool | None, believed: bool
) -> None:
    """Guards against a close that a change of the settings turns into the end."""
    harness = EntryHarness()
    set_belief(harness, believed)
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 3)
    table = build_table(2)
    services = {**table.services, ENGINES: Service(ENGINES, engine=engine)}
    harness.handle(ConfigurationRead(replace(table, services=services)))
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    check_settled(harness, believed)


def test_an_empty_close_of_one_that_was_asked_states_nothing_beside_others() -> None:
    """Guards against two early closes as the end beside a third target to ask."""
    harness, opened = open_question("e-3", attempts=3, believed=True)
    first = harness.find_effect(OpenAttempt)
    harness.handle(StreamEnded(first.attempt, confirmed=False, empty=True))
    assert not harness.find_effects(FinishStream)
    second = harness.find_effect(OpenAttempt)
    assert len({opened.target, first.target, second.target}) == 3
    harness.handle(StreamEnded(second.attempt, confirmed=True, empty=True))
    assert harness.find_effects(FinishStream)


def test_a_continuation_that_is_cut_before_its_first_event_shows_no_good_close() -> (
    None
):
    """Guards against early closes that make up for others, as no one stated an end."""
    harness, opened = open_question()
    asked = harness.find_effect(OpenAttempt)
    closed = harness.state.targets.find(opened.target)
    assert closed is not None
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True, kept=0))
    assert closed.closes.checked == 0


@pytest.mark.parametrize("lists_none", [False, True])
def test_an_empty_continuation_whose_list_is_lost_shows_no_good_close(
    lists_none: bool,
) -> None:
    """Guards against an engine whose early closes count as good, as lists are lost."""
    harness, opened = open_question()
    asked = harness.find_effect(OpenAttempt)
    harness.state.attempts[asked.attempt].keeps_run = True
    target = harness.state.targets.find(opened.target)
    assert target is not None
    event = StreamEnded(asked.attempt, False, empty=True, lists_none=lists_none)
    harness.handle(event)
    assert target.closes.checked == lists_none


def test_a_question_that_another_entry_loses_is_recovered_as_passed_on() -> None:
    """Guards against an entry taken for a target whose loss is recorded and stopped."""
    harness, _opened = open_question(attempts=3)
    asked = harness.find_effect(OpenAttempt)
    harness.handle(PeerHeard("entry-2", relays=("peer:1",)))
    harness.state.find_reach(ENGINES).cut_off_since = harness.clock.now()
    harness.handle(AttemptLost(asked.attempt, Loss.BROKEN))
    relayed = harness.find_effect(OpenAttempt)
    assert relayed.relay is not None
    harness.handle(AttemptLost(relayed.attempt, Loss.UNREACHED))
    assert "peer:1" in harness.state.avoided_relays


def test_a_lost_question_goes_to_no_target_that_has_only_refused() -> None:
    """Guards against a run at more targets than the route allows."""
    harness, opened = open_question("e-3", attempts=2)
    refused = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(refused.attempt, Loss.REFUSED))
    asked = harness.find_effect(OpenAttempt)
    assert len({opened.target, refused.target, asked.target}) == 3
    harness.depart(asked.target)
    harness.depart(opened.target)
    harness.handle(AttemptLost(asked.attempt, Loss.BROKEN))
    assert not harness.find_effects(OpenAttempt)


@EACH_BELIEF
def test_a_lost_question_does_not_wait_without_end(
    believed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against whole streams whose callers leave while nobody is asked."""
    harness, _opened = open_question("e-3", attempts=3, believed=believed)
    asked = harness.find_effect(OpenAttempt)
    monkeypatch.setattr(culprits, "must_wait", lambda *_args: True)
    harness.handle(AttemptLost(asked.attempt, Loss.BROKEN))
    ended = list(harness.effects)
    for _ in range(QUESTION_TIMEOUT // 100):
        harness.clock.advance(100)
        ended += harness.handle(Ticked())
    assert not harness.state.requests
    assert any(isinstance(one, FinishStream) for one in ended) is believed
