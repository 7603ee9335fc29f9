"""Tests of streams that callers take up again while targets have several versions."""

import pytest

from figstep.core.clock import Millis
from figstep.gateway import domains, peers
from figstep.gateway.effects import Announce, Note, OpenAttempt, Refuse
from figstep.gateway.events import (
    AttemptLost,
    Loss,
    TargetDeparted,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.newcomers import complete_message
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import Registration
from tests.gateway.worlds import ENGINES, EntryHarness, build_fleet, exchange_messages

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
PROMPT = Prompt("m", 3_000, 2_000, 900)
DIGEST = "digest-of-the-question"


def register(harness: EntryHarness, version: str, *names: str, slots: int = 64) -> None:
    """Register engines of a software version."""
    for name in names:
        info = Registration(
            name, ENGINES, f"{name}:80", "muc-a", slots, born=1, version=version
        )
        harness.handle(TargetRegistered(info))


def begin_question(harness: EntryHarness, digest: str = DIGEST) -> str:
    """Begin a stream, and return the id of the caller's attempt."""
    number = harness.receive_request("/question/a", PROMPT, digest=digest)
    harness.send_pieces(harness.find_effect(OpenAttempt).attempt, 1, 2)
    return f"id-{number}"


def take_up(harness: EntryHarness, resumes: str, digest: str = DIGEST) -> None:
    """Let a caller take up a stream of which it has two events."""
    harness.receive_request(
        "/question/a", PROMPT, digest=digest, after=2, resumes=resumes
    )


def build_mixed_fleet(size: int) -> list[EntryHarness]:
    """Return entries that know two engines of each of two versions."""
    fleet = build_fleet(size, DOMAINS)
    for number, harness in enumerate(fleet):
        harness.next_number = 1_000 * number + 1
        register(harness, "v1", "e-1", "e-2")
        register(harness, "v2", "e-3", "e-4")
    exchange_messages(fleet)
    return fleet


def find_version(harness: EntryHarness, name: str) -> str:
    """Return the software version of a target."""
    return harness.state.targets.targets[name].info.version


@pytest.mark.parametrize("size", [2, 8, 74])
def test_any_entry_takes_a_stream_up_at_its_version(size: int) -> None:
    """Guards against a stream that goes on at another version, or that is refused."""
    fleet = build_mixed_fleet(size)
    resumes = begin_question(fleet[0])
    (attempt,) = fleet[0].state.attempts.values()
    assert fleet[0].find_effects(Announce)
    exchange_messages(fleet)
    exchange_messages(fleet)
    for harness in fleet[1:]:
        take_up(harness, resumes)
        opened = harness.find_effect(OpenAttempt)
        assert find_version(harness, opened.target) == attempt.target.info.version


def test_an_unknown_stream_is_refused_at_once_while_versions_differ() -> None:
    """Guards against a guess that joins events of two versions."""
    harness = build_mixed_fleet(2)[1]
    take_up(harness, "id-unknown")
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.code) == (503, "version_unknown")
    assert problem.retry_after is not None


@pytest.mark.parametrize(
    ("resumes", "digest"), [("id-1", "another body"), ("id-9", DIGEST)]
)
def test_a_stream_of_another_request_is_not_found(resumes: str, digest: str) -> None:
    """Guards against a try that names the attempt of another customer."""
    fleet = build_mixed_fleet(2)
    assert begin_question(fleet[0]) == "id-1"
    exchange_messages(fleet)
    take_up(fleet[1], resumes, digest)
    assert fleet[1].find_effect(Refuse).problem.code == "version_unknown"


def test_a_stream_of_a_version_that_is_gone_is_refused_at_once() -> None:
    """Guards against a caller that waits for a version that no target serves."""
    harness = EntryHarness()
    register(harness, "v1", "e-1")
    resumes = begin_question(harness)
    register(harness, "v2", "e-2", "e-3")
    harness.handle(TargetDeparted("e-1"))
    take_up(harness, resumes)
    assert harness.find_effect(Refuse).problem.code == "version_gone"


def test_streams_are_taken_up_without_a_message_while_there_is_one_version() -> None:
    """Guards against callers refused in the usual state, and against its messages."""
    fleet = build_fleet(2, DOMAINS[:1])
    for harness in fleet:
        register(harness, "v1", "e-1", "e-2")
    resumes = begin_question(fleet[0])
    assert not fleet[0].find_effects(Announce)
    now = fleet[0].clock.now()
    assert not peers.describe_entry(fleet[0].state, now).starts
    take_up(fleet[1], resumes)
    assert fleet[1].find_effect(OpenAttempt)


def test_streams_from_before_a_second_version_are_known_after_it_appears() -> None:
    """Guards against streams lost as a release begins."""
    fleet = build_fleet(8, DOMAINS[:2])
    for harness in fleet:
        register(harness, "v1", "e-1", "e-2")
    resumes = begin_question(fleet[0])
    fleet[0].clock.advance(20_000)
    for harness in fleet:
        register(harness, "v2", "e-3", "e-4")
    exchange_messages(fleet)
    take_up(fleet[5], resumes)
    opened = fleet[5].find_effect(OpenAttempt)
    assert find_version(fleet[5], opened.target) == "v1"


