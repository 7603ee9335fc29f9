"""Tests of callers that return to an entry that knows only one version of a service."""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.positions import Position
from figstep.gateway import peers
from figstep.gateway.effects import (
    AcceptUnconfirmed,
    Confirmation,
    OpenAttempt,
    Refuse,
)
from figstep.gateway.events import (
    ConfigurationRead,
    EntriesCounted,
    PositionRead,
    StreamUnconfirmed,
    TargetDeparted,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.newcomers import complete_message
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import Registration
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    QUESTION,
    EntryHarness,
    RecordStore,
    build_fleet,
    build_table,
    exchange_messages,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
PROMPT = Prompt("m", 3_000, 2_000, 900)
DIGEST = "digest-of-the-question"
SIZES = pytest.mark.parametrize("size", [2, 8, 74])
FIRST_STARTS = pytest.mark.parametrize("first", [False, True])
NAMED = pytest.mark.parametrize("named", [True, False])


class ReleasedFleet:
    """Entries of a service with one version, of which an engine gets another.

    Attributes:
        entries: All entries; the first one begins the stream, the last one takes it up.
        store: Store of all entries.
        resumes: Id of the attempt that began the stream; "" if it was not begun.
        begun: Software version that began it.
        born: Start that engines register; 0 if they state none.
        table: Configuration that processes read as they start.
    """

    def __init__(
        self, size: int, first: bool, takes_writes: bool = True, born: int = 1
    ) -> None:
        """Start the entries, and let engines of v1 register."""
        self.first = first
        self.born = born
        self.store = RecordStore(takes_writes=takes_writes)
        self.entries = build_fleet(size, DOMAINS)
        self.clock = self.entries[0].clock
        self.resumes = self.begun = ""
        self.table = build_table()
        for number, harness in enumerate(self.entries):
            harness.next_number = 1_000 * number + 1
            self._start(harness, first=True)
        self.register(self.entries, "v1", "e-1", "e-2")
        self.pass_time(self.entries, 3_000)
        # The next write is due in a second.
        self.clock.advance(600)
        for harness in self.entries:
            harness.handle(Ticked())

    def _start(self, harness: EntryHarness, first: bool) -> None:
        harness.store = self.store
        harness.handle(ConfigurationRead(self.table))
        harness.state.budget.first_start = first
        harness.state.budget.started = self.clock.now()
        harness.state.history.read = False
        harness.handle(self.store.read_history(self.clock.now()))

    def register(
        self, entries: Iterable[EntryHarness], version: str, *names: str
    ) -> None:
        """Let entries read the registrations of engines."""
        for harness in entries:
            for name in names:
                info = Registration(name, ENGINES, f"{name}:80", "muc-a", 64)
                info = replace(info, born=self.born, version=version)
                harness.handle(TargetRegistered(info))
            harness.handle(PositionRead(Position(0, 1)))

    def pass_time(self, entries: list[EntryHarness], millis: int) -> None:
        """Let entries in touch with each other check timeouts and send messages."""
        step = 100 if millis < 1_000 else 500
        for _ in range(0, millis, step):
            self.clock.advance(step)
            for harness in entries:
                harness.handle(Ticked())
            if entries:
                exchange_messages(entries)

    def release(self, entries: list[EntryHarness], millis: int) -> None:
        """Let v2 replace v1 for a moment, in which the first entry begins a stream."""
        for harness in entries:
            for name in ("e-1", "e-2"):
                harness.handle(TargetDeparted(name))
        self.register(entries, "v2", "e-3")
        self.pass_time(entries, 100)
        teller = entries[0]
        number = teller.receive_request("/question/a", PROMPT, digest=DIGEST)
        for opened in teller.find_effects(OpenAttempt):
            teller.send_pieces(opened.attempt, 1, 2)
            self.resumes, self.begun = f"id-{number}", "v2"
        if millis:
            self.pass_time(entries, millis)

    def roll_back(self, entries: Iterable[EntryHarness]) -> None:
        """Let the engine of v2 leave, and v1 serve again."""
        entries = list(entries)
        for harness in entries:
            harness.handle(TargetDeparted("e-3"))
        self.register(entries, "v1", "e-1", "e-2")

    def restart(self, harness: EntryHarness) -> EntryHarness:
        """Replace the process of an entry; it reads the store, where v1 serves."""
        started = EntryHarness(clock=self.clock)
        started.state.node = harness.state.node
        started.state.failure_domain = harness.state.failure_domain
        started.next_number = harness.next_number + 500
        started.handle(EntriesCounted(len(self.entries)))
        self._start(started, self.first)
        self.register([started], "v1", "e-1", "e-2")
        return started

    def take_up(self, harness: EntryHarness, named: bool = True) -> str | None:
        """Take the stream up and return the version at which it goes on, if any."""
        harness.receive_request(
            "/question/a",
            PROMPT,
            digest=DIGEST,
            after=2,
            resumes=self.resumes if named else "",
        )
        if harness.state.returns:
            # The versions were read just now; it waits for the next read.
            self.clock.advance(100)
            harness.handle(Ticked())
        opened = harness.find_effects(OpenAttempt)
        if not opened:
            assert harness.find_effect(Refuse).problem.status == 503
            return None
        return harness.state.targets.targets[opened[0].target].info.version


@SIZES
@FIRST_STARTS
@NAMED
def test_an_entry_that_is_cut_off_takes_no_version_for_the_only_one(
    size: int, first: bool, named: bool
) -> None:
    """Guards against text of two versions at an entry that hears nobody."""
    fleet = ReleasedFleet(size, first)
    *others, cut = fleet.entries
    fleet.store.unreachable.add(cut.state.node)
    fleet.release(others, 0)
    assert fleet.take_up(cut, named) in (None, fleet.begun)
    fleet.pass_time(others, 3_000)
    assert fleet.take_up(cut, named) in (None, fleet.begun)


@SIZES
@FIRST_STARTS
def test_an_entry_that_has_not_read_a_version_takes_no_other_for_the_only_one(
    size: int, first: bool
) -> None:
    """Guards against text of two versions where a registration is read late."""
    fleet = ReleasedFleet(size, first)
    *others, late = fleet.entries
    fleet.release(others, 0)
    assert fleet.take_up(late, named=False) in (None, fleet.begun)


@SIZES
@FIRST_STARTS
@NAMED
def test_an_entry_that_starts_as_a_version_comes_knows_of_it(
    size: int, first: bool, named: bool
) -> None:
    """Guards against a new process to which nobody told the newest version."""
    fleet = ReleasedFleet(size, first)
    fleet.release(fleet.entries, 0)
    started = fleet.restart(fleet.entries[-1])
    assert fleet.take_up(started, named) in (None, fleet.begun)


@SIZES
@FIRST_STARTS
@NAMED
@pytest.mark.parametrize("millis", [0, 3_000])
def test_a_version_is_known_after_all_entries_were_lost(
    size: int, first: bool, named: bool, millis: int
) -> None:
    """Guards against text of two versions as all entries are lost in a release."""
    fleet = ReleasedFleet(size, first)
    fleet.release(fleet.entries, millis)
    started = [fleet.restart(harness) for harness in fleet.entries]
    assert fleet.take_up(started[-1], named) in (None, fleet.begun)
    fleet.pass_time(started, 3_000)
    assert fleet.take_up(started[-1], named) in (None, fleet.begun)


@SIZES
@FIRST_STARTS
@NAMED
def test_a_store_that_takes_no_writes_shows_no_only_version(
    size: int, first: bool, named: bool
) -> None:
    """Guards against settings that state a first start to processes that restart."""
    fleet = ReleasedFleet(size, first, takes_writes=False)
    fleet.release(fleet.entries, 3_000)
    started = [fleet.restart(harness) for harness in fleet.entries]
    assert fleet.take_up(started[-1], named) in (None, fleet.begun)
    fleet.pass_time(started, 3_000)
    assert fleet.take_up(started[-1], named) in (None, fleet.begun)


@SIZES
@FIRST_STARTS
@NAMED
def test_a_version_that_no_target_states_is_not_known_anywhere(
    size: int, first: bool, named: bool
) -> None:
    """Guards against a target that restarts as another version before that is read."""
    fleet = ReleasedFleet(size, first, born=0)
    *others, cut = fleet.entries
    teller = others[0]
    # It writes text of v2 already, though all entries still know it as v1.
    number = teller.receive_request("/question/a", PROMPT, digest=DIGEST)
    opened = teller.find_effect(OpenAttempt)
    teller.confirmed = False
    if opened.confirm is not Confirmation.NONE:
        teller.handle(StreamUnconfirmed(opened.attempt))
        assert teller.find_effects(AcceptUnconfirmed)
    teller.send_pieces(opened.attempt, 1, 2)
    fleet.resumes = f"id-{number}"
    assert fleet.take_up(cut, named) is None
    fleet.pass_time(fleet.entries, 3_000)
    for harness in (cut, others[-1]):
        assert fleet.take_up(harness, named) is None


@SIZES
@FIRST_STARTS
def test_a_version_whose_record_is_held_back_begins_no_stream_that_is_guessed(
    size: int, first: bool
) -> None:
    """Guards against a version that begins streams before the store has its record."""
    fleet = ReleasedFleet(size, first)
    fleet.store.takes_writes = False
    fleet.release(fleet.entries, 0)
    started = [fleet.restart(harness) for harness in fleet.entries]
    fleet.store.takes_writes = True
    fleet.pass_time(started, 3_000)
    assert not fleet.begun or fleet.take_up(started[-1]) in (None, fleet.begun)


@SIZES
@FIRST_STARTS
@NAMED
@pytest.mark.parametrize("linked", [True, False])
def test_streams_go_on_while_there_is_one_version(
    size: int, first: bool, named: bool, linked: bool
) -> None:
    """Guards against callers refused in the usual state, also after a restart."""
    fleet = ReleasedFleet(size, first)
    teller, last = fleet.entries[0], fleet.entries[-1]
    number = teller.receive_request("/question/a", PROMPT, digest=DIGEST)
    teller.send_pieces(teller.find_effect(OpenAttempt).attempt, 1, 2)
    fleet.resumes = f"id-{number}"
    if linked:
        fleet.pass_time(fleet.entries, 200)
    assert fleet.take_up(last, named) == "v1"
    started = fleet.restart(last)
    if linked:
        now = Millis(fleet.clock.now())
        message = peers.describe_entry(teller.state, now)
        started.handle(complete_message(teller.state, message, now))
    assert fleet.take_up(started, named) == "v1"


@SIZES
def test_streams_go_on_in_an_outage_of_the_store_at_entries_in_touch(size: int) -> None:
    """Guards against callers refused while the store is away and one version serves."""
    fleet = ReleasedFleet(size, first=False)
    teller, last = fleet.entries[0], fleet.entries[-1]
    number = teller.receive_request("/question/a", PROMPT, digest=DIGEST)
    teller.send_pieces(teller.find_effect(OpenAttempt).attempt, 1, 2)
    fleet.resumes = f"id-{number}"
    fleet.store.lose(fleet.entries)
    fleet.pass_time(fleet.entries, 2_000)
    assert fleet.take_up(last) == "v1"


@SIZES
def test_a_version_is_recorded_although_the_entry_that_writes_is_silent(
    size: int,
) -> None:
    """Guards against engines that begin no streams as one entry is cut off silently."""
    fleet = ReleasedFleet(size, first=False)
    silent = {one.state.failure_domain: one for one in reversed(fleet.entries)}
    if size == 2:
        silent = {DOMAINS[0]: fleet.entries[0]}
    for harness in silent.values():
        fleet.store.unreachable.add(harness.state.node)
    fleet.register(fleet.entries, "v2", "e-3")
    fleet.pass_time(fleet.entries, 2_500)
    assert (ENGINES, "v2") in fleet.store.versions
    for harness in fleet.entries:
        if harness not in silent.values():
            assert (ENGINES, "v2") in harness.state.history.confirmed


@SIZES
@FIRST_STARTS
@NAMED
def test_a_path_that_moved_takes_its_versions_along_over_restarts(
    size: int, first: bool, named: bool
) -> None:
    """Guards against text of two services as all entries restart after a move."""
    fleet = ReleasedFleet(size, first)
    other = Registration("s-1", BOOKINGS, "s-1:80", "muc-a", 64, born=1, version="v3")
    for harness in fleet.entries:
        harness.handle(TargetRegistered(other))
    fleet.pass_time(fleet.entries, 1_500)
    teller = fleet.entries[0]
    number = teller.receive_request("/question/a", PROMPT, digest=DIGEST)
    teller.send_pieces(teller.find_effect(OpenAttempt).attempt, 1, 2)
    fleet.resumes = f"id-{number}"
    moved = replace(QUESTION, shares=((BOOKINGS, 1.0),))
    fleet.table = build_table(2, [moved])
    for harness in fleet.entries:
        harness.handle(ConfigurationRead(fleet.table))
    fleet.pass_time(fleet.entries, 100)
    started = [fleet.restart(harness) for harness in fleet.entries]
    for harness in started:
        harness.handle(TargetRegistered(other))
    assert fleet.take_up(started[-1], named) is None
