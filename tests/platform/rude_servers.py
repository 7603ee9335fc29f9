"""Peers that answer with heads, trailers or framing without bound."""

import asyncio
from contextlib import suppress
from enum import Enum

from tests.platform.endless import CHUNK, find_request_id
from tests.platform.standins import build_registration
from tests.ports import HOST

HEADERS = 126
"""Headers of a large head; a usual parser accepts 128."""

_CHUNKED = b"HEADTransfer-Encoding: chunked\r\n\r\n"


class Answer(Enum):
    """What is answered: a start, and what follows it again and again.

    HEAD stands for the status line and the headers of a sound answer. ``None`` follows
    where the answer ends without being complete.
    """

    LARGE_HEADERS = (b"HEAD" + b"X-More: %s\r\n" % (b"1" * 8_000) * HEADERS, None)
    LARGER_HEADERS = (b"HEAD" + b"X-More: %s\r\n" % (b"1" * 32_000) * HEADERS, None)
    INTERIM_HEADERS = (
        b"",
        b"HTTP/1.1 102 Processing\r\n" + b"X-More: 1\r\n" * 99 + b"\r\n",
    )
    INTERIM_ANSWERS = (b"", b"HTTP/1.1 102 Processing\r\n\r\n")
    STATUS_LINE = (b"HTTP/1.1 200 ", b"O")
    HEADER_NAME = (b"HEADX-", b"M")
    HEADER_VALUE = (b"HEADX-More: ", b"1")
    HEADER_SPACES = (b"HEADX-More:", b" ")
    EMPTY_LINES = (b"", b"\r\n")
    CHUNK_ZEROS = (_CHUNKED, b"0")
    CHUNK_EXTENSION = (_CHUNKED + b"5;", b"x")
    CHUNK_EXTENSIONS = (_CHUNKED, b"1;" + b"x" * 60_000 + b"\r\n1\r\n")
    TRAILERS = (_CHUNKED + b"0\r\n", b"X-More: %s\r\n" % (b"1" * 8_000))
    SMALL_TRAILERS = (_CHUNKED + b"0\r\n", b"x: 1\r\n")
    CHUNKS = (_CHUNKED, b"5\r\nwhole\r\n")
    BODY = (b"HEAD\r\n", b"answer")
    TRAILERS_AFTER_BODY = (_CHUNKED + b"5\r\nwhole\r\n0\r\n", b"x: 1\r\n")

    def write_start(self, request_id: bytes) -> bytes:
        """Return the bytes before those that are repeated."""
        return self.value[0].replace(b"HEAD", build_head(request_id))

    @property
    def repeated(self) -> bytes:
        """Bytes that are sent again and again; empty if the answer stops."""
        unit = self.value[1]
        return b"" if unit is None else unit * max(1, CHUNK // len(unit))


def build_head(request_id: bytes) -> bytes:
    """Return the start of the head of a sound answer."""
    return b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\n" % request_id


class RudeServer:
    """Server that gives the same rude answer to each request.

    Attributes:
        answer: What it answers.
        seconds_between: Time between two pieces of what it sends, which comes at some
            6.5 MB a second by default.
        only_queries: Whether it answers only queries of its state so. All else gets a
            sound answer without a length, which ends with its connection.
        address: "ip:port" at which it listens.
        requests: Number of requests that it answered.
        open: Number of connections on which it still sends.
        most_open: Largest number of those at a time.
    """

    def __init__(self, answer: Answer, only_queries: bool = False) -> None:
        self.answer = answer
        self.only_queries = only_queries
        self.seconds_between = 0.01
        self.address = ""
        self.requests = 0
        self.open = 0
        self.most_open = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, host: str = HOST, port: int = 0) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def register(self, service: str) -> bytes:
        """Return its registration as a target of a service."""
        return build_registration(service, self.address, "ready")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            self.open -= 1
            self._connections.discard(task)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = find_request_id(head)
        if self.only_queries and request_id:
            writer.write(build_head(request_id) + b"\r\nwho")
            # The client opens a second connection before the answer ends.
            await asyncio.sleep(0.1)
            writer.write(b"le")
            return
        self.requests += 1
        writer.write(self.answer.write_start(request_id))
        await writer.drain()
        while self.answer.repeated:
            writer.write(self.answer.repeated)
            await writer.drain()
            await asyncio.sleep(self.seconds_between)
        # The client neither gets the end of the head nor that of the connection.
        await reader.read()
