"""Tests of targets that fall over if they reject too many requests in a second."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from figstep.core.clock import ManualClock, Millis
from figstep.gateway import domains, peers
from figstep.gateway.effects import (
    Announce,
    AnnounceTarget,
    CloseAttempt,
    OpenAttempt,
)
from figstep.gateway.events import (
    AnswerArrived,
    AttemptLost,
    BrittlenessNamed,
    Loss,
    Ticked,
)
from tests.gateway.worlds import (
    BOOKINGS,
    EntryHarness,
    build_fleet,
    exchange_messages,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
TARGETS = ("b-1", "b-2", "b-3", "b-4")

SLOTS = 6
WAITING = 1
"""Requests that wait at a target beyond its slots."""

WORK = Millis(200)
"""Time of one request at a target, in milliseconds."""

REJECTIONS = 4
"""Rejections a second that a target bears."""

MAX_FALLS = 2 + len(TARGETS) / 10
"""Falls of the service's targets that are tolerated."""

STEP = Millis(10)
"""Step of the simulation, in milliseconds."""

MESSAGE_INTERVAL = Millis(100)
"""Time between two messages of an entry without an announcement, in milliseconds."""

RESTART = Millis(2_000)
"""Time for which a target that fell over rejects nothing and accepts nothing."""


@dataclass
class BrittleTarget:
    """Simulated target that counts its rejections.

    Attributes:
        running: When each request that it has ends, with its entry and attempt.
        rejected: Times of the rejections in the last second.
        down_until: Until when it is down after a fall.
        falls: Number of its falls.
        served: Number of requests that it has answered.
    """

    name: str
    running: list[tuple[int, int, int]] = field(default_factory=list)
    rejected: deque[int] = field(default_factory=deque)
    down_until: int = 0
    falls: int = 0
    served: int = 0

    def accept(self, entry: int, attempt: int, now: int) -> Loss | None:
        """Take a request; return how it is lost if there is no room."""
        if now < self.down_until:
            return Loss.UNREACHED
        if len(self.running) < SLOTS + WAITING:
            self.running.append((now + WORK, entry, attempt))
            return None
        self.rejected.append(now)
        while now - self.rejected[0] >= 1_000:
            self.rejected.popleft()
        if len(self.rejected) > REJECTIONS:
            self.falls += 1
            self.rejected.clear()
            self.down_until = now + RESTART
        return Loss.REFUSED


class BrittleFleet:
    """Entries that send calls to brittle targets and tell each other of them."""

    def __init__(self, size: int) -> None:
        self.entries = build_fleet(size, DOMAINS)
        self.clock: ManualClock = self.entries[0].clock
        self.targets = {name: BrittleTarget(name) for name in TARGETS}
        self._rng = random.Random(7)
        for entry in self.entries:
            entry.register(*TARGETS, service=BOOKINGS, slots=SLOTS)
        exchange_messages(self.entries)

    def name_rejections(self) -> None:
        """Let each target tell one entry how many rejections it bears."""
        for entry, name in zip(self.entries, TARGETS, strict=False):
            event = BrittlenessNamed(name, float(REJECTIONS), self.clock.now())
            entry.handle(event)
        exchange_messages(self.entries)
        exchange_messages(self.entries)

    def run(self, seconds: int, calls_per_second: int) -> None:
        """Send calls to random entries."""
        steps = seconds * 1_000 // STEP
        due = 0.0
        for step in range(steps):
            due += calls_per_second * STEP / 1_000
            while due >= 1:
                due -= 1
                self._perform(self._rng.randrange(len(self.entries)), "/order/a")
            for number in range(len(self.entries)):
                self._perform(number, None)
            if step * STEP % MESSAGE_INTERVAL == 0:
                exchange_messages(self.entries)
            self.clock.advance(STEP)
            self._answer()

    def _perform(self, number: int, path: str | None) -> None:
        entry = self.entries[number]
        if path is None:
            entry.handle(Ticked())
        else:
            entry.receive_request(path)
        self._send(number, list(entry.effects))

    def _send(self, number: int, effects: list[object]) -> None:
        entry = self.entries[number]
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Announce):
                self._announce(entry)
            if isinstance(effect, AnnounceTarget):
                self._announce_target(entry, effect.target)
            if isinstance(effect, CloseAttempt):
                self._close(number, effect.attempt)
            if not isinstance(effect, OpenAttempt):
                continue
            target = self.targets[effect.target]
            loss = target.accept(number, effect.attempt, self.clock.now())
            if loss is not None:
                effects += entry.handle(AttemptLost(effect.attempt, loss, Millis(50)))

    def _close(self, number: int, attempt: int) -> None:
        for target in self.targets.values():
            target.running = [
                one for one in target.running if one[1:] != (number, attempt)
            ]

    def _announce(self, entry: EntryHarness) -> None:
        message = peers.describe_entry(entry.state, self.clock.now())
        for other in self.entries:
            local = other.state.failure_domain == entry.state.failure_domain
            if other is not entry and (local or not entry.state.is_large):
                other.handle(message)

    def _announce_target(self, entry: EntryHarness, target: str) -> None:
        message = domains.describe_domain_at(entry.state, target, self.clock.now())
        for other in self.entries:
            if other.state.failure_domain != entry.state.failure_domain:
                other.handle(message)

    def _answer(self) -> None:
        now = self.clock.now()
        for target in self.targets.values():
            due = [one for one in target.running if one[0] <= now]
            target.running = [one for one in target.running if one[0] > now]
            for _, number, attempt in due:
                target.served += 1
                self._send(
                    number, self.entries[number].handle(AnswerArrived(attempt, 200))
                )

    @property
    def falls(self) -> int:
        return sum(target.falls for target in self.targets.values())

    @property
    def served(self) -> int:
        return sum(target.served for target in self.targets.values())