def test_a_version_that_left_is_remembered_while_callers_may_return() -> None:
    """Guards against a stream that goes on at the new version after a release."""
    harness = EntryHarness()
    register(harness, "v1", "e-1")
    register(harness, "v2", "e-2")
    harness.handle(TargetDeparted("e-1"))
    for _ in range(80):
        harness.clock.advance(500)
        harness.handle(Ticked())
    assert harness.state.targets.find("e-1") is None
    take_up(harness, "id-from-before")
    assert harness.find_effect(Refuse).problem.code == "version_unknown"
    for _ in range(240):
        harness.clock.advance(500)
        harness.handle(Ticked())
    take_up(harness, "id-from-before")
    assert harness.find_effect(OpenAttempt).target == "e-2"


def restart(harness: EntryHarness) -> EntryHarness:
    """Return an entry whose process has just been replaced."""
    started = EntryHarness(clock=harness.clock)
    started.state.budget.first_start = False
    started.state.budget.started = harness.clock.now()
    started.state.node = "entry-restarted"
    return started


def test_a_new_process_knows_of_versions_only_what_it_is_told() -> None:
    """Guards against a restarted entry that takes the only version for the first."""
    known = EntryHarness()
    register(known, "v2", "e-2")
    started = restart(known)
    register(started, "v2", "e-2")
    take_up(started, "id-from-before")
    assert started.find_effect(Refuse).problem.code == "version_unknown"
    now = known.clock.now()
    message = peers.describe_entry(known.state, now)
    started.handle(complete_message(known.state, message, now))
    take_up(started, "id-from-before")
    assert started.find_effect(OpenAttempt).target == "e-2"


def test_a_new_process_is_told_the_streams_of_the_others() -> None:
    """Guards against a restarted entry that refuses every stream of a release."""
    known = build_mixed_fleet(1)[0]
    resumes = begin_question(known)
    known.clock.advance(10_000)
    started = restart(known)
    register(started, "v1", "e-1", "e-2")
    register(started, "v2", "e-3", "e-4")
    now = known.clock.now()
    message = peers.describe_entry(known.state, now)
    started.handle(complete_message(known.state, message, now))
    take_up(started, resumes)
    assert started.find_effect(OpenAttempt)


def test_processes_that_all_restarted_tell_each_other_their_streams() -> None:
    """Guards against streams refused for as long as nobody knows past versions."""
    first = restart(EntryHarness())
    second = restart(first)
    first.state.node = "entry-1"
    for harness in (first, second):
        register(harness, "v1", "e-1", "e-2")
    resumes = begin_question(first)
    exchange_messages([first, second])
    take_up(second, resumes)
    assert second.find_effect(OpenAttempt)


def test_a_chain_of_tries_names_the_first_attempt() -> None:
    """Guards against a second try that begins at any version."""
    fleet = build_mixed_fleet(3)
    resumes = begin_question(fleet[0])
    (first,) = fleet[0].state.attempts.values()
    exchange_messages(fleet)
    take_up(fleet[1], resumes)
    opened = fleet[1].find_effect(OpenAttempt)
    fleet[1].send_pieces(opened.attempt, 3, 4)
    fleet[1].handle(AttemptLost(opened.attempt, Loss.BROKEN))
    take_up(fleet[2], resumes)
    last = fleet[2].find_effect(OpenAttempt)
    assert find_version(fleet[2], last.target) == first.target.info.version


def test_a_try_that_waits_for_its_version_delays_no_other() -> None:
    """Guards against a queue that stands still while another version has room."""
    harness = EntryHarness()
    register(harness, "v1", "e-1", slots=1)
    resumes = begin_question(harness)
    take_up(harness, resumes)
    waiting = harness.next_number - 1
    assert harness.state.requests[waiting].queued
    other = harness.receive_request("/question/b", PROMPT)
    assert harness.state.requests[other].queued
    register(harness, "v2", "e-2")
    harness.clock.advance(50)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).number == other


def test_a_domain_tells_the_starts_of_all_its_entries() -> None:
    """Guards against other failure domains that know only some of the streams."""
    fleet = build_mixed_fleet(74)
    begin_question(fleet[4])
    exchange_messages(fleet)
    now = Millis(fleet[0].clock.now())
    assert len(domains.describe_domain(fleet[0].state, now).starts) == 1


def test_each_take_up_is_logged_with_what_its_version_rests_on() -> None:
    """Guards against joined text whose log does not tell a guess from a known start."""
    fleet = build_mixed_fleet(2)
    resumes = begin_question(fleet[0])
    exchange_messages(fleet)
    known = {}
    for harness, first in ((fleet[0], resumes), (fleet[1], resumes), (fleet[1], "?")):
        take_up(harness, first)
        (note,) = [
            note
            for note in harness.find_effects(Note)
            if note.message == "stream taken up"
        ]
        fields = dict(note.fields)
        assert fields["view_ms"] is not None
        known[harness.state.node, first] = (fields["known"], fields["version"])
    assert known["entry-000", resumes][0] == "begun here"
    assert known["entry-001", resumes][0] == "told by an entry"
    assert known["entry-001", "?"] == ("not known", None)


@pytest.mark.parametrize("size", [2, 8])
@pytest.mark.parametrize("seconds", [2, 5])
def test_entries_that_hear_each_other_again_tell_what_they_have_begun(
    size: int, seconds: int
) -> None:
    """Guards against streams refused for as long as callers wait after a short cut."""
    fleet = build_mixed_fleet(size)
    resumes = begin_question(fleet[0])
    for _ in range(2 * seconds):
        fleet[0].clock.advance(500)
        for harness in fleet:
            harness.handle(Ticked())
        exchange_messages(fleet[:-1])
    for _ in range(2):
        exchange_messages(fleet)
    take_up(fleet[-1], resumes)
    assert fleet[-1].find_effect(OpenAttempt)
