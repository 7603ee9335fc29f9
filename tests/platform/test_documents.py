"""Tests of the parsers of the store's records."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from figstep.gateway.routes import RouteKind
from figstep.platform.documents import (
    parse_configuration,
    parse_evacuation,
    parse_registration,
)
from tests.platform.standins import ROUTE_HOST, build_configuration

REGISTRATION = {
    "service": "engines",
    "addr": "10.0.0.1:80",
    "zone": "muc-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "warmup_left_ms": 1_500,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def test_configuration_keeps_what_decisions_need() -> None:
    table = parse_configuration(build_configuration(7))
    assert table.version == 7
    route = table.find_route(ROUTE_HOST, "/order/a")
    assert route is not None
    assert route.kind is RouteKind.UNSAFE
    assert route.shares == (("bookings", 1.0),)
    engine = table.services["engines"].engine
    assert engine is not None
    assert (engine.memory, engine.event_tokens) == (34_000, 4)
    assert table.customers is not None
    assert table.customers["key-2"].name == "gurdwara"


def test_without_customers_no_key_is_needed() -> None:
    document = orjson.loads(build_configuration())
    del document["tenants"]
    assert parse_configuration(orjson.dumps(document)).customers is None


def test_shares_of_a_split_route() -> None:
    document = orjson.loads(build_configuration())
    document["routes"][0]["split"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    route = parse_configuration(orjson.dumps(document)).find_route(
        ROUTE_HOST, "/plan/a"
    )
    assert route is not None
    assert route.shares == (("a", 90.0), ("b", 10.0))


def test_registration_names_its_incarnation() -> None:
    info = parse_registration("i-1", orjson.dumps(REGISTRATION))
    assert info is not None
    assert (info.target, info.born, info.warmup) == ("i-1", 1_700_000_000_000, 1_500)
    assert not info.draining


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        orjson.dumps({**REGISTRATION, "state": "resting"}),
        orjson.dumps({**REGISTRATION, "slots": "many"}),
        orjson.dumps({**REGISTRATION, "addr": "somewhere"}),
        orjson.dumps(
            {name: REGISTRATION[name] for name in REGISTRATION if name != "service"}
        ),
    ],
)
def test_foreign_registrations_are_ignored(value: bytes) -> None:
    assert parse_registration("i-1", value) is None


def test_allowed_regions_and_warmups_are_read() -> None:
    """Guards against allowed regions and warm-up rates that are parsed but dropped."""
    document = orjson.loads(build_configuration())
    document["routes"][0]["regions_allowed"] = ["bayern", "eire"]
    document["tenants"][0]["regions_allowed"] = ["eire"]
    document["services"][0]["warmup_s"] = 1.5
    document["services"][0]["warmup_per_s"] = 25.0
    table = parse_configuration(orjson.dumps(document))
    route = table.find_route(ROUTE_HOST, "/plan/a")
    assert route is not None
    assert route.allowed_regions == frozenset({"bayern", "eire"})
    assert table.customers is not None
    key = document["tenants"][0]["api_keys"][0]
    assert table.customers[key].allowed_regions == frozenset({"eire"})
    service = table.services[document["services"][0]["name"]]
    assert (service.warmup, service.warmup_rate) == (1_500, 25.0)


def test_an_empty_region_list_allows_any_region() -> None:
    """Guards against an empty list of regions that closes a route to all callers."""
    document = orjson.loads(build_configuration())
    document["routes"][0]["regions_allowed"] = []
    table = parse_configuration(orjson.dumps(document))
    route = table.find_route(ROUTE_HOST, "/plan/a")
    assert route is not None
    assert route.allowed_regions is None


@pytest.mark.parametrize(
    ("key", "domain"),
    [
        ("evacuate/muc-a", "muc-a"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
        ("", None),
        ("evacuate/a/b", "a/b"),
    ],
)
def test_only_evacuation_keys_name_a_failure_domain(
    key: str, domain: str | None
) -> None:
    """Guards against other keys that evacuate a failure domain."""
    assert parse_evacuation(key) == domain


@given(st.text(max_size=80))
def test_any_key_can_be_read(key: str) -> None:
    """Guards against a key that stops the parsing of the operator's records."""
    domain = parse_evacuation(key)
    assert domain is None or key == f"evacuate/{domain}"
