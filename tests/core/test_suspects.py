"""Tests of calls that crash plain services, beside calls at live services."""

import pytest

from figstep.core.clock import Millis
from figstep.core.effects import OpenAttempt, ProbeTarget, Refuse
from figstep.core.events import (
    AttemptLost,
    CallerGone,
    Loss,
    RequestArrived,
    ServiceAnswered,
    TargetDown,
)
from figstep.core.inventory import Inventory, ServiceInfo
from figstep.core.links import DEATH_DURATION
from figstep.core.reach import MIN_FAILED_TARGETS
from figstep.core.specs import RequestSpec, ServiceWork
from figstep.core.suspects import LOST_CALL_RETENTION, MAX_DEATHS
from figstep.core.targets import MAX_AVOIDANCE
from tests.core.entries import Entry

SERVICES = 6
"""Number of targets of the plain service."""


@pytest.fixture
def entry() -> Entry:
    """Return an entry that knows six targets of one plain service."""
    services = tuple(
        ServiceInfo(f"s{number}", "shop", "http://x", "muc-a")
        for number in range(SERVICES)
    )
    return Entry(inventory=Inventory(services=services))


def send_read(entry: Entry, request: str, digest: str) -> None:
    """Send a read to the service."""
    work = ServiceWork("shop", "GET", "/stock")
    spec = RequestSpec(request, "demo", work, stream=False, digest=digest)
    entry.feed(RequestArrived(spec))


def find_target(entry: Entry, request: str) -> str:
    """Return the target that runs a request."""
    return entry.state.requests[request].target


def start_at_target(entry: Entry, target: str) -> str:
    """Send reads until one runs at a target; return its request, also its digest."""
    number = 0
    while True:
        name = f"beside-{number}"
        send_read(entry, name, name)
        if find_target(entry, name) == target:
            return name
        number += 1


def crash(entry: Entry, request: str) -> str:
    """Crash a request's target while it runs; return the target."""
    target = find_target(entry, request)
    entry.feed(AttemptLost(entry.find_attempt(request), Loss.BROKEN))
    entry.feed(TargetDown(target), after=2)
    return target


def crash_all(entry: Entry, request: str) -> list[str]:
    """Crash each target to which a request is sent; return the targets."""
    crashed = []
    while request in entry.state.requests:
        crashed.append(crash(entry, request))
    return crashed


def test_a_target_that_breaks_many_calls_is_probed_once(entry: Entry) -> None:
    """Guards against a probe for each of the calls that a crash interrupts."""
    for number in range(2 * SERVICES):
        send_read(entry, f"r{number}", f"d{number}")
    target = find_target(entry, "r0")
    lost = [name for name in entry.state.requests if find_target(entry, name) == target]
    probed = []
    for name in lost:
        entry.feed(AttemptLost(entry.find_attempt(name), Loss.BROKEN))
        probed += entry.find_effects(ProbeTarget)
    assert len(lost) > 1
    assert probed == [ProbeTarget(target)]


def test_a_call_that_crashes_services_is_kept_away_from_the_rest(entry: Entry) -> None:
    """Guards against a read that crashes all targets of a service in one request."""
    send_read(entry, "r1", "killer")
    assert len(crash_all(entry, "r1")) <= 3
    send_read(entry, "r2", "killer")
    assert entry.find_effect(Refuse).problem.code == "request_quarantined"


def test_a_call_at_services_that_live_is_not_refused(entry: Entry) -> None:
    """Guards against calls refused where connections break but services stay up."""
    send_read(entry, "r1", "good")
    for _ in range(4):
        entry.feed(AttemptLost(entry.find_attempt("r1"), Loss.BROKEN))
    assert not entry.state.quarantine.until
    entry.feed(ServiceAnswered(entry.find_attempt("r1"), 200))
    send_read(entry, "r2", "good")
    assert entry.find_effect(OpenAttempt).request == "r2"


def test_a_neighbour_of_a_call_that_crashes_services_is_served(entry: Entry) -> None:
    """Guards against calls refused for a crash that another call caused."""
    send_read(entry, "bad", "killer")
    name = start_at_target(entry, find_target(entry, "bad"))
    entry.feed(AttemptLost(entry.find_attempt(name), Loss.BROKEN))
    crash_all(entry, "bad")
    assert list(entry.state.quarantine.until) == ["killer"]
    entry.feed(ServiceAnswered(entry.find_attempt(name), 200))
    assert not entry.state.quarantine.crashes.is_suspected(name)


