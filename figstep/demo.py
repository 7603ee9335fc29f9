"""Demo deployment: stand-ins and entries in one process, on one event loop."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson

from figstep.application import Application
from figstep.inventory import hash_key
from figstep.net.log import HttpLog
from figstep.operations import publish_document
from figstep.settings import Limits, Listen, Peers, Platform, Settings, Tls
from figstep.standins.engine import EngineServer
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.log import LogService
from figstep.standins.service import PlainService

KEY = "demo-key"
MODEL = "langar-8b"
# Time between two tokens of each engine, in seconds.
ENGINE_TOKEN_GAPS = (0.01, 0.02, 0.04)
# Interval at which ``run_deployment`` checks whether the inventory is in force.
READY_POLL_SECONDS = 0.02


@dataclass(slots=True)
class Deployment:
    """A running deployment on the loopback interface.

    Attributes:
        document: Published inventory document.
        offset: Offset at which the inventory was accepted.
    """

    document: dict[str, Any]
    offset: int
    entries: list[Application]
    engines: list[EngineServer]
    service: PlainService
    log: LogService
    instances: InstanceList = field(default_factory=InstanceList)


def build_document(engines: dict[str, str], service_url: str) -> dict[str, Any]:
    """Return the inventory document of the demo.

    ``engines`` holds the base URL of each engine by name.
    """
    listed = []
    for name, url in engines.items():
        listed.append(
            {
                "name": name,
                "address": url,
                "failure_domain": "muc-a",
                "models": [MODEL],
            }
        )
    return {
        "failure_domains": [{"name": "muc-a", "region": "bavaria"}],
        "engines": listed,
        "services": [
            {
                "name": "planning-1",
                "service": "planning",
                "address": service_url,
                "failure_domain": "muc-a",
            }
        ],
        "models": [{"name": MODEL}],
        "customers": [{"name": "demo", "key_hash": hash_key(KEY)}],
        "rules": {
            "non_idempotent": [
                {"service": "planning", "method": "POST", "path": "/orders"}
            ]
        },
    }


@asynccontextmanager
async def run_deployment(
    entries: int = 2,
    limits: Limits | None = None,
    tls: Tls | None = None,
    gaps: tuple[float, ...] = ENGINE_TOKEN_GAPS,
) -> AsyncIterator[Deployment]:
    """Run stand-ins and entries with a published inventory that is in force.

    The default limits apply if ``limits`` is None, and callers use plain HTTP if
    ``tls`` is None. ``gaps`` holds the time between two tokens of each engine, in
    seconds.
    """
    async with AsyncExitStack() as stack:
        log, instances = LogService(), InstanceList()
        log_url = await _start(stack, log.build_app())
        instances_url = await _start(stack, instances.build_app())
        engines, urls = [], {}
        for number, gap in enumerate(gaps, 1):
            engine = EngineServer(f"engine-{number}", gap)
            engines.append(engine)
            urls[engine.name] = await _start(stack, engine.build_app())
        service = PlainService("planning-1")
        service_url = await _start(stack, service.build_app())
        applications: list[Application] = []
        peers: list[str] = []
        for number in range(1, entries + 1):
            settings = Settings(
                node=f"entry-{number}",
                failure_domain="muc-a",
                callers=Listen(),
                platform=Platform(log=log_url, instances=instances_url),
                peers=Peers(key=KEY, start=tuple(peers)),
                limits=limits or Limits(),
                tls=tls,
                notice_seconds=0,
            )
            application = Application(settings)
            await application.start()
            stack.push_async_callback(application.stop)
            applications.append(application)
            peers.append(application.peers.address)
            instances.list_entry(
                settings.node, application.callers.address, application.peers.address
            )
        document = build_document(urls, service_url)
        client = HttpLog(log_url)
        stack.push_async_callback(client.close)
        offset = await publish_document(client, document, "demo", "first inventory")
        for application in applications:
            while application.entry_state.configuration_offset < offset:
                await asyncio.sleep(READY_POLL_SECONDS)
        yield Deployment(
            document, offset, applications, engines, service, log, instances
        )


async def _start(stack: AsyncExitStack, app: Any) -> str:
    runner, url = await start_app(app)
    stack.push_async_callback(runner.cleanup)
    return url


async def show_demo() -> None:
    """Publish an inventory, stream and print one answer, and name its target."""
    async with run_deployment() as deployment:
        print(f"published inventory at offset {deployment.offset}")
        url = deployment.entries[0].callers.address
        body = {
            "model": MODEL,
            "stream": True,
            "messages": [{"role": "user", "content": "What replaces paneer?"}],
        }
        headers = {"Authorization": f"Bearer {KEY}"}
        async with aiohttp.ClientSession() as session:
            async with session.post(
                url + "/v1/chat/completions", json=body, headers=headers
            ) as response:
                response.raise_for_status()
                generation = await _print_answer(response)
        print(f"served by {generation.partition('~')[0]}")


async def _print_answer(response: aiohttp.ClientResponse) -> str:
    generation = ""
    async for line in response.content:
        if line.startswith(b"id: "):
            generation = line[4:].decode().strip()
        if not line.startswith(b"data: {"):
            continue
        document = orjson.loads(line[6:])
        print(document["choices"][0]["delta"]["content"], end="", flush=True)
    print()
    return generation


async def hold_demo() -> None:
    """Run the demo until SIGTERM or SIGINT.

    Prints the addresses of the entries, the customer's key and ``ready`` first.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with run_deployment() as deployment:
        for application in deployment.entries:
            print(f"entry {application.callers.address}")
        print(f"key {KEY}")
        print("ready", flush=True)
        await stop.wait()
