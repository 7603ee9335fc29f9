"""Tests of versions and starts that are kept in the store."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.positions import Position
from figstep.gateway import peers
from figstep.gateway.effects import OpenAttempt, Refuse, WriteHistory
from figstep.gateway.events import (
    HistoryRead,
    HistoryWritten,
    PeerHeard,
    PositionRead,
    StoreLost,
    StreamConfirmed,
    TargetDeparted,
    TargetRegistered,
    TargetsListed,
    Ticked,
)
from figstep.gateway.history import WRITE_INTERVAL
from figstep.gateway.newcomers import complete_message
from figstep.gateway.prompts import Prompt
from figstep.gateway.reducer import DEPARTED_RETENTION
from figstep.gateway.starts import (
    START_RETENTION,
    UNKNOWN_VERSION,
    RecordedVersion,
    StreamStart,
    hash_stream,
)
from figstep.gateway.targets import Registration
from tests.gateway.worlds import ENGINES, EntryHarness

PROMPT = Prompt("m", 300, 200, 80)


def register(harness: EntryHarness, version: str, name: str) -> None:
    info = Registration(
        name, ENGINES, f"{name}:80", "muc-a", 64, born=1, version=version
    )
    harness.handle(TargetRegistered(info))
    harness.handle(PositionRead(Position(0, 1)))


def start_entry(*versions: str, first: bool = False) -> EntryHarness:
    """Return an entry that has just started, with one target of each version."""
    harness = EntryHarness()
    harness.state.history.read = False
    harness.state.budget.first_start = first
    harness.state.budget.started = harness.clock.now()
    for version in versions:
        register(harness, version, f"e-{version}")
    return harness


def take_up(harness: EntryHarness) -> str | None:
    """Take up a stream of which this process knows nothing; return its version."""
    harness.receive_request(
        "/question/a", PROMPT, after=3, resumes="id-before", digest="digest"
    )
    opened = harness.find_effects(OpenAttempt)
    if not opened:
        assert harness.find_effect(Refuse).problem.code in (
            "version_unknown",
            "version_gone",
        )
        return None
    return harness.state.targets.targets[opened[0].target].info.version


def tick(harness: EntryHarness, millis: int = WRITE_INTERVAL) -> list[WriteHistory]:
    harness.clock.advance(millis)
    harness.handle(Ticked())
    return harness.find_effects(WriteHistory)


def acknowledge(harness: EntryHarness, write: WriteHistory) -> None:
    harness.handle(HistoryWritten(write.versions, write.starts, True))


@pytest.mark.parametrize("first", [True, False])
def test_a_version_that_left_while_no_entry_lived_is_known(first: bool) -> None:
    """Guards against text of two versions on the word of outdated settings."""
    harness = start_entry("v2", first=first)
    harness.handle(HistoryRead((RecordedVersion(ENGINES, "v1"),), ()))
    assert take_up(harness) is None


@pytest.mark.parametrize("first", [True, False])
def test_a_stream_goes_on_at_the_only_version_that_there_was(first: bool) -> None:
    """Guards against streams refused after all entries were lost, without need."""
    harness = start_entry("v2", first=first)
    harness.handle(HistoryRead((RecordedVersion(ENGINES, "v2"),), ()))
    assert take_up(harness) == "v2"


def test_a_version_that_left_long_ago_refuses_no_stream() -> None:
    """Guards against streams refused for a version that no caller still waits for."""
    harness = start_entry("v2")
    left = RecordedVersion(ENGINES, "v1", age=START_RETENTION)
    harness.handle(HistoryRead((left, RecordedVersion(ENGINES, "v2")), ()))
    assert take_up(harness) == "v2"


@pytest.mark.parametrize("first", [True, False])
def test_settings_alone_do_not_show_past_versions(first: bool) -> None:
    """Guards against a guess before the store was read."""
    harness = start_entry("v2", first=first)
    assert take_up(harness) is None
    harness.handle(HistoryRead((), ()))
    assert take_up(harness) == ("v2" if first else None)


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_stream_goes_on_at_the_version_that_the_store_names(version: str) -> None:
    """Guards against a refused stream while its version still serves."""
    harness = start_entry("v1", "v2")
    versions = (RecordedVersion(ENGINES, "v1"), RecordedVersion(ENGINES, "v2"))
    start = StreamStart(hash_stream("id-before", "digest"), version)
    harness.handle(HistoryRead(versions, (start,)))
    assert take_up(harness) == version


def test_another_entry_tells_what_the_store_has_shown() -> None:
    """Guards against an entry that trusts one which has not read the store."""
    teller, started = start_entry("v2", first=True), start_entry("v2")
    teller.state.node = "entry-2"
    for expected in (None, "v2"):
        now = teller.clock.now()
        message = peers.describe_entry(teller.state, now)
        started.handle(complete_message(teller.state, message, now))
        assert take_up(started) == expected
        teller.handle(HistoryRead((RecordedVersion(ENGINES, "v2"),), ()))


def test_a_version_is_written_as_it_comes_and_as_it_leaves() -> None:
    """Guards against a version of which nothing is left once all entries are lost."""
    harness = start_entry("v1")
    (write,) = tick(harness)
    assert write == WriteHistory((RecordedVersion(ENGINES, "v1"),), ())
    acknowledge(harness, write)
    assert tick(harness) == []
    harness.handle(TargetDeparted("e-v1"))
    (write,) = tick(harness, DEPARTED_RETENTION)
    left = RecordedVersion(ENGINES, "v1", age=Millis(0))
    assert write.versions == (left,)
    acknowledge(harness, write)
    harness.clock.advance(START_RETENTION)
    register(harness, "v2", "e-v2")
    (write,) = tick(harness)
    expired = RecordedVersion(ENGINES, "v1", expired=True)
    assert write.versions == (RecordedVersion(ENGINES, "v2"), expired)


def test_a_write_without_an_answer_is_repeated() -> None:
    """Guards against versions that are lost with an answer of the store."""
    harness = start_entry("v1")
    (write,) = tick(harness)
    assert tick(harness) == []
    harness.handle(HistoryWritten(write.versions, write.starts, False))
    assert tick(harness) == [write]


def begin_question(harness: EntryHarness) -> StreamStart:
    """Begin a stream that can be taken up, and return its start."""
    number = harness.receive_request("/question/a", PROMPT)
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 2)
    spec = harness.state.requests[number].spec
    version = harness.state.targets.targets[opened.target].info.version
    return StreamStart(hash_stream(spec.id, spec.digest), version)


def test_starts_are_written_while_there_are_several_versions() -> None:
    """Guards against calls to the store for streams that need none."""
    harness = start_entry("v1")
    harness.handle(HistoryRead((RecordedVersion(ENGINES, "v1"),), ()))
    first = begin_question(harness)
    assert tick(harness) == []
    register(harness, "v2", "e-v2")
    second = begin_question(harness)
    (write,) = tick(harness)
    assert set(write.starts) == {first, second}
    acknowledge(harness, write)
    assert tick(harness) == []


def test_a_stream_without_a_known_version_is_written_while_there_is_one() -> None:
    """Guards against the only version where all entries are lost after a restart."""
    harness = start_entry("v1")
    harness.handle(HistoryRead((RecordedVersion(ENGINES, "v1"),), ()))
    harness.confirmed = False
    start = replace(begin_question(harness), version=UNKNOWN_VERSION)
    (write,) = tick(harness)
    assert write.starts == (start,)
    acknowledge(harness, write)
    (attempt,) = harness.state.attempts
    harness.handle(StreamConfirmed(attempt))
    (write,) = tick(harness)
    assert write.starts == (replace(start, version="v1"),)


def test_one_entry_writes_for_all() -> None:
    """Guards against calls to the store that grow with the number of entries."""
    writer, other = start_entry("v1", "v2"), start_entry("v1", "v2")
    other.state.node = "entry-2"
    start = begin_question(other)
    for harness, peer in ((writer, other), (other, writer)):
        harness.clock.advance(WRITE_INTERVAL)
        message = peers.describe_entry(peer.state, peer.clock.now())
        harness.handle(message)
    other.handle(Ticked())
    assert other.find_effects(WriteHistory) == []
    writer.handle(Ticked())
    assert start in writer.find_effect(WriteHistory).starts


def test_the_next_entry_writes_if_the_store_refuses_the_first() -> None:
    """Guards against a history that nobody writes while one entry is turned away."""
    harness = start_entry("v1")
    harness.handle(PeerHeard("entry-0", answered=True))
    harness.handle(Ticked())
    assert harness.find_effects(WriteHistory) == []
    harness.clock.advance(WRITE_INTERVAL)
    harness.handle(PeerHeard("entry-0", answered=False))
    harness.handle(Ticked())
    assert harness.find_effects(WriteHistory) != []
    refused = start_entry("v1")
    refused.handle(StoreLost())
    assert tick(refused) == []


def test_a_store_that_lost_the_history_gets_it_again() -> None:
    """Guards against a history that an older copy of the store does not have."""
    harness = start_entry("v1", "v2")
    start = begin_question(harness)
    (write,) = tick(harness)
    acknowledge(harness, write)
    assert tick(harness) == []
    infos = [target.info for target in harness.state.targets.targets.values()]
    harness.handle(TargetsListed(tuple(infos), Position(1, 1)))
    (again,) = tick(harness)
    assert (again.versions, again.starts) == (write.versions, (start,))
