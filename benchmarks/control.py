"""Benchmarks of control traffic: configuration, membership and leaving targets.

``python -m benchmarks.control COMMAND`` prints one JSON object per line; the
commands are ``configuration``, ``membership``, ``leaving``, ``state`` and
``document``. The platform stand-ins run in this process, and each entry is a
``figstep serve`` process. ``state`` and ``document`` call the reducer directly.
"""

import asyncio
import json
import random
import statistics
import tempfile
import time
import zlib
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from copy import deepcopy
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import psutil
import typer
from aiohttp import web

from figstep.core.clock import Millis
from figstep.core.effects import SendGossip
from figstep.core.events import (
    GossipReceived,
    GossipTimer,
    PeerListenerOpened,
    TimerFired,
)
from figstep.core.gossip import (
    Gossip,
    LeavingMark,
    MemberNews,
    MemberStatus,
    TargetCount,
    hash_target,
)
from figstep.core.inventory import ServiceInfo
from figstep.core.records import LogRecord
from figstep.core.reducer import reduce
from figstep.core.state import State, TargetState
from figstep.inventory import hash_key
from figstep.net.configuration import parse_record
from figstep.net.log import HttpLog
from figstep.net.messages import Keyring, MessageKind, decode_gossip, encode_gossip
from figstep.operations import publish_document
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.log import LogService
from tests.processes import run_figstep, write_yaml

KEY = "benchmark"

POLL_SECONDS = 0.02
"""Pause between two polls of the status of all entries, in seconds.

The pause limits the resolution of the measured times.
"""

CONVERGENCE_TIMEOUT_SECONDS = 60
"""Maximum wait until all entries show a change, in seconds."""

SETTLE_SECONDS = 8
"""Pause between the start of the fleet and the measurement, in seconds."""

app = typer.Typer(no_args_is_help=True, add_completion=False)


class StoppableLog(LogService):
    """Log service that can fail reads once one follower has read the next append.

    A follower is a caller that waits for new records (``wait_ms``).

    Attributes:
        stop_after_append: Whether reads begin to fail with the next append.
        readers_left: Number of followers that may still read records before every
            read is answered with 503, or None while the log works.
    """

    stop_after_append = False
    readers_left: int | None = None

    async def _append(self, request: web.Request) -> web.Response:
        response = await super()._append(request)
        if self.stop_after_append:
            self.stop_after_append = False
            self.readers_left = 1
        return response

    async def _read(self, request: web.Request) -> web.Response:
        response = await super()._read(request)
        if self.readers_left is None:
            return response
        follows = request.query.get("wait_ms", "0") != "0"
        if not follows or self.readers_left == 0:
            raise web.HTTPServiceUnavailable(text="the log is down")
        assert isinstance(response.body, bytes)
        if orjson.loads(response.body)["records"]:
            self.readers_left = 0
        return response

    def restore(self) -> None:
        """Answer all calls again."""
        self.stop_after_append = False
        self.readers_left = None


class StoppableInstanceList(InstanceList):
    """Instance list that can become unavailable after a number of reads.

    Attributes:
        readers_left: Number of reads until the list becomes unavailable, or None
            while the list works.
    """

    readers_left: int | None = None

    async def _list(self, request: web.Request) -> web.Response:
        response = await super()._list(request)
        if self.readers_left is not None:
            self.readers_left -= 1
            self.available = self.readers_left > 0
        return response


@dataclass(slots=True)
class Fleet:
    """Entry processes, and the platform stand-ins in this process.

    Attributes:
        urls: Base URLs of the entries.
    """

    log: StoppableLog
    instances: StoppableInstanceList
    client: HttpLog
    urls: list[str]
    processes: list[psutil.Process]
    session: aiohttp.ClientSession

    async def read_statuses(self) -> list[dict[str, Any]]:
        """Return the status of every entry."""

        async def read(url: str) -> dict[str, Any]:
            async with self.session.get(url + "/status") as response:
                document: dict[str, Any] = await response.json()
                return document

        return list(await asyncio.gather(*(read(url) for url in self.urls)))

    async def time_all(
        self, condition: Callable[[dict[str, Any]], bool], start: float
    ) -> list[float]:
        """Wait until the status of every entry fulfils a condition.

        The delays count from ``start``, a monotonic time in seconds.

        Returns:
            For each entry, the delay in seconds until the condition was first
            fulfilled, in the order in which the entries fulfilled it.

        Raises:
            TimeoutError: If an entry does not fulfil the condition within
                ``CONVERGENCE_TIMEOUT_SECONDS``.
        """
        shown_after: dict[int, float] = {}
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_SECONDS):
            while len(shown_after) < len(self.urls):
                for number, status in enumerate(await self.read_statuses()):
                    if number not in shown_after and condition(status):
                        shown_after[number] = time.monotonic() - start
                await asyncio.sleep(POLL_SECONDS)
        return list(shown_after.values())


