"""Tests of the combined rate at which all entries send to cold targets."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.positions import Position
from figstep.gateway import peers
from figstep.gateway.effects import OpenAttempt
from figstep.gateway.events import (
    AttemptLost,
    ConfigurationRead,
    EvacuationsRead,
    Loss,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.places import Evacuations
from figstep.gateway.routes import RoutingTable, Service
from figstep.gateway.targets import Registration
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    EntryHarness,
    build_fleet,
    build_table,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
RATE = 25.0
"""Warm-up rate of the service, in requests a second."""

WARMUP = Millis(1_000)
"""Default time for which a new target is cold, in milliseconds."""

MAX_PER_SECOND = RATE * 1.5 + 5
"""Requests that a cold target can handle in a second, 1.5 times its rate and 5."""


def build_cold_table(rate: float = RATE) -> RoutingTable:
    """Return a configuration whose services have a warm-up rate."""
    table = build_table(version=2)
    services = dict(table.services)
    services[BOOKINGS] = Service(BOOKINGS, warmup=WARMUP, warmup_rate=rate)
    services[ENGINES] = replace(services[ENGINES], warmup=WARMUP, warmup_rate=rate)
    return replace(table, services=services)


def register(
    harness: EntryHarness, name: str, warmup: int, domain: str = "muc-a", born: int = 1
) -> None:
    """Register a plain target with the time for which it is cold, in milliseconds."""
    info = Registration(
        name, BOOKINGS, f"{name}:80", domain, 6, warmup=Millis(warmup), born=born
    )
    harness.handle(TargetRegistered(info))


def build_harness(rate: float = RATE) -> EntryHarness:
    """Return an entry that knows a service with a warm-up rate."""
    harness = EntryHarness()
    harness.handle(ConfigurationRead(build_cold_table(rate)))
    return harness


def count_sends(harness: EntryHarness, tries: int = 60) -> int:
    """Return how many of some calls are sent on at once."""
    sent = 0
    for _ in range(tries):
        harness.receive_request("/order/a")
        sent += len(harness.find_effects(OpenAttempt))
    return sent


def build_cold_fleet(size: int, connected: bool = True) -> list[EntryHarness]:
    """Return entries that know their own failure domain, or no other entry."""
    fleet = build_fleet(size, DOMAINS)
    clock = fleet[0].clock
    for harness in fleet:
        harness.handle(ConfigurationRead(build_cold_table()))
    if not connected:
        return fleet
    for harness in fleet:
        message = peers.describe_entry(harness.state, clock.now())
        for other in fleet:
            domain = other.state.failure_domain
            if other is not harness and domain == harness.state.failure_domain:
                other.handle(message)
    return fleet


@pytest.mark.parametrize("size", [16, 79, 195])
def test_a_herd_of_waiting_calls_does_not_crash_a_cold_target(size: int) -> None:
    """Guards against a target that crashes because all entries send to it at once."""
    fleet = build_cold_fleet(size)
    for harness in fleet:
        register(harness, "b-1", 1_000)
    sent = sum(count_sends(harness, 20) for harness in fleet)
    assert RATE / 2 <= sent <= MAX_PER_SECOND


@pytest.mark.parametrize("size", [79, 195])
def test_entries_that_hear_nobody_spare_a_cold_target(size: int) -> None:
    """Guards against partitioned entries that each use the whole rate."""
    fleet = build_cold_fleet(size, connected=False)
    for harness in fleet:
        register(harness, "b-1", 1_000)
    assert sum(count_sends(harness, 20) for harness in fleet) <= MAX_PER_SECOND


def test_restarted_entries_spare_a_cold_target() -> None:
    """Guards against processes that restart together and know of no other yet."""
    harness = build_harness()
    harness.state.budget.first_start = False
    harness.state.budget.started = harness.clock.now()
    register(harness, "b-1", 1_000)
    assert count_sends(harness) == 0


def test_the_warmup_rate_holds_in_any_sliding_second() -> None:
    """Guards against bursts at the boundary of two seconds."""
    harness = build_harness()
    register(harness, "b-1", 5_000)
    sent: list[Millis] = []
    for _ in range(400):
        harness.receive_request("/order/a")
        sent += [harness.clock.now()] * len(harness.find_effects(OpenAttempt))
        harness.clock.advance(10)
    for start in sent:
        within = [at for at in sent if start <= at < start + 1_000]
        assert len(within) <= RATE
    assert len(sent) >= 3 * RATE


def test_load_goes_to_warm_targets_first() -> None:
    """Guards against calls that wait for a cold target although warm ones are free."""
    harness = build_harness(rate=0.5)
    register(harness, "b-cold", 1_000)
    register(harness, "b-warm", 0)
    assert count_sends(harness, 5) == 5
    assert {a.target.name for a in harness.state.attempts.values()} == {"b-warm"}


def test_a_call_waits_for_a_cold_target_and_starts_when_it_is_warm() -> None:
    """Guards against callers refused while their only target warms up."""
    harness = build_harness(rate=0.5)
    register(harness, "b-1", 100)
    harness.receive_request("/order/a")
    assert not harness.find_effects(OpenAttempt)
    harness.clock.advance(120)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_a_known_target_may_become_cold_again() -> None:
    """Guards against targets considered warm because they were warm at their start."""
    harness = build_harness(rate=0.5)
    register(harness, "b-1", 0)
    harness.clock.advance(10_000)
    register(harness, "b-1", 1_000)
    assert count_sends(harness, 3) == 0


def test_a_domain_is_cold_when_its_evacuation_ends() -> None:
    """Guards against a burst of calls to cold targets as an evacuation ends."""
    harness = build_harness(rate=0.5)
    register(harness, "b-1", 0)
    harness.handle(EvacuationsRead(Evacuations(frozenset({"muc-a"}), Position(1, 1))))
    harness.clock.advance(5_000)
    harness.handle(EvacuationsRead(Evacuations(frozenset(), Position(1, 2))))
    assert count_sends(harness, 3) == 0
    harness.clock.advance(WARMUP)
    harness.handle(Ticked())
    assert count_sends(harness, 3) > 0


def test_a_target_that_was_down_is_cold_when_it_is_back() -> None:
    """Guards against a burst of calls to a target that returns in a store outage."""
    harness = build_harness(rate=0.5)
    register(harness, "b-1", 0)
    harness.receive_request("/order/a")
    lost = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(lost.attempt, Loss.UNREACHED))
    target = harness.state.targets.targets["b-1"]
    harness.clock.advance(target.backoff_until - harness.clock.now())
    assert count_sends(harness, 3) == 0


def test_a_service_without_a_warmup_rate_is_not_limited() -> None:
    """Guards against a limit for services that do not set one."""
    harness = build_harness(rate=0.0)
    register(harness, "b-1", 1_000)
    assert count_sends(harness, 5) == 5