def test_a_service_that_answers_clears_what_broke_there_before(entry: Entry) -> None:
    """Guards against a broken connection taken for the cause of a later crash."""
    send_read(entry, "r1", "good")
    target = find_target(entry, "r1")
    entry.feed(AttemptLost(entry.find_attempt("r1"), Loss.BROKEN))
    name = start_at_target(entry, target)
    entry.feed(ServiceAnswered(entry.find_attempt(name), 200))
    entry.feed(TargetDown(target))
    assert not entry.state.quarantine.crashes.is_suspected("good")


def test_a_break_of_long_ago_is_no_part_of_a_crash(entry: Entry) -> None:
    """Guards against calls suspected for a service that ends much later."""
    send_read(entry, "r1", "good")
    target = find_target(entry, "r1")
    entry.feed(AttemptLost(entry.find_attempt("r1"), Loss.BROKEN))
    entry.feed(TargetDown(target), after=Millis(LOST_CALL_RETENTION + 1))
    assert not entry.state.quarantine.crashes.is_suspected("good")


def test_a_call_whose_loss_is_reported_after_its_target_is_down_is_suspected(
    entry: Entry,
) -> None:
    """Guards against blaming only the call whose loss is reported first."""
    send_read(entry, "first", "first")
    name = start_at_target(entry, find_target(entry, "first"))
    crash(entry, "first")
    entry.feed(AttemptLost(entry.find_attempt(name), Loss.BROKEN), after=10)
    assert entry.state.quarantine.crashes.count(name) == 1


def test_a_call_that_crashes_the_only_target_again_is_refused() -> None:
    """Guards against counting the crashes of a single target as one."""
    services = (ServiceInfo("s1", "shop", "http://x", "muc-a"),)
    entry = Entry(inventory=Inventory(services=services))
    for number in range(2):
        send_read(entry, f"r{number}", "killer")
        crash(entry, f"r{number}")
        entry.feed(CallerGone(f"r{number}"), after=MAX_AVOIDANCE)
    send_read(entry, "r3", "killer")
    assert entry.find_effect(Refuse).problem.code == "request_quarantined"


def test_breaks_of_one_crash_count_once(entry: Entry) -> None:
    """Guards against a call refused after one crash that two probes reported."""
    send_read(entry, "r1", "good")
    target = crash(entry, "r1")
    entry.feed(TargetDown(target))
    assert entry.state.quarantine.crashes.count("good") == 1


def lose_connections(entry: Entry, targets: list[str]) -> None:
    """Let the connection of one read to each of the targets fail."""
    for target in targets:
        attempt = entry.find_attempt(start_at_target(entry, target))
        entry.feed(AttemptLost(attempt, Loss.CONNECT_FAILED), after=1)


def test_crashed_targets_that_refuse_connections_show_no_cut(entry: Entry) -> None:
    """Guards against calls refused as cut off once a call has crashed three targets."""
    send_read(entry, "r", "killer")
    crashed = crash_all(entry, "r")
    assert len(crashed) == MAX_DEATHS
    lose_connections(entry, crashed)
    send_read(entry, "next", "next")
    assert entry.find_effects(OpenAttempt)


def test_targets_whose_open_calls_break_at_once_show_a_cut(entry: Entry) -> None:
    """Guards against links that reset all connections and are taken for crashes."""
    names = [f"s{number}" for number in range(MIN_FAILED_TARGETS)]
    calls = [start_at_target(entry, name) for name in names]
    attempts = [entry.find_attempt(call) for call in calls]
    entry.now = Millis(entry.now + 100)
    for attempt, name in zip(attempts, names, strict=True):
        entry.feed(AttemptLost(attempt, Loss.BROKEN))
        entry.feed(TargetDown(name))
    lose_connections(entry, names)
    send_read(entry, "next", "next")
    assert entry.find_effect(Refuse).problem.code == "cut_off"


def test_targets_that_stay_away_after_their_crash_show_a_cut(entry: Entry) -> None:
    """Guards against a cut that old crashes hide for good."""
    send_read(entry, "r", "killer")
    crashed = crash_all(entry, "r")
    entry.now = Millis(entry.now + DEATH_DURATION)
    lose_connections(entry, crashed)
    send_read(entry, "next", "next")
    assert entry.find_effect(Refuse).problem.code == "cut_off"
