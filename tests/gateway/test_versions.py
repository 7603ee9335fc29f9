"""Tests of streams at targets of several software versions."""

import pytest

from figstep.gateway.effects import (
    BreakStream,
    CopyRun,
    OpenAttempt,
    ReadReport,
    Refuse,
)
from figstep.gateway.events import (
    AttemptLost,
    CallerGone,
    Loss,
    PeerHeard,
    RunCopied,
    TargetChecked,
    TargetDeparted,
    TargetRegistered,
    TargetRestarted,
    Ticked,
)
from figstep.gateway.origins import CLOCK_TOLERANCE
from figstep.gateway.prompts import Prompt
from figstep.gateway.starts import UNKNOWN_VERSION, StreamStart
from figstep.gateway.targets import Incarnation, Registration
from tests.gateway.worlds import ENGINES, EntryHarness, build_copy

FIRST = "e-1"
"""Engine at which the streams of most tests begin."""


def register(
    harness: EntryHarness, version: str, *names: str, born: int = 1, slots: int = 64
) -> None:
    """Register engines of a software version."""
    for name in names:
        info = Registration(
            name, ENGINES, f"{name}:80", "muc-a", slots, born=born, version=version
        )
        harness.handle(TargetRegistered(info))


def begin_stream(path: str = "/plan/a", moves: bool = True) -> EntryHarness:
    """Return an entry whose first stream has begun at `FIRST`, of version v1."""
    harness = EntryHarness(moves=moves)
    register(harness, "v1", FIRST)
    harness.receive_request(path, Prompt("m", 3_000, 2_000, 900))
    harness.send_pieces(harness.find_effect(OpenAttempt).attempt, 1, 9)
    return harness


def lose_current(harness: EntryHarness) -> None:
    """Break the only open attempt."""
    (attempt,) = harness.state.attempts
    harness.handle(AttemptLost(attempt, Loss.BROKEN))


def test_a_run_is_copied_to_its_own_version_only() -> None:
    """Guards against a stream that goes on at another version after a notice."""
    harness = begin_stream()
    register(harness, "v2", "e-2", "e-3", "e-4")
    register(harness, "v1", "e-5")
    harness.handle(TargetDeparted(FIRST))
    assert harness.find_effect(CopyRun).holder == "e-5"


def test_a_run_without_another_target_of_its_version_is_not_copied() -> None:
    """Guards against a copy at another version, from which nothing may go on."""
    harness = begin_stream()
    register(harness, "v2", "e-2", "e-3")
    harness.handle(TargetDeparted(FIRST))
    assert not harness.find_effects(CopyRun)
    for _ in range(20):
        harness.clock.advance(50)
        assert not [e for e in harness.handle(Ticked()) if isinstance(e, CopyRun)]


def test_a_copy_is_not_used_once_its_holder_has_another_version() -> None:
    """Guards against a holder that started again under its id with another version."""
    harness = begin_stream()
    register(harness, "v1", "e-2")
    harness.handle(TargetDeparted(FIRST))
    order = harness.find_effect(CopyRun)
    register(harness, "v2", "e-2", born=2)
    harness.handle(RunCopied(order.number, build_copy(FIRST, "e-2")))
    assert not harness.find_effects(OpenAttempt)


def test_a_running_backup_is_held_by_the_same_version() -> None:
    """Guards against a backup, named before the first event, at another version."""
    harness = EntryHarness(moves=False)
    register(harness, "v1", FIRST)
    register(harness, "v2", "e-2")
    for _ in range(4):
        opened = harness.open_plan()
        assert opened.backup == ""


@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.SILENT, Loss.GARBLED])
def test_a_resumable_stream_runs_anew_at_its_own_version_only(loss: Loss) -> None:
    """Guards against a stream that is resumed at another version after a loss."""
    harness = begin_stream("/question/a")
    register(harness, "v2", "e-2", "e-3", "e-4")
    register(harness, "v1", "e-5")
    (attempt,) = harness.state.attempts
    harness.handle(AttemptLost(attempt, loss))
    assert harness.find_effect(OpenAttempt).target == "e-5"


