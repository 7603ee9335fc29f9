"""Tests of an entry process whose targets, store or other entries are rude."""

import asyncio
import random
import socket
import struct
import zlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import capnp
import pytest
from aiohttp import web

from figstep.core.positions import Position
from figstep.gateway.events import PeerHeard
from figstep.net import hellos
from figstep.net.hellos import Hello, encode_hello
from figstep.net.neighbors import Member
from tests.platform.processes import (
    Network,
    build_network,
    query_ready,
    start_entry,
)
from tests.platform.rude_servers import Answer, RudeServer
from tests.platform.standins import (
    KEY,
    ROUTE_HOST,
    FakeStore,
    FakeTarget,
    build_configuration,
    build_registration,
    build_routes,
)
from tests.ports import HOST, find_free_port

CALLS = 64
"""Calls at once to rude targets."""

DATAGRAMS = 3_000
"""Datagrams of a flood."""

MAX_PEAK = 100 << 20
"""Bytes of memory that the process may ever use; its machine has 150 MiB, and ordinary
requests need a share of it."""

MAX_FURTHER_DESCRIPTORS = 16
"""Open files and sockets that may be left in addition to those before the crowd."""

SETTLE_SECONDS = 12.0
"""Time after which the last connections of a crowd have ended."""

START_SECONDS = 20.0
"""Time limit of the start of a process on a busy machine."""

FAMILIES = {
    "heads": [
        Answer.LARGE_HEADERS,
        Answer.LARGER_HEADERS,
        Answer.STATUS_LINE,
        Answer.HEADER_NAME,
        Answer.HEADER_VALUE,
        Answer.HEADER_SPACES,
        Answer.EMPTY_LINES,
    ],
    "interim": [Answer.INTERIM_ANSWERS],
    "interim_headers": [Answer.INTERIM_HEADERS],
    "chunks": [Answer.CHUNK_ZEROS, Answer.CHUNK_EXTENSION, Answer.CHUNK_EXTENSIONS],
    "trailers": [Answer.TRAILERS, Answer.SMALL_TRAILERS, Answer.TRAILERS_AFTER_BODY],
}

EACH_FAMILY = pytest.mark.parametrize("family", FAMILIES)

PLAN = {"Token_Count": "100,10", "Prefix_Hash": "a:100"}


