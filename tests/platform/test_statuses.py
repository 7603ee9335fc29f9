"""Tests of answers whose status HTTP does not know, or that are not final."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.platform.endless import find_request_id
from tests.platform.places import Place, open_place
from tests.platform.standins import KEY, ROUTE_HOST, build_registration
from tests.platform.test_relays import Cut
from tests.ports import HOST, find_free_port

INVALID = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 000",
    b"HTTP/1.0 000 OK",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
)
"""Status lines that begin no final answer."""

SOUND = (b"HTTP/1.1 200 OK", b"HTTP/1.1 302 Found", b"HTTP/1.1 404 X")

PATHS = {"/lookup/a": "GET", "/order/a": "POST", "/plan/a": "POST"}
"""Methods of a safe call, an unsafe one and a stream."""


class StatusTarget:
    """Target that answers each request whole and signed, with a status line of its own.

    Attributes:
        status_line: The line, without its end.
        interim: What precedes it.
        queries: Number of queries of its state that it answered so.
        requests: Number of requests that it answered.
    """

    def __init__(self, status_line: bytes, interim: bytes = b"") -> None:
        self.status_line = status_line
        self.interim = interim
        self.queries = 0
        self.requests = 0
        self.address = ""

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = find_request_id(head)
        self.requests += bool(request_id)
        self.queries += not request_id
        writer.write(
            self.interim
            + self.status_line
            + b"\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\n" % request_id
            + b"Content-Length: 5\r\n\r\nwhole"
        )
        await writer.drain()
        writer.close()


@asynccontextmanager
async def open_answers(
    status_line: bytes, path: str, interim: bytes = b""
) -> AsyncIterator[tuple[Place, StatusTarget]]:
    """Yield an entry with one target that answers with a status line."""
    target = StatusTarget(status_line, interim)
    server = await asyncio.start_server(target.answer, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    service = "engines" if path.startswith("/plan/") else "bookings"
    async with open_place() as place:
        registration = build_registration(service, address, "ready")
        await place.store.put("keyed.servers", "i-1", registration)
        await place.wait_ready(await place.add_entry(), 1)
        yield place, target
    server.close()


async def send(place: Place, path: str) -> bytes:
    """Send a request and return all bytes of the answer."""
    callers = place.entries[0].settings.callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    prompt = "Model: m\r\nToken-Count: 10,10\r\n" if path.startswith("/plan/") else ""
    writer.write(
        f"{PATHS[path]} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: r-1\r\n"
        f"Credential: {KEY}\r\nDeadline-Ms: 1500\r\n{prompt}Content-Length: 0\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status_line", INVALID)
async def test_a_status_that_is_not_final_reaches_no_caller(
    status_line: bytes, path: str
) -> None:
    """Guards against callers that get a status unknown to HTTP as their answer."""
    async with open_answers(status_line, path) as (place, target):
        answer = await send(place, path)
    assert answer.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 504 ")), answer[:80]
    assert b"Server-Stamp" not in answer
    assert b"Not-Executed" not in answer
    assert target.requests >= 1
    if path != "/lookup/a":
        assert target.requests == 1


@pytest.mark.parametrize("path", ["/lookup/a", "/order/a"])
@pytest.mark.parametrize("status_line", SOUND)
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 102 Processing\r\n\r\n"])
async def test_a_final_status_is_passed_on_unchanged(
    status_line: bytes, path: str, interim: bytes
) -> None:
    """Guards against sound answers that are taken for broken ones."""
    async with open_answers(status_line, path, interim) as (place, target):
        answer = await send(place, path)
    assert answer.startswith(status_line[: len(b"HTTP/1.1 200")])
    assert b"Server-Stamp: stamp" in answer
    assert answer.endswith(b"whole")
    assert target.requests == 1


@pytest.mark.parametrize("status_line", INVALID)
async def test_a_target_whose_reports_have_no_valid_status_states_nothing(
    status_line: bytes,
) -> None:
    """Guards against a target that counts as alive, or as leaving, on such a word."""
    async with open_answers(status_line, "/plan/a") as (place, target):
        await send(place, "/plan/a")
        await asyncio.sleep(0.3)
        known = place.entries[0].gateway.known.targets.targets["i-1"]
        assert not known.restarted
        assert not known.announced_leaving
    assert target.requests == 1


@pytest.mark.parametrize("status_line", INVALID)
async def test_a_status_that_is_not_final_reaches_no_caller_behind_a_relay(
    status_line: bytes,
) -> None:
    """Guards against an entry that passes such an answer on to another one."""
    async with open_answers(status_line, "/order/a") as (place, target):
        first = place.entries[0]
        seeds = (first.settings.peers,)
        second = await place.add_entry(node="entry-2", seeds=seeds)
        await place.wait_ready(second, 1)
        async with asyncio.timeout(5):
            while any(entry.gateway.known.entries < 2 for entry in place.entries):
                await asyncio.sleep(0.01)
        Cut(first, f"{HOST}:{find_free_port()}")
        answer = await send(place, "/order/a")
    assert answer.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 503 ", b"HTTP/1.1 504 "))
    assert (b"Not-Executed" in answer) is (target.requests == 0)
    assert target.requests <= 1
