"""Benchmark of routing policies with real entries.

Run as ``python -m benchmarks.policies``. Four entry processes are in front of five
processes of the engine model, which run in real time; log service and instance
list are stand-ins in this process. The policies are run one after the other with
the same arrivals, each on a new fleet.
"""

import argparse
import asyncio
import socket
import tempfile
from contextlib import AsyncExitStack, ExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from figstep.demo import KEY, MODEL, build_document
from figstep.load import Lengths, LoadCustomer, LoadRun, Scenario
from figstep.measures import Summary
from figstep.net.log import HttpLog
from figstep.operations import publish_document
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.log import LogService
from tests.processes import run_figstep, write_yaml

ENTRIES = 4
"""Number of entry processes."""

SETTLE_SECONDS = 5
"""Seconds from publishing the inventory to the start of the load."""

PRINTED_MEASURES = (
    "requests",
    "whole",
    "refused",
    "broken",
    "stall_sum",
    "stall_p99",
    "first_token_p95",
    "gap_p95",
    "gap_p99",
    "gap_max",
)
"""Measures of ``Summary`` that are printed for each policy."""


@dataclass(frozen=True, slots=True)
class Engine:
    """One engine of the fleet.

    Attributes:
        speed: Relative speed.
        memory: Cache memory, in tokens.
        batch: Maximum number of sequences in the batch.
    """

    speed: float
    memory: int
    batch: int


ENGINES = (
    Engine(4.0, 65_536, 64),
    Engine(4.0, 65_536, 64),
    Engine(2.0, 32_768, 32),
    Engine(2.0, 32_768, 32),
    Engine(1.0, 16_384, 32),
)


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that are free for both TCP and UDP.

    Another process may bind the ports before they are used.
    """
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stack.enter_context(datagrams)
            try:
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
    return ports


async def start_engines(stack: AsyncExitStack) -> dict[str, str]:
    """Start the engines and return their URLs by name."""
    urls = {}
    for number, engine in enumerate(ENGINES, 1):
        name = f"engine-{number}"
        arguments = ["standin", "engine", "--name", name]
        arguments += ["--speed", str(engine.speed)]
        arguments += ["--memory", str(engine.memory), "--batch", str(engine.batch)]
        running = await stack.enter_async_context(run_figstep(*arguments))
        urls[name] = running.url
    return urls


def build_inventory(urls: dict[str, str], policy: str) -> dict[str, Any]:
    """Return the inventory document with the sizes of the engines and the policy."""
    document = build_document(urls, "http://127.0.0.1:9")
    for listed, engine in zip(document["engines"], ENGINES, strict=True):
        listed["speed"] = engine.speed
        listed["memory_tokens"] = engine.memory
        listed["max_running"] = engine.batch
    document["rules"]["routing"] = policy
    return document


async def count_preemptions(urls: dict[str, str]) -> int:
    """Return the total number of preemptions of all engines."""
    total = 0
    async with aiohttp.ClientSession() as session:
        for url in urls.values():
            async with session.get(url + "/standin/executed") as response:
                total += orjson.loads(await response.read())["preemptions"]
    return total


async def run_policy(
    policy: str, rate: float, seconds: float, seed: int, folder: Path
) -> tuple[Summary, int]:
    """Run the load with one policy.

    ``rate`` is the mean number of requests per second, which are sent for ``seconds``.
    The arrivals are drawn with ``seed``. The settings of the entries are written to
    ``folder``.

    Returns:
        The measures of the load and the total number of preemptions.
    """
    async with AsyncExitStack() as stack:
        urls = await start_engines(stack)
        log_runner, log_url = await start_app(LogService().build_app())
        stack.push_async_callback(log_runner.cleanup)
        list_runner, list_url = await start_app(InstanceList().build_app())
        stack.push_async_callback(list_runner.cleanup)
        entries: list[str] = []
        ports = find_free_ports(ENTRIES)
        start = [f"127.0.0.1:{port}" for port in ports]
        for number, port in enumerate(ports, 1):
            settings = {
                "node": f"entry-{number}",
                "failure_domain": "muc-a",
                "platform": {"log": log_url, "instances": list_url},
                "peers": {
                    "listen": {"port": port},
                    "start": start,
                    "key": KEY,
                },
            }
            path = write_yaml(folder / f"entry-{number}.yaml", settings)
            running = await stack.enter_async_context(
                run_figstep("serve", "--settings", str(path))
            )
            entries.append(running.url)
        client = HttpLog(log_url)
        stack.push_async_callback(client.close)
        await publish_document(client, build_inventory(urls, policy), "bench", "run")
        await asyncio.sleep(SETTLE_SECONDS)
        scenario = Scenario(
            entries=tuple(entries),
            model=MODEL,
            customers=(LoadCustomer(name="demo", key=KEY),),
            seconds=seconds,
            rate=rate,
            seed=seed,
            lengths=Lengths(long_median=500),
        )
        summary = await LoadRun(scenario).run()
        return summary, await count_preemptions(urls)


def main() -> None:
    """Run the policies one after the other and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", action="append")
    parser.add_argument("--rate", type=float, default=26.0)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for policy in arguments.policy or ["least_in_flight", "figstep"]:
        with tempfile.TemporaryDirectory() as folder:
            run = run_policy(
                policy,
                arguments.rate,
                arguments.seconds,
                arguments.seed,
                Path(folder),
            )
            summary, preemptions = asyncio.run(run)
        line = {"policy": policy, "preemptions": preemptions}
        line |= {
            k: round(v, 1) for k, v in asdict(summary).items() if k in PRINTED_MEASURES
        }
        line["tokens"] = summary.tokens
        print(orjson.dumps(line).decode(), flush=True)


if __name__ == "__main__":
    main()
