"""Targets of the fault soak, which sign their answers and record what they ran."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import orjson
from aiohttp import web

from figstep.standins.proxy import TcpProxy
from tests.afterlife import Afterlife, answer_for_crashed
from tests.faults.records import CRASHING, EVENTS, Kind, Record, Run, read_clock
from tests.framing import Framing, RawAnswer, choose_framing
from tests.platform.standins import FakeStore, Handler, build_registration, start_app

FORGED = "forged"
"""Value with which callers forge headers that only the system may set."""

SYSTEM_ONLY_HEADERS = ("Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Tenant")
"""Headers that only the system may set on requests to targets."""

CRASH_DELAY = 0.05
"""Time from the begin of a run that crashes its target to the crash, in seconds."""

EVENT_INTERVAL = 0.02
"""Time before each event of a stream, in seconds."""

MIN_CALL_SECONDS = 0.03
"""Shortest duration of a call; the longest is twice as long."""

MAX_MUTE_SECONDS = 60.0
"""Longest time for which a mute target keeps a request open, in seconds."""

_generations = count(1)


@dataclass(slots=True)
class SoakTarget:
    """Target behind a proxy of its own.

    Attributes:
        crash: Called with this target when a request crashes it; ends the target
            with all its runs.
        faults: What is wrong with it: ``grey`` (half of its calls are answered with
            status 500), ``mute`` (it runs requests without answering), ``full`` (it
            rejects requests as not run unless they resume from a copy), ``broken``
            (half of its answers break off), ``endless`` (half of them never end) or
            ``early`` (half of its streams that end with their connection do so between
            two events).
        rates: Rate limits of the active signals; answers name the lowest.
        pauses: Values of Retry-After of the active signals, in seconds. While there
            are any, requests are rejected with the longest; requests that resume
            from a copy are accepted.
        copies: Generation of which the target holds a copy, by request.
        afterlife: What its address does with connections after its crash; None if it
            refuses them.
        born: Start of its incarnation, which it registers and reports, as a Unix time
            in milliseconds.
    """

    name: str
    service: str
    record: Record
    rng: random.Random
    targets_by_address: dict[str, "SoakTarget"]
    crash: Callable[["SoakTarget"], None]
    faults: list[str] = field(default_factory=list)
    rates: list[float] = field(default_factory=list)
    pauses: list[float] = field(default_factory=list)
    copies: dict[str, str] = field(default_factory=dict)
    running: dict[str, Run] = field(default_factory=dict)
    proxy: TcpProxy | None = None
    runner: web.AppRunner | None = None
    version: str = "v1"
    ended: bool = False
    afterlife: Afterlife | None = None
    _open: set[asyncio.BaseTransport] = field(default_factory=set)
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)

    @property
    def address(self) -> str:
        """Address of the proxy, which the target registers."""
        assert self.proxy is not None
        return self.proxy.address

    async def start(self, store: FakeStore) -> None:
        """Start the server and its proxy, and register the target."""
        app = web.Application(middlewares=[self._serve])
        app.router.add_post("/figstep/kv-move", self._copy_run)
        app.router.add_get("/figstep/report", self._report)
        app.router.add_delete("/figstep/kv-handle/{handle}", self._drop_copy)
        app.router.add_route("*", "/{path:.*}", self._answer)
        self.runner, address = await start_app(app)
        host, _, port = address.rpartition(":")
        self.proxy = TcpProxy(host, int(port))
        await self.proxy.start()
        self.targets_by_address[self.address] = self
        await self.register(store)

    async def register(self, store: FakeStore, state: str = "ready") -> None:
        """Write the registration with a state, such as "draining", into the store."""
        entry = build_registration(
            self.service, self.address, state, version=self.version, born=self.born
        )
        await store.put("keyed.servers", self.name, entry)

    async def restart(self, store: FakeStore, version: str, step: int = 0) -> None:
        """Start again under the same id as another version, without its copies.

        ``step`` is how far its clock was set meanwhile, in milliseconds.
        """
        assert self.proxy is not None
        self.version = version
        self.born = max(self.born + 1, time.time_ns() // 1_000_000) + step
        self.copies.clear()
        self.proxy.cut()
        await self.register(store)

    def crash_outlived(self, afterlife: Afterlife) -> None:
        """End as a killed process does, while its address goes on to accept."""
        self.ended = True
        self.afterlife = afterlife
        self.copies.clear()
        for transport in self._open:
            transport.close()
        for run in self.running.values():
            run.ended = run.ended or read_clock()

    @web.middleware
    async def _serve(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self.afterlife is not None:
            return await answer_for_crashed(request, self.afterlife)
        transport = request.transport
        assert transport is not None
        self._open.add(transport)
        try:
            return await handler(request)
        finally:
            self._open.discard(transport)

    async def kill(self) -> None:
        """Close all connections and end all runs."""
        self.ended = True
        if self.proxy is not None:
            await self.proxy.stop()
        if self.runner is not None:
            await self.runner.cleanup()
        for run in self.running.values():
            run.ended = run.ended or read_clock()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421)
        body = await request.read()
        self.record.arrivals.append((read_clock(), self.service, request_id))
        self.record.target_arrivals.append((read_clock(), self.name, request_id))
        copy = None
        if "Kv-From" in request.headers:
            copy = self.copies.pop(request_id, None)
            if copy is None:
                return self._refuse(request_id)
        if self.pauses and copy is None:
            pause = max(self.pauses)
            self.record.pauses.append((read_clock(), self.name, request_id, pause))
            return self._refuse(request_id, pause)
        if "full" in self.faults and copy is None:
            return self._refuse(request_id)
        if "endless" in self.faults and zlib.crc32(request_id.encode()) % 2:
            return await self._send_endless(request)
        run = self._begin_run(request, copy)
        try:
            crashes = CRASHING in request.headers.get("Prefix-Hash", "")
            if crashes or CRASHING in request.path:
                await asyncio.sleep(CRASH_DELAY)
                run.crashed = True
                self.crash(self)
            if "mute" in self.faults or run.crashed:
                await _wait_for_close(request)
            if "Token-Count" in request.headers:
                return await self._stream(request, run)
            return await self._call(request, run, body)
        finally:
            run.ended = read_clock()
            if self.running.get(request_id) is run:
                del self.running[request_id]

    def _refuse(self, request_id: str, pause: float = 0.1) -> web.Response:
        headers = {"Request-Id": request_id, "Not-Executed": "1"}
        headers["Retry-After"] = str(pause)
        headers.update(self._build_signal_headers())
        return web.Response(status=503, headers=headers)

    async def _send_endless(self, request: web.Request) -> web.StreamResponse:
        """Answer "not run", with a body that ends with its connection only."""
        refusal = self._refuse(request.headers.get("Request-Id", ""))
        answer = web.StreamResponse(status=503, headers=refusal.headers)
        del answer.headers["Content-Type"]
        await answer.prepare(request)
        while True:
            await answer.write(bytes(4_096))
            await asyncio.sleep(EVENT_INTERVAL)

    def _begin_run(self, request: web.Request, copy: str | None) -> Run:
        headers = request.headers
        request_id = headers.get("Request-Id", "")
        forged = tuple(
            name for name in SYSTEM_ONLY_HEADERS if headers.get(name) == FORGED
        )
        run = Run(
            request_id,
            self.name,
            copy or f"g{next(_generations)}",
            read_clock(),
            customer=headers.get("Tenant", ""),
            forged=forged,
            version=self.version,
        )
        self.record.runs.append(run)
        self.running[request_id] = run
        return run

    def _build_answer_headers(self, request_id: str, status: int) -> dict[str, str]:
        stamp = f"stamp-{self.name}"
        return {
            "Request-Id": request_id,
            "Server-Stamp": stamp,
            **({} if status >= 500 else self._build_signal_headers()),
        }

    def _build_signal_headers(self) -> dict[str, str]:
        signal_headers = {"Server-Limit": str(min(self.rates))} if self.rates else {}
        if self.name in self.record.leaving_since:
            signal_headers["Server-Leaving"] = "1"
        return signal_headers

    async def _call(
        self, request: web.Request, run: Run, body: bytes
    ) -> web.StreamResponse:
        await asyncio.sleep(MIN_CALL_SECONDS * (1 + self.rng.random()))
        if self.rng.random() < 0.5 and "grey" in self.faults:
            run.status = 500
        run.body = f"{run.request} at {self.name} of {len(body)}".encode()
        answer = self._open_answer(request, run, len(run.body), run.status)
        if self._breaks_off(run):
            answer.write(run.body[: len(run.body) // 2])
            await asyncio.sleep(EVENT_INTERVAL)
            # Without a length and chunks, the close by a target that lives on would
            # be the end of the answer.
            return answer.reset()
        run.whole = True
        answer.write(run.body)
        return answer.end()

    def _open_answer(
        self, request: web.Request, run: Run, length: int, status: int = 200
    ) -> RawAnswer:
        headers = self._build_answer_headers(run.request, status)
        framing = choose_framing(f"{run.request} {self.name}")
        return RawAnswer(request, framing, headers, length, status)

    def _breaks_off(self, run: Run) -> bool:
        # The choice needs no random number, which would change those of other runs.
        is_chosen = zlib.crc32(run.request.encode()) % 2 == 0
        run.broken_off = is_chosen and "broken" in self.faults
        return run.broken_off

    def _ends_early(self, run: Run) -> bool:
        if (
            "early" not in self.faults
            or zlib.crc32(f"early {run.request}".encode()) % 2
        ):
            return False
        return choose_framing(f"{run.request} {self.name}") is Framing.CONNECTION

    async def _stream(self, request: web.Request, run: Run) -> web.StreamResponse:
        holder = self.targets_by_address.get(request.headers.get("Kv-Backup", ""))
        kind = Kind(request.path.split("/")[1])
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        events = [
            f"id: {index}\ndata: {run.generation} {run.request}\n\n".encode()
            for index in range(first, EVENTS[kind] + 1)
        ]
        answer = self._open_answer(request, run, sum(map(len, events)))
        broken_at = len(events) // 2 if self._breaks_off(run) else None
        early_at = len(events) // 2 if self._ends_early(run) else None
        for number, event in enumerate(events):
            await asyncio.sleep(EVENT_INTERVAL)
            if holder is not None:
                holder.copies[run.request] = run.generation
            if number and number == early_at:
                run.broken_off = True
                return answer.close()
            if number == broken_at:
                answer.write(event[:5])
                return answer.close()
            answer.write(event)
        run.whole = True
        if holder is not None:
            holder.copies.pop(run.request, None)
        return answer.end()

    async def _copy_run(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        run = self.running.get(order["id"])
        holder = self.targets_by_address.get(order["target"])
        if run is None:
            return web.Response(status=404)
        if holder is None:
            return web.Response(status=503)
        await asyncio.sleep(0.1)
        holder.copies[run.request] = run.generation
        return web.Response(body=orjson.dumps({"handle": "h", "created": 1}))

    async def _drop_copy(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _report(self, request: web.Request) -> web.Response:
        leaving = self.name in self.record.departures | self.record.leaving_since
        state = "draining" if leaving else "ready"
        return web.Response(body=orjson.dumps({"state": state, "born": self.born}))


async def _wait_for_close(request: web.Request) -> None:
    """Raise ConnectionResetError once the peer has closed a request's connection."""
    async with asyncio.timeout(MAX_MUTE_SECONDS):
        while request.transport is not None and not request.transport.is_closing():
            await asyncio.sleep(EVENT_INTERVAL)
    raise ConnectionResetError("the peer closed the connection")