def build_document(targets: int) -> dict[str, Any]:
    """Return a document with ``targets`` plain services, which are not polled."""
    services = []
    for number in range(targets):
        services.append(
            {
                "name": f"serving-{number}",
                "service": "serving",
                "address": f"http://10.0.{number // 250}.{number % 250}:8000",
                "failure_domain": "muc-a",
            }
        )
    return {
        "failure_domains": [{"name": "muc-a", "region": "bavaria"}],
        "services": services,
        "customers": [{"name": "demo", "key_hash": hash_key("demo")}],
    }


@asynccontextmanager
async def run_fleet(entries: int, targets: int) -> AsyncIterator[Fleet]:
    """Run the platform and the entries with a published first document.

    The context is entered when every entry knows all its peers and has the document
    in force.
    """
    async with AsyncExitStack() as stack:
        log, instances = StoppableLog(), StoppableInstanceList()
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        platform = {}
        for name, server in (("log", log), ("instances", instances)):
            runner, url = await start_app(server.build_app())
            stack.push_async_callback(runner.cleanup)
            platform[name] = url
        session = await stack.enter_async_context(aiohttp.ClientSession())
        client = HttpLog(platform["log"])
        stack.push_async_callback(client.close)
        urls, processes = [], []
        for number in range(entries):
            settings = {
                "node": f"entry-{number}",
                "failure_domain": "muc-a",
                "platform": platform,
                "peers": {"key": KEY},
                "notice_seconds": 0,
            }
            path = write_yaml(folder / f"entry-{number}.yaml", settings)
            running = await stack.enter_async_context(
                run_figstep("serve", "--settings", str(path))
            )
            urls.append(running.url)
            processes.append(psutil.Process(running.process.pid))
        fleet = Fleet(log, instances, client, urls, processes, session)
        for number, status in enumerate(await fleet.read_statuses()):
            peers = status["control"]["address"]
            instances.list_entry(f"entry-{number}", urls[number], peers)
        await publish_document(client, build_document(targets), "bench", "first")
        await fleet.time_all(lambda s: len(s["peers"]) == entries - 1, 0)
        await fleet.time_all(lambda s: s["configuration_offset"] >= 0, 0)
        yield fleet


def summarize(label: str, values: list[float], **fields: Any) -> None:
    """Print the median and maximum of ``values``, in seconds, as a JSON line.

    ``fields`` are further members of the JSON object.
    """
    line = {
        "measure": label,
        "samples": len(values),
        "p50_s": round(statistics.median(values), 3),
        "max_s": round(max(values), 3),
        **fields,
    }
    print(json.dumps(line), flush=True)


async def time_publish(
    fleet: Fleet, document: dict[str, Any], number: int, wait: bool = True
) -> list[float]:
    """Publish a document and measure when every entry has the document in force.

    The document is published with one more customer, which ``number`` names. ``wait``
    tells whether the log works; if not, it is restored after the measurement so that
    the publication can finish.

    Returns:
        For each entry, the time in seconds from the start of the publication until
        the entry showed the change.
    """
    changed = deepcopy(document)
    changed["customers"].append({"name": f"c{number}", "key_hash": hash_key("c")})
    before = max(s["configuration_offset"] for s in await fleet.read_statuses())
    start = time.monotonic()
    task = asyncio.create_task(
        publish_document(fleet.client, changed, "bench", f"change {number}")
    )
    times = await fleet.time_all(lambda s: s["configuration_offset"] > before, start)
    if wait:
        await task
    else:
        fleet.log.restore()
        await task
    return times


