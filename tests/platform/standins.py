"""Fake store and targets of the users' platform, with documents as it writes them."""

import asyncio
import base64
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import orjson
from aiohttp import web

from figstep.core.clock import Millis
from figstep.platform.settings import Address, EntrySettings
from tests.afterlife import Afterlife, answer_for_crashed
from tests.platform.memory import (
    STRIDE,
    Memory,
    read_priority,
    read_prompt_tokens,
)
from tests.ports import HOST, find_free_port

ROUTE_HOST = "users.example"
KEY = "key-1"

SETTINGS = """
node = "entry-1"
ip = "127.0.0.1"
zone = "muc-a"
port_range = [7200, 7215]
[listen]
front = "127.0.0.1:8740"
ready = "127.0.0.1:8749"
[provider]
addr = "127.0.0.1:8742"
[bounds]
"""
"""Settings file as the platform writes it; the table of bounds is open at its end."""


def write_settings(path: Path, ports: list[int], store: str, bounds: str = "") -> None:
    """Write a settings file.

    Args:
        path: File to write.
        ports: Ports for callers, readiness checks and peers.
        store: Address of the store, as "ip:port".
        bounds: Lines to append to the table of bounds.
    """
    replacements = {
        "127.0.0.1:8740": f"127.0.0.1:{ports[0]}",
        "127.0.0.1:8749": f"127.0.0.1:{ports[1]}",
        "7200, 7215": f"{ports[2]}, {ports[2]}",
        "127.0.0.1:8742": store,
    }
    # In one pass, as a port may contain the digits of another pattern.
    pattern = "|".join(map(re.escape, replacements))
    text = re.sub(pattern, lambda found: replacements[found[0]], SETTINGS)
    path.write_text(text + bounds)


