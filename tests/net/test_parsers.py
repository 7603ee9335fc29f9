"""Tests of the bound around the parser of requests."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
from aiohttp import web

from figstep.core.clock import Millis
from figstep.net import connections
from figstep.net.connections import ConnectionLimits
from figstep.net.listener import build_runner
from figstep.settings import Limits

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@asynccontextmanager
async def serve(limits: ConnectionLimits) -> AsyncIterator[tuple[str, int]]:
    """Serve bodies back, and yield the address."""

    async def echo(request: web.Request) -> web.Response:
        return web.Response(body=await request.read())

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", echo)
    runner = build_runner(app, Limits(), connections=limits)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        host, port = runner.addresses[0][:2]
        yield host, port
    finally:
        await runner.cleanup()


def build_limits(connections: int = 100) -> ConnectionLimits:
    return ConnectionLimits(16_384, Millis(60_000), Millis(60_000), connections)


async def exchange(address: tuple[str, int], data: bytes) -> bytes:
    """Send bytes, and return what comes until the connection is closed."""
    reader, writer = await asyncio.open_connection(*address)
    received = b""
    with suppress(ConnectionError):
        writer.write(data)
        async with asyncio.timeout(10):
            while piece := await reader.read(65_536):
                received += piece
    writer.close()
    return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"X-A: a\r\n" * 3_000, 400),
        (HEAD + b"X-A: " + b"a" * 30_000, 431),
        (b"\r\n" * 15_000, 400),
        (CHUNKED + b"0\r\n" + b"A: b\r\n" * 5_000, 400),
        (CHUNKED + b"0\r\n" + (b"A: " + b"a" * 9_000 + b"\r\n") * 9, 431),
        (CHUNKED + b"5;" + b"x" * 60_000, 431),
        (CHUNKED + b"0" * 60_000, 431),
        (CHUNKED + b"3\r\nabc\r\n" + b"0" * 60_000, 431),
        (CHUNKED + b"zz\r\n", 400),
        (CHUNKED + b"3\r\nabc\r\nzz\r\n", 400),
        (CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n", 400),
    ],
)
async def test_a_caller_beyond_the_limit_can_read_its_refusal(
    data: bytes, status: int
) -> None:
    """Guards against refusals that are lost as the connection is closed."""
    async with serve(build_limits()) as address:
        received = await exchange(address, data)
    assert re.findall(rb"HTTP/1\.[01] (\d{3}) ", received) == [b"%d" % status]


async def test_requests_behind_one_another_are_all_served() -> None:
    """Guards against requests that are lost as they wait unparsed behind others."""
    one = HEAD + b"X-A: " + b"a" * 7_000 + b"\r\nContent-Length: 3\r\n\r\nabc"
    last = HEAD + b"Connection: close\r\nContent-Length: 3\r\n\r\nend"
    async with serve(build_limits()) as address:
        received = await exchange(address, one * 200 + last)
    assert received.count(b"HTTP/1.1 200 OK") == 201
    assert received.endswith(b"end")


@pytest.mark.parametrize("unit", [b"1\r\nx\r\n", b"a;x=y\r\n0123456789\r\n"])
async def test_a_body_in_small_chunks_is_whole(unit: bytes) -> None:
    """Guards against bytes that are lost as a body is parsed in turns."""
    data = CHUNKED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    async with serve(build_limits()) as address:
        received = await exchange(address, data + unit * 40_000 + b"0\r\n\r\n")
    _, _, body = received.partition(b"\r\n\r\n")
    expected = unit.split(b"\r\n")[1] * 40_000
    assert body == expected


async def test_bytes_behind_an_upgrade_are_the_next_request() -> None:
    """Guards against requests that are lost or held behind one that asks to upgrade."""
    data = (
        b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n"
    )
    last = HEAD + b"Connection: close\r\nContent-Length: 3\r\n\r\nend"
    async with serve(build_limits()) as address:
        received = await exchange(address, data + b"\r\n" + last)
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert received.endswith(b"end")


async def test_the_oldest_idle_connection_makes_room() -> None:
    """Guards against a limit that closes those that were used last, or new ones."""
    async with serve(build_limits(connections=3)) as address:
        opened = [await asyncio.open_connection(*address) for _ in range(3)]
        # The clock counts milliseconds.
        await asyncio.sleep(0.05)
        request = HEAD + b"Content-Length: 3\r\n\r\nabc"
        opened[0][1].write(request)
        assert b" 200 " in await opened[0][0].readline()
        await asyncio.sleep(0.05)
        received = await exchange(address, HEAD + b"Connection: close\r\n\r\n")
        assert b" 200 " in received
        assert await opened[1][0].read() == b""
        opened[0][1].write(request)
        opened[2][1].write(request)
        assert b" 200 " in await opened[2][0].readline()
        await opened[0][0].readuntil(b"abc")
        await opened[0][0].readuntil(b"abc")
        for _, writer in opened:
            writer.close()


async def test_many_heads_that_never_end_leave_room_for_a_whole_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heads, each inside the limit, that fill the memory together."""
    monkeypatch.setattr(connections, "MAX_HELD_BYTES", 50_000)
    async with serve(build_limits()) as address:
        opened = [await asyncio.open_connection(*address) for _ in range(10)]
        for _, writer in opened:
            writer.write(HEAD + b"X-A: " + b"a" * 12_000)
        await asyncio.sleep(0.2)
        data = HEAD + b"X-A: " + b"a" * 6_000 + b"\r\nConnection: close\r\n\r\n"
        assert b" 200 " in await exchange(address, data)
        closed = sum(reader.at_eof() for reader, _ in opened)
        for _, writer in opened:
            writer.close()
    assert 6 <= closed < 10
