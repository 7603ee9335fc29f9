"""Tests of customers' shares while requests wait for capacity at the gateway."""

import heapq
import random
from collections import Counter
from dataclasses import replace

import pytest

from figstep.core.clock import ManualClock
from figstep.gateway import requests
from figstep.gateway.effects import Effect, OpenAttempt, Refuse
from figstep.gateway.events import (
    ConfigurationRead,
    PiecesArrived,
    StreamEnded,
    Ticked,
)
from figstep.gateway.events import StreamPiece as Piece
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import Customer
from tests.gateway.worlds import EntryHarness, build_table

FLOOD, *OTHERS = [f"customer-{number:02}" for number in range(24)]
RUNS = 120  # five engines of 24 runs in one, so that 195 entries take seconds to play
PROMPT = Prompt("m", 100, 200, 100)
TABLE = replace(
    build_table(version=2),
    customers={name: Customer(name) for name in (FLOOD, *OTHERS)},
)


class SharedFleet:
    """Entries that know the exact load of the engines that they share.

    Each gets 14 requests a second, as at the design scale: 5,300 at 370 entries. A run
    takes a second.
    """

    def __init__(self, size: int, overload: float, fair: bool = True) -> None:
        self.rng = random.Random(size)
        self.clock = ManualClock(100_000)
        self.per_second = 14.0 * size
        self.entries = [EntryHarness(clock=self.clock) for _ in range(size)]
        targets = self.entries[0].state.targets
        engines = max(1, round(self.per_second / overload / RUNS))
        slots = round(self.per_second / overload / engines)
        self.entries[0].register(*(f"e-{n}" for n in range(engines)), slots=slots)
        self.capacity = slots * engines
        for entry in self.entries:
            entry.state.targets = targets
            entry.state.fleet_admission = fair
            entry.handle(ConfigurationRead(TABLE))
        self.sent: Counter[str] = Counter()
        self.started: Counter[str] = Counter()
        self.due: list[tuple[int, int, int, bool]] = []

    def run(self, seconds: int, flood: float) -> None:
        """Let one customer send the part ``flood`` of the requests, and all others."""
        for _ in range(seconds * 1_000):
            self.clock.advance(1)
            now = self.clock.now()
            while self.due and self.due[0][0] <= now:
                _, number, attempt, ended = heapq.heappop(self.due)
                piece = PiecesArrived(attempt, [Piece(1, b"id: 1\n\n")])
                event = StreamEnded(attempt) if ended else piece
                self._follow(number, self.entries[number].handle(event))
            for _ in range(int(self.per_second / 1_000 + self.rng.random())):
                is_flood = self.rng.random() < flood
                customer = FLOOD if is_flood else self.rng.choice(OTHERS)
                self.sent[customer] += 1
                number = self.rng.randrange(len(self.entries))
                entry = self.entries[number]
                entry.receive_request("/question/a", PROMPT, key=customer)
                self._follow(number, entry.effects)
            if now % 30 == 0:
                for number in self.rng.sample(
                    range(len(self.entries)), len(self.entries)
                ):
                    state = self.entries[number].state
                    self._follow(number, requests.start_queued(state, now))

    def _follow(self, number: int, effects: list[Effect]) -> None:
        now = self.clock.now()
        for opened in effects:
            if isinstance(opened, OpenAttempt):
                self.started[opened.customer] += 1
                for delay in (100, 1_000):
                    event = (now + delay, number, opened.attempt, delay == 1_000)
                    heapq.heappush(self.due, event)


@pytest.mark.parametrize("size", [8, 32, 88, 195])
def test_one_of_24_customers_with_half_of_the_requests(size: int) -> None:
    """Guards against customers refused because another one floods; overload of 1.3.

    By arrival, 0.74 to 0.82 of the others' requests start, and as many of the flood's.
    """
    fleet = SharedFleet(size, 1.3)
    fleet.run(1, 0.5)
    fleet.sent.clear()
    fleet.started.clear()
    fleet.run(3, 0.5)
    others = sum(fleet.started[name] for name in OTHERS)
    assert others >= 0.88 * sum(fleet.sent[name] for name in OTHERS)
    assert fleet.started.total() >= 0.98 * 3 * fleet.capacity


