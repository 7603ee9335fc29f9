"""Tests of evacuated failure domains."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figstep.core.clock import ManualClock, Millis
from figstep.core.positions import Position
from figstep.gateway import domains, peers
from figstep.gateway.effects import CopyRun, Note, OpenAttempt, ReadReport, Refuse
from figstep.gateway.events import (
    AttemptLost,
    ConfigurationRead,
    EvacuationsRead,
    Loss,
    PeerHeard,
    RunCopied,
    StoreLost,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.places import Evacuations
from figstep.gateway.targets import Registration
from figstep.net.hellos import Hello, decode_hello, encode_hello
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    EntryHarness,
    build_copy,
    build_fleet,
    build_table,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")


def evacuate(harness: EntryHarness, *domains: str, position: int = 5) -> None:
    """Let an entry read from the store which failure domains are evacuated."""
    harness.handle(
        EvacuationsRead(Evacuations(frozenset(domains), Position(1, position)))
    )


def register(
    harness: EntryHarness, name: str, domain: str, service: str = ENGINES
) -> None:
    """Register a target of a failure domain."""
    info = Registration(name, service, f"{name}:80", domain, 24, born=1)
    harness.handle(TargetRegistered(info))


def build_harness() -> EntryHarness:
    """Return an entry with two engines and two plain targets in two domains."""
    harness = EntryHarness()
    for domain in DOMAINS[:2]:
        register(harness, f"e-{domain}", domain)
        register(harness, f"b-{domain}", domain, BOOKINGS)
    return harness


@pytest.mark.parametrize("path", ["/order/a", "/lookup/a"])
def test_calls_avoid_an_evacuated_domain(path: str) -> None:
    """Guards against calls sent to targets of an evacuated failure domain."""
    harness = build_harness()
    evacuate(harness, "muc-a")
    for _ in range(8):
        harness.receive_request(path)
        assert harness.find_effect(OpenAttempt).target == "b-muc-b"


def test_prompts_avoid_an_evacuated_domain() -> None:
    """Guards against prompts sent to engines of an evacuated failure domain."""
    harness = build_harness()
    evacuate(harness, "muc-a")
    for _ in range(2):
        assert harness.open_plan().target == "e-muc-b"


def test_a_target_that_comes_back_into_an_evacuated_domain_gets_nothing() -> None:
    """Guards against new registrations that bypass their domain's evacuation."""
    harness = build_harness()
    evacuate(harness, "muc-a")
    register(harness, "b-new", "muc-a", BOOKINGS)
    for _ in range(8):
        harness.receive_request("/order/a")
        assert harness.find_effect(OpenAttempt).target == "b-muc-b"


def test_retries_avoid_an_evacuated_domain() -> None:
    """Guards against retries sent to a failure domain evacuated since the first try."""
    harness = build_harness()
    register(harness, "b-3", "nue-a", BOOKINGS)
    evacuate(harness, "muc-a")
    harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    assert {first.target, harness.find_effect(OpenAttempt).target} == {"b-muc-b", "b-3"}


def test_a_call_is_refused_at_once_where_all_is_evacuated() -> None:
    """Guards against callers held until their deadline without any usable target."""
    harness = build_harness()
    evacuate(harness, "muc-a", "muc-b")
    harness.receive_request("/order/a")
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.code) == (503, "evacuated")
    assert problem.retry_after is not None


def test_a_waiting_prompt_is_refused_once_all_is_evacuated() -> None:
    """Guards against queued callers that are kept although no target is left."""
    harness = EntryHarness()
    register(harness, "e-1", "muc-a")
    for _ in range(9):
        harness.receive_plan()
    assert harness.state.queue
    evacuate(harness, "muc-a")
    harness.handle(Ticked())
    assert {refuse.problem.code for refuse in harness.find_effects(Refuse)} == {
        "evacuated"
    }
    assert not harness.state.queue


