"""Tests of an entry whose callers or targets read slowly, over real connections."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest
from aiohttp import web

from figstep.core import buffers
from figstep.core.clock import Millis
from tests.platform.places import Place, call_order_route, open_place
from tests.platform.standins import Handler, build_configuration

ANSWER = bytes(range(250)) * 8_000
PLAN = {"Model": "m", "Token_Count": "3000,2000", "Length_Hint": "80"}


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    """Open a place whose entry has the smallest budget, 8 MiB."""
    async with open_place() as opened:
        configuration = build_configuration(2, limits={"max_body_bytes": 4_000_000})
        await opened.store.put("keyed.op", "config", configuration)
        await opened.add_target("i-b1", "bookings")
        await opened.add_target("i-e1", "engines")
        opened.targets["i-b1"].handler = answer_at_length(opened, "i-b1")
        entry = await opened.add_entry(memory_bytes=1 << 20)
        await opened.wait_ready(entry, 2)
        yield opened


def answer_at_length(place: Place, name: str) -> Handler:
    """Return a handler that answers 2 MB, or a few bytes at a short path."""

    async def answer(request: web.Request) -> web.StreamResponse:
        headers = place.targets[name].sign(request)
        if request.path.endswith("/short"):
            return web.Response(body=b"short", headers=headers)
        return web.Response(body=ANSWER, headers=headers)

    return answer


async def send(place: Place, path: str, number: str, **headers: str) -> socket.socket:
    """Send a request over a connection with small buffers, and read nothing."""
    callers = place.entries[0].settings.callers
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (callers.host, callers.port))
    lines = [f"POST {path} HTTP/1.1", "Content-Length: 0"]
    for name, value in place.headers(number, **headers).items():
        lines.append(f"{name}: {value}")
    await loop.sock_sendall(connection, "\r\n".join([*lines, "", ""]).encode())
    return connection


async def read_to_end(connection: socket.socket, rate: int | None = None) -> bytes:
    """Read until the connection ends or 2 MB came, at ``rate`` bytes a second."""
    loop = asyncio.get_running_loop()
    received = b""
    with connection, suppress(ConnectionError):
        while len(received) < len(ANSWER) and b"\r\n0\r\n\r\n" not in received:
            data = await loop.sock_recv(connection, 65_536)
            if not data:
                break
            received += data
            if rate is not None:
                await asyncio.sleep(len(data) / rate)
    return received


async def fill_buffers(place: Place) -> list[socket.socket]:
    """Let callers ask for 2 MB and not read, until no more can be read ahead."""
    silent = [await send(place, "/order/a", f"s-{number}") for number in range(30)]
    budget = place.entries[0].buffers.budget
    async with asyncio.timeout(5):
        while len(budget) < 30 or budget.used < 30 * buffers.WINDOW_BYTES:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    return silent


async def read_answer(place: Place, number: str) -> bytes:
    headers = place.headers(number)
    async with place.session.post(place.url("/order/a"), headers=headers) as response:
        return await response.read()


async def test_callers_that_do_not_read_leave_room_for_the_others(place: Place) -> None:
    """Guards against unread answers of 2 MB that fill the memory or hold up others."""
    silent = await fill_buffers(place)
    budget = place.entries[0].buffers.budget
    assert budget.used <= budget.limit
    assert await read_answer(place, "r-1") == ANSWER
    assert await call_order_route(place, place.entries[0], "r-2") == 200
    for connection in silent:
        connection.close()
    async with asyncio.timeout(5):
        while len(budget):
            await asyncio.sleep(0.01)
    assert budget.used == 0


async def test_a_caller_that_never_reads_gets_no_complete_answer(
    place: Place, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer that is cut, and looks complete to its caller."""
    monkeypatch.setattr(buffers, "STALL_TIMEOUT", Millis(600))
    silent = await fill_buffers(place)
    await asyncio.sleep(1.5)
    lengths = [len(await read_to_end(connection)) for connection in silent]
    assert min(lengths) < len(ANSWER)
    assert len(place.entries[0].buffers.budget) < len(silent)


