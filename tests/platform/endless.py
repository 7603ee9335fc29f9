"""Targets that send bytes without end."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from tests.platform.standins import FakeStore, build_registration
from tests.ports import HOST

CHUNK = 65_536
"""Bytes that are sent at once."""


class Form(Enum):
    """What is sent without end; REQUEST stands for the id of the request."""

    GARBAGE = (b"", b"\xff\x00garbage")
    STATUS_LINE = (b"HTTP/1.1 200 ", b"O")
    HEADER_LINES = (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n")
    ONE_HEADER = (b"HTTP/1.1 200 OK\r\nX-More: ", b"1")
    INTERIM_ANSWERS = (b"", b"HTTP/1.1 102 Processing\r\n\r\n")
    CHUNK_SIZE = (b"HEADTransfer-Encoding: chunked\r\n\r\n", b"0")
    CHUNK_EXTENSION = (b"HEADTransfer-Encoding: chunked\r\n\r\n5;", b"x")
    TRAILERS = (b"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: 1\r\n")
    CHUNKS = (b"HEADTransfer-Encoding: chunked\r\n\r\n", b"5\r\nwhole\r\n")
    BODY = (b"HEAD\r\n", b"answer")
    UNSIGNED_BODY = (b"HTTP/1.1 200 OK\r\n\r\n", b"answer")
    REFUSAL_BODY = (
        b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"5\r\nwhole\r\n",
    )
    FAILURE_BODY = (b"HTTP/1.1 500 Failed\r\nRequest-Id: REQUEST\r\n\r\n", b"failed")
    EVENT = (b"HEAD\r\nid: 1\ndata: ", b"t")

    def write_start(self, request_id: bytes) -> bytes:
        """Return the bytes before those that are repeated."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nServer-Stamp: stamp\r\n"
        start = self.value[0].replace(b"HEAD", head)
        return start.replace(b"REQUEST", request_id)

    @property
    def repeated(self) -> bytes:
        """Bytes that are sent again and again, many times at once."""
        unit = self.value[1]
        return unit * (CHUNK // len(unit))


@dataclass
class EndlessTarget:
    """Target whose answers never end.

    Attributes:
        form: What it sends without end.
        name: Name under which it registers.
        service: Service to which it belongs.
        requests: Number of requests that reached it.
        most_sent: Largest number of bytes that it sent on a connection.
        open: Number of connections on which it still sends.
    """

    form: Form
    name: str = "i-endless"
    service: str = "bookings"
    requests: int = 0
    most_sent: int = 0
    open: int = 0
    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self, store: FakeStore | None = None) -> None:
        """Start listening and register in the store."""
        self._server = await asyncio.start_server(self._answer, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        if store is not None:
            registration = build_registration(self.service, self.address, "ready")
            await store.put("keyed.servers", self.name, registration)

    async def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sent = 0
        self.open += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.form.write_start(find_request_id(head)))
            while True:
                writer.write(self.form.repeated)
                sent += len(self.form.repeated)
                await writer.drain()
                # The bytes come as fast as over a link of some 50 Mbit/s.
                await asyncio.sleep(0.01)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.open -= 1
            self.most_sent = max(self.most_sent, sent)
            writer.close()


def find_request_id(head: bytes) -> bytes:
    """Return the id in the head of a request; empty if it names none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"request-id":
            return value.strip()
    return b""