def test_runs_end_where_they_are_and_get_no_copy_there() -> None:
    """Guards against orders and copies sent to engines of an evacuated domain."""
    harness = EntryHarness()
    register(harness, "e-1", "muc-a")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    register(harness, "e-2", "muc-b")
    evacuate(harness, "muc-a")
    for _ in range(20):
        harness.clock.advance(100)
        harness.handle(Ticked())
        assert not harness.find_effects(CopyRun)
    harness.send_pieces(opened.attempt, 10, 12)
    assert harness.state.requests[opened.number].delivered == 12


def test_a_copy_in_an_evacuated_domain_counts_as_none() -> None:
    """Guards against a stream resumed from a copy at an evacuated engine."""
    harness = EntryHarness()
    register(harness, "e-1", "muc-a")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    register(harness, "e-2", "muc-b")
    harness.handle(RunCopied(opened.number, build_copy("e-1", "e-2")))
    evacuate(harness, "muc-b")
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert not harness.find_effects(OpenAttempt)


def test_evacuated_engines_are_not_queried() -> None:
    """Guards against queries to engines of an evacuated domain in an outage."""
    harness = EntryHarness()
    register(harness, "e-1", "muc-a")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    harness.handle(StoreLost())
    evacuate(harness, "muc-a")
    harness.clock.advance(1_000)
    harness.handle(Ticked())
    assert not harness.find_effects(ReadReport)


def test_a_domain_gets_work_at_once_when_its_evacuation_ends() -> None:
    """Guards against a failure domain that stays unused after its evacuation ended."""
    harness = build_harness()
    evacuate(harness, "muc-a", position=5)
    evacuate(harness, position=6)
    targets = set()
    for _ in range(20):
        harness.receive_request("/order/a")
        targets.add(harness.find_effect(OpenAttempt).target)
    assert targets == {"b-muc-a", "b-muc-b"}


def test_an_older_record_does_not_restore_an_evacuation() -> None:
    """Guards against a late message that overrides a newer record of the store."""
    harness = build_harness()
    evacuate(harness, "muc-a", position=5)
    evacuate(harness, position=9)
    records = Evacuations(frozenset({"muc-a"}), Position(1, 5))
    harness.handle(PeerHeard("entry-2", evacuations=records))
    assert not harness.state.evacuations.domains
    assert not harness.state.targets.targets["e-muc-a"].evacuated


def test_a_configuration_leaves_an_evacuation_in_force() -> None:
    """Guards against configuration versions that end an evacuation."""
    harness = build_harness()
    evacuate(harness, "muc-a")
    harness.handle(ConfigurationRead(build_table(version=2)))
    assert harness.open_plan().target == "e-muc-b"


def test_a_message_carries_evacuations() -> None:
    """Guards against peers that learn the position but not the evacuated domains."""
    records = Evacuations(frozenset({"muc-a", "nue-a"}), Position(1, 17))
    data = encode_hello(Hello(PeerHeard("entry-1", evacuations=records)))
    assert decode_hello(data, "10.0.0.1:7000").content.evacuations == records


def test_several_domains_are_evacuated_one_by_one() -> None:
    """Guards against a second evacuation that ends the first."""
    harness = build_harness()
    evacuate(harness, "nue-a", position=5)
    evacuate(harness, "nue-a", "muc-a", position=6)
    assert harness.open_plan().target == "e-muc-b"
    evacuate(harness, "muc-a", position=7)
    assert harness.state.evacuations.domains == {"muc-a"}


def test_an_unknown_domain_evacuates_nothing() -> None:
    """Guards against a record with a misspelled domain that stops all work."""
    harness = build_harness()
    evacuate(harness, "moon")
    assert {harness.open_plan().target, harness.open_plan().target} == {
        "e-muc-a",
        "e-muc-b",
    }


