"""Benchmark of the time from publishing a model version until it is loaded.

Run as ``python -m benchmarks.orders``, with two entry processes and one engine
stand-in that loads without delay. Each round publishes a new version. With
``--freeze`` the entry that holds the lease is frozen first, so the time includes
the expiry of the lease and the takeover by the other entry.
"""

import argparse
import asyncio
import tempfile
import time
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


async def publish_version(fleet: Fleet, document: dict[str, Any], version: int) -> None:
    """Publish the document with the given model version."""
    document = deepcopy(document)
    document["models"][0]["version"] = str(version)
    document["rules"]["placement"] = [{"model": MODEL, "replicas": 1}]
    document["rules"]["load_interval_ms"] = 0
    await publish_document(fleet.log_client, document, "bench", "round")


async def find_holder(fleet: Fleet) -> str:
    """Return the recorded holder of the lease of the only failure domain.

    The lease may have expired since.
    """
    table = LeaseTable()
    for record in await fleet.log_client.read(LEASES, 0):
        apply_record(table, "", record, Millis(0))
    return table.leases["orders.muc-a"].holder


async def wait_loaded(engine: EngineServer, version: int) -> None:
    """Wait until the engine has loaded the version, possibly besides other versions."""
    versioned_model = f"{MODEL}@{version}"
    await wait_for(lambda: versioned_model in engine.models, versioned_model)


async def wait_alone(engine: EngineServer, version: int) -> None:
    """Wait until the version is the only one that the engine has loaded."""
    versioned_model = f"{MODEL}@{version}"
    await wait_for(lambda: engine.models == [versioned_model], versioned_model)


async def run_rounds(rounds: int, freeze: bool, folder: Path) -> list[float]:
    """Run the rounds and return the duration of each, in seconds.

    A round lasts from the publication of a version until the engine has loaded it. With
    ``freeze``, the lease holder is frozen before each round. The settings of the
    entries are written to ``folder``.
    """
    fleet = Fleet(folder)
    engine = EngineServer("engine-1")
    durations = []
    try:
        await fleet.start(entries=2, engines=0, gap=0.01)
        runner, url = await start_app(engine.build_app())
        fleet.stack.push_async_callback(runner.cleanup)
        document = build_document({"engine-1": url}, "http://127.0.0.1:9")
        await publish_version(fleet, document, 0)
        await wait_for(lambda: engine.models == [f"{MODEL}@0"], "version 0")
        for version in range(1, rounds + 1):
            holder = await find_holder(fleet)
            if freeze:
                fleet.entries[holder].freeze()
            started = time.monotonic()
            await publish_version(fleet, document, version)
            await wait_loaded(engine, version)
            durations.append(time.monotonic() - started)
            fleet.entries[holder].thaw()
            await wait_alone(engine, version)
    finally:
        await fleet.close()
    return durations


def main() -> None:
    """Run the rounds and print their durations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--freeze", action="store_true")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        rounds = run_rounds(arguments.rounds, arguments.freeze, Path(folder))
        durations = sorted(asyncio.run(rounds))
    shown = " ".join(f"{seconds:.1f}" for seconds in durations)
    print(f"seconds to loaded, sorted: {shown}")


if __name__ == "__main__":
    main()
