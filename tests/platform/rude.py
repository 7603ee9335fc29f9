"""Callers that send without end, and the process of an entry that they reach."""

import asyncio
import itertools
import os
import re
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import aiohttp

from tests.platform.processes import (
    Network,
    build_network,
    query_ready,
    start_entry,
)
from tests.platform.standins import (
    KEY,
    ROUTE_HOST,
    FakeStore,
    FakeTarget,
    build_configuration,
)

MEMORY_MB = 100
"""Memory of an entry in its settings, and the bound of its peak, in MiB."""

DESCRIPTORS = 256
"""Descriptors of an entry in its settings, and the limit that the system sets."""

HEADER_BYTES = 16_384
"""Largest head of a request in the configuration, in bytes."""

CROWD = 40
"""Connections that send the same."""

MAX_SENT_BYTES = 4_000_000
"""Bytes after which a connection has sent enough, none of which it could send in a
request that is inside the limits."""

CROWD_SECONDS = 2.5
"""How long a crowd sends, in seconds."""

SEND_BYTES = 65_536
"""Bytes that are sent at once."""

LIMITS = {
    "max_header_bytes": HEADER_BYTES,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 2_000,
}

HEAD = (
    f"POST /order/a HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: rude\r\n"
    f"Credential: {KEY}\r\nDeadline-Ms: 4000\r\n"
).encode()

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

LARGE_VALUE = b"x" * 32_000


def write_headers(size: int) -> bytes:
    """Return 120 headers with values of this size in bytes."""
    return b"".join(b"X-%d: %b\r\n" % (n, LARGE_VALUE[:size]) for n in range(120))


