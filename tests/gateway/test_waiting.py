"""Tests of customers' shares while requests wait for capacity at the gateway."""

import random
from collections import Counter, deque
from dataclasses import replace

import pytest

from figstep.core.clock import ManualClock
from figstep.gateway import requests
from figstep.gateway.effects import Effect, OpenAttempt, Refuse
from figstep.gateway.events import (
    ConfigurationRead,
    StreamEnded,
    StreamPiece,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import Customer
from tests.gateway.worlds import EntryHarness, build_table

FLOOD, *OTHERS = [f"customer-{number:02}" for number in range(24)]
RUNS = 120  # five engines of 24 runs in one, so that 195 entries take seconds to play
FIRST = StreamPiece(1, b"id: 1\n\n")
TABLE = replace(
    build_table(2), customers={name: Customer(name) for name in (FLOOD, *OTHERS)}
)


def ask(harness: EntryHarness, customer: str) -> list[Effect]:
    """Let a customer send a request and return the effects."""
    prompt = Prompt("m", 100, 200, 100)
    harness.receive_request("/question/a", prompt, key=customer)
    return harness.effects


def play(size: int, flood: float, fair: bool = True) -> tuple[float, float, float]:
    """Return the parts started of a customer's requests, of others', and in use.

    One customer sends the part ``flood`` of the requests, under an overload of 1.3 for
    4 s. Entries know the exact load of the engines that they share. Each gets 14
    requests a second, as at the design scale: 5,300 at 370 entries. A run takes 1 s.
    """
    rng, clock, rate = random.Random(size), ManualClock(100_000), 14.0 * size
    entries = [EntryHarness(clock=clock) for _ in range(size)]
    engines = max(1, round(rate / 1.3 / RUNS))
    slots = round(rate / 1.3 / engines)
    entries[0].register(*(f"e-{n}" for n in range(engines)), slots=slots)
    for entry in entries:
        entry.state.targets = entries[0].state.targets
        entry.state.fleet_admission = fair
        entry.handle(ConfigurationRead(TABLE))
    sent: Counter[bool] = Counter()
    started: Counter[bool] = Counter()
    runs: deque[tuple[int, EntryHarness, int]] = deque()

    def follow(entry: EntryHarness, effects: list[Effect]) -> None:
        for opened in effects:
            if isinstance(opened, OpenAttempt):
                started[opened.customer == FLOOD] += 1
                entry.send_pieces(opened.attempt, 1, 1)
                runs.append((clock.now() + 1_000, entry, opened.attempt))

    for passed in range(4_000):
        if passed == 1_000:  # the engines are full
            sent.clear()
            started.clear()
        clock.advance(1)
        while runs and runs[0][0] <= clock.now():
            _, entry, attempt = runs.popleft()
            entry.handle(StreamEnded(attempt))
        for _ in range(int(rate / 1_000 + rng.random())):
            entry, is_flood = rng.choice(entries), rng.random() < flood
            sent[is_flood] += 1
            follow(entry, ask(entry, FLOOD if is_flood else rng.choice(OTHERS)))
        for entry in rng.sample(entries, size) if passed % 30 == 0 else ():
            follow(entry, requests.start_queued(entry.state, clock.now()))
    used = started.total() / (3 * slots * engines)
    return started[True] / sent[True], started[False] / max(1, sent[False]), used


@pytest.mark.parametrize("size", [8, 32, 88, 195])
def test_one_of_24_customers_with_half_of_the_requests(size: int) -> None:
    """Guards against customers refused because another one floods; overload of 1.3."""
    _, others, used = play(size, 0.5)
    assert others >= 0.88
    assert used >= 0.98


def test_a_customer_alone_uses_all_capacity() -> None:
    """Guards against capacity kept for customers that do not wait; overload of 1.3."""
    assert play(8, 1.0)[2] >= 0.98


def build_full_entry(fair: bool = True) -> EntryHarness:
    """Return an entry whose only engine has no free slot."""
    harness = EntryHarness()
    harness.state.fleet_admission = fair
    harness.handle(ConfigurationRead(TABLE))
    harness.register("e-1", slots=1)
    ask(harness, OTHERS[0])
    return harness


def start_next(harness: EntryHarness) -> str:
    """End the run that is open and return the customer whose request starts."""
    (attempt,) = harness.state.attempts
    harness.send_pieces(attempt, 1, 1)
    harness.handle(StreamEnded(attempt))
    harness.effects = requests.start_queued(harness.state, harness.clock.now())
    return harness.find_effect(OpenAttempt).customer


@pytest.mark.parametrize("fair", [False, True])
def test_a_customers_burst_does_not_fill_the_queue_for_others(fair: bool) -> None:
    """Guards against a limit on waiting requests that one customer uses up."""
    harness = build_full_entry(fair)
    for _ in range(3):
        ask(harness, FLOOD)
    assert harness.find_effect(Refuse).number == 4
    ask(harness, OTHERS[1])
    assert harness.find_effect(Refuse).number == (3 if fair else 5)


def test_an_arriving_request_takes_no_room_ahead_of_one_that_waits() -> None:
    """Guards against a flood that starts on arrival while others' requests wait."""
    harness = build_full_entry()
    ask(harness, OTHERS[1])
    harness.register("e-2", slots=1)
    ask(harness, FLOOD)
    assert harness.find_effect(OpenAttempt).customer == OTHERS[1]


def test_idle_and_renamed_customers_begin_at_the_current_virtual_time() -> None:
    """Guards against turns earned by idle time, by a new name or by a restart."""
    harness = build_full_entry()
    for _ in range(40):
        ask(harness, FLOOD)
        assert start_next(harness) == FLOOD
    for name in (OTHERS[0], OTHERS[1]):  # idle since the start; not seen before
        for customer in (FLOOD, name, name):
            ask(harness, customer)
        assert [start_next(harness) for _ in range(3)] == [name, FLOOD, name]
    (shares,) = harness.state.customer_shares.values()
    assert len(shares.accounts) <= 3


def test_callers_without_a_key_are_one_customer() -> None:
    """Guards against a turn for each caller without a key."""
    harness = build_full_entry()
    routes = tuple(replace(route, public=True) for route in TABLE.routes["host"])
    ask(harness, FLOOD)
    ask(harness, FLOOD)
    harness.handle(
        ConfigurationRead(replace(TABLE, version=3, routes={"host": routes}))
    )
    for key in ("", "unknown"):
        ask(harness, key)
    assert [start_next(harness) for _ in range(2)] == [FLOOD, ""]