async def test_answers_to_slow_readers_are_whole(place: Place) -> None:
    """Guards against callers whose answers are cut as they read slowly, or are late."""
    silent = await fill_buffers(place)
    slow = [
        await send(place, "/order/a", f"r-{number}", Deadline_Ms="1000")
        for number in range(5)
    ]
    reading = [read_to_end(connection, 800_000) for connection in slow]
    for received in await asyncio.gather(*reading):
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert f"Content-Length: {len(ANSWER)}".encode() in head
        assert ANSWER.startswith(body) and len(body) > 1_900_000
    for connection in silent:
        connection.close()


async def test_bodies_that_a_target_does_not_read_are_bounded(place: Place) -> None:
    """Guards against bodies in transit that fill the memory."""
    held_open: list[asyncio.StreamWriter] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A writer that is not referenced closes its connection as it is collected.
        held_open.append(writer)
        writer.transport.pause_reading()  # type: ignore[attr-defined]

    server = await asyncio.start_server(hold, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    target = place.targets["i-b1"]
    target.address, reachable = f"{host}:{port}", target.address
    await target.register(place.store)
    await asyncio.sleep(0.2)
    url = place.url("/order/a")

    async def call(
        number: str, size: int = 3_900_000
    ) -> tuple[int, str | None, str | None]:
        body = bytes(size)
        headers = place.headers(number, Deadline_Ms="1500")
        async with place.session.post(url, data=body, headers=headers) as response:
            named = response.headers
            return response.status, named.get("Not-Executed"), named.get("Retry-After")

    held = [asyncio.create_task(call(f"r-{number}")) for number in range(2)]
    await asyncio.sleep(0.5)
    status, not_run, retry_after = await call("r-3")
    assert (status, not_run) == (503, "1")
    assert 0 < float(retry_after or 0) <= 3
    assert {status for status, _, _ in await asyncio.gather(*held)} == {504}
    target.address = reachable
    await target.register(place.store)
    await asyncio.sleep(0.2)
    assert (await call("r-4", 900_000))[0] == 200
    server.close()


async def test_a_stream_that_is_read_goes_on_beside_those_that_are_not(
    place: Place,
) -> None:
    """Guards against a running stream that is cut for callers that do not read."""
    place.targets["i-e1"].events = 60
    silent = await fill_buffers(place)
    headers = place.headers("r-1", **PLAN)
    async with place.session.post(place.url("/plan/a"), headers=headers) as response:
        body = await response.read()
    assert body.count(b"id: ") == 60
    for connection in silent:
        connection.close()


async def test_a_stream_waits_for_its_slow_reader(place: Place) -> None:
    """Guards against a slow reader that is taken for a stalled engine."""
    target = place.targets["i-e1"]
    await place.add_target("i-e2", "engines")
    events = [f"id: {n}\ndata: {'t' * 40_000}\n\n".encode() for n in range(1, 41)]

    async def stream(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers=target.sign(request))
        await response.prepare(request)
        for event in events:
            await response.write(event)
        return response

    target.handler = place.targets["i-e2"].handler = stream
    silent = await fill_buffers(place)
    connection = await send(place, "/plan/a", "r-1", **PLAN)
    await asyncio.sleep(1.2)
    received = await read_to_end(connection)
    assert received.endswith(b"0\r\n\r\n")
    assert received.count(b"data: ") == len(events)
    sent = len(target.received_headers) + len(place.targets["i-e2"].received_headers)
    assert sent == 1
    for waiting in silent:
        waiting.close()


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_large_body_reaches_its_target_whole(
    place: Place, chunked: bool
) -> None:
    """Guards against bytes that are lost or change, as a body is held in parts."""
    body = bytes(number * number % 251 for number in range(1_000_001))
    target = place.targets["i-b1"]

    async def send_pieces() -> AsyncIterator[bytes]:
        for start in range(0, len(body), 8_191):
            yield body[start : start + 8_191]

    headers = place.headers("r-1")
    data = send_pieces() if chunked else body
    url = place.url("/order/short")
    async with place.session.post(url, data=data, headers=headers) as response:
        assert (response.status, await response.read()) == (200, b"short")
    assert target.bodies == [body]
    assert target.received_headers[0]["Content-Length"] == str(len(body))
    assert place.entries[0].buffers.budget.used == 0