async def start_app(app: web.Application, port: int = 0) -> tuple[web.AppRunner, str]:
    """Serve an application and return its runner and its "ip:port"."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=0.1, auto_decompress=False
    )
    await runner.setup()
    site = web.TCPSite(runner, HOST, port)
    await site.start()
    bound = runner.addresses[0]
    return runner, f"{bound[0]}:{bound[1]}"


Translation = Callable[[bytes], Awaitable[bytes]]
"""Function that changes the value of a record as it is read."""

_TRANSLATE: web.AppKey[Translation] = web.AppKey("translate")


async def _keep_value(value: bytes) -> bytes:
    return value


class StoredRecord(NamedTuple):
    """A record of a topic.

    Attributes:
        number: Place among all records in the order in which they were first written.
    """

    key: str
    value: bytes
    number: int


class FakeStore:
    """Fake of the platform's store, which holds topics in memory.

    Attributes:
        delay: Delay in seconds before it answers a read of the newest records.
        address: "ip:port" at which it listens.
        unavailable: Whether it answers 503 to all calls.
        page: Largest number of records in a page of the newest ones.
        calls: Received calls, "newest", "read" or "append".
        era: Number of its era, which all answers name; 0 to name none.
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self.address = ""
        self.unavailable = False
        self.page = 500
        self.calls: list[str] = []
        self.era = 1
        self._reset_era = 0
        self._losses = 0
        self._written = 0
        self._records: dict[str, list[StoredRecord]] = {}
        self._first: dict[str, int] = {}
        self._changed = asyncio.Condition()
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start listening at a free port."""
        self.address = await self.open_view(_keep_value)

    async def open_view(self, translate: Translation) -> str:
        """Listen at a further port, and return its "ip:port".

        The values of records that are read there are those that ``translate`` returns.
        """
        app = web.Application()
        app[_TRANSLATE] = translate
        app.router.add_get("/figstep/log-newest", self._read_newest)
        app.router.add_get("/figstep/log-read", self._read)
        app.router.add_post("/figstep/log-append", self._append)
        app.on_response_prepare.append(self._name_era)
        runner, address = await start_app(app)
        self._runners.append(runner)
        return address

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def fail(self) -> None:
        """Answer 503 to all calls, also to reads that wait for a record."""
        async with self._changed:
            self.unavailable = True
            self._changed.notify_all()

    def lose_waiting_reads(self) -> None:
        """Lose the answers to the reads that wait for a record now."""
        self._losses += 1

    async def restore(
        self, lost: int, topic: str = "keyed.servers", resets: bool = True
    ) -> list[StoredRecord]:
        """Come back from a copy that lacks a topic's newest records, and return them.

        The connections of reads that wait are closed, unless ``resets`` is False.
        """
        async with self._changed:
            records = self._records.get(topic, [])
            end = max(0, len(records) - lost)
            missing = records[end:]
            del records[end:]
            self.era += 1
            if resets:
                self._reset_era = self.era
            self._changed.notify_all()
        return missing

    async def write_again(self, topic: str, lost: list[StoredRecord]) -> None:
        """Write the newest lost record of each key again.

        It is left out if the store holds a record of the key that was first written
        later. What another return lost may be written before, and so be older.
        """
        for record in {record.key: record for record in lost}.values():
            held = self._records.get(topic, [])
            numbers = [other.number for other in held if other.key == record.key]
            if max(numbers, default=0) < record.number:
                await self._add(topic, record)

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; an empty value deletes the key."""
        self._written += 1
        await self._add(topic, StoredRecord(key, value, self._written))

    async def _add(self, topic: str, record: StoredRecord) -> None:
        async with self._changed:
            self._records.setdefault(topic, []).append(record)
            self._changed.notify_all()

    def delete_before(self, topic: str, offset: int) -> None:
        """Delete the records of a topic before an offset.

        The newest record of each key can still be read.
        """
        self._first[topic] = offset

    def delete_all(self, topic: str) -> None:
        """Delete all records of a topic.

        The newest record of each key can still be read.
        """
        self.delete_before(topic, len(self._records.get(topic, [])))

    async def _read_newest(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay)
        self.calls.append("newest")
        if self.unavailable:
            return web.Response(status=503)
        topic = request.query["topic"]
        after = request.query.get("after", "")
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self._records.get(topic, [])):
            newest[record.key] = (offset, record.value)
        keys = sorted(key for key in newest if key > after and newest[key][1])
        items = [
            {
                "key": key,
                "value": base64.b64encode(
                    await request.app[_TRANSLATE](newest[key][1])
                ).decode(),
                "offset": newest[key][0],
            }
            for key in keys[: self.page]
        ]
        body = {
            "items": items,
            "has_more": len(keys) > self.page,
            "end": len(self._records.get(topic, [])),
        }
        return web.Response(body=orjson.dumps(body))

    async def _append(self, request: web.Request) -> web.Response:
        self.calls.append("append")
        if self.unavailable:
            return web.Response(status=503)
        topic = request.query["topic"]
        raw = await request.read()
        contents = []
        while raw:
            size = int.from_bytes(raw[:4])
            contents.append(raw[4 : 4 + size])
            raw = raw[4 + size :]
        for content in contents:
            if topic.startswith("keyed."):
                end = 1 + content[0]
                await self.put(topic, content[1:end].decode(), content[end:])
            else:
                await self.put(topic, "", content)
        end = len(self._records.get(topic, []))
        return web.Response(body=orjson.dumps({"offset": end, "end": end}))

    async def _read(self, request: web.Request) -> web.Response:
        self.calls.append("read")
        if self.unavailable:
            return web.Response(status=503)
        topic = request.query["topic"]
        start = int(request.query["from"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if not self._first.get(topic, 0) <= start <= len(self._records.get(topic, [])):
            body = orjson.dumps({"first": self._first.get(topic, 0)})
            return web.Response(status=410, body=body)
        era, losses = self.era, self._losses
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        self.unavailable
                        or self._reset_era > era
                        or len(self._records.get(topic, [])) > start
                    )
                )
        except TimeoutError:
            pass
        if self._losses > losses:
            await asyncio.Event().wait()
        if self._reset_era > era and request.transport is not None:
            request.transport.abort()
        if self.unavailable:
            return web.Response(status=503)
        records = self._records.get(topic, [])
        raw = len(records).to_bytes(8) + self._first.get(topic, 0).to_bytes(8)
        for key, value, _ in records[start:]:
            translated = await request.app[_TRANSLATE](value)
            content = translated
            if topic.startswith("keyed."):
                content = bytes([len(key)]) + key.encode() + translated
            raw += len(content).to_bytes(4) + content
        return web.Response(body=raw)