@app.command()
def configuration(entries: int = 8, targets: int = 12, repeats: int = 20) -> None:
    """Measure the time from publishing a document until it is in force.

    The log is healthy, then slow, and then fails all reads after the publication.
    """

    async def run() -> None:
        async with run_fleet(entries, targets) as fleet:
            document = build_document(targets)
            for label, delay in (("well", 0), ("slow by 500 ms", 500)):
                fleet.log.faults = replace(fleet.log.faults, delay_ms=delay)
                times: list[float] = []
                for number in range(repeats):
                    times += await time_publish(fleet, document, number)
                summarize(f"in force, log {label}", times, entries=entries)
            fleet.log.faults = replace(fleet.log.faults, delay_ms=0)
            times = []
            for number in range(repeats):
                await asyncio.sleep(1.0)
                fleet.log.stop_after_append = True
                times += await time_publish(fleet, document, number, wait=False)
            summarize("in force, log down after one reader", times, entries=entries)

    asyncio.run(run())


@app.command()
def membership(
    entries: int = 8, targets: int = 12, seconds: int = 30, changes: float = 0.0
) -> None:
    """Measure the bytes and processor time that an entry uses for control traffic.

    Args:
        entries: Number of entry processes.
        targets: Number of targets in the document.
        seconds: Duration of the measurement.
        changes: Edits per second during the measurement.
    """

    async def run() -> None:
        async with run_fleet(entries, targets) as fleet:
            await asyncio.sleep(SETTLE_SECONDS)
            before = await fleet.read_statuses()
            started = time.monotonic()
            number = 0
            while time.monotonic() < started + seconds:
                if not changes:
                    await asyncio.sleep(seconds)
                    break
                document = build_document(targets)
                document["rules"] = {"deadline_ms": 10_000 + number}
                await publish_document(fleet.client, document, "bench", "change")
                number += 1
                await asyncio.sleep(1 / changes)
            after = await fleet.read_statuses()
            elapsed = time.monotonic() - started
            _print_control(before, after, elapsed, targets, number)
            resident = [p.memory_info().rss / 2**20 for p in fleet.processes]
            print(json.dumps({"resident_mib_max": round(max(resident), 1)}))

    asyncio.run(run())


def _print_control(
    before: list[dict[str, Any]],
    after: list[dict[str, Any]],
    elapsed: float,
    targets: int,
    changes: int,
) -> None:
    rates: dict[str, list[float]] = {}
    for name in ("bytes_sent", "bytes_received", "processor_seconds"):
        for old, new in zip(before, after, strict=True):
            rate = (new["control"][name] - old["control"][name]) / elapsed
            rates.setdefault(name, []).append(rate)
    line = {
        "entries": len(after),
        "targets": targets,
        "changes": changes,
        "seconds": round(elapsed, 1),
        "sent_bytes_per_s": round(statistics.mean(rates["bytes_sent"]), 1),
        "received_bytes_per_s": round(statistics.mean(rates["bytes_received"]), 1),
        "core_percent": round(100 * statistics.mean(rates["processor_seconds"]), 3),
    }
    print(json.dumps(line), flush=True)


@app.command()
def leaving(entries: int = 8, repeats: int = 20, pause: float = 4.0) -> None:
    """Measure the time until no entry sends new work to a leaving target.

    In the case ``all``, every entry polls the instance list. In the case ``one``,
    the list goes down after a single entry has read the change.
    """

    async def run() -> None:
        async with run_fleet(entries, repeats * 2) as fleet:
            for label, first in (("all", 0), ("one", repeats)):
                times: list[float] = []
                for number in range(first, first + repeats):
                    await asyncio.sleep(pause)
                    times += await _time_leaving(fleet, number, label == "one")
                summarize(f"leaving, list tells {label}", times, entries=entries)

    asyncio.run(run())


async def _time_leaving(fleet: Fleet, number: int, single_reader: bool) -> list[float]:
    name = f"serving-{number}"
    fleet.instances.instances[name] = {
        "name": name,
        "kind": "target",
        "state": "leaving",
        "incarnation": 1,
    }
    if single_reader:
        fleet.instances.readers_left = 1
    start = time.monotonic()
    times = await fleet.time_all(lambda s: s["targets"][name]["leaving"], start)
    if single_reader:
        # The delays count from the time at which the first entry shows the change.
        times = [value - min(times) for value in times]
    fleet.instances.readers_left = None
    fleet.instances.available = True
    return times