class Machine:
    """An entry process with a store, one sound target and its own settings."""

    def __init__(self, path: Path) -> None:
        self.network: Network = build_network()
        self.store = FakeStore()
        self.target = FakeTarget("i-b1", "bookings")
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.process: asyncio.subprocess.Process | None = None
        self.descriptors = 0
        self._path = path

    @property
    def host(self) -> str:
        return self.network.find_ip(0)

    async def start(self) -> None:
        """Start the process, and wait until it serves calls."""
        settings = self._path / "entry.toml"
        bounds = "[limits]\nmemory_mb = 150\nmax_fds = 1024\n"
        self.network.write_settings(settings, 0, self.store.address, bounds=bounds)
        self.process = await start_entry(settings, self._path / "entry.log")
        async with asyncio.timeout(START_SECONDS):
            while not await query_ready(f"{self.host}:{self.network.ready}"):
                assert self.process.returncode is None
                await asyncio.sleep(0.05)
            number = 0
            while await self.call("/lookup/a", f"early-{number}") != 200:
                number += 1
                await asyncio.sleep(0.1)
        self.descriptors = self.count_descriptors()

    async def register(self, name: str, service: str, address: str) -> None:
        """Register a target in the store."""
        registration = build_registration(service, address, "ready")
        await self.store.put("keyed.servers", name, registration)

    async def call(self, path: str, number: str, **more: str) -> int:
        """Send a call and return the status of its answer; 0 if it is not whole."""
        url = f"http://{self.host}:{self.network.front}{path}"
        method = "POST" if path.startswith("/plan/") else "GET"
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": number,
            "Credential": KEY,
            "Deadline-Ms": "3000",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        try:
            async with (
                asyncio.timeout(8),
                self.session.request(method, url, headers=headers) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError):
            return 0

    async def call_at_once(self, path: str, name: str, **more: str) -> list[int]:
        """Send all calls of a crowd at once, and return their statuses."""
        calls = [self.call(path, f"{name}-{one}", **more) for one in range(CALLS)]
        return await asyncio.gather(*calls)

    def read_peak(self) -> int:
        """Return the most memory that the process has used, in bytes."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) << 10
        raise AssertionError("the process has ended")

    def count_descriptors(self) -> int:
        """Return the number of files and sockets that the process has open."""
        assert self.process is not None
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def read_log(self) -> str:
        """Return all that the process has written."""
        return (self._path / "entry.log").read_text()

    async def check(self, name: str) -> None:
        """Check that the process lives within its bounds, and serves an ordinary call.

        ``name`` names the crowd in messages.
        """
        assert self.process is not None
        assert self.process.returncode is None, name
        assert await self.call("/lookup/a", f"after-{name}") == 200, name
        async with asyncio.timeout(SETTLE_SECONDS):
            while self.count_descriptors() > self.descriptors + MAX_FURTHER_DESCRIPTORS:
                await asyncio.sleep(0.1)
        peak = self.read_peak()
        print(f"{name}: peak {peak >> 20} MiB")
        assert peak <= MAX_PEAK, name

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.session.close()
        await self.target.kill()
        await self.store.stop()


@asynccontextmanager
async def open_machine(path: Path) -> AsyncIterator[Machine]:
    """Open a machine whose entry is not started yet."""
    machine = Machine(path)
    routes = build_routes()
    for kind in ("safe", "unsafe"):
        added = {**routes[1], "name": kind, "prefix": f"/rude/{kind}/", "type": kind}
        routes.append({**added, "service": "rude"})
    services: list[dict[str, object]] = [
        {"name": "bookings"},
        {"name": "rude"},
        {"name": "engines", "engine": {"slots": 64, "kv_capacity": 34_000}},
    ]
    await machine.store.start()
    document = build_configuration(routes=routes, services=services)
    await machine.store.put("keyed.op", "config", document)
    await machine.target.start(machine.store)
    try:
        yield machine
    finally:
        await machine.stop()


@pytest.fixture
async def machine(tmp_path: Path) -> AsyncIterator[Machine]:
    async with open_machine(tmp_path) as opened:
        yield opened


@asynccontextmanager
async def open_rude(**fields: Any) -> AsyncIterator[RudeServer]:
    server = RudeServer(Answer.LARGE_HEADERS, **fields)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


@EACH_FAMILY
async def test_targets_whose_heads_or_trailers_are_rude_leave_memory(
    machine: Machine, family: str
) -> None:
    """Guards against an entry that targets drive out of its memory by their heads."""
    async with open_rude() as rude:
        for number in range(4):
            await machine.register(f"i-r{number}", "rude", rude.address)
        await machine.register("i-e1", "engines", rude.address)
        await machine.start()
        for answer in FAMILIES[family]:
            rude.answer = answer
            before = rude.requests
            for path in ("/rude/safe/a", "/rude/unsafe/a"):
                statuses = await machine.call_at_once(path, f"{answer.name}{path[6]}")
                assert 200 not in statuses
            await machine.call_at_once("/plan/a", f"{answer.name}-plan", **PLAN)
            assert rude.requests > before
            await machine.check(answer.name)


async def test_a_target_that_answers_queries_rudely_leaves_memory(
    machine: Machine,
) -> None:
    """Guards against queries of a target's life whose answers are not bounded."""
    async with open_rude(only_queries=True) as rude:
        await machine.register("i-r1", "rude", rude.address)
        await machine.start()
        for answer in (Answer.INTERIM_HEADERS, Answer.SMALL_TRAILERS, Answer.CHUNKS):
            rude.answer = answer
            before = rude.requests
            await machine.call_at_once("/rude/safe/a", answer.name)
            assert rude.requests > before
            await machine.check(answer.name)


async def test_a_target_that_answers_queries_at_length_leaves_memory(
    machine: Machine,
) -> None:
    """Guards against answers to queries that are bounded each, and not together."""
    async with open_rude(only_queries=True) as rude:
        rude.answer = Answer.BODY
        await machine.register("i-r1", "rude", rude.address)
        await machine.start()
        await machine.call_at_once("/rude/safe/a", "BODY")
        assert rude.requests
        await machine.check("BODY")


@pytest.mark.parametrize("name", ["Retry-After", "Server-Limit"])
async def test_a_refusal_with_a_number_without_measure_is_a_refusal(
    machine: Machine, name: str
) -> None:
    """Guards against a refusal that is lost, so that its caller waits until the end."""
    await machine.start()
    for index, number in enumerate(("1e308", "1e300", "1e20", "9" * 400)):
        target = FakeTarget(f"i-r{index}", "rude")

        async def refuse(
            request: web.Request, target: FakeTarget = target, number: str = number
        ) -> web.Response:
            headers = {**target.sign(request), "Not-Executed": "1", name: number}
            return web.Response(status=503, headers=headers)

        target.handler = refuse
        await target.start(machine.store)
        while not target.received_headers:
            for kind in ("safe", "unsafe"):
                call = f"{kind}-{number[:6]}-{random.random()}"
                assert await machine.call(f"/rude/{kind}/a", call) == 503
        await machine.store.put("keyed.servers", target.name, b"")
        await target.kill()
    await machine.check(name)
    assert "exception" not in machine.read_log()


