"""Simulation of a large fleet that places prompts by the loads its entries exchange."""

import random
from dataclasses import dataclass, field, replace

from figstep.core.clock import ManualClock, Millis
from figstep.gateway import domains, peers
from figstep.gateway.effects import AnnounceTarget, Note, OpenAttempt
from figstep.gateway.events import (
    EntriesCounted,
    PeerHeard,
    PeerLoad,
    StreamEnded,
    TargetRegistered,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import DEFAULT_READ_RATE, Registration
from figstep.net.links import (
    HELLO_INTERVAL_SECONDS,
    REMOTE_FULL_REPORT_SECONDS,
    REMOTE_UPDATE_SECONDS,
)
from tests.gateway.worlds import ENGINES, EntryHarness

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a", "rgb-a", "wue-a")
ENTRIES_PER_DOMAIN = 4
"""Number of simulated entries in each failure domain."""

ENGINES_PER_DOMAIN = {
    "muc-a": 9,
    "muc-b": 9,
    "nue-a": 9,
    "aug-a": 2,
    "rgb-a": 1,
    "wue-a": 1,
}
"""Number of engines in each failure domain; every domain has as many callers."""

FLEET_SIZE = 195
"""Number of entries that each simulated entry takes the fleet to have."""

PROMPTS_PER_SECOND = 28
"""Arrival rate of prompts in all simulated entries together."""

DURATION_SECONDS = 8
"""Simulated time, in seconds."""

STEP = Millis(10)
"""Simulation step, in milliseconds."""

PROMPT_TOKENS = 1_700
"""Length of each prompt, in tokens."""

GENERATION_DURATION = Millis(3_000)
"""Milliseconds that a run takes once its prompt has been read."""


@dataclass
class Engine:
    """An engine that reads prompts one after another.

    Attributes:
        free_at: Time at which it has read all prompts that it was sent.
    """

    free_at: Millis = Millis(0)

    def read(self, now: Millis) -> Millis:
        """Queue a prompt and return the time at which it has been read."""
        start = max(self.free_at, now)
        self.free_at = Millis(start + round(PROMPT_TOKENS / DEFAULT_READ_RATE))
        return self.free_at


@dataclass
class Fleet:
    """Simulated entries of several failure domains; no messages are lost.

    Attributes:
        clock: Clock that all entries share.
        entries: The simulated entries.
        engines: Engines by name.
        ratios: Reading time of each prompt, divided by the expected one.
        due: Pending events of runs: time, entry, kind and attempt.
        sent_loads: Loads that each entry last sent to other failure domains, by target.
        rng: Source of the arrivals.
    """

    clock: ManualClock = field(default_factory=lambda: ManualClock(100_000))
    entries: list[EntryHarness] = field(default_factory=list)
    engines: dict[str, Engine] = field(default_factory=dict)
    ratios: list[float] = field(default_factory=list)
    due: list[tuple[Millis, EntryHarness, str, int]] = field(default_factory=list)
    sent_loads: dict[str, dict[str, PeerLoad]] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(3))

    def build(self) -> None:
        """Create entries and engines, and register all engines at all entries."""
        for domain in DOMAINS:
            for number in range(ENTRIES_PER_DOMAIN):
                harness = EntryHarness(clock=self.clock)
                harness.state.node = f"entry-{domain}-{number}"
                harness.state.failure_domain = domain
                harness.state.rng.seed(len(self.entries))
                harness.handle(EntriesCounted(FLEET_SIZE))
                self.entries.append(harness)
        for domain in DOMAINS:
            for number in range(ENGINES_PER_DOMAIN[domain]):
                name = f"e-{domain}-{number}"
                self.engines[name] = Engine()
                info = Registration(name, ENGINES, f"{name}:80", domain, 24, born=1)
                for harness in self.entries:
                    harness.handle(TargetRegistered(info))

    def simulate(self) -> None:
        """Simulate the arrival, reading and generation of prompts."""
        self.build()
        for tick in range(DURATION_SECONDS * 1_000 // STEP):
            self.clock.advance(STEP)
            self._process_due()
            if self.rng.random() < PROMPTS_PER_SECOND * STEP / 1_000:
                self._place(self.rng.choice(self.entries))
            self._exchange_messages(tick * STEP)

    def _place(self, harness: EntryHarness) -> None:
        harness.receive_request("/question/a", Prompt("m", PROMPT_TOKENS, 200, 40))
        announcements = harness.find_effects(AnnounceTarget)
        for opened in harness.find_effects(OpenAttempt):
            notes = [n for n in harness.find_effects(Note) if "expected_ms" in n.fields]
            expected = notes[0].fields["expected_ms"]
            assert isinstance(expected, int)
            now = self.clock.now()
            read_at = self.engines[opened.target].read(now)
            self.ratios.append((read_at - now) / expected)
            self.due.append((read_at, harness, "read", opened.attempt))
            self.due.append(
                (Millis(read_at + GENERATION_DURATION), harness, "end", opened.attempt)
            )
            self._send_locally(harness)
        for announced in announcements:
            self._announce_load(harness, announced.target)

    def _process_due(self) -> None:
        now = self.clock.now()
        due = [item for item in self.due if item[0] <= now]
        self.due = [item for item in self.due if item[0] > now]
        for _, harness, kind, attempt in sorted(due, key=lambda item: item[0]):
            if kind == "read":
                harness.send_pieces(attempt, 1, 1)
            else:
                harness.handle(StreamEnded(attempt))

    def _exchange_messages(self, at: int) -> None:
        for harness in self.entries:
            if at % round(HELLO_INTERVAL_SECONDS * 1_000) == 0:
                self._send_locally(harness)
        if at % round(REMOTE_UPDATE_SECONDS * 1_000) == 0:
            for harness in self.entries:
                if domains.is_domain_representative(harness.state, self.clock.now()):
                    self._send_remotely(
                        harness, at % round(REMOTE_FULL_REPORT_SECONDS * 1_000) == 0
                    )

    def _send_locally(self, harness: EntryHarness) -> None:
        message = peers.describe_entry(harness.state, self.clock.now())
        for other in self.entries:
            is_local = other.state.failure_domain == harness.state.failure_domain
            if is_local and other is not harness:
                other.handle(message)

    def _announce_load(self, harness: EntryHarness, target: str) -> None:
        message = domains.describe_domain(harness.state, self.clock.now())
        loads = tuple(load for load in message.loads if load.target == target)
        self._deliver_remotely(harness, replace(message, loads=loads, partial=True))

    def _deliver_remotely(self, harness: EntryHarness, message: PeerHeard) -> None:
        for other in self.entries:
            if other.state.failure_domain != harness.state.failure_domain:
                other.handle(message)

    def _send_remotely(self, harness: EntryHarness, whole: bool) -> None:
        message = domains.describe_domain(harness.state, self.clock.now())
        sent_loads = self.sent_loads.setdefault(harness.state.node, {})
        if not whole:
            changed = peers.select_changed(sent_loads, message.loads)
            message = replace(message, loads=changed, partial=True)
        sent_loads.update((load.target, load) for load in message.loads)
        self._deliver_remotely(harness, message)


def test_prompts_are_read_when_a_large_fleet_expects_it() -> None:
    """Guards against prompts that queue behind others which were not reported."""
    ratios = []
    for seed in range(3, 11):
        fleet = Fleet(rng=random.Random(seed))
        fleet.simulate()
        ratios += fleet.ratios
    ratios.sort()
    assert ratios[len(ratios) * 9 // 10] <= 1.3