def _build_state(members: int, targets: int) -> State:
    state = State("entry-0", rng=random.Random(1))
    for number in range(targets):
        info = ServiceInfo(f"serving-{number}", "serving", "http://h", "muc-a")
        state.targets[info.name] = TargetState(info, in_flight=number % 3)
    reduce(state, PeerListenerOpened("10.0.0.1:7946", 1_700_000_000_000), Millis(0))
    for number in range(1, members):
        reduce(state, GossipReceived(_build_message(number, 1, targets)), Millis(0))
    return state


def _build_message(sender: int, sequence: int, targets: int) -> Gossip:
    names = [f"serving-{(sender * 7 + n) % targets}" for n in range(min(16, targets))]
    return Gossip(
        sender=f"entry-{sender}",
        address=f"10.0.{sender // 250}.{sender % 250}:7946",
        incarnation=1_700_000_000_000 + sender,
        sequence=sequence,
        accepted=5,
        position=9,
        members=tuple(
            MemberNews(
                f"entry-{n + 1}",
                f"10.0.{n // 250}.{n % 250}:7946",
                1_700_000_000_000 + n,
                MemberStatus.ALIVE,
            )
            for n in range(2)
        ),
        marks=(LeavingMark("serving-0", 1_700_000_000_000),),
        counts=tuple(TargetCount(hash_target(name), 3) for name in names),
    )


@app.command()
def state(periods: int = 200) -> None:
    """Measure processor time and bytes of the gossip of one entry, by fleet size.

    In each simulated second, one state sends its messages and handles four messages
    of other members, of which two request an answer. No network is simulated.
    """
    keys = Keyring(KEY)
    for members, targets in ((8, 12), (8, 670), (100, 670), (370, 12), (370, 670)):
        entry = _build_state(members, targets)
        sent = received = 0
        started = time.process_time()
        sequence = 2
        for period in range(periods):
            now = Millis(1_000 * (period + 1))
            effects = reduce(entry, TimerFired(GossipTimer()), now)
            for number in range(4):
                sender = 1 + (period * 4 + number) % (members - 1)
                message = _build_message(sender, sequence, targets)
                wants_answer = number % 2 == 0
                body = encode_gossip(replace(message, wants_answer=wants_answer))
                data = keys.sign(MessageKind.GOSSIP, body)
                received += len(data)
                gossip = decode_gossip(keys.verify(MessageKind.GOSSIP, data))
                effects += reduce(entry, GossipReceived(gossip), now)
                sequence += 1
            for effect in effects:
                if not isinstance(effect, SendGossip):
                    continue
                body = encode_gossip(effect.gossip)
                sent += len(keys.sign(MessageKind.GOSSIP, body))
        cpu_seconds = time.process_time() - started
        line = {
            "members": members,
            "targets": targets,
            "sent_bytes_per_s": round(sent / periods, 1),
            "received_bytes_per_s": round(received / periods, 1),
            "core_percent": round(100 * cpu_seconds / periods, 3),
        }
        print(json.dumps(line), flush=True)


@app.command()
def document(engines: int = 670, customers: int = 5600, repeats: int = 20) -> None:
    """Measure the size of a document and the processor time of one edit at an entry."""
    listed = []
    for number in range(engines):
        listed.append(
            {
                "name": f"serving-{number}",
                "address": f"http://10.0.{number // 250}.{number % 250}:8000",
                "failure_domain": f"domain-{number % 9}",
                "models": ["langar-8b"],
                "kind": "decoder-2024",
                "speed": 4.0,
                "memory_tokens": 65_536,
                "max_running": 64,
            }
        )
    content = {
        "failure_domains": [
            {"name": f"domain-{n}", "region": f"region-{n % 3}"} for n in range(9)
        ],
        "engines": listed,
        "models": [{"name": "langar-8b"}],
        "customers": [
            {"name": f"customer-{n}", "key_hash": hash_key(str(n))}
            for n in range(customers)
        ],
    }
    entry = State("entry-0", rng=random.Random(1))
    started = time.process_time()
    for number in range(repeats):
        data = {"edit": "e", "base": number - 1, "validation": 1, "document": content}
        reduce(entry, parse_record(LogRecord(number, 0, data), None), Millis(0))
    cpu_seconds = (time.process_time() - started) / repeats
    encoded = orjson.dumps(content)
    line = {
        "engines": engines,
        "customers": customers,
        "bytes": len(encoded),
        "compressed_bytes": len(zlib.compress(encoded)),
        "processor_ms_per_edit": round(1_000 * cpu_seconds, 1),
    }
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    app()