def build_registration(
    service: str,
    address: str,
    state: str,
    failure_domain: str = "muc-a",
    version: str = "v1",
    born: int = 1,
) -> bytes:
    """Return the registration that a target writes to the store."""
    registration = {
        "service": service,
        "addr": address,
        "zone": failure_domain,
        "version": version,
        "slots": 64,
        "state": state,
        "warmup_left_ms": 0,
        "born": born,
        "seq": 1,
        "later": "unknown",
    }
    return orjson.dumps(registration)


OTHER_RATE = 500
"""Events a second of a run of another entry in the report of a fake engine."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass
class FakeTarget:
    """Fake target that registers itself, echoes request ids and signs its answers.

    Attributes:
        name: Name under which it registers.
        service: Service to which it belongs.
        events: Number of events in each stream.
        event_interval: Seconds between two events.
        handler: Handler that answers requests in place of the usual ones, if set.
        address: "ip:port" at which it listens.
        received_headers: Headers of received requests, oldest first.
        bodies: Bodies of received requests, oldest first.
        aborted: Ids of requests whose connection closed before their end.
        copies: Ids of runs that another engine has copied to this one.
        freed: Handles of the copies that it was ordered to free.
        drops: Whether it ends a run whose connection closes.
        began: When it began to run requests in seconds, by id, by the loop's clock.
        worked: When it last worked on requests, by id.
        stopped: Ids of runs that it was ordered to stop.
        stops_unmet: Number of orders to stop a run that it does not carry out.
        answer_unmet: Answers these; their connections are reset if it is None.
        extra_headers: Headers added to all its answers.
        arrivals: Arrival times of requests in seconds, by the loop's clock.
        reports: Number of queries of its state.
        peers: Other targets, by address, to which it may copy runs.
        runner: Server of the target; None before its start.
        failure_domain: Failure domain of the target.
        version: Version of its software.
        born: Start that it registers and reports.
        afterlife: What its address does with all further requests, as after a crash;
            None while the target lives.
        copies_runs: Whether it copies runs on order.
        memory: What it keeps of prompts and of complete runs.
        pins: Whether it pins parts of prompts and lists what it keeps.
        runs: Runs that have not ended, by id, as the report lists them.
        other_tokens: Tokens in each event of a run of another entry that the report
            lists, which makes OTHER_RATE events a second; 0 for no such run.
        report: Answer to one query of its state, in place of the usual one, if set.
        kept: Answer to one query of what it keeps, in place of the usual one, if set.
        lists_lost: Number of queries of what it keeps whose connection it resets.
        paths: Paths of all that it was asked, oldest first.
        reports_lost: Number of queries of its state whose connection it resets.
        unpins_held: Holds the orders to end a pin until it is set, if given.
    """

    name: str
    service: str
    events: int = 20
    event_interval: float = 0.01
    handler: Handler | None = None
    address: str = ""
    received_headers: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    aborted: list[str] = field(default_factory=list)
    copies: set[str] = field(default_factory=set)
    freed: list[str] = field(default_factory=list)
    drops: bool = True
    began: dict[str, float] = field(default_factory=dict)
    worked: dict[str, float] = field(default_factory=dict)
    stopped: list[str] = field(default_factory=list)
    stops_unmet: int = 0
    answer_unmet: Handler | None = None
    extra_headers: dict[str, str] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)
    reports: int = 0
    peers: dict[str, "FakeTarget"] = field(default_factory=dict)
    runner: web.AppRunner | None = None
    failure_domain: str = "muc-a"
    version: str = "v1"
    born: int = 1
    afterlife: Afterlife | None = None
    copies_runs: bool = True
    memory: Memory = field(default_factory=Memory)
    pins: bool = True
    runs: dict[str, list[str | int]] = field(default_factory=dict)
    other_tokens: int = 0
    report: web.Response | None = None
    kept: web.Response | None = None
    lists_lost: int = 0
    paths: list[str] = field(default_factory=list)
    reports_lost: int = 0
    unpins_held: asyncio.Event | None = None

    async def start(self, store: FakeStore, port: int = 0) -> None:
        """Start listening and register in the store."""
        self.memory.clear()
        app = web.Application(middlewares=[self._serve])
        app.router.add_post("/figstep/kv-move", self._move)
        app.router.add_delete("/figstep/kv-handle/{handle}", self._free)
        app.router.add_get("/figstep/report", self._report)
        app.router.add_get("/figstep/kv-list", self._list_kept)
        app.router.add_delete("/figstep/kv-pin/{part}", self._unpin)
        app.router.add_route("*", "/{path:.*}", self._answer)
        self.runner, self.address = await start_app(app, port)
        await self.register(store)

    async def register(self, store: FakeStore, state: str = "ready") -> None:
        """Write the target's registration to the store."""
        registration = build_registration(
            self.service,
            self.address,
            state,
            self.failure_domain,
            self.version,
            self.born,
        )
        await store.put("keyed.servers", self.name, registration)

    @web.middleware
    async def _serve(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.paths.append(request.path)
        if self.afterlife is not None:
            return await answer_for_crashed(request, self.afterlife)
        return await handler(request)

    async def kill(self) -> None:
        """Stop the server and close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def stop_listening(self) -> None:
        """Accept no further connections; those that are open go on."""
        assert self.runner is not None
        for site in list(self.runner.sites):
            await site.stop()

    def close_connections(self, kept: asyncio.BaseTransport | None) -> None:
        """Close all connections in order but one."""
        assert self.runner is not None
        assert self.runner.server is not None
        for connection in list(self.runner.server.connections):
            transport = connection.transport
            if transport is not None and transport is not kept:
                transport.close()

    async def crash(self) -> None:
        """Stop listening and reset all connections; the registration stays."""
        await self.stop_listening()
        self.reset_connections()

    def go_on(self) -> None:
        """Answer again after it was stopped, as the same process."""
        self.afterlife = None

    def restart_unregistered(self, born: int) -> None:
        """Start again under the id and address; the registration stays as it was."""
        self.born = born
        self.copies.clear()
        self.memory.clear()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections; runs go on if they don't end with theirs."""
        assert self.runner is not None
        assert self.runner.server is not None
        for connection in list(self.runner.server.connections):
            transport = connection.transport
            if transport is not None:
                transport.abort()

    def sign(self, request: web.Request) -> dict[str, str]:
        """Return the headers of the answer to a request."""
        return {
            "Request-Id": request.headers.get("Request-Id", ""),
            "Server-Stamp": f"stamp-{self.name}",
            **self.extra_headers,
        }

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421, headers={"Instance-Id": self.name})
        self.received_headers.append(dict(request.headers))
        self.arrivals.append(asyncio.get_running_loop().time())
        self.bodies.append(await request.read())
        if self.handler is not None:
            return await self.handler(request)
        if "Token-Count" not in request.headers:
            return web.Response(body=b"answer", headers=self.sign(request))
        return await self._stream(request)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        number = request.headers["Request-Id"]
        source = request.headers.get("Kv-From")
        if source is not None and number not in self.copies:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        backup = self.peers.get(request.headers.get("Kv-Backup", ""))
        if backup is not None:
            backup.copies.add(number)
        response = web.StreamResponse(headers=self.sign(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        clock = asyncio.get_running_loop().time
        self.began[number] = clock()
        self.memory.begin(request.headers)
        prompt = read_prompt_tokens(request.headers)
        tokens = prompt + STRIDE * (first - 1)
        priority = read_priority(request.headers)
        row = self.runs[number] = [number, tokens, first - 1, priority]
        try:
            for index in range(first, self.events + 1):
                if number in self.stopped:
                    raise ConnectionResetError
                self.worked[number] = clock()
                try:
                    await response.write(f"id: {index}\ndata: t{index}\n\n".encode())
                except ConnectionError:
                    if self.drops:
                        raise
                row[1:3] = prompt + STRIDE * index, index
                await asyncio.sleep(self.event_interval)
        except (asyncio.CancelledError, ConnectionError):
            self.aborted.append(number)
            raise
        finally:
            if self.runs.get(number) is row:
                del self.runs[number]
        if self.pins and request.transport is not None:
            self.memory.complete(request.headers, STRIDE * self.events)
        await response.write_eof()
        return response

    async def _report(self, request: web.Request) -> web.Response:
        self.reports += 1
        if self.reports_lost:
            self.reports_lost -= 1
            assert request.transport is not None
            request.transport.abort()
        if self.report is not None:
            given, self.report = self.report, None
            return given
        runs = list(self.runs.values())
        if self.other_tokens:
            events = round(OTHER_RATE * asyncio.get_running_loop().time())
            runs.append(["r-other", 500 + self.other_tokens * events, events, 5])
        report = {
            "state": "ready",
            "born": self.born,
            "runs": runs,
            "handles": len(self.copies),
        }
        if self.pins:
            report["pinned"] = self.memory.count_pinned()
        return web.Response(body=orjson.dumps(report))

    async def _list_kept(self, request: web.Request) -> web.Response:
        if self.lists_lost:
            self.lists_lost -= 1
            assert request.transport is not None
            request.transport.abort()
        if self.kept is not None:
            given, self.kept = self.kept, None
            return given
        if not self.pins:
            return web.Response(status=404)
        return web.Response(body=orjson.dumps(self.memory.describe(self.born)))

    async def _unpin(self, request: web.Request) -> web.Response:
        if self.unpins_held is not None:
            await self.unpins_held.wait()
        found = self.memory.unpin(request.match_info["part"])
        return web.Response(status=200 if found else 404)

    async def _free(self, request: web.Request) -> web.Response:
        self.freed.append(request.match_info["handle"])
        return web.Response()

    async def _leave_unmet(self, request: web.Request) -> web.StreamResponse:
        if self.answer_unmet is not None:
            return await self.answer_unmet(request)
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    async def _move(self, request: web.Request) -> web.StreamResponse:
        order = orjson.loads(await request.read())
        if order.get("last"):
            if order["id"] in self.aborted:
                return web.Response(status=404)
            if self.stops_unmet:
                self.stops_unmet -= 1
                return await self._leave_unmet(request)
            self.stopped.append(order["id"])
        holder = self.peers.get(order["target"])
        if holder is None or not self.copies_runs:
            return web.Response(status=503)
        holder.copies.add(order["id"])
        return web.Response(body=orjson.dumps({"handle": "h-1", "created": 3}))


def build_routes() -> list[dict[str, object]]:
    """Return the routes of a configuration: one each of streams, orders and lookups."""
    routes: list[dict[str, object]] = [
        {"prefix": "/plan/", "type": "stream", "service": "engines"},
        {"prefix": "/order/", "type": "unsafe", "service": "bookings"},
        {"prefix": "/lookup/", "type": "safe", "service": "bookings", "attempts": 2},
    ]
    for route in routes:
        route.update(
            {
                "name": str(route["prefix"]),
                "host": ROUTE_HOST,
                "timeout_ms": 5_000,
                "slo_ms": 1_000,
                "priority": 1,
                "unknown": "field",
            }
        )
    return routes


def build_configuration(version: int = 1, pin_ms: int = 0, **fields: object) -> bytes:
    """Return a configuration as the operator writes it.

    Args:
        version: Version of the configuration.
        pin_ms: Longest time for which engines keep a complete run.
        fields: Top-level fields to add or replace.
    """
    document: dict[str, object] = {
        "version": version,
        "routes": build_routes(),
        "services": [
            {
                "name": "engines",
                "engine": {
                    "slots": 64,
                    "kv_capacity": 34_000,
                    "moves": True,
                    "backups": True,
                    "stride": 4,
                    "pin_ms": pin_ms,
                },
            },
            {"name": "bookings"},
        ],
        "limits": {"max_body_bytes": 100_000},
        "tenants": [{"name": "gurdwara", "api_keys": [KEY, "key-2"]}],
    }
    document.update(fields)
    return orjson.dumps(document)


def build_settings(
    store: str, node: str = "entry-1", **fields: object
) -> EntrySettings:
    """Return the settings of an entry on free ports.

    Args:
        store: Address of the store, as "ip:port".
        node: Name of the entry.
        fields: Settings to replace.
    """
    given: dict[str, object] = {
        "node": node,
        "failure_domain": "muc-a",
        "callers": Address(HOST, find_free_port()),
        "readiness": Address(HOST, find_free_port()),
        "peers": Address(HOST, find_free_port()),
        "relays": Address(HOST, find_free_port()),
        "seeds": (),
        "store": store,
        "first_start": True,
        "grace": Millis(3_000),
        "retry_ratio": 0.2,
        "retry_allowance": 56.0,
        "retry_window": Millis(10_000),
        "memory_bytes": 150 << 20,
        "descriptors": 4_200,
    }
    given.update(fields)
    return EntrySettings(**given)  # type: ignore[arg-type]
