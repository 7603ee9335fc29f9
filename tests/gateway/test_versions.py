"""Tests of streams at targets of several software versions."""

from dataclasses import replace

import pytest

from figstep.gateway import peers
from figstep.gateway.effects import (
    Announce,
    BreakStream,
    Confirmation,
    CopyRun,
    OpenAttempt,
    Refuse,
)
from figstep.gateway.events import (
    AttemptLost,
    CallerGone,
    ConfigurationRead,
    Loss,
    PeerHeard,
    RunCopied,
    StreamConfirmed,
    TargetChecked,
    TargetDeparted,
    TargetRegistered,
    TargetRestarted,
    Ticked,
)
from figstep.gateway.newcomers import complete_message
from figstep.gateway.prompts import Prompt
from figstep.gateway.starts import START_RETENTION, StreamStart
from figstep.gateway.state import Origin
from figstep.gateway.targets import Incarnation, Registration
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    QUESTION,
    EntryHarness,
    build_copy,
    build_table,
)

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


def begin_stream(
    path: str = "/plan/a", moves: bool = True, confirmed: bool = True
) -> EntryHarness:
    """Return an entry whose first stream has begun at `FIRST`, registered as v1.

    ``confirmed`` tells whether that has stated its registered start.
    """
    harness = EntryHarness(moves=moves, confirmed=confirmed)
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
    harness = begin_stream("/question/a", confirmed=False)
    register(harness, "v1", "e-2")
    register(harness, "v2", FIRST, "e-3", born=2)
    lose_current(harness)
    assert not harness.find_effects(OpenAttempt)


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_stream_goes_on_after_its_target_restarted(version: str) -> None:
    """Guards against streams that are lost at each restart of a target."""
    harness = begin_stream("/question/a")
    register(harness, "v1", "e-2")
    register(harness, "v2", "e-3")
    register(harness, version, FIRST, born=2)
    lose_current(harness)
    holders = ("e-2",) if version == "v2" else (FIRST, "e-2")
    assert harness.find_effect(OpenAttempt).target in holders


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


def test_a_version_that_is_not_known_is_not_taken_from_another_entry() -> None:
    """Guards against a hop by an entry that has not been told of the stream yet."""
    harness = begin_stream("/question/a", confirmed=False)
    harness.handle(CallerGone(1))
    register(harness, "v1", "e-5")
    passed = {"digest": "digest-1", "resumes": "id-1", "after": 9, "version": "v1"}
    prompt = Prompt("m", 3_000, 2_000, 900)
    harness.receive_request("/question/a", prompt, relayed=True, **passed)
    assert harness.find_effect(Refuse).problem.code == "version_unknown"


def restart_first(harness: EntryHarness, born: int = 2) -> None:
    """Let `FIRST` report another start than the one it registered."""
    harness.handle(TargetRestarted(Incarnation(FIRST, 1), born))


def test_a_target_states_its_start_where_a_stream_begins_and_goes_on() -> None:
    """Guards against the version of a target that restarted before it registered."""
    harness = EntryHarness()
    register(harness, "v1", FIRST, "e-2", "e-3")
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 3)
    lose_current(harness)
    assert opened.confirm is Confirmation.VERSION
    assert harness.find_effect(OpenAttempt).confirm is Confirmation.STREAM


def test_the_holder_of_a_copy_states_its_start() -> None:
    """Guards against a copy at an engine that had restarted as another version."""
    harness = begin_stream()
    register(harness, "v1", "e-2")
    harness.handle(TargetDeparted(FIRST))
    order = harness.find_effect(CopyRun)
    harness.handle(RunCopied(order.number, build_copy(FIRST, "e-2")))
    opened = harness.find_effect(OpenAttempt)
    assert (opened.target, opened.confirm) == ("e-2", Confirmation.STREAM)


def test_calls_and_streams_that_go_on_nowhere_need_no_statement() -> None:
    """Guards against a query for each request of a plain service."""
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS)
    harness.receive_request("/lookup/a")
    assert harness.find_effect(OpenAttempt).confirm is Confirmation.NONE


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


