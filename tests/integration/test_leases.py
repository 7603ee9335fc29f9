"""Tests of orders to engines when a lease holder is frozen and resumes."""

from copy import deepcopy
from pathlib import Path
from typing import Any

from figstep.core.clock import Millis
from figstep.core.leases import LeaseTable, apply_record
from figstep.core.records import LEASES
from figstep.demo import MODEL, build_document
from figstep.operations import publish_document
from figstep.standins.engine import EngineServer
from figstep.standins.http import start_app
from tests.fleet import Fleet, wait_for


async def publish_version(fleet: Fleet, document: dict[str, Any], version: str) -> None:
    document = deepcopy(document)
    document["models"][0]["version"] = version
    document["rules"]["placement"] = [{"model": MODEL, "replicas": 1}]
    await publish_document(fleet.log_client, document, "ops", f"version {version}")


async def find_holder(fleet: Fleet) -> str:
    table = LeaseTable()
    for record in await fleet.log_client.read(LEASES, 0):
        apply_record(table, "", record, Millis(0))
    return table.leases["orders.muc-a"].holder


async def test_a_frozen_holder_is_replaced_and_does_no_harm_when_it_wakes(
    tmp_path: Path,
) -> None:
    """An engine must load a new version while the lease holder is frozen.

    The frozen holder's lease expires, and the other entry acquires it with a higher
    fencing number and orders the new version. When the first holder resumes, it must
    not load the old version again or act with its old fencing number.
    """
    fleet = Fleet(tmp_path)
    engine = EngineServer("engine-1")
    try:
        await fleet.start(entries=2, engines=0, gap=0.01)
        runner, url = await start_app(engine.build_app())
        fleet.stack.push_async_callback(runner.cleanup)
        document = build_document({"engine-1": url}, "http://127.0.0.1:9")
        await publish_version(fleet, document, "1")
        await wait_for(lambda: engine.models == [f"{MODEL}@1"], "version 1 is loaded")
        first = await find_holder(fleet)
        fleet.entries[first].freeze()
        await publish_version(fleet, document, "2")
        await wait_for(lambda: engine.models == [f"{MODEL}@2"], "version 2 is loaded")
        second = await find_holder(fleet)
        assert second != first
        fleet.entries[first].thaw()
        await publish_version(fleet, document, "3")
        await wait_for(lambda: engine.models == [f"{MODEL}@3"], "version 3 is loaded")
    finally:
        await fleet.close()
    numbers = [order["fencing"] for order in engine.orders]
    assert numbers == sorted(numbers)
    assert len(set(numbers)) == 2
    loaded = [o["version"] for o in engine.orders if o["kind"] == "load"]
    assert loaded == sorted(loaded)
