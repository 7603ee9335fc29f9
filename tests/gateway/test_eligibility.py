"""Tests of regions that routes and customers are bound to."""

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
Homes = frozenset[str] | None


def bind(
    allowed_regions: Homes, customer: Homes = None, version: int = 2
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
    world: EntryHarness, name: str, domain: str, service: str = BOOKINGS
) -> None:
    """Register a target of a failure domain."""
    info = Registration(name, service, f"{name}:80", domain, 24, born=1)
    world.handle(TargetRegistered(info))


def build_world(allowed_regions: Homes, customer: Homes = None) -> EntryHarness:
    """Return an entry in one of three regions, each with a target."""
    world = EntryHarness()
    world.handle(SettingsRead(0.2, 56.0, world.state.budget.window, REGIONS))
    world.handle(ConfigurationRead(bind(allowed_regions, customer)))
    for domain in REGIONS:
        register(world, f"b-{domain}", domain)
    return world


def find_reached(world: EntryHarness, path: str = "/order/a") -> set[str]:
    """Return the targets that some calls are sent to."""
    reached = set()
    for _ in range(12):
        world.arrive(path)
        reached |= {opened.target for opened in world.find_all(OpenAttempt)}
    return reached


def test_a_request_stays_in_the_regions_of_its_route() -> None:
    """Guards against requests run in a region that their route forbids."""
    world = build_world(frozenset({"berlin", "eire"}))
    assert find_reached(world) == {"b-ber-a", "b-ie-a"}


def test_a_request_stays_in_the_regions_of_its_customer() -> None:
    """Guards against requests run in a region that their customer forbids."""
    world = build_world(None, frozenset({"eire"}))
    assert find_reached(world) == {"b-ie-a"}


def test_regions_of_route_and_customer_both_bind() -> None:
    """Guards against one of two bounds that is forgotten."""
    world = build_world(frozenset({"berlin", "eire"}), frozenset({"bayern", "eire"}))
    assert find_reached(world) == {"b-ie-a"}


def test_a_request_without_any_home_is_refused_at_once() -> None:
    """Guards against callers held for targets that they may never be sent to."""
    world = build_world(frozenset({"berlin"}), frozenset({"eire"}))
    world.arrive("/order/a")
    problem = world.find(Refuse).problem
    assert (problem.status, problem.code) == (503, "no_home")


def test_a_failure_domain_of_unknown_region_is_nobodys_home() -> None:
    """Guards against a new failure domain that is taken for a home."""
    world = build_world(frozenset({"berlin"}))
    register(world, "b-new", "ham-a")
    assert find_reached(world) == {"b-ber-a"}


def test_retries_stay_at_home() -> None:
    """Guards against second tries that leave the regions of their route."""
    world = build_world(frozenset({"berlin"}))
    world.arrive("/lookup/a")
    first = world.find(OpenAttempt)
    world.handle(AttemptLost(first.attempt, Loss.FAILED, status=500))
    assert not world.find_all(OpenAttempt)


def test_copies_stay_at_home() -> None:
    """Guards against a run's memory that is copied to a region it is not bound to."""
    world = build_world(frozenset({"berlin"}))
    register(world, "e-1", "ber-a", ENGINES)
    opened = world.open_plan()
    world.send_pieces(opened.attempt, 1, 9)
    register(world, "e-2", "muc-a", ENGINES)
    world.handle(TargetDeparted("e-1"))
    assert not world.find_all(CopyRun)
    register(world, "e-3", "ber-a", ENGINES)
    assert world.find(CopyRun).holder == "e-3"


def test_new_homes_bind_requests_that_wait() -> None:
    """Guards against a waiting request sent where it must not go any more."""
    world = build_world(None)
    register(world, "e-1", "ber-a", ENGINES)
    for _ in range(9):
        world.arrive_plan()
    assert world.state.queue
    world.handle(ConfigurationRead(bind(frozenset({"eire"}), version=3)))
    register(world, "e-2", "muc-a", ENGINES)
    world.handle(Ticked())
    assert not world.find_all(OpenAttempt)
    assert {refuse.problem.code for refuse in world.find_all(Refuse)} == {"no_home"}


def test_a_route_that_was_dropped_keeps_its_homes() -> None:
    """Guards against a request set free as its route leaves the configuration."""
    world = build_world(frozenset({"eire"}))
    number = world.arrive("/order/a")
    table = replace(bind(None, version=3), routes={})
    world.handle(ConfigurationRead(table))
    assert world.state.requests[number].allowed_regions == frozenset({"eire"})
