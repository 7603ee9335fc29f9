"""Tests of the contract of orders to engines, with and without fencing checks."""

from typing import Any

import pytest

from figstep.core.clock import ManualClock, Millis
from figstep.core.effects import SendOrder
from figstep.core.events import OrderAnswered
from figstep.core.inventory import EngineInfo
from figstep.core.orders import LoadModel, OrderOutcome
from figstep.net.orders import OrderEdge
from figstep.standins.engine import EngineServer
from figstep.standins.http import start_app
from figstep.standins.proxy import CutAfter, Delay, Fault, LoseAnswers, TcpProxy
from tests.fleet import wait_for

NEWEST_FENCING = 7
LEASE_END = Millis(1_000)

APPLIED, STALE = OrderOutcome.APPLIED, OrderOutcome.STALE
UNCERTAIN = OrderOutcome.UNCERTAIN
CASES: dict[str, tuple[dict[str, Any], OrderOutcome, bool]] = {
    "newer number": ({"fencing": 8}, APPLIED, True),
    "same number": ({"fencing": 7}, APPLIED, True),
    "older number": ({"fencing": 6}, STALE, False),
    "older number, not checked": ({"fencing": 6, "checks": False}, APPLIED, True),
    "slow link": ({"fault": Delay(0.05)}, APPLIED, True),
    "answer lost": ({"fault": LoseAnswers(1)}, UNCERTAIN, True),
    "answer cut": ({"fault": CutAfter(20)}, UNCERTAIN, True),
    "engine is down": ({"crashed": True}, UNCERTAIN, False),
    "lease lapsed before it was sent": ({"now": 1_000}, UNCERTAIN, False),
    "engine not in the inventory": ({"known": False}, UNCERTAIN, False),
}


@pytest.mark.parametrize(("case", "outcome", "applied"), CASES.values(), ids=CASES)
async def test_an_order_is_applied_refused_or_uncertain(
    case: dict[str, Any], outcome: OrderOutcome, applied: bool
) -> None:
    """Guards against a wrong outcome of an order.

    The sender must not treat a lost answer as a refusal, and must not send after its
    lease has expired: an engine that ignores fencing numbers would execute the order.
    """
    engine = EngineServer("engine-1")
    engine.checks_fencing = case.get("checks", True)
    engine.crashed = case.get("crashed", False)
    engine.fencing = NEWEST_FENCING
    runner, url = await start_app(engine.build_app())
    host, _, port = url.removeprefix("http://").rpartition(":")
    proxy = TcpProxy(host, int(port))
    await proxy.start()
    fault: Fault | None = case.get("fault")
    if fault is not None:
        proxy.set_fault(fault)
    info = EngineInfo("engine-1", proxy.url, "muc-a", ("m",))
    events: list[Any] = []
    edge = OrderEdge(
        events.append,
        lambda name: info if case.get("known", True) else None,
        ManualClock(case.get("now", 0)),
    )
    await edge.start()
    order = LoadModel("m", "2")
    number = case.get("fencing", NEWEST_FENCING)
    edge.send_order(SendOrder(1, "engine-1", order, number, LEASE_END))
    await wait_for(lambda: events, "the order was answered")
    await edge.stop()
    await proxy.stop()
    await runner.cleanup()
    assert events == [OrderAnswered(1, outcome)]
    assert bool(engine.orders) is applied