async def test_a_rude_store_leaves_memory(machine: Machine) -> None:
    """Guards against an entry that its store drives out of its memory."""
    host, port = machine.store.address.split(":")
    await machine.start()
    await machine.store.stop()
    rude = RudeServer(Answer.LARGE_HEADERS)
    await rude.start(host, int(port))
    for answer in (Answer.INTERIM_HEADERS, Answer.SMALL_TRAILERS, Answer.CHUNKS):
        rude.answer = answer
        before = rude.requests
        async with asyncio.timeout(SETTLE_SECONDS):
            while rude.requests < before + 4:
                await asyncio.sleep(0.1)
        await machine.check(answer.name)
    await rude.stop()


async def test_an_era_without_measure_does_not_silence_an_entry(
    machine: Machine,
) -> None:
    """Guards against an entry that fits no message to a number in its store's heads."""
    await machine.start()
    neighbor = Neighbor(machine)
    neighbor.greet()
    machine.store.era = 10**30
    await machine.register("i-r1", "rude", machine.target.address)
    await asyncio.sleep(3)
    neighbor.greet()
    await neighbor.hear()
    await machine.check("era")
    neighbor.close()


async def test_answers_of_a_store_without_end_leave_memory(machine: Machine) -> None:
    """Guards against answers that are kept while their failure is handled."""
    host, port = machine.store.address.split(":")
    await machine.start()
    await machine.store.stop()
    rude = RudeServer(Answer.BODY)
    rude.seconds_between = 0.0
    await rude.start(host, int(port))
    async with asyncio.timeout(SETTLE_SECONDS):
        while rude.requests < 8:
            await asyncio.sleep(0.1)
    await machine.check("BODY")
    await rude.stop()


class Neighbor:
    """Another entry, of which only its messages exist."""

    def __init__(self, machine: Machine, **fields: Any) -> None:
        self.host = machine.network.find_ip(7)
        self._to = (machine.host, machine.network.peers)
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.bind((self.host, 0))
        self._socket.setblocking(False)
        self.address = f"{self.host}:{self._socket.getsockname()[1]}"
        own = PeerHeard("entry-9", (), (), address=self.address)
        self.hello = Hello(replace(own, **fields), session=9)
        self._sequence = 0

    def send(self, data: bytes) -> None:
        """Send a datagram; it is lost if the socket's buffer is full."""
        with suppress(BlockingIOError):
            self._socket.sendto(data, self._to)

    def greet(self, **fields: Any) -> None:
        """Send a message, with some of its fields replaced."""
        self._sequence += 1
        self.send(encode_hello(replace(self.hello, sequence=self._sequence, **fields)))

    async def hear(self) -> None:
        """Wait for a message that is sent from now on."""
        with suppress(BlockingIOError):
            while True:
                self._socket.recv(65_536)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(SETTLE_SECONDS):
            await loop.sock_recv(self._socket, 65_536)

    def close(self) -> None:
        self._socket.close()


async def test_a_rude_entry_that_serves_relays_leaves_memory(machine: Machine) -> None:
    """Guards against an entry whose relays another one answers without bound."""
    async with open_rude() as rude:
        for number in range(3):
            address = f"{HOST}:{find_free_port()}"
            await machine.register(f"i-r{number}", "rude", address)
        await machine.start()
        neighbor = Neighbor(machine, relays=(rude.address,), configuration=1)
        for answer in (Answer.INTERIM_HEADERS, Answer.SMALL_TRAILERS, Answer.CHUNKS):
            rude.answer = answer
            before = rude.requests
            async with asyncio.timeout(SETTLE_SECONDS):
                while rude.requests < before + CALLS:
                    neighbor.greet()
                    name = f"{answer.name}-{rude.requests}"
                    await machine.call_at_once("/rude/safe/a", name)
            await machine.check(answer.name)
        neighbor.close()