@pytest.mark.parametrize("path", ["/question/a", "/plan/a"])
def test_a_stream_is_cut_off_that_a_restarted_target_may_have_begun(path: str) -> None:
    """Guards against joined versions where nobody stated which one began a stream."""
    harness = begin_stream(path, confirmed=False)
    register(harness, "v1", "e-5")
    harness.handle(TargetDeparted(FIRST))
    assert not harness.find_effects(CopyRun)
    lose_current(harness)
    assert not harness.find_effects(OpenAttempt)
    assert harness.find_effects(BreakStream)


@pytest.mark.parametrize("step", [-200_000, 1, 60_000])
def test_a_returning_caller_finds_no_version_that_is_uncertain(step: int) -> None:
    """Guards against a stream that is taken up, whatever clocks of targets say."""
    harness, other = begin_stream("/question/a", confirmed=False), EntryHarness()
    assert harness.find_effects(Announce)
    harness.handle(CallerGone(1))
    register(harness, "v2", FIRST, born=harness.clock.now() + step)
    (start,) = harness.state.starts.list_announced({}, harness.clock.now())
    other.handle(PeerHeard("entry-2", starts=(StreamStart(start.stream, "v1"),)))
    other.handle(PeerHeard("entry-2", starts=(start,)))
    for entry in (harness, other):
        register(entry, "v1", "e-5")
        take_up_first(entry)
        assert entry.find_effect(Refuse).problem.code == "version_unknown"


def take_up_first(entry: EntryHarness) -> None:
    """Let the caller of the first stream take it up."""
    prompt = Prompt("m", 3_000, 2_000, 900)
    taken_up = {"digest": "digest-1", "resumes": "id-1", "after": 9}
    entry.receive_request("/question/a", prompt, **taken_up)


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
def test_a_stream_whose_target_states_its_start_late_is_taken_up(
    versions: tuple[str, ...],
) -> None:
    """Guards against streams lost as a target answers a query late."""
    harness, other = begin_stream("/question/a", confirmed=False), EntryHarness()
    for entry in (harness, other):
        for version in versions:
            register(entry, version, f"e-{version}")
    other.handle(peers.describe_entry(harness.state, harness.clock.now()))
    (attempt,) = harness.state.attempts
    harness.handle(StreamConfirmed(attempt))
    assert harness.find_effects(Announce)
    other.handle(peers.describe_entry(harness.state, harness.clock.now()))
    harness.handle(CallerGone(1))
    for entry in (harness, other):
        take_up_first(entry)
        assert entry.find_effect(OpenAttempt).target in (FIRST, "e-v1")


def test_a_late_statement_does_not_change_the_version_of_a_stream() -> None:
    """Guards against the version of the target at which a stream goes on."""
    harness = begin_stream("/question/a")
    register(harness, "v1", "e-2")
    lose_current(harness)
    resumed = harness.find_effect(OpenAttempt)
    harness.handle(StreamConfirmed(resumed.attempt))
    (request,) = harness.state.requests.values()
    assert request.origin == Origin("v1")


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
def test_a_stream_of_a_target_without_a_start_goes_on_nowhere(
    versions: tuple[str, ...],
) -> None:
    """Guards against a guess where a target cannot state its start."""
    harness = EntryHarness(confirmed=False)
    for version in versions:
        register(harness, version, f"e-{version}", born=0)
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    opened = harness.find_effect(OpenAttempt)
    assert opened.confirm is Confirmation.RECORD
    harness.send_pieces(opened.attempt, 1, 9)
    assert harness.find_effects(Announce)
    harness.handle(CallerGone(1))
    take_up_first(harness)
    assert harness.find_effect(Refuse).problem.code == "version_unknown"


def test_a_target_that_states_an_earlier_start_has_restarted() -> None:
    """Guards against a restart that a clock set back hides."""
    harness = EntryHarness()
    register(harness, "v1", FIRST)
    restart_first(harness, born=-60_000)
    assert not harness.state.targets.list_ready(ENGINES)