@pytest.mark.parametrize("size", [8, 24, 73])
@pytest.mark.parametrize("calls_per_second", [150, 400])
def test_brittle_targets_survive_a_burst(size: int, calls_per_second: int) -> None:
    """Guards against a burst whose rejections topple one target after the other."""
    fleet = BrittleFleet(size)
    fleet.run(1, 60)
    fleet.name_rejections()
    fleet.run(5, calls_per_second)
    assert fleet.falls <= MAX_FALLS
    capacity = len(TARGETS) * SLOTS * 5 * 1_000 // WORK
    assert fleet.served >= capacity / 2


def test_brittle_targets_serve_ordinary_traffic_as_before() -> None:
    fleet = BrittleFleet(8)
    fleet.run(1, 60)
    fleet.name_rejections()
    before = fleet.served
    fleet.run(5, 60)
    assert fleet.falls == 0
    assert fleet.served - before >= 5 * 60 * 0.9


def build_entry() -> EntryHarness:
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS, slots=SLOTS)
    return harness


def name_rejections(harness: EntryHarness, rejections: float | None) -> None:
    harness.handle(BrittlenessNamed("b-1", rejections, harness.clock.now()))


def test_a_rejection_holds_others_back_at_all_entries() -> None:
    """Guards against entries that each learn by a rejection that there is no room."""
    first, second = build_entry(), build_entry()
    second.state.node = "entry-2"
    name_rejections(first, 2.0)
    first.receive_request("/order/a")
    opened = first.find_effect(OpenAttempt)
    first.handle(AttemptLost(opened.attempt, Loss.REFUSED))
    assert first.find_effects(Announce)
    second.handle(peers.describe_entry(first.state, first.clock.now()))
    second.receive_request("/order/b")
    assert second.find_effects(OpenAttempt) == []


def test_calls_wait_while_all_slots_are_taken() -> None:
    harness = build_entry()
    name_rejections(harness, 2.0)
    for number in range(SLOTS + 2):
        harness.receive_request(f"/order/{number}")
    assert harness.state.targets.targets["b-1"].calls == SLOTS
    assert len(harness.state.queue) == 2


def test_a_sound_target_gets_all_calls_at_once() -> None:
    harness = build_entry()
    name_rejections(harness, 2.0)
    harness.clock.advance(1)
    name_rejections(harness, None)
    for number in range(SLOTS + 2):
        harness.receive_request(f"/order/{number}")
    assert harness.state.targets.targets["b-1"].calls == SLOTS + 2


def test_an_older_answer_does_not_end_the_limit() -> None:
    """Guards against an answer under way that undoes a newer one."""
    harness = build_entry()
    asked = harness.clock.now()
    harness.clock.advance(10)
    name_rejections(harness, 2.0)
    harness.handle(BrittlenessNamed("b-1", None, asked))
    assert harness.state.brittle[BOOKINGS].rejections == 2.0


def test_a_failure_that_names_no_rejections_does_not_end_a_brittle_time() -> None:
    """Guards against targets that fall over once one of their calls has failed."""
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS, slots=6)
    now = harness.clock.now()
    harness.handle(BrittlenessNamed("b-1", 4.0, now))
    harness.handle(BrittlenessNamed("b-1", None, now, status=500))
    assert harness.state.brittle[BOOKINGS].rejections == 4.0
    harness.handle(BrittlenessNamed("b-1", None, now))
    assert harness.state.brittle[BOOKINGS].rejections is None