class Form(Enum):
    """What is sent once, and then without end."""

    HEADERS = (HEAD + write_headers(32_000), b"")
    WHOLE_HEADS = (b"", HEAD + write_headers(32_000) + b"\r\n")
    METHOD = (b"", b"M")
    TARGET = (b"GET /", b"t")
    NAME = (HEAD, b"n")
    VALUE = (HEAD + b"X-More: ", b"v")
    SPACES = (HEAD + b"X-More:", b" ")
    LARGE_TRAILERS = (CHUNKED + b"0\r\n", b"X-More: " + LARGE_VALUE[:30_000] + b"\r\n")
    SMALL_TRAILERS = (CHUNKED + b"0\r\n", b"a: b\r\n")
    CHUNK_EXTENSION = (CHUNKED + b"5;", b"x")
    CHUNK_ZEROS = (CHUNKED, b"0")
    EMPTY_LINES = (b"", b"\r\n")
    LINE_FEEDS = (b"", b"\n")
    CARRIAGE_RETURNS = (b"", b"\r")
    UPGRADE = (HEAD + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n", b"u")
    CONNECT = (b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", b"c")

    async def read_pieces(self) -> AsyncIterator[bytes]:
        """Return what is sent, in order."""
        start, unit = self.value
        if start:
            yield start
        while unit:
            yield unit * max(1, SEND_BYTES // len(unit))


def write_small_head(number: int) -> bytes:
    """Return a head of 15,000 bytes without its last line."""
    head = HEAD.replace(b": rude", b": rude-%d" % number) + b"Content-Length: 0\r\n"
    return head + b"".join(b"X-%d: %b\r\n" % (n, b"x" * 7_400) for n in range(2))


async def read_chunks_of_one_byte() -> AsyncIterator[bytes]:
    """Return a body in chunks of one byte."""
    yield CHUNKED
    while True:
        yield b"1\r\nx\r\n" * (SEND_BYTES // 6)


async def read_small_heads() -> AsyncIterator[bytes]:
    """Return requests in a row, each with a head inside the limits."""
    for number in itertools.count():
        yield write_small_head(number) + b"\r\n"


@dataclass
class Sender:
    """One connection to a listener.

    Attributes:
        sent: Bytes that were given to the system.
        received: What the listener answered, if it is read.
        ended: Whether the listener closed the connection.
    """

    host: str
    port: int
    sent: int = 0
    received: bytes = b""
    ended: bool = False
    _socket: socket.socket | None = field(default=None, repr=False)

    async def send(self, pieces: AsyncIterator[bytes], reads: bool = False) -> None:
        """Send until the connection ends or ``MAX_SENT_BYTES`` are sent.

        Args:
            pieces: What is sent.
            reads: Whether answers are read until the listener closes the connection.
        """
        # A stream of asyncio drops what was received once it cannot send any more.
        self._socket = socket.socket()
        self._socket.setblocking(False)
        # What is sent is then what the entry has taken, but for little.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self._socket, (self.host, self.port))
        except OSError:
            self.ended = True
            return
        reading = asyncio.create_task(self._read(self._socket)) if reads else None
        try:
            await self._write(self._socket, pieces)
            if reading is not None:
                await reading
        finally:
            if reading is not None:
                reading.cancel()

    async def _write(
        self, connection: socket.socket, pieces: AsyncIterator[bytes]
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async for piece in pieces:
                for start in range(0, len(piece), SEND_BYTES):
                    part = piece[start : start + SEND_BYTES]
                    await loop.sock_sendall(connection, part)
                    self.sent += len(part)
                    await asyncio.sleep(0)
                if self.sent >= MAX_SENT_BYTES:
                    return
        except OSError:
            self.ended = True

    async def _read(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await loop.sock_recv(connection, 65_536):
                self.received += data
        self.ended = True

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

    @property
    def statuses(self) -> list[int]:
        """Statuses of the answers."""
        return [
            int(code) for code in re.findall(rb"HTTP/1\.[01] (\d{3}) ", self.received)
        ]


class Entry:
    """The process of an entry, with a store and a target."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.network: Network = build_network()
        self.store = FakeStore()
        self.target = FakeTarget("i-b1", "bookings")
        self.process: asyncio.subprocess.Process | None = None
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start all, and wait until the entry has answered a request."""
        await self.store.start()
        configuration = build_configuration(2, limits=LIMITS)
        await self.store.put("keyed.op", "config", configuration)
        await self.target.start(self.store)
        path = self._folder / "entry.toml"
        limits = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS}\n"
        self.network.write_settings(path, 0, self.store.address, bounds=limits)
        self.process = await start_entry(path, self._folder / "entry.log")
        number = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, number)
        address = f"{self.network.find_ip(0)}:{self.network.ready}"
        async with asyncio.timeout(30):
            while not await query_ready(address) or await self.call() != 200:
                await asyncio.sleep(0.05)
        self.target.received_headers.clear()

    async def stop(self) -> None:
        """End the process, and stop the store and the target."""
        if self.process is not None:
            if self.lives:
                print(f"peak {self.peak_mb:.0f} MiB, {self.descriptors} descriptors")
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        await self.target.kill()
        await self.store.stop()

    async def call(self) -> int | None:
        """Send an ordinary request; return its status, None without an answer."""
        url = f"http://{self.network.find_ip(0)}:{self.network.front}/order/a"
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": f"ordinary-{next(self._numbers)}",
            "Credential": KEY,
            "Deadline-Ms": "8000",
        }
        timeout = aiohttp.ClientTimeout(total=10)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, headers=headers) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    def open_sender(self, port: int | None = None) -> Sender:
        """Return a connection to the callers' port, or to another one."""
        return Sender(self.network.find_ip(0), port or self.network.front)

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        assert self.process is not None
        return self.process.returncode is None

    @property
    def peak_mb(self) -> float:
        """Largest memory of the process so far, in MiB."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(one for one in status.splitlines() if one.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    @property
    def descriptors(self) -> int:
        """Number of open descriptors of the process."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    @property
    def rude_requests(self) -> list[str]:
        """Ids of requests at the target that were not sent by ``call``."""
        ids = [headers["Request-Id"] for headers in self.target.received_headers]
        return [one for one in ids if not one.startswith("ordinary-")]


@asynccontextmanager
async def open_entry(folder: Path) -> AsyncIterator[Entry]:
    """Start the process of an entry with a store and a target."""
    entry = Entry(folder)
    try:
        await entry.start()
        yield entry
    finally:
        await entry.stop()


@asynccontextmanager
async def send_by_all(
    senders: list[Sender], read_pieces: Callable[[], AsyncIterator[bytes]]
) -> AsyncIterator[None]:
    """Let a crowd send for ``CROWD_SECONDS`` or until all have ended.

    The connections stay open, and go on sending, until the block is left.
    """
    sending = [asyncio.create_task(one.send(read_pieces())) for one in senders]
    try:
        await asyncio.wait(sending, timeout=CROWD_SECONDS)
        yield
    finally:
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        for one in senders:
            one.close()