def test_a_process_that_starts_is_told_what_versions_are_not_known() -> None:
    """Guards against the only version where the entry that began a stream restarts."""
    harness, other = begin_stream("/question/a", confirmed=False), EntryHarness()
    for entry in (harness, other):
        register(entry, "v1", "e-5")
    now = other.clock.now()
    other.handle(peers.describe_entry(harness.state, now))
    started = EntryHarness()
    register(started, "v1", FIRST, "e-5")
    message = peers.describe_entry(other.state, now)
    started.handle(complete_message(other.state, message, now))
    take_up_first(started)
    assert started.find_effect(Refuse).problem.code == "version_unknown"


def test_no_version_is_the_only_one_while_that_of_a_restarted_target_is_not_read() -> (
    None
):
    """Guards against a guess at an entry that nobody told of the stream."""
    harness = EntryHarness()
    register(harness, "v1", FIRST, "e-5")
    restart_first(harness)
    take_up_first(harness)
    assert harness.find_effect(Refuse).problem.code == "version_unknown"
    register(harness, "v1", FIRST, born=2)
    take_up_first(harness)
    assert harness.find_effects(OpenAttempt)


OTHER_ENGINES = "other-engines"
"""Service to which a later configuration moves a route."""


def move_questions(harness: EntryHarness, prefix: str = "/question/") -> None:
    """Let a configuration send questions, or some of them, to another service."""
    shares = ((OTHER_ENGINES, 1.0),)
    moved = replace(QUESTION, name="moved", prefix=prefix, shares=shares)
    routes = [moved] if prefix == QUESTION.prefix else [QUESTION, moved]
    table = build_table(2, routes)
    pool = table.services[ENGINES]
    services = {**table.services, OTHER_ENGINES: replace(pool, name=OTHER_ENGINES)}
    harness.handle(ConfigurationRead(replace(table, services=services)))


def register_other(harness: EntryHarness, version: str) -> None:
    """Register an engine of the service that a route is moved to."""
    info = Registration(
        "e-9", OTHER_ENGINES, "e-9:80", "muc-a", 64, born=1, version=version
    )
    harness.handle(TargetRegistered(info))


@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("prefix", ["/question/", "/question/a"])
def test_a_stream_of_a_moved_route_is_taken_up_at_its_version_only(
    prefix: str, version: str
) -> None:
    """Guards against a guess by the versions of a service that began no stream yet."""
    harness = EntryHarness()
    register(harness, "v1", FIRST)
    register_other(harness, version)
    move_questions(harness, prefix)
    take_up_first(harness)
    if version == "v1":
        assert harness.find_effect(OpenAttempt).target == "e-9"
    else:
        assert harness.find_effect(Refuse).problem.code == "version_unknown"


def test_a_stream_of_a_dropped_route_is_taken_up_at_its_version_only() -> None:
    """Guards against a guess as requests fall back to the service of a wider route."""
    harness = EntryHarness()
    move_questions(harness, "/question/a")
    register(harness, "v1", FIRST)
    register_other(harness, "v2")
    harness.handle(ConfigurationRead(build_table(3)))
    take_up_first(harness)
    assert harness.find_effect(Refuse).problem.code == "version_unknown"


def test_streams_that_begin_after_a_route_was_moved_are_taken_up() -> None:
    """Guards against streams lost at entries that were not told where they began."""
    harness, other = EntryHarness(), EntryHarness()
    for entry in (harness, other):
        register(entry, "v1", FIRST)
        register_other(entry, "v2")
        move_questions(entry)
    harness.receive_request("/question/a", Prompt("m", 3_000, 2_000, 900))
    harness.send_pieces(harness.find_effect(OpenAttempt).attempt, 1, 9)
    assert harness.find_effects(Announce)
    other.handle(peers.describe_entry(harness.state, harness.clock.now()))
    take_up_first(other)
    assert other.find_effect(OpenAttempt).target == "e-9"


def test_the_versions_of_the_service_before_are_forgotten_after_a_move() -> None:
    """Guards against streams refused for good after a route was moved."""
    harness = EntryHarness()
    register(harness, "v1", FIRST)
    register_other(harness, "v2")
    move_questions(harness)
    harness.clock.advance(START_RETENTION)
    harness.handle(Ticked())
    take_up_first(harness)
    assert harness.find_effect(OpenAttempt).target == "e-9"
