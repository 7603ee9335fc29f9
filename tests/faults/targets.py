"""Targets of the fault soak, which sign their answers and record what they ran."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from figstep.standins.proxy import TcpProxy
from tests.afterlife import Afterlife, answer_for_crashed
from tests.faults.records import CRASHING, EVENTS, Kind, Record
from tests.platform.memory import Memory
from tests.platform.runs import Run, read_clock
from tests.platform.standins import FakeStore, Handler, build_registration, start_app
from tests.platform.targets import SigningTarget

CRASH_DELAY = 0.05
"""Time from the begin of a run that crashes its target to the crash, in seconds."""

EVENT_INTERVAL = 0.02
"""Time before each event of a stream, in seconds."""

MIN_CALL_SECONDS = 0.03
"""Shortest duration of a call; the longest is twice as long."""

MAX_MUTE_SECONDS = 60.0
"""Longest time for which a mute target keeps a request open, in seconds."""


@dataclass(slots=True)
class SoakTarget(SigningTarget):
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
    memory: Memory = field(default_factory=Memory)
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
        self.runner, address = await start_app(self.build_app())
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
        self.memory.clear()
        self.proxy.cut()
        await self.register(store)

    def crash_outlived(self, afterlife: Afterlife) -> None:
        """End as a killed process does, while its address goes on to accept."""
        self.ended = True
        self.afterlife = afterlife
        self.copies.clear()
        self.memory.clear()
        for transport in self._open:
            transport.close()
        for run in self.running.values():
            run.ended = run.ended or read_clock()

    @web.middleware
    async def serve(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Handle a request, also for a target that has crashed."""
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
        # Another fault may end the target meanwhile.
        runner, self.runner = self.runner, None
        if runner is not None:
            await runner.cleanup()
        for run in self.running.values():
            run.ended = run.ended or read_clock()

    def note_arrival(self, request_id: str) -> None:
        """Record that a request for this target arrived."""
        self.record.arrivals.append((read_clock(), self.service, request_id))
        self.record.target_arrivals.append((read_clock(), self.name, request_id))

    def note_begin(self, run: Run) -> None:
        """Record a run."""
        self.record.runs.append(run)

    async def turn_away(
        self, request: web.Request, copy: str | None
    ) -> web.StreamResponse | None:
        """Refuse a request that is not run; None if it is to run."""
        request_id = request.headers.get("Request-Id", "")
        if self.pauses and copy is None:
            pause = max(self.pauses)
            self.record.pauses.append((read_clock(), self.name, request_id, pause))
            return self.refuse(request_id, pause)
        if "full" in self.faults and copy is None:
            return self.refuse(request_id)
        if "endless" in self.faults and zlib.crc32(request_id.encode()) % 2:
            return await self._send_endless(request)
        return None

    async def _send_endless(self, request: web.Request) -> web.StreamResponse:
        """Answer "not run", with a body that ends with its connection only."""
        refusal = self.refuse(request.headers.get("Request-Id", ""))
        answer = web.StreamResponse(status=503, headers=refusal.headers)
        del answer.headers["Content-Type"]
        await answer.prepare(request)
        while True:
            await answer.write(bytes(4_096))
            await asyncio.sleep(EVENT_INTERVAL)

    async def begin_work(self, request: web.Request, run: Run) -> None:
        """Crash if the request says so; wait as long as the target is mute."""
        crashes = CRASHING in request.headers.get("Prefix-Hash", "")
        if crashes or CRASHING in request.path:
            await asyncio.sleep(CRASH_DELAY)
            run.crashed = True
            self.crash(self)
        if "mute" in self.faults or run.crashed:
            await _wait_for_close(request)

    def build_signal_headers(self) -> dict[str, str]:
        """Return the signals of the target about itself."""
        signal_headers = {"Server-Limit": str(min(self.rates))} if self.rates else {}
        if self.name in self.record.leaving_since:
            signal_headers["Server-Leaving"] = "1"
        return signal_headers

    async def work(self) -> None:
        """Wait as long as a call takes."""
        await asyncio.sleep(MIN_CALL_SECONDS * (1 + self.rng.random()))

    def draw_grey(self) -> bool:
        """Return whether the next call fails."""
        return self.rng.random() < 0.5 and "grey" in self.faults

    def count_events(self, request: web.Request) -> int:
        """Return the number of events of a complete stream."""
        return EVENTS[Kind(request.path.split("/")[1])]

    def find_interval(self, run: Run) -> float:
        """Return the time before each event of a stream, in seconds."""
        return EVENT_INTERVAL

    async def give_copy(self, holder: str, run: Run) -> bool:
        """Copy a run to the target at an address, and return whether it holds it."""
        self.back_up(holder, run)
        return holder in self.targets_by_address

    def back_up(self, holder: str, run: Run) -> None:
        """Let the target at an address hold a copy."""
        if holder in self.targets_by_address:
            self.targets_by_address[holder].copies[run.request] = run.generation

    def drop_backup(self, holder: str, run: Run) -> None:
        """Free the backup of a run that is complete."""
        if holder in self.targets_by_address:
            self.targets_by_address[holder].copies.pop(run.request, None)

    def find_state(self) -> str:
        """Return the state that the report names."""
        leaving = self.name in self.record.departures | self.record.leaving_since
        return "draining" if leaving else "ready"


async def _wait_for_close(request: web.Request) -> None:
    """Raise ConnectionResetError once the peer has closed a request's connection."""
    async with asyncio.timeout(MAX_MUTE_SECONDS):
        while request.transport is not None and not request.transport.is_closing():
            await asyncio.sleep(EVENT_INTERVAL)
    raise ConnectionResetError("the peer closed the connection")
