"""Tests of the regions to which routes and customers are bound."""

from dataclasses import replace

from figstep.gateway.effects import CopyRun, OpenAttempt, Refuse
from figstep.gateway.events import (
    AttemptLost,
    ConfigurationRead,
    Loss,
    SettingsRead,
    TargetDeparted,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.routes import Customer, RoutingTable
from figstep.gateway.targets import Registration
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    KEY,
    LOOKUP,
    ORDER,
    PLAN,
    QUESTION,
    EntryHarness,
    build_table,
)

REGIONS = {"muc-a": "bayern", "ber-a": "berlin", "ie-a": "eire"}
RegionSet = frozenset[str] | None


def build_bound_table(
    allowed_regions: RegionSet, customer: RegionSet = None, version: int = 2
) -> RoutingTable:
    """Return a configuration whose routes and customer are bound to regions."""
    routes = [
        replace(route, allowed_regions=allowed_regions)
        for route in (PLAN, QUESTION, ORDER, LOOKUP)
    ]
    table = build_table(version, routes)
    return replace(
        table, customers={KEY: Customer("gurdwara", allowed_regions=customer)}
    )


def register(
    harness: EntryHarness, name: str, domain: str, service: str = BOOKINGS
) -> None:
    """Register a target of a failure domain."""
    info = Registration(name, service, f"{name}:80", domain, 24, born=1)
    harness.handle(TargetRegistered(info))


def build_harness(
    allowed_regions: RegionSet, customer: RegionSet = None
) -> EntryHarness:
    """Return an entry that knows three regions with one target each."""
    harness = EntryHarness()
    harness.handle(SettingsRead(0.2, 56.0, harness.state.budget.window, REGIONS))
    harness.handle(ConfigurationRead(build_bound_table(allowed_regions, customer)))
    for domain in REGIONS:
        register(harness, f"b-{domain}", domain)
    return harness


def list_called_targets(harness: EntryHarness, path: str = "/order/a") -> set[str]:
    """Return the targets to which twelve requests are sent."""
    called = set()
    for _ in range(12):
        harness.receive_request(path)
        called |= {opened.target for opened in harness.find_effects(OpenAttempt)}
    return called


def test_a_request_stays_in_the_regions_of_its_route() -> None:
    """Guards against requests run in a region that their route forbids."""
    harness = build_harness(frozenset({"berlin", "eire"}))
    assert list_called_targets(harness) == {"b-ber-a", "b-ie-a"}


def test_a_request_stays_in_the_regions_of_its_customer() -> None:
    """Guards against requests run in a region that their customer forbids."""
    harness = build_harness(None, frozenset({"eire"}))
    assert list_called_targets(harness) == {"b-ie-a"}


def test_regions_of_route_and_customer_both_bind() -> None:
    """Guards against checking only one of the two region bounds."""
    harness = build_harness(
        frozenset({"berlin", "eire"}), frozenset({"bayern", "eire"})
    )
    assert list_called_targets(harness) == {"b-ie-a"}


def test_a_request_without_an_allowed_region_is_refused_at_once() -> None:
    """Guards against callers that wait for targets that may never serve them."""
    harness = build_harness(frozenset({"berlin"}), frozenset({"eire"}))
    harness.receive_request("/order/a")
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.code) == (503, "no_home")


def test_a_failure_domain_of_unknown_region_is_not_eligible() -> None:
    """Guards against a new failure domain that is used before its region is known."""
    harness = build_harness(frozenset({"berlin"}))
    register(harness, "b-new", "ham-a")
    assert list_called_targets(harness) == {"b-ber-a"}


def test_retries_stay_in_the_regions_of_their_route() -> None:
    """Guards against retries outside the regions of their route."""
    harness = build_harness(frozenset({"berlin"}))
    harness.receive_request("/lookup/a")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    assert not harness.find_effects(OpenAttempt)


def test_copies_stay_at_home() -> None:
    """Guards against a run's memory copied to a region that is not allowed."""
    harness = build_harness(frozenset({"berlin"}))
    register(harness, "e-1", "ber-a", ENGINES)
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    register(harness, "e-2", "muc-a", ENGINES)
    harness.handle(TargetDeparted("e-1"))
    assert not harness.find_effects(CopyRun)
    register(harness, "e-3", "ber-a", ENGINES)
    assert harness.find_effect(CopyRun).holder == "e-3"


def test_new_homes_bind_requests_that_wait() -> None:
    """Guards against a queued request sent to a region that is no longer allowed."""
    harness = build_harness(None)
    register(harness, "e-1", "ber-a", ENGINES)
    for _ in range(9):
        harness.receive_plan()
    assert harness.state.queue
    harness.handle(ConfigurationRead(build_bound_table(frozenset({"eire"}), version=3)))
    register(harness, "e-2", "muc-a", ENGINES)
    harness.handle(Ticked())
    assert not harness.find_effects(OpenAttempt)
    assert {refuse.problem.code for refuse in harness.find_effects(Refuse)} == {
        "no_home"
    }


def test_a_removed_route_keeps_its_regions() -> None:
    """Guards against a request freed from its bounds as its route is removed."""
    harness = build_harness(frozenset({"eire"}))
    number = harness.receive_request("/order/a")
    table = replace(build_bound_table(None, version=3), routes={})
    harness.handle(ConfigurationRead(table))
    assert harness.state.requests[number].allowed_regions == frozenset({"eire"})
