"""Target as a process of its own: ``python -m tests.platform.target``.

It imports what it needs, then waits for one line with its identity as JSON. It prints
a line once it listens, and one once it is registered.
"""

import asyncio
import dataclasses
import os
import random
import signal
import sys
import time
import zlib
from collections.abc import Coroutine
from dataclasses import dataclass, field

import aiohttp
import orjson
from aiohttp import web

from tests.framing import Framing
from tests.platform.memory import STRIDE, Memory
from tests.platform.runs import Run, read_clock, watch_loop
from tests.platform.standins import build_registration, start_app
from tests.platform.targets import SigningTarget

BACKUP_INTERVAL = 0.2
"""Time between two parts of a running backup, in seconds."""

CALL_BYTES = 800
"""Length of the answers to calls, in bytes."""

REPORT_INTERVAL = 0.3
"""Time between two changes of what the report says of runs, pins and copies."""

COPY_LIFETIME = 10.0
"""Time after its last part for which an unused copy is kept, in seconds."""

REGISTER_TIMEOUT_SECONDS = 30.0
"""Time for which it tries to write its registration, in seconds."""

SLEEP_RANGE = (1.2, 1.45)
"""Shortest and longest time for which a process stands still, in seconds."""

DELAY_RANGE = (0.8, 3.0)
"""Shortest and longest delay of an event that comes late, in seconds."""


