"""Tests of the load messages between entries of a large fleet."""

import random
from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.crashes import Clearance, Suspicion
from figstep.core.positions import Position
from figstep.gateway.budgets import UseReport
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.news import FULL_REPORT_INTERVAL, LoadUpdates
from figstep.gateway.places import Evacuations
from figstep.gateway.refusals import Refusal
from figstep.net.hellos import Hello, encode_hello
from tests.gateway.worlds import EntryHarness

TARGETS = [f"e-{number}" for number in range(30)]


def build_message(calls: dict[str, int]) -> PeerHeard:
    """Return an entry's message with its number of calls at some targets."""
    loads = tuple(PeerLoad(t, n, 3_000 * n, 0, 7.0) for t, n in calls.items())
    return PeerHeard("entry-2", loads, failure_domain="muc-a")


def read_peer_calls(harness: EntryHarness) -> dict[str, int]:
    """Return the open calls that an entry attributes to its peers, by target."""
    found = {}
    for name, target in harness.state.targets.targets.items():
        if target.peer_calls:
            found[name] = target.peer_calls
    return found


@pytest.mark.parametrize("seed", range(5))
def test_partial_messages_give_the_same_loads_as_whole_ones(seed: int) -> None:
    """Guards against loads that drift as only changes are sent."""
    rng = random.Random(seed)
    news = LoadUpdates()
    harness = EntryHarness()
    harness.register(*TARGETS)
    calls = dict.fromkeys(TARGETS, 0)
    now = Millis(0)
    for _ in range(300):
        now = Millis(now + rng.randrange(10, 300))
        target = rng.choice(TARGETS)
        calls[target] = max(0, calls[target] + rng.choice((-1, 1)))
        harness.handle(news.select(build_message(calls), now))
        assert read_peer_calls(harness) == {t: n for t, n in calls.items() if n}


@pytest.mark.parametrize("seed", range(5))
def test_a_lost_message_is_repaired_by_a_later_one(seed: int) -> None:
    """Guards against prompts that stay unknown because one datagram was lost."""
    rng = random.Random(seed)
    news = LoadUpdates()
    harness = EntryHarness()
    harness.register(*TARGETS)
    calls = dict.fromkeys(TARGETS, 0)
    harness.handle(news.select(build_message(calls), Millis(0)))
    for step in range(1, 15):
        calls[rng.choice(TARGETS)] += 1
        lost = news.select(build_message(calls), Millis(step * 100))
        assert lost.partial
    calls["e-0"] += 1
    harness.handle(news.select(build_message(calls), Millis(1_600)))
    assert read_peer_calls(harness) == {t: n for t, n in calls.items() if n}


def test_loads_of_a_closing_peer_are_removed() -> None:
    """Guards against engines that look busy with calls of an entry that has ended."""
    news = LoadUpdates()
    harness = EntryHarness()
    harness.register("e-0", "e-1")
    harness.handle(news.select(build_message({"e-0": 2}), Millis(0)))
    harness.handle(news.select(build_message({"e-0": 3, "e-1": 1}), Millis(100)))
    assert read_peer_calls(harness) == {"e-0": 3, "e-1": 1}
    harness.handle(replace(build_message({}), closing=True))
    assert read_peer_calls(harness) == {}


def test_changed_loads_are_sent_in_a_small_message() -> None:
    """Guards against messages that grow with the number of targets in the fleet."""
    news = LoadUpdates()
    calls = dict.fromkeys(TARGETS, 2)
    whole = news.select(build_message(calls), Millis(0))
    calls["e-7"] = 3
    part = news.select(build_message(calls), Millis(100))
    assert [load.target for load in part.loads] == ["e-7"]
    assert len(encode_hello(Hello(part))) < len(encode_hello(Hello(whole))) / 4


def test_whole_messages_are_sent_periodically() -> None:
    """Guards against growth of runs that is never sent to the peers."""
    news = LoadUpdates()
    calls = dict.fromkeys(TARGETS, 2)
    news.select(build_message(calls), Millis(0))
    assert news.select(build_message(calls), Millis(FULL_REPORT_INTERVAL - 1)).partial
    assert not news.select(build_message(calls), FULL_REPORT_INTERVAL).partial


def test_unchanged_state_sends_no_message() -> None:
    """Guards against entries that send messages without any change."""
    news = LoadUpdates()
    own = replace(
        build_message({"e-0": 1}),
        uses=(UseReport("bookings", 10, 1),),
        refused=(Refusal("digest", Millis(10)),),
    )
    news.select(own, Millis(0))
    later = replace(
        own,
        uses=(UseReport("bookings", 25, 1),),
        refused=(Refusal("digest", Millis(90)),),
    )
    assert not news.has_urgent_changes(later)


@pytest.mark.parametrize(
    "change",
    [
        {"uses": (UseReport("bookings", 10, 2),)},
        {"leaving": ("e-1",)},
        {"evacuations": Evacuations(frozenset({"muc-b"}), Position(1, 4))},
        {"configuration": 9},
        {"position": Position(1, 12)},
        {"loads": (PeerLoad("e-0", 2, 6_000),)},
        {"suspicions": (Suspicion("digest", "e-1@1"),)},
        {"clearances": (Clearance("digest"),)},
    ],
)
def test_changes_that_peers_act_on_are_sent_at_once(change: dict[str, object]) -> None:
    """Guards against urgent changes that wait for the next whole message."""
    news = LoadUpdates()
    own = replace(build_message({"e-0": 1}), uses=(UseReport("bookings", 10, 1),))
    news.select(own, Millis(0))
    assert news.has_urgent_changes(replace(own, **change))  # type: ignore[arg-type]
