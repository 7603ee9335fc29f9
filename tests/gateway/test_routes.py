"""Tests of the routing table."""

import random
from collections import Counter
from dataclasses import replace

from figstep.gateway.routes import RoutingTable, group_routes
from tests.gateway.worlds import LOOKUP, ORDER, PLAN, QUESTION


def find(table: RoutingTable, host: str, path: str) -> str | None:
    route = table.find_route(host, path)
    return None if route is None else route.name


def test_longest_prefix_within_the_host_wins() -> None:
    inner = replace(PLAN, name="inner", prefix="/plan/week/")
    other = replace(PLAN, name="other", host="other", prefix="/plan/week/long/")
    table = RoutingTable(1, group_routes([PLAN, inner, other]))
    assert find(table, "host", "/plan/a") == "plan"
    assert find(table, "host", "/plan/week/a") == "inner"
    assert find(table, "host", "/plan/week/long/a") == "inner"
    assert find(table, "HOST", "/plan/a") == "plan"
    assert find(table, "host", "/planned/a") is None
    assert find(table, "nowhere", "/plan/a") is None


def test_only_safe_and_resumable_requests_may_run_again() -> None:
    assert LOOKUP.idempotent
    assert QUESTION.idempotent
    assert not ORDER.idempotent
    assert not PLAN.idempotent


def test_services_are_drawn_by_weight() -> None:
    route = replace(PLAN, shares=(("old", 9.0), ("new", 1.0)))
    rng = random.Random(1)
    drawn = Counter(route.choose_service(rng) for _ in range(1_000))
    assert 850 < drawn["old"] < 950