@dataclass(frozen=True, slots=True)
class Identity:
    """What a process is told to be.

    Attributes:
        journal: File to which it appends what it ran.
        late: Time from the start to the registration, in seconds.
        drain: Time for which it serves after the store knows that it leaves.
        interval: Shortest time before an event, in seconds; the longest is twice it.
        work: Mean duration of a call, in seconds.
        port: Port at which it listens, if another than that of its address.
        framing: Framing of all streams; "" to draw one for each.
        open_share: Share of the streams that end with the connection, while the others
            come in chunks; None to draw a framing for each.
        late_share: Share of the events that come late by DELAY_RANGE.
        deadlines: Whether it closes streams as their deadline passes.
        born: Start of its incarnation, as a Unix time in milliseconds; 0 for now.
        event_tokens: Mean number of tokens in an event.
        block: Tokens of a block of its memory, of which it lists whole ones.
        first_id: Id of the first event of each stream.
        odd_events: Whether events have further lines, and come in pieces.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    version: str
    store: str
    journal: str
    late: float = 0.0
    drain: float = 2.0
    interval: float = 0.02
    work: float = 0.045
    faults: tuple[str, ...] = ()
    port: int = 0
    framing: str = ""
    open_share: float | None = None
    late_share: float = 0.0
    deadlines: bool = False
    born: int = 0
    event_tokens: float = STRIDE
    block: int = 1
    first_id: int = 1
    odd_events: bool = False

    def find_port(self) -> int:
        """Return the port at which it listens."""
        return self.port or int(self.address.rpartition(":")[2])


@dataclass
class ProcessTarget(SigningTarget):
    """Target that writes what it runs to a file, which outlives a kill."""

    identity: Identity
    session: aiohttp.ClientSession
    journal: int
    born: int = field(init=False)
    copies: dict[str, str] = field(default_factory=dict)
    running: dict[str, Run] = field(default_factory=dict)
    memory: Memory = field(default_factory=Memory)
    state: str = "ready"

    def __post_init__(self) -> None:
        self.name = self.identity.name
        self.service = self.identity.service
        self.version = self.identity.version
        self.born = self.identity.born or time.time_ns() // 1_000_000
        self.faults = list(self.identity.faults)
        self.missing_copy_pause = None
        self.call_bytes = CALL_BYTES
        self._rng = random.Random(f"{self.name} {self.born}")
        self._runs = 0
        if self.identity.framing:
            self.framing = Framing(self.identity.framing)
        self.open_share = self.identity.open_share
        self.keeps_deadlines = self.identity.deadlines
        self.event_tokens = self.identity.event_tokens
        self.memory.block = self.identity.block
        self.first_id = self.identity.first_id
        self.is_odd = self.identity.odd_events
        self._reported = super().describe_load()
        self._given: dict[str, str] = {}
        self._expiries: dict[str, asyncio.TimerHandle] = {}
        self._backed_up: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def write(self, kind: str, **fields: object) -> None:
        """Append a line to the journal."""
        line = orjson.dumps({"kind": kind, "at": read_clock(), **fields})
        os.write(self.journal, line + b"\n")

    def note_stall(self, start: float, end: float) -> None:
        """Write that the process could not work for a while."""
        self.write("stall", start=start, end=end)

    async def register(self) -> None:
        """Write the registration, or delete it once the target has left."""
        value = b""
        if self.state != "left":
            value = build_registration(
                self.service,
                self.identity.address,
                self.state,
                self.identity.failure_domain,
                self.version,
                self.born,
            )
        key = self.name.encode()
        record = bytes([len(key)]) + key + value
        data = len(record).to_bytes(4) + record
        url = f"http://{self.identity.store}/figstep/log-append"
        where = {"topic": "keyed.servers", "part": "0"}
        async with asyncio.timeout(REGISTER_TIMEOUT_SECONDS):
            while not await self._append(url, where, data):
                await asyncio.sleep(0.1)
        self.write("registered", state=self.state, version=self.version, born=self.born)

    async def _append(self, url: str, where: dict[str, str], data: bytes) -> bool:
        try:
            async with self.session.post(url, params=where, data=data) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def leave(self) -> None:
        """Say that it leaves, serve on for a while and exit."""
        self.state = "draining"
        await self.register()
        await asyncio.sleep(self.identity.drain)
        self.state = "left"
        await self.register()
        os._exit(0)

    def add_routes(self, app: web.Application) -> None:
        """Add the transfer of copies between targets."""
        app.router.add_post("/copies/{request}", self._receive_copy)
        app.router.add_delete("/copies/{request}", self._lose_copy)

    async def _receive_copy(self, request: web.Request) -> web.Response:
        name = request.match_info["request"]
        if "forgetful" in self.faults and zlib.crc32(f"lost {name}".encode()) % 2:
            return web.Response()
        self.copies[name] = (await request.read()).decode()
        if name in self._expiries:
            self._expiries[name].cancel()
        loop = asyncio.get_running_loop()
        self._expiries[name] = loop.call_later(
            COPY_LIFETIME, self.copies.pop, name, None
        )
        return web.Response()

    async def _lose_copy(self, request: web.Request) -> web.Response:
        self.copies.pop(request.match_info["request"], None)
        return web.Response()

    def note_arrival(self, request_id: str) -> None:
        """Write that a request for this target arrived."""
        self.write("arrived", request=request_id)

    def note_begin(self, run: Run) -> None:
        """Write that a run begins."""
        self._write_run(run)

    def note_body(self, run: Run) -> None:
        """Write what a call answers, as the process may be killed once it is sent."""
        self._write_run(run)

    def note_end(self, run: Run) -> None:
        """Write how a run ended."""
        self._backed_up.pop(run.request, None)
        self._write_run(run)

    def fall_asleep(self) -> None:
        """Stand still once the connection that has just been closed is."""
        # The transport closes its socket by the same queue, before this.
        asyncio.get_running_loop().call_soon(self._sleep)

    def _sleep(self) -> None:
        seconds = self._rng.uniform(*SLEEP_RANGE)
        began = read_clock()
        # Before it, as the process may be killed meanwhile.
        self.write("asleep", start=began, end=began + seconds)
        time.sleep(seconds)

    def _write_run(self, run: Run) -> None:
        fields = dataclasses.asdict(run)
        fields["body"] = run.body.decode()
        self.write("run", run=fields)

    def name_generation(self) -> str:
        """Return the name of a new generation, which names the incarnation."""
        self._runs += 1
        return f"{self.name}.{self.born % 1_000_000}.{self._runs}"

    def count_events(self, request: web.Request) -> int:
        """Return the number of events, which the path names."""
        return int(request.path.rpartition("/")[2])

    def find_interval(self, run: Run) -> float:
        """Return the time before the next event, in seconds."""
        return self.identity.interval * (1 + self._rng.random())

    def draw_delay(self) -> float:
        """Return by how much the next event of a stream is late, in seconds."""
        share = self.identity.late_share
        if not share or self._rng.random() >= share:
            return 0.0
        return self._rng.uniform(*DELAY_RANGE)

    async def work(self) -> None:
        """Wait as long as a call takes."""
        await asyncio.sleep(self.identity.work * (0.5 + self._rng.random()))

    def draw_grey(self) -> bool:
        """Return that no call fails."""
        return False

    def find_state(self) -> str:
        """Return the state that the report names."""
        return self.state

    def begin_move(self, run: Run, stops: bool) -> None:
        """Begin to copy a run, which may be ordered to stop."""
        run.stopped = run.stopped or stops

    def describe_load(self) -> dict[str, object]:
        """Return what the report says, which is up to REPORT_INTERVAL old."""
        return self._reported

    async def renew_report(self) -> None:
        """Renew what the report says, now and then."""
        while True:
            self._reported = super().describe_load()
            await asyncio.sleep(REPORT_INTERVAL)

    async def free_copy(self, handle: str) -> None:
        """Free a copy, here and where it was made."""
        self.copies.pop(handle, None)
        if handle in self._given:
            await self._end_copy(self._given.pop(handle), handle)

    async def give_copy(self, holder: str, run: Run) -> bool:
        """Copy a run to the engine at an address, and return whether it holds it."""
        self._given[run.request] = holder
        url = f"http://{holder}/copies/{run.request}"
        try:
            async with self.session.post(url, data=run.generation) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def back_up(self, holder: str, run: Run) -> None:
        """Send what is new of a run to the engine at an address, now and then."""
        sent = self._backed_up.get(run.request, 0.0)
        if read_clock() < sent + BACKUP_INTERVAL:
            return
        self._backed_up[run.request] = read_clock()
        self._start(self._send_backup(holder, run))

    async def _send_backup(self, holder: str, run: Run) -> None:
        await self.give_copy(holder, run)
        if run.whole:
            await self._end_copy(holder, run.request)

    def drop_backup(self, holder: str, run: Run) -> None:
        """Free the backup of a run that is complete."""
        self._start(self._end_copy(holder, run.request))

    async def _end_copy(self, holder: str, request_id: str) -> None:
        url = f"http://{holder}/copies/{request_id}"
        try:
            async with self.session.delete(url):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def serve(identity: Identity) -> None:
    """Serve as a target until the process is ended."""
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    journal = os.open(identity.journal, flags, 0o644)
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        target = ProcessTarget(identity, session, journal)
        leaving = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaving.set)
        await start_app(target.build_app(), identity.find_port())
        report = asyncio.create_task(target.renew_report())
        target.write("born", version=target.version, born=target.born)
        print("listening", flush=True)
        stalls = asyncio.create_task(watch_loop(target.note_stall))
        await asyncio.sleep(identity.late)
        await target.register()
        print("registered", flush=True)
        await leaving.wait()
        stalls.cancel()
        await target.leave()
        report.cancel()


def main() -> None:
    """Wait for an identity, and serve under it."""
    line = sys.stdin.readline()
    if line:
        asyncio.run(serve(Identity(**orjson.loads(line))))


if __name__ == "__main__":
    main()