def write_garbage(rng: random.Random, sound: bytes) -> list[bytes]:
    """Return datagrams that are no messages, or only parts of one."""
    datagrams = [rng.randbytes(65_000), b""]
    for _ in range(DATAGRAMS // 2):
        datagrams.append(rng.randbytes(rng.randrange(1_400)))
        datagrams.append(sound[: rng.randrange(len(sound))])
    return datagrams


async def test_garbage_between_entries_leaves_an_entry_alive(machine: Machine) -> None:
    """Guards against an entry that a damaged datagram ends or silences."""
    await machine.start()
    neighbor = Neighbor(machine)
    neighbor.greet()
    members = (Member(f"{neighbor.host}:9", "muc-b"),)
    sound = encode_hello(replace(neighbor.hello, members=members, session=7))
    for datagram in write_garbage(random.Random(77), sound):
        neighbor.send(datagram)
        await asyncio.sleep(0)
    neighbor.greet()
    await machine.check("garbage")
    await neighbor.hear()
    neighbor.close()


async def test_an_address_that_is_none_does_not_silence_an_entry(
    machine: Machine,
) -> None:
    """Guards against an entry that sends no messages after it heard of no address."""
    await machine.start()
    neighbor = Neighbor(machine)
    for session, address in enumerate(("nowhere", "x:y", "host:1", "127.0.0.1:99999")):
        neighbor.greet(members=(Member(address, "muc-b"),))
        content = replace(neighbor.hello.content, address=address)
        neighbor.greet(content=content, session=100 + session)
        # A new session is answered, other messages come without one.
        neighbor.greet(session=200 + session)
        await asyncio.sleep(1)
        await neighbor.hear()
    await machine.check("addresses")
    neighbor.close()


def write_empty_words(words: int) -> bytes:
    """Return a message that takes 2 bytes for each 256 words of zeros in it."""
    header = struct.pack("<II", 0, words)
    packed = bytes([sum(1 << i for i, byte in enumerate(header) if byte)])
    packed += bytes(byte for byte in header if byte)
    for begin in range(0, words, 256):
        packed += bytes([0, min(256, words - begin) - 1])
    return packed


def write_many_starts(streams: int) -> bytes:
    """Return a message that names as many streams, all by the same number."""
    schema: Any = capnp.load(str(Path(hellos.__file__).with_name("links.capnp")))
    message = schema.Hello.new_message(node="entry-9", session=9, sequence=1)
    starts = message.init("starts", 1)
    starts[0].version = "v1"
    starts[0].init("streams", streams)
    return bytes(message.to_bytes_packed())


@pytest.mark.parametrize(
    "write",
    [lambda: write_empty_words(60 << 17), lambda: write_many_starts(2_000_000)],
    ids=["empty", "starts"],
)
async def test_a_small_datagram_that_unpacks_to_much_is_rejected(
    machine: Machine, write: Callable[[], bytes]
) -> None:
    """Guards against a datagram of a few kilobytes that fills the memory."""
    datagram = write()
    assert len(datagram) < 65_000
    await machine.start()
    neighbor = Neighbor(machine)
    for _ in range(5):
        neighbor.send(datagram)
        await asyncio.sleep(0.1)
    await machine.check("small datagrams")
    neighbor.close()


async def test_bytes_without_end_where_entries_listen_leave_memory(
    machine: Machine,
) -> None:
    """Guards against bytes of other processes that pile up where entries listen."""
    await machine.start()
    for unit in (b"\r\n", b"X-More: 1\r\n", b"\x00", b"x"):

        async def send(unit: bytes) -> None:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(
                    machine.host, machine.network.peers
                )
                try:
                    for _ in range(60):
                        writer.write(unit * (65_536 // len(unit)))
                        await writer.drain()
                        await asyncio.sleep(0.01)
                finally:
                    writer.transport.abort()

        await asyncio.gather(*(send(unit) for _ in range(CALLS)))
    await machine.check("connections")


@pytest.mark.parametrize("packed", [False, True])
async def test_a_copy_of_records_without_end_leaves_memory(
    machine: Machine, packed: bool
) -> None:
    """Guards against an entry that takes in a copy of records of any size."""
    fetched = 0
    bomb = zlib.compress(b"\x00\xff" * (16 << 20)) if packed else b"\xff" * 65_536

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal fetched
        fetched += 1
        with suppress(OSError):
            writer.write(bomb)
            await writer.drain()
            while not packed:
                writer.write(bomb)
                await writer.drain()
        writer.close()

    await machine.start()
    neighbor = Neighbor(machine, configuration=9, position=Position(1, 1_000_000))
    host, port = neighbor.address.split(":")
    server = await asyncio.start_server(serve, host, int(port))
    async with asyncio.timeout(SETTLE_SECONDS):
        while fetched < 3:
            neighbor.greet()
            await asyncio.sleep(0.3)
    await machine.check("copies")
    server.close()
    neighbor.close()
