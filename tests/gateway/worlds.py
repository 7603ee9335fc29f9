"""Test harness of the gateway: an entry's state, its targets and its requests."""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from figstep.core.clock import ManualClock, Millis
from figstep.gateway import domains, peers
from figstep.gateway.budgets import RetryBudget
from figstep.gateway.effects import (
    CheckTarget,
    Effect,
    Note,
    OpenAttempt,
    ReadVersions,
    WriteHistory,
)
from figstep.gateway.events import (
    AttemptConnected,
    ConfigurationRead,
    EntriesCounted,
    Event,
    HistoryRead,
    HistoryWritten,
    PeerHeard,
    PiecesArrived,
    RequestArrived,
    RoutedRequest,
    StoreLost,
    StreamConfirmed,
    StreamOpened,
    StreamPiece,
    TargetChecked,
    TargetDeparted,
    TargetRegistered,
    VersionsRead,
    VersionsUnread,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.reducer import reduce
from figstep.gateway.routes import (
    Customer,
    EnginePool,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    group_routes,
)
from figstep.gateway.runs import RunCopy
from figstep.gateway.starts import RecordedVersion, StreamStart
from figstep.gateway.state import State
from figstep.gateway.targets import Incarnation, Registration

EffectType = TypeVar("EffectType")

ENGINES = "engines"
BOOKINGS = "bookings"
KEY = "key-1"

PLAN = Route(
    "plan",
    "host",
    "/plan/",
    RouteKind.STREAM,
    ((ENGINES, 1.0),),
    timeout=Millis(39_000),
    objective=Millis(1_800),
    priority=1,
)
QUESTION = Route(
    "question",
    "host",
    "/question/",
    RouteKind.STREAM,
    ((ENGINES, 1.0),),
    attempts=2,
    timeout=Millis(6_000),
    objective=Millis(1_500),
    resumable=True,
)
ORDER = Route(
    "order",
    "host",
    "/order/",
    RouteKind.UNSAFE,
    ((BOOKINGS, 1.0),),
    timeout=Millis(800),
    objective=Millis(200),
)
LOOKUP = Route(
    "lookup",
    "host",
    "/lookup/",
    RouteKind.SAFE,
    ((BOOKINGS, 1.0),),
    attempts=2,
    timeout=Millis(800),
    objective=Millis(200),
)


def build_table(
    version: int = 1, routes: Sequence[Route] = (), moves: bool = True
) -> RoutingTable:
    """Return a configuration with all four kinds of route.

    Args:
        version: Version of the configuration.
        routes: Routes that replace the four default ones; none keeps the defaults.
        moves: Whether engines copy runs on order. If they do, running backups are not
            started although the pool allows them.
    """
    pool = EnginePool(64, 34_000, backups=True, moves=moves, event_tokens=4)
    return RoutingTable(
        version,
        group_routes(list(routes) or [PLAN, QUESTION, ORDER, LOOKUP]),
        {ENGINES: Service(ENGINES, engine=pool), BOOKINGS: Service(BOOKINGS)},
        {KEY: Customer("gurdwara")},
    )


@dataclass
class RecordStore:
    """Store of what entries write of versions and starts.

    Attributes:
        takes_writes: Whether writes take effect and are confirmed; if not, they fail.
        unreachable: Names of the entries that it does not answer.
        versions: Recorded versions by service and version, with the time at which each
            left, or None.
        starts: Recorded starts.
    """

    takes_writes: bool = True
    unreachable: set[str] = field(default_factory=set)
    versions: dict[tuple[str, str], Millis | None] = field(default_factory=dict)
    starts: list[StreamStart] = field(default_factory=list)

    def lose(self, entries: "Sequence[EntryHarness]") -> None:
        """Answer none of some entries any more; they notice at once."""
        for harness in entries:
            self.unreachable.add(harness.state.node)
            harness.handle(StoreLost())

    def write(self, effect: WriteHistory, node: str, now: Millis) -> HistoryWritten:
        """Return the end of an entry's write."""
        confirmed = self.takes_writes and node not in self.unreachable
        for version in effect.versions if confirmed else ():
            key = (version.service, version.version)
            left = None if version.age is None else Millis(now - version.age)
            self.versions[key] = left
            if version.expired:
                del self.versions[key]
        if confirmed:
            self.starts += effect.starts
        return HistoryWritten(effect.versions, effect.starts, confirmed)

    def list_versions(self, now: Millis) -> tuple[RecordedVersion, ...]:
        """Return the records of versions."""
        return tuple(
            RecordedVersion(*key, None if left is None else Millis(now - left))
            for key, left in self.versions.items()
        )

    def read_versions(self, node: str, now: Millis) -> Event:
        """Return the end of an entry's read of the versions."""
        if node in self.unreachable:
            return VersionsUnread()
        return VersionsRead(self.list_versions(now))

    def read_history(self, now: Millis) -> HistoryRead:
        """Return what a process reads as it starts."""
        versions = self.list_versions(now)
        return HistoryRead(versions, tuple(self.starts) if versions else ())


@dataclass
class EntryHarness:
    """An entry's gateway state, driven by events on a manual clock.

    Attributes:
        moves: Whether engines copy runs on order.
        clock: Clock that the tests advance.
        reachable: Whether connections to targets are established at once, for checks
            and attempts. If not, they stay open.
        confirmed: Whether targets state their registered start after they accepted a
            stream.
        effects: Effects of the last event, and of the connections that it led to.
        next_number: Number of the next request.
        store: Store that answers the entry. If it is None, writes are left without an
            answer, and the versions on record are those of the known targets.
    """

    moves: bool = True
    reachable: bool = True
    confirmed: bool = True
    clock: ManualClock = field(default_factory=lambda: ManualClock(100_000))
    effects: list[Effect] = field(default_factory=list)
    next_number: int = 1
    store: RecordStore | None = None

    def __post_init__(self) -> None:
        budget = RetryBudget(0.2, 56.0, Millis(10_000))
        self.state = State("entry-1", "muc-a", random.Random(1), budget)
        self.state.history.read = True
        self.handle(ConfigurationRead(build_table(moves=self.moves)))

    def handle(self, event: Event) -> list[Effect]:
        """Reduce an event and return its effects."""
        self.effects = []
        events = deque([event])
        while events:
            effects = reduce(self.state, events.popleft(), self.clock.now())
            self.effects += effects
            if self.reachable:
                events += self._list_connections(effects)
            events += self._list_store_answers(effects)
        return self.effects

    def _list_connections(self, effects: list[Effect]) -> list[Event]:
        connections: list[Event] = []
        for effect in effects:
            match effect:
                case CheckTarget(target=target):
                    connections.append(TargetChecked(target, self.clock.now(), True))
                case OpenAttempt(attempt=attempt):
                    connections.append(AttemptConnected(attempt))
        return connections

    def _list_store_answers(self, effects: list[Effect]) -> list[Event]:
        store, node, now = self.store, self.state.node, self.clock.now()
        answers: list[Event] = []
        for effect in effects:
            match effect:
                case WriteHistory() if store is not None:
                    answers.append(store.write(effect, node, now))
                case ReadVersions() if store is not None:
                    answers.append(store.read_versions(node, now))
                case ReadVersions():
                    answers.append(VersionsRead(self._list_known_versions()))
        return answers

    def _list_known_versions(self) -> tuple[RecordedVersion, ...]:
        known = {
            (target.info.service, target.info.version)
            for target in self.state.targets.targets.values()
        }
        return tuple(RecordedVersion(*key) for key in sorted(known))

    def register(self, *names: str, service: str = ENGINES, slots: int = 64) -> None:
        """Register ready targets in the entry's failure domain."""
        for name in names:
            info = Registration(name, service, f"{name}:80", "muc-a", slots, born=1)
            self.handle(TargetRegistered(info))

    def depart(self, name: str) -> list[Effect]:
        """Handle the loss of a target's registration and return the effects."""
        return self.handle(TargetDeparted(name))

    def receive_request(
        self, path: str, prompt: Prompt | None = None, **fields: object
    ) -> int:
        """Handle an arriving request and return its number."""
        number = self.next_number
        self.next_number += 1
        request_fields: dict[str, object] = {"key": KEY, "digest": f"digest-{number}"}
        request_fields.update(fields)
        request = RoutedRequest(
            number,
            f"id-{number}",
            "POST",
            "host",
            path,
            prompt=prompt,
            **request_fields,  # type: ignore[arg-type]
        )
        self.handle(RequestArrived(request))
        return number

    def receive_plan(self, tokens: int = 3_000, output: int = 900) -> int:
        """Handle an arriving request for a long plan and return its number."""
        return self.receive_request("/plan/a", Prompt("m", tokens, 2_000, output))

    def find_effect(self, kind: type[EffectType]) -> EffectType:
        """Return the only effect of a type among those of the last event."""
        found = self.find_effects(kind)
        assert len(found) == 1, self.effects
        return found[0]

    @property
    def actions(self) -> list[Effect]:
        """Effects of the last event without its log lines."""
        return [effect for effect in self.effects if not isinstance(effect, Note)]

    def find_effects(self, kind: type[EffectType]) -> "list[EffectType]":
        """Return the effects of a type among those of the last event."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def open_plan(self) -> OpenAttempt:
        """Handle an arriving plan that starts at once and return its attempt."""
        self.receive_plan()
        return self.find_effect(OpenAttempt)

    def open_stream(self, attempt: int, delimited: bool = True) -> None:
        """Let a target accept a stream and state its registered start."""
        self.handle(StreamOpened(attempt, delimited))
        if self.confirmed:
            self.handle(StreamConfirmed(attempt))

    def send_pieces(self, attempt: int, first: int, last: int) -> list[Effect]:
        """Deliver the events ``first`` to ``last`` of an attempt's stream."""
        self.open_stream(attempt)
        pieces = [
            StreamPiece(index, f"id: {index}\n\n".encode())
            for index in range(first, last + 1)
        ]
        return self.handle(PiecesArrived(attempt, pieces))


def build_copy(source: str, holder: str, handle: str = "h-1") -> RunCopy:
    """Return a copy between engines as ``EntryHarness.register`` registers them."""
    return RunCopy(
        Incarnation(holder, 1), Incarnation(source, 1), f"{source}:80", handle
    )


def start_with_backup() -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry with a plan that has run for 500 ms and has a backup.

    Its engines do not copy runs on order; engines that do get no running backups.
    """
    harness = EntryHarness(moves=False)
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    harness.clock.advance(500)
    harness.send_pieces(opened.attempt, 10, 10)
    return harness, opened


def build_large_fleet_entry() -> EntryHarness:
    """Return an entry of a fleet of 73 that knows its own failure domain."""
    harness = EntryHarness()
    harness.handle(EntriesCounted(73))
    for number in range(18):
        harness.handle(PeerHeard(f"entry-0-{number:02}", failure_domain="muc-a"))
    return harness


def build_fleet(size: int, domains: Sequence[str]) -> list[EntryHarness]:
    """Return entries on one clock, assigned to the failure domains in turn."""
    clock = ManualClock(100_000)
    fleet = []
    for number in range(size):
        harness = EntryHarness(clock=clock)
        harness.state.node = f"entry-{number:03}"
        harness.state.failure_domain = domains[number % len(domains)]
        harness.handle(EntriesCounted(size))
        fleet.append(harness)
    return fleet


def exchange_messages(fleet: list[EntryHarness]) -> None:
    """Let each entry send its state to the others.

    Entries of a small fleet send to all others. In a large fleet they send within their
    failure domain, and the first entry of each domain sends the domain's sums to the
    entries of the other domains.
    """
    now = fleet[0].clock.now()
    representatives: dict[str, EntryHarness] = {}
    for harness in fleet:
        representatives.setdefault(harness.state.failure_domain, harness)
        message = peers.describe_entry(harness.state, now)
        for other in fleet:
            is_local = other.state.failure_domain == harness.state.failure_domain
            if other is not harness and (is_local or not harness.state.is_large):
                other.handle(message)
    if not fleet[0].state.is_large:
        return
    for domain, representative in representatives.items():
        message = domains.describe_domain(representative.state, now)
        for other in fleet:
            if other.state.failure_domain != domain:
                other.handle(message)