def test_a_resumable_stream_breaks_without_a_target_of_its_version() -> None:
    """Guards against a caller that waits for a version that no target serves."""
    harness = begin_stream("/question/a")
    register(harness, "v2", "e-2", "e-3")
    lose_current(harness)
    assert not harness.find_effects(OpenAttempt)
    assert harness.find_effect(BreakStream)


def test_a_stream_that_has_not_begun_may_run_at_any_version() -> None:
    """Guards against a caller refused although nothing was delivered yet."""
    harness = EntryHarness()
    register(harness, "v1", FIRST)
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    register(harness, "v2", "e-2")
    lose_current(harness)
    assert harness.find_effect(OpenAttempt).target == "e-2"


def test_a_stream_goes_nowhere_after_its_target_restarted_as_another_version() -> None:
    """Guards against a stream that a restarted target began as another version."""
    harness = begin_stream("/question/a")
    register(harness, "v1", "e-2")
    register(harness, "v2", FIRST, "e-3", born=2)
    lose_current(harness)
    assert not harness.find_effects(OpenAttempt)


def test_a_stream_goes_on_after_its_target_restarted_as_the_same_version() -> None:
    """Guards against streams that are lost at each restart of a target."""
    harness = begin_stream("/question/a")
    register(harness, "v1", "e-2")
    register(harness, "v2", "e-3")
    register(harness, "v1", FIRST, born=2)
    lose_current(harness)
    assert harness.find_effect(OpenAttempt).target in (FIRST, "e-2")


def cut_off(harness: EntryHarness, *names: str) -> None:
    """Let connections to three targets fail, beside another entry that has links."""
    harness.handle(PeerHeard("entry-2", relays=("peer:1",)))
    harness.clock.advance(10)
    opened = harness.clock.now()
    harness.reachable = False
    harness.clock.advance(500)
    for name in names:
        harness.handle(TargetChecked(name, opened, reached=False))


def test_a_stream_that_is_passed_on_keeps_its_version() -> None:
    """Guards against another entry that resumes a stream at any version."""
    harness = begin_stream("/question/a")
    register(harness, "v2", "e-2", "e-3", "e-4")
    cut_off(harness, "e-2", "e-3", "e-4")
    lose_current(harness)
    relay = harness.find_effect(OpenAttempt).relay
    assert relay is not None
    assert relay.version == "v1"


def test_an_entry_resumes_what_it_is_passed_at_the_version_that_began_it() -> None:
    """Guards against a hop that forgets the version, and a refusal that comes late."""
    prompt = Prompt("m", 3_000, 2_000, 900)
    harness = EntryHarness()
    register(harness, "v2", "e-2", "e-3")
    relayed = {"relayed": True, "after": 9, "version": "v1"}
    harness.receive_request("/question/a", prompt, **relayed)
    assert harness.find_effect(Refuse).problem.code == "version_gone"
    assert harness.find_effect(Refuse).problem.status == 503
    register(harness, "v1", "e-1")
    harness.receive_request("/question/a", prompt, **relayed)
    assert harness.find_effect(OpenAttempt).target == "e-1"


def test_a_version_that_was_forgotten_is_not_taken_from_another_entry() -> None:
    """Guards against a hop by an entry that has not heard of a restart yet."""
    harness = begin_stream("/question/a")
    harness.handle(CallerGone(1))
    restart_first(harness)
    register(harness, "v1", "e-5")
    passed = {"digest": "digest-1", "resumes": "id-1", "after": 9, "version": "v1"}
    prompt = Prompt("m", 3_000, 2_000, 900)
    harness.receive_request("/question/a", prompt, relayed=True, **passed)
    assert harness.find_effect(Refuse).problem.code == "version_unknown"


def restart_first(harness: EntryHarness, born: int = 2) -> None:
    """Let `FIRST` report another start than the one it registered."""
    harness.handle(TargetRestarted(Incarnation(FIRST, 1), born))


def test_only_a_stream_that_has_begun_is_confirmed_where_it_goes_on() -> None:
    """Guards against a restarted target, and against a query for each new stream."""
    harness = EntryHarness()
    register(harness, "v1", FIRST, "e-2", "e-3")
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 3)
    lose_current(harness)
    assert (opened.confirm, harness.find_effect(OpenAttempt).confirm) == (False, True)