def test_a_repeated_evacuation_is_logged_once() -> None:
    """Guards against a log line for each message that repeats an evacuation."""
    harness = build_harness()
    evacuate(harness, "muc-a", position=5)
    assert harness.find_effect(Note).message == "failure domain evacuated"
    evacuate(harness, "muc-a", position=6)
    assert not harness.find_effects(Note)


@given(
    st.lists(
        st.tuples(st.integers(0, 20), st.frozensets(st.sampled_from(DOMAINS))),
        max_size=12,
    )
)
def test_the_newest_evacuation_applies_in_any_order(
    records: list[tuple[int, frozenset[str]]],
) -> None:
    """Guards against late, repeated and reordered evacuation records."""
    harness = build_harness()
    newest = Evacuations()
    for position, evacuated in records:
        record = Evacuations(evacuated, Position(1, position))
        if record.position > newest.position:
            newest = record
        harness.handle(PeerHeard("entry-2", evacuations=record))
        assert harness.state.evacuations == newest
        for target in harness.state.targets.targets.values():
            assert target.evacuated == (target.info.failure_domain in newest.domains)


@dataclass
class Fleet:
    """Entries that send each other their state over a lossy network.

    Attributes:
        entries: The entries, assigned to the failure domains in turn.
        clock: Clock that all entries share.
        rng: Source of the losses and delays of messages.
        pending: Messages under way: arrival time, receiver and message.
    """

    entries: list[EntryHarness]
    clock: ManualClock
    rng: random.Random
    pending: list[tuple[Millis, EntryHarness, PeerHeard]] = field(default_factory=list)

    def step(self, millis: int) -> None:
        """Advance the clock, deliver due messages and send each entry's messages."""
        self.clock.advance(millis)
        now = self.clock.now()
        due = [item for item in self.pending if item[0] <= now]
        self.pending = [item for item in self.pending if item[0] > now]
        for _, harness, message in due:
            harness.handle(message)
        for harness in self.entries:
            self._send_messages(harness, now)

    def _send_messages(self, harness: EntryHarness, now: Millis) -> None:
        own = peers.describe_entry(harness.state, now)
        domain = domains.describe_domain(harness.state, now)
        represents_domain = domains.is_domain_representative(harness.state, now)
        for other in self.entries:
            if other is harness or self.rng.random() < 0.1:
                continue
            is_local = other.state.failure_domain == harness.state.failure_domain
            if not is_local and not represents_domain:
                continue
            delay = Millis(self.rng.randrange(1, 200))
            self.pending.append(
                (Millis(now + delay), other, own if is_local else domain)
            )


def build_lossy_fleet(size: int, seed: int) -> Fleet:
    """Return a fleet in which each entry knows one target per failure domain."""
    entries = build_fleet(size, DOMAINS)
    for harness in entries:
        for domain in DOMAINS:
            register(harness, f"b-{domain}", domain, BOOKINGS)
    return Fleet(entries, entries[0].clock, random.Random(seed))


@pytest.mark.parametrize("size", [8, 79, 200])
@pytest.mark.parametrize("seed", [1, 2])
def test_entries_that_the_store_turns_away_learn_of_an_evacuation(
    size: int, seed: int
) -> None:
    """Guards against entries without the store that send to an evacuated domain."""
    fleet = build_lossy_fleet(size, seed)
    fleet.step(200)
    readers = fleet.entries[: max(1, size // 10)]
    for harness in readers:
        evacuate(harness, "muc-b", position=7)
    for _ in range(10):
        fleet.step(200)
    for harness in fleet.entries:
        harness.receive_request("/order/a")
        assert harness.find_effect(OpenAttempt).target != "b-muc-b"
    restarted = build_lossy_fleet(size, seed).entries[0]
    fleet.entries[-1] = restarted
    restarted.clock = fleet.clock
    for harness in readers:
        evacuate(harness, position=9)
    for _ in range(10):
        fleet.step(200)
    for harness in fleet.entries:
        assert harness.state.evacuations == Evacuations(frozenset(), Position(1, 9))
