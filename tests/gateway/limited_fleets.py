"""Simulated fleet of entries and targets that name a rate, on a manual clock."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from figstep.core.clock import ManualClock, Millis
from figstep.gateway.domains import describe_domain, is_domain_representative
from figstep.gateway.effects import Announce, Effect, OpenAttempt
from figstep.gateway.events import (
    AnswerArrived,
    AttemptLost,
    EntriesCounted,
    Event,
    Loss,
    PeerHeard,
    RateNamed,
    TargetDeparted,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.newcomers import complete_message
from figstep.gateway.news import LoadUpdates
from figstep.gateway.peers import describe_entry
from figstep.gateway.targets import Registration
from figstep.net.links import REMOTE_FULL_REPORT_SECONDS
from figstep.net.neighbors import Member, NeighborTable
from tests.gateway.worlds import BOOKINGS, EntryHarness

WINDOW = Millis(4_000)
"""Length of the window in which requests are counted, in milliseconds."""

RATE_RATIO = 1.5
RATE_EXTRA = 5
"""A target gets at most RATE_RATIO times its rate, and RATE_EXTRA requests more, in a
window."""

SETTLING_DURATION = Millis(4_000)
"""Milliseconds after a target first names a rate from which the rate binds."""

NOTICE_DURATION = Millis(500)
"""Milliseconds after an entry was first told a rate from which its requests count."""

SEEDS = 3
"""Number of entries whose addresses a starting entry knows."""

TICK = Millis(30)
POLL = Millis(400)
HELLO_INTERVAL = Millis(1_000)
SERVICE_TIME = Millis(80)
MAX_LATENCY = Millis(15)
MAX_REMOTE_LATENCY = Millis(60)


@dataclass
class SimulatedTarget:
    """Target that may name a rate.

    Attributes:
        info: Its registration.
        rate: Rate that its answers name, or None.
        limited_at: When it first named a rate, or None.
        told: When an answer to each entry first named a rate, by node.
        arrivals: Times and entries of the requests that reached it.
        busy_until: When each of its slots is free.
    """

    info: Registration
    rate: float | None = None
    limited_at: Millis | None = None
    told: dict[str, Millis] = field(default_factory=dict)
    arrivals: list[tuple[Millis, str]] = field(default_factory=list)
    busy_until: list[Millis] = field(default_factory=list)

    def find_excess(self) -> float:
        """Return by how much the busiest window exceeds what is allowed."""
        if self.limited_at is None or self.rate is None:
            return 0.0
        allowed = RATE_RATIO * self.rate * WINDOW / 1_000 + RATE_EXTRA
        recent: deque[Millis] = deque()
        excess = -allowed
        for at, node in self.arrivals:
            if self.told.get(node, at) > at - NOTICE_DURATION:
                continue
            recent.append(at)
            while recent[0] <= at - WINDOW:
                recent.popleft()
            if at >= self.limited_at + SETTLING_DURATION:
                excess = max(excess, len(recent) - allowed)
        return excess


@dataclass
class SimulatedEntry:
    """Entry with its part of the exchange of messages.

    Attributes:
        lag: Milliseconds by which it handles answers and messages late.
        session: Number of its process.
        sent_at: When it last sent a message to its failure domain.
        named_at: When it last named entries of its failure domain to other ones.
    """

    harness: EntryHarness
    neighbors: NeighborTable
    address: str
    lag: int = 0
    session: int = 0
    updates: LoadUpdates = field(default_factory=LoadUpdates)
    sent_at: Millis = Millis(-10_000)
    ticked_at: Millis = Millis(-10_000)
    polled_at: Millis = Millis(-10_000)
    named_at: Millis = Millis(-10_000)
    sessions: dict[str, int] = field(default_factory=dict)

    @property
    def node(self) -> str:
        """Name of the entry."""
        return self.harness.state.node


class LimitedFleet:
    """Entries in failure domains of uneven size, targets, and callers."""

    def __init__(
        self,
        seed: int,
        domain_sizes: Sequence[int] = (21, 17, 17, 19),
        targets: int = 6,
        calls_per_second: float = 70.0,
        silent_share: float = 0.0,
        silent_status: int = 200,
    ) -> None:
        """Start all entries at once; they know each other and all targets.

        Args:
            seed: Seed of all random choices.
            domain_sizes: Number of entries of each failure domain.
            targets: Number of targets.
            calls_per_second: Calls a second to all entries together.
            silent_share: Share of the answers that name no rate although their
                target has one, from 0 to 1.
            silent_status: Status of these answers.
        """
        self.rng = random.Random(seed)
        self.silent_share = silent_share
        self.silent_status = silent_status
        self.clock = ManualClock(100_000)
        self.calls_per_second = calls_per_second
        self._actions: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.targets: dict[str, SimulatedTarget] = {}
        for number in range(targets):
            name = f"b-{number}"
            domain = f"domain-{number % len(domain_sizes)}"
            info = Registration(name, BOOKINGS, f"{name}:80", domain, 6, born=1)
            self.targets[name] = SimulatedTarget(info, busy_until=[Millis(0)] * 6)
        self.entries: list[SimulatedEntry] = []
        for domain, size in enumerate(domain_sizes):
            for _ in range(size):
                self._add_entry(f"domain-{domain}")
        for entry in self.entries:
            self._start_process(entry, first=True)

    def _add_entry(self, domain: str) -> None:
        number = len(self.entries)
        address = f"{number}:1"
        harness = EntryHarness(clock=self.clock)
        harness.state.node = f"entry-{number:03}"
        harness.state.failure_domain = domain
        neighbors = NeighborTable(address, domain)
        self.entries.append(SimulatedEntry(harness, neighbors, address))

    def _start_process(self, entry: SimulatedEntry, first: bool) -> None:
        now = self.clock.now()
        before = entry.harness.state
        harness = EntryHarness(clock=self.clock)
        harness.state.node, harness.state.failure_domain = (
            before.node,
            before.failure_domain,
        )
        harness.state.rng.seed(self.rng.random())
        harness.state.budget.started = now
        harness.state.budget.first_start = first
        # An attempt of an earlier process must not be taken for one of this.
        harness.state.next_attempt = before.next_attempt
        entry.harness = harness
        entry.session += 1
        entry.updates = LoadUpdates()
        entry.sent_at = Millis(now - self.rng.randrange(HELLO_INTERVAL))
        entry.ticked_at = Millis(now - self.rng.randrange(TICK))
        entry.neighbors = NeighborTable(entry.address, before.failure_domain)
        known = self.entries if first else self.entries[:SEEDS]
        for other in known:
            if other is entry:
                continue
            neighbor = entry.neighbors.add(other.address, now / 1_000)
            if first:
                neighbor.failure_domain = other.harness.state.failure_domain
        for target in self.targets.values():
            harness.handle(TargetRegistered(target.info))
        self._send_locally(entry)

    # Actions of a test

    def limit(self, name: str, rate: float | None) -> None:
        """Let a target name a rate from now on, or none."""
        target = self.targets[name]
        target.rate = rate
        if rate is not None and target.limited_at is None:
            target.limited_at = self.clock.now()

    def lapse(self, name: str) -> None:
        """Let all entries read that a registration is gone."""
        for entry in self.entries:
            self.handle(entry, TargetDeparted(name))

    def renew(self, name: str) -> None:
        """Let all entries read a registration again."""
        for entry in self.entries:
            self.handle(entry, TargetRegistered(self.targets[name].info))

    def restart(self, entries: Sequence[SimulatedEntry]) -> None:
        """Replace the processes of entries."""
        for entry in entries:
            self._start_process(entry, first=False)

    def add_entries(self, count: int, lag: int) -> None:
        """Add entries that know some others, in turn to each failure domain."""
        domains = sorted({one.harness.state.failure_domain for one in self.entries})
        for number in range(count):
            self._add_entry(domains[number % len(domains)])
            self.entries[-1].lag = lag
            self._start_process(self.entries[-1], first=False)

    def run(self, seconds: float) -> None:
        """Let time pass, with callers of all entries."""
        end = self.clock.now() + round(seconds * 1_000)
        next_call = self.clock.now() + self._draw_pause()
        while self.clock.now() < end:
            self.clock.advance(1)
            now = self.clock.now()
            while now >= next_call:
                self._call(self.rng.choice(self.entries))
                next_call += self._draw_pause()
            while self._actions and self._actions[0][0] <= now:
                heapq.heappop(self._actions)[2]()
            for entry in self.entries:
                self._tick(entry, now)

    def find_excess(self) -> float:
        """Return by how much the busiest target exceeds what it allows."""
        return max(target.find_excess() for target in self.targets.values())

    def _draw_pause(self) -> float:
        return self.rng.expovariate(self.calls_per_second / 1_000)

    def _call(self, entry: SimulatedEntry) -> None:
        path = "/order/a" if self.rng.random() < 0.7 else "/lookup/a"
        entry.harness.receive_request(path)
        self._perform(entry, entry.harness.effects)

    def handle(self, entry: SimulatedEntry, event: Event) -> None:
        """Let an entry handle an event, and perform its effects."""
        self._perform(entry, entry.harness.handle(event))

    def _perform(self, entry: SimulatedEntry, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case OpenAttempt():
                    arrive = partial(self._arrive, entry, entry.session, effect)
                    self._later(self.rng.randrange(2, 12), arrive)
                case Announce():
                    self._later(0, partial(self._send_locally, entry))

    def _later(self, delay: int, action: Callable[[], None]) -> None:
        due = self.clock.now() + delay
        heapq.heappush(self._actions, (due, next(self._order), action))

    # Targets

    def _arrive(self, entry: SimulatedEntry, session: int, opened: OpenAttempt) -> None:
        target = self.targets[opened.target]
        now = self.clock.now()
        target.arrivals.append((now, entry.node))
        slot = min(range(len(target.busy_until)), key=target.busy_until.__getitem__)
        begins = max(now, target.busy_until[slot])
        if begins - now > 10 * SERVICE_TIME:
            lost = AttemptLost(opened.attempt, Loss.REFUSED, Millis(500))
            answer = partial(self._answer, entry, session, target, lost, now)
            self._later(5 + entry.lag, answer)
            return
        ends = Millis(begins + SERVICE_TIME)
        target.busy_until[slot] = ends
        event = AnswerArrived(opened.attempt, 200)
        answer = partial(self._answer, entry, session, target, event, now)
        self._later(ends - now + entry.lag, answer)

    def _answer(
        self,
        entry: SimulatedEntry,
        session: int,
        target: SimulatedTarget,
        event: Event,
        requested_at: Millis,
    ) -> None:
        named = RateNamed(target.info.target, target.rate, requested_at)
        if isinstance(event, AnswerArrived) and self.rng.random() < self.silent_share:
            named = replace(named, rate=None, status=self.silent_status)
            event = replace(event, status=self.silent_status)
        if named.rate is not None:
            target.told.setdefault(entry.node, self.clock.now())
        if session != entry.session:
            return
        self.handle(entry, named)
        self.handle(entry, event)

    # Messages among entries

    def _tick(self, entry: SimulatedEntry, now: Millis) -> None:
        if now - entry.ticked_at < TICK:
            return
        if not entry.harness.state.requests and now - entry.ticked_at < 10 * TICK:
            return
        entry.ticked_at = now
        self.handle(entry, Ticked())
        if now - entry.polled_at >= POLL:
            entry.polled_at = now
            self._poll(entry, now)

    def _poll(self, entry: SimulatedEntry, now: Millis) -> None:
        entry.neighbors.remove_expired(now / 1_000)
        entries = 1 + len(entry.neighbors)
        if entries != entry.harness.state.entries:
            self.handle(entry, EntriesCounted(entries))
        own = describe_entry(entry.harness.state, now)
        due = now - entry.sent_at >= HELLO_INTERVAL
        if due or entry.updates.has_urgent_changes(own):
            self._send_locally(entry)
        if entry.harness.state.is_large and is_domain_representative(
            entry.harness.state, now
        ):
            self._send_remotely(entry, now)

    def _send_locally(self, entry: SimulatedEntry) -> None:
        now = self.clock.now()
        message = describe_entry(entry.harness.state, now)
        addresses = entry.neighbors.list_all()
        if len(addresses) >= 16:
            message = entry.updates.select(message, now)
            addresses = [
                *entry.neighbors.list_local(),
                *entry.neighbors.list_without_domain(),
            ]
        members: tuple[object, ...] = ()
        if now - entry.sent_at >= HELLO_INTERVAL:
            members = entry.neighbors.pick_members(now / 1_000)
        entry.sent_at = now
        for address in addresses:
            self._send(entry, address, message, members, MAX_LATENCY)

    def _send_remotely(self, entry: SimulatedEntry, now: Millis) -> None:
        message = describe_domain(entry.harness.state, now)
        members: tuple[Member, ...] = ()
        if now - entry.named_at >= REMOTE_FULL_REPORT_SECONDS * 1_000:
            entry.named_at = now
            members = entry.neighbors.pick_local_members(now / 1_000)
        for address in entry.neighbors.pick_remote(now / 1_000):
            receiver = self._find(address)
            for other in self.entries:
                domain = receiver.harness.state.failure_domain
                if other.harness.state.failure_domain == domain:
                    self._send(
                        entry, other.address, message, members, MAX_REMOTE_LATENCY
                    )

    def _find(self, address: str) -> SimulatedEntry:
        return self.entries[int(address.partition(":")[0])]

    def _send(
        self,
        entry: SimulatedEntry,
        address: str,
        message: PeerHeard,
        members: tuple[object, ...],
        latency: Millis,
    ) -> None:
        receiver = self._find(address)
        delay = self.rng.randrange(1, latency) + receiver.lag
        receive = partial(self._receive, receiver, entry, message, members)
        self._later(delay, receive)

    def _receive(
        self,
        receiver: SimulatedEntry,
        sender: SimulatedEntry,
        message: PeerHeard,
        members: tuple[object, ...],
    ) -> None:
        now = self.clock.now()
        neighbor = receiver.neighbors.add(sender.address, now / 1_000)
        neighbor.last_received = now / 1_000
        neighbor.failure_domain = message.failure_domain
        receiver.neighbors.record_members(members, now / 1_000)  # type: ignore[arg-type]
        self.handle(receiver, message)
        if receiver.sessions.get(sender.address) == sender.session or message.far:
            return
        receiver.sessions[sender.address] = sender.session
        content = describe_entry(receiver.harness.state, now)
        if receiver.harness.state.is_large and (
            message.failure_domain != receiver.harness.state.failure_domain
        ):
            content = describe_domain(receiver.harness.state, now)
        content = complete_message(receiver.harness.state, content, now)
        picked = receiver.neighbors.pick_members(now / 1_000)
        self._send(receiver, sender.address, content, picked, MAX_LATENCY)
