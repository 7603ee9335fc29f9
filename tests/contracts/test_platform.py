"""Tests of the contract with the instance list and the weight store."""

from typing import Any

import aiohttp
import pytest

from figstep.core.clock import Millis
from figstep.core.events import InstancesListed
from figstep.core.inventory import ServiceInfo
from figstep.core.reducer import reduce
from figstep.core.state import State, TargetState
from figstep.net.instances import InstanceEdge
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.proxy import CutAfter, Drip, Fault, Stall, TcpProxy
from figstep.standins.weights import WeightStore
from tests.fleet import wait_for

NAME = "planning-1"


def put_instance(instances: InstanceList, **document: Any) -> None:
    instances.instances[NAME] = {"name": NAME, "kind": "target", **document}


@pytest.mark.parametrize(
    ("known", "listed", "leaving"),
    [
        ((1, False), {"state": "live", "incarnation": 1}, False),
        ((1, False), {"state": "leaving", "incarnation": 1}, True),
        ((1, True), {"state": "live", "incarnation": 1}, True),
        ((1, True), {"state": "live", "incarnation": 2}, False),
        ((2, False), {"state": "leaving", "incarnation": 1}, False),
    ],
)
async def test_a_lagging_list_never_brings_a_leaving_target_back(
    known: tuple[int, bool], listed: dict[str, Any], leaving: bool
) -> None:
    instances = InstanceList()
    put_instance(instances, **listed)
    state = State("entry-1")
    state.targets[NAME] = TargetState(ServiceInfo(NAME, "planning", "", "muc-a"))
    state.targets[NAME].incarnation, state.targets[NAME].leaving = known
    event = await read_list(instances, None)
    reduce(state, event, Millis(0))
    assert state.targets[NAME].leaving is leaving


async def read_list(instances: InstanceList, fault: Fault | None) -> InstancesListed:
    """Read the list over a faulty link and return the first event."""
    runner, url = await start_app(instances.build_app())
    host, _, port = url.removeprefix("http://").rpartition(":")
    proxy = TcpProxy(host, int(port))
    await proxy.start()
    if fault is not None:
        proxy.set_fault(fault)
    events: list[Any] = []
    edge = InstanceEdge(proxy.url, events.append)
    await edge.start()
    if isinstance(fault, Stall):
        await wait_for(lambda: proxy.accepted, "the list was requested")
        assert not events
        proxy.clear_fault()
    await wait_for(lambda: events, "the list was read")
    await edge.stop()
    await proxy.stop()
    await runner.cleanup()
    event = events[0]
    assert isinstance(event, InstancesListed)
    return event


@pytest.mark.parametrize("fault", [Stall(), CutAfter(10), Drip(16, 0.01)])
async def test_the_list_is_read_after_a_fault(fault: Fault) -> None:
    instances = InstanceList()
    put_instance(instances, state="leaving")
    event = await read_list(instances, fault)
    assert [(item.name, item.leaving) for item in event.instances] == [(NAME, True)]


async def test_the_weight_store_limits_its_rate_and_sends_retry_after() -> None:
    now = [100.0]
    store = WeightStore(limit=2, window=5.0, read_seconds=lambda: now[0])
    runner, url = await start_app(store.build_app())
    responses = []
    async with aiohttp.ClientSession(url) as session:
        for at in (100.0, 101.0, 102.0, 105.1, 105.2):
            now[0] = at
            async with session.get("/weights/langar-8b/2") as response:
                responses.append((response.status, response.headers.get("Retry-After")))
    await runner.cleanup()
    assert responses == [(200, None), (200, None), (429, "3"), (200, None), (429, "1")]
    assert store.served == [("langar-8b", "2")] * 3