def test_a_target_that_has_restarted_gets_nothing_until_it_registers() -> None:
    """Guards against a stream that is resumed again and again at such a target."""
    harness = EntryHarness()
    register(harness, "v1", FIRST)
    restart_first(harness, born=0)
    assert harness.state.targets.list_ready(ENGINES)
    restart_first(harness)
    register(harness, "v1", FIRST)
    assert not harness.state.targets.list_ready(ENGINES)
    assert harness.state.list_leaving(harness.clock.now()) == [Incarnation(FIRST, 1)]
    register(harness, "v2", FIRST, born=2)
    assert harness.state.targets.list_ready(ENGINES)


@pytest.mark.parametrize("event", [CallerGone(1), AttemptLost(1, Loss.BROKEN)])
def test_an_engine_is_asked_for_its_start_where_its_stream_may_go_on(
    event: CallerGone | AttemptLost,
) -> None:
    """Guards against a stream that goes on at a version which did not begin it."""
    harness = begin_stream("/question/a")
    harness.handle(event)
    assert harness.find_effect(ReadReport) == ReadReport(FIRST, start_only=True)


@pytest.mark.parametrize(("later", "is_cut"), [(0, True), (CLOCK_TOLERANCE + 1, False)])
def test_a_stream_is_cut_off_that_a_restarted_target_may_have_begun(
    later: int, is_cut: bool
) -> None:
    """Guards against joined versions, and against the loss of all streams there."""
    harness = begin_stream("/question/a")
    register(harness, "v1", "e-5")
    born = harness.clock.now() + later
    harness.clock.advance(CLOCK_TOLERANCE + 10)
    lose_current(harness)
    restart_first(harness, born)
    assert bool(harness.find_effects(BreakStream)) is is_cut


@pytest.mark.parametrize("is_reported", [True, False])
def test_a_returning_caller_finds_no_version_that_is_uncertain(
    is_reported: bool,
) -> None:
    """Guards against a stream that is taken up, here or at another entry."""
    harness, other = begin_stream("/question/a"), EntryHarness()
    harness.handle(CallerGone(1))
    if is_reported:
        restart_first(harness)
    else:
        register(harness, "v2", FIRST, born=2)
    (start,) = harness.state.starts.list_announced({}, harness.clock.now())
    other.handle(PeerHeard("entry-2", starts=(StreamStart(start.stream, "v1"),)))
    other.handle(PeerHeard("entry-2", starts=(start,)))
    for entry in (harness, other):
        register(entry, "v1", "e-5")
        prompt = Prompt("m", 3_000, 2_000, 900)
        taken_up = {"digest": "digest-1", "resumes": "id-1", "after": 9}
        entry.receive_request("/question/a", prompt, **taken_up)
        assert entry.find_effect(Refuse).problem.code == "version_unknown"


@pytest.mark.parametrize("step", [-200_000, 60_000])
def test_a_stream_is_cut_off_whatever_the_clock_of_its_restarted_target_says(
    step: int,
) -> None:
    """Guards against joined versions as a target starts again with its clock set."""
    harness = begin_stream("/question/a")
    register(harness, "v1", "e-5")
    harness.clock.advance(CLOCK_TOLERANCE + 10)
    lose_current(harness)
    restart_first(harness, harness.clock.now() + step)
    assert harness.find_effects(BreakStream)


@pytest.mark.parametrize("step", [-200_000, 60_000])
def test_a_returning_caller_finds_no_version_by_a_clock_that_was_set(step: int) -> None:
    """Guards against a stream taken up at the version of an earlier incarnation."""
    harness = begin_stream("/question/a")
    harness.handle(CallerGone(1))
    register(harness, "v2", FIRST, born=harness.clock.now() + step)
    (start,) = harness.state.starts.list_own()
    assert start.version == UNKNOWN_VERSION


def test_a_target_that_states_an_earlier_start_has_restarted() -> None:
    """Guards against a restart that a clock set back hides."""
    harness = EntryHarness()
    register(harness, "v1", FIRST)
    restart_first(harness, born=-60_000)
    assert not harness.state.targets.list_ready(ENGINES)
