"""Simulated fleet under load above its capacity, whose rejected clients come back."""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.gateway import domains, peers
from figstep.gateway.demand import DemandTable
from figstep.gateway.effects import OpenAttempt, Refuse
from figstep.gateway.events import (
    ConfigurationRead,
    EntriesCounted,
    StreamEnded,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import (
    Customer,
    EnginePool,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    group_routes,
)
from figstep.gateway.targets import Registration
from tests.gateway.test_fleet import Engine, Fleet
from tests.gateway.worlds import ENGINES, KEY, EntryHarness

LONG = Route(
    "long",
    "host",
    "/long/",
    RouteKind.STREAM,
    ((ENGINES, 1.0),),
    timeout=Millis(39_126),
    objective=Millis(4_013),
    priority=2,
)
SHORT = Route(
    "short",
    "host",
    "/short/",
    RouteKind.STREAM,
    ((ENGINES, 1.0),),
    timeout=Millis(6_037),
    objective=Millis(1_509),
)
TABLE = RoutingTable(
    1,
    group_routes([LONG, SHORT]),
    {ENGINES: Service(ENGINES, engine=EnginePool(24, 27_000, event_tokens=4))},
    {KEY: Customer("gurdwara")},
)

RATES = {"long": 11.7 / 88, "short": 22.6 / 88}
"""Requests per second and entry, as in deployment 1 of `docs/HARD-LOAD.md`."""

PROMPTS = {"long": Prompt("m", 3_000, 2_000, 744), "short": Prompt("m", 2_200, 64, 12)}
DURATIONS = {"long": Millis(5_500), "short": Millis(120)}
"""Milliseconds from the first event of a stream to its end."""

ENTRIES_PER_ENGINE = 8
"""With that many, the base load takes about nine tenths of the engines' memory."""

READ_RATE = 14
"""Prompt tokens that an engine reads per millisecond."""

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
STEP = Millis(10)
TICK = 3
"""Steps between two ticks of an entry with requests."""

HELD_MILLIS = 225
"""Wait in milliseconds above which a rejection did not come at once."""


@dataclass
class DemandFleet(Fleet):
    """Entries in four failure domains whose engines run out of memory.

    Attributes:
        size: Number of entries.
        shared: Whether entries decide from the demand of the fleet.
        factors: Load of each kind, relative to the base load.
        outcomes: Counts of first tries by kind: "tries"; "in_time", whose first event
            came within the objective. With retries: "rejected"; "held", those rejected
            only after a wait.
    """

    size: int = 8
    shared: bool = True
    factors: dict[str, float] = field(default_factory=dict)
    outcomes: dict[str, Counter[str]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.engines_count = max(1, self.size // ENTRIES_PER_ENGINE)
        for number in range(self.size):
            self.entries.append(self.start_entry(number))
        self.outcomes = {kind: Counter() for kind in RATES}
        self._schedule: list[tuple[int, int, str, tuple]] = []  # type: ignore[type-arg]
        self._order = itertools.count()
        self._known: dict[tuple[int, int], tuple[str, str, Millis, bool]] = {}
        self._steps = 0

    def start_entry(self, number: int) -> EntryHarness:
        """Return a new process of an entry that knows all others and all engines."""
        harness = EntryHarness(clock=self.clock)
        state = harness.state
        state.node = f"entry-{number:03}"
        state.failure_domain = DOMAINS[number % len(DOMAINS)]
        state.rng.seed(number)
        state.demand = DemandTable() if self.shared else None
        state.table = None
        harness.handle(ConfigurationRead(TABLE))
        harness.handle(EntriesCounted(self.size))
        for engine in range(self.engines_count):
            name = f"e-{engine}"
            self.engines.setdefault(name, Engine())
            domain = DOMAINS[engine % len(DOMAINS)]
            info = Registration(name, ENGINES, f"{name}:80", domain, 24, born=1)
            harness.handle(TargetRegistered(info))
        return harness

    def restart_all(self) -> None:
        """Replace all processes at once; their runs end with them."""
        self.entries = [self.start_entry(number) for number in range(self.size)]
        self._known.clear()
        self._schedule = [item for item in self._schedule if item[2] == "client"]
        heapq.heapify(self._schedule)

    def run(self, seconds: float, **factors: float) -> None:
        """Let time pass with a load, which is 1.0 of each kind unless given."""
        self.factors = {kind: factors.get(kind, 1.0) for kind in RATES}
        for _ in range(round(seconds * 1_000 / STEP)):
            self.clock.advance(STEP)
            self._steps += 1
            now = self.clock.now()
            while self._schedule and self._schedule[0][0] <= now:
                _, _, kind, content = heapq.heappop(self._schedule)
                self._apply(kind, content)
            self._arrive()
            for number, harness in enumerate(self.entries):
                idle = not harness.state.requests
                if (self._steps + number) % (TICK * (10 if idle else 1)) == 0:
                    harness.handle(Ticked())
                    self._follow(number)
                if (self._steps + 7 * number) % (40 if self.size > 16 else 20) == 0:
                    self._report(number)

    def forget_outcomes(self) -> None:
        """Count outcomes anew."""
        self.outcomes = {kind: Counter() for kind in RATES}

    def _later(self, delay: float, kind: str, *content: object) -> None:
        due = self.clock.now() + round(delay)
        heapq.heappush(self._schedule, (due, next(self._order), kind, content))

    def _arrive(self) -> None:
        for kind, rate in RATES.items():
            share = rate * self.size * self.factors[kind] * STEP / 1_000
            while share > 0 and self.rng.random() < share:
                share -= 1.0
                self.outcomes[kind]["tries"] += 1
                self._apply("client", (kind, f"d-{next(self._order)}", True))

    def _apply(self, kind: str, content: tuple) -> None:  # type: ignore[type-arg]
        if kind == "client":
            route, digest, first = content
            number = self.rng.randrange(self.size)
            harness = self.entries[number]
            key = (number, harness.next_number)
            self._known[key] = (route, digest, self.clock.now(), first)
            prompt = PROMPTS[route]
            harness.receive_request(f"/{route}/a", prompt, digest=digest)
            self._follow(number)
            return
        number, attempt, process = content
        harness = self.entries[number]
        if harness is not process or attempt not in harness.state.attempts:
            return
        if kind == "first":
            request = harness.state.attempts[attempt].request
            route, _, arrived, first = self._known[number, request]
            objective = (LONG if route == "long" else SHORT).objective
            late = self.clock.now() - arrived > objective
            self.outcomes[route]["in_time"] += first and not late
            harness.send_pieces(attempt, 1, 1)
            self._later(DURATIONS[route], "end", number, attempt, harness)
        else:
            harness.handle(StreamEnded(attempt))
        self._follow(number)

    def _follow(self, number: int) -> None:
        harness = self.entries[number]
        now = self.clock.now()
        for opened in harness.find_effects(OpenAttempt):
            route = self._known[number, opened.number][0]
            engine = self.engines[opened.target]
            read = PROMPTS[route].tokens // READ_RATE
            engine.free_at = Millis(max(engine.free_at, now) + read)
            delay = engine.free_at - now
            self._later(delay, "first", number, opened.attempt, harness)
        for refused in harness.find_effects(Refuse):
            route, digest, arrived, first = self._known[number, refused.number]
            outcome = self.outcomes[route]
            outcome["rejected"] += 1
            outcome["held"] += now - arrived > HELD_MILLIS
            pause = refused.problem.retry_after
            if first and pause is not None:
                self._later(pause, "client", route, digest, False)
        harness.effects = []

    def _report(self, number: int) -> None:
        harness = self.entries[number]
        state, now = harness.state, self.clock.now()
        message = peers.describe_entry(state, now)
        far = None
        if state.is_large and domains.is_domain_representative(state, now):
            far = domains.describe_domain(state, now)
        for other in self.entries:
            if other is harness:
                continue
            near = other.state.failure_domain == state.failure_domain
            if near or not state.is_large:
                other.handle(message)
            elif far is not None:
                other.handle(far)