def test_a_customer_alone_uses_all_capacity() -> None:
    """Guards against capacity kept for customers that do not wait; overload of 1.3."""
    fleet = SharedFleet(8, 1.3)
    fleet.run(4, 1.0)
    assert fleet.started[FLOOD] >= 0.98 * 4 * fleet.capacity


def build_full_entry(fair: bool = True) -> EntryHarness:
    """Return an entry whose only engine has no free slot."""
    harness = EntryHarness()
    harness.state.fleet_admission = fair
    harness.handle(ConfigurationRead(TABLE))
    harness.register("e-1", slots=1)
    harness.receive_request("/question/a", PROMPT, key=OTHERS[0])
    return harness


def start_next(harness: EntryHarness) -> str:
    """End the run that is open and return the customer whose request starts."""
    (attempt,) = harness.state.attempts
    harness.handle(PiecesArrived(attempt, [Piece(1, b"id: 1\n\n")]))
    harness.handle(StreamEnded(attempt))
    harness.handle(Ticked())
    return harness.find_effect(OpenAttempt).customer


def test_a_customers_burst_does_not_fill_the_queue_for_others() -> None:
    """Guards against a limit on waiting requests that one customer uses up."""
    for fair in (True, False):
        harness = build_full_entry(fair)
        for _ in range(3):
            harness.receive_request("/question/a", PROMPT, key=FLOOD)
        assert harness.find_effect(Refuse).number == 4
        newcomer = harness.receive_request("/question/a", PROMPT, key=OTHERS[1])
        # The last request of the burst can no longer start in time: it makes room.
        assert harness.find_effect(Refuse).number == (3 if fair else newcomer)


def test_an_arriving_request_takes_no_room_ahead_of_one_that_waits() -> None:
    """Guards against a flood that starts on arrival while others' requests wait."""
    harness = build_full_entry()
    harness.receive_request("/question/a", PROMPT, key=OTHERS[1])
    harness.register("e-2", slots=1)
    harness.receive_request("/question/a", PROMPT, key=FLOOD)
    assert harness.find_effect(OpenAttempt).customer == OTHERS[1]


def test_idle_and_renamed_customers_begin_at_the_current_virtual_time() -> None:
    """Guards against idle time, a new name or a restart that earns a turn of its own.

    After a restart all virtual times are 0, as in the new entry here.
    """
    harness = build_full_entry()
    for _ in range(40):
        harness.receive_request("/question/a", PROMPT, key=FLOOD)
        assert start_next(harness) == FLOOD
    order = []
    for renamed in (OTHERS[2], OTHERS[3]):
        harness.receive_request("/question/a", PROMPT, key=renamed)
        harness.receive_request("/question/a", PROMPT, key=FLOOD)
        order += [start_next(harness), start_next(harness)]
    assert order == [OTHERS[2], FLOOD, OTHERS[3], FLOOD]
    assert all(
        len(known.accounts) <= 3 for known in harness.state.customer_shares.values()
    )


def test_callers_without_a_key_are_one_customer() -> None:
    """Guards against a turn for each caller without a key."""
    harness = build_full_entry()
    assert harness.state.table is not None
    routes = tuple(replace(route, public=True) for route in TABLE.routes["host"])
    public = replace(TABLE, version=3, routes={"host": routes})
    for _ in range(2):
        harness.receive_request("/question/a", PROMPT, key=FLOOD)
    harness.handle(ConfigurationRead(public))
    for key in ("", "unknown"):
        harness.receive_request("/question/a", PROMPT, key=key)
    assert [start_next(harness) for _ in range(2)] == [FLOOD, ""]
