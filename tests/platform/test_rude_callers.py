"""Tests of the process of an entry whose callers send without end or nothing."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import pytest
from aiohttp import web

from tests.platform.rude import (
    CROWD,
    DESCRIPTORS,
    HEAD,
    MAX_SENT_BYTES,
    MEMORY_MB,
    Entry,
    Form,
    open_entry,
    read_chunks_of_one_byte,
    read_small_heads,
    send_by_all,
    write_small_head,
)

SILENT = 300
"""Connections that send nothing, more than there are descriptors."""

CLOSE_SECONDS = 15.0
"""Longest wait for connections that have to be closed after two seconds at most."""

RETURNS = 10
"""How often each connection of a crowd comes again after it was refused."""

ENDLESS_HEADS = [
    Form.HEADERS,
    Form.WHOLE_HEADS,
    Form.METHOD,
    Form.TARGET,
    Form.NAME,
    Form.VALUE,
    Form.SPACES,
    Form.EMPTY_LINES,
    Form.LINE_FEEDS,
    Form.CARRIAGE_RETURNS,
]
ENDLESS_BODIES = [
    Form.LARGE_TRAILERS,
    Form.SMALL_TRAILERS,
    Form.CHUNK_EXTENSION,
    Form.CHUNK_ZEROS,
]
CLOSED_AFTERWARDS = [Form.UPGRADE, Form.CONNECT]


@pytest.fixture
async def entry(tmp_path: Path) -> AsyncIterator[Entry]:
    async with open_entry(tmp_path) as opened:
        yield opened


async def check_health(entry: Entry) -> None:
    """Check that the process lives inside its limits and answers."""
    assert await entry.call() == 200
    assert entry.lives
    assert entry.peak_mb < MEMORY_MB
    assert entry.descriptors < DESCRIPTORS


@pytest.mark.parametrize("form", [*ENDLESS_HEADS, *ENDLESS_BODIES, *CLOSED_AFTERWARDS])
async def test_a_crowd_that_sends_without_end_is_cut_off(
    entry: Entry, form: Form
) -> None:
    """Guards against bytes outside of bodies that fill the memory or never end."""
    senders = [entry.open_sender() for _ in range(CROWD)]
    async with send_by_all(senders, form.read_pieces):
        assert await entry.call() == 200
    await check_health(entry)
    assert max(one.sent for one in senders) < MAX_SENT_BYTES
    assert all(one.ended for one in senders)


@pytest.mark.parametrize("form", [*ENDLESS_HEADS, *ENDLESS_BODIES])
async def test_a_sender_without_end_is_refused_before_anything_runs(
    entry: Entry, form: Form
) -> None:
    """Guards against requests beyond the limits that are not refused, or run."""
    sender = entry.open_sender()
    with suppress(TimeoutError):
        async with asyncio.timeout(8):
            await sender.send(form.read_pieces(), reads=True)
    sender.close()
    assert sender.statuses and set(sender.statuses) <= {400, 431}
    assert entry.rude_requests == []
    await check_health(entry)


@pytest.mark.parametrize(
    "more",
    [b"zz\r\n", b"0\r\n" + b"a: b\r\n" * 200, b"3\r\nabc\r\nzz\r\n", b"0" * 21_000],
    ids=["length", "trailers", "second", "zeros"],
)
async def test_a_body_that_breaks_as_it_comes_is_not_run(
    entry: Entry, more: bytes
) -> None:
    """Guards against a refused body that is taken for a complete, shorter one."""

    async def read_pieces() -> AsyncIterator[bytes]:
        yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + more

    sender = entry.open_sender()
    async with asyncio.timeout(8):
        await sender.send(read_pieces(), reads=True)
    assert sender.statuses and set(sender.statuses) <= {400, 431}
    assert entry.rude_requests == []
    await check_health(entry)


@pytest.mark.parametrize("form", [Form.HEADERS, Form.SMALL_TRAILERS, Form.EMPTY_LINES])
@pytest.mark.parametrize("listener", ["relays", "readiness"])
async def test_other_listeners_cut_off_what_never_ends(
    entry: Entry, listener: str, form: Form
) -> None:
    """Guards against listeners for entries and checks that lack the callers' bounds."""
    network = entry.network
    port = network.peers + 1 if listener == "relays" else network.ready
    senders = [entry.open_sender(port) for _ in range(CROWD)]
    async with send_by_all(senders, form.read_pieces):
        assert await entry.call() == 200
    await check_health(entry)
    assert max(one.sent for one in senders) < MAX_SENT_BYTES
    assert all(one.ended for one in senders)


@pytest.mark.parametrize("form", [Form.METHOD, Form.VALUE])
async def test_refused_callers_that_come_again_fill_nothing(
    entry: Entry, form: Form
) -> None:
    """Guards against refusals that leave memory behind each time."""

    async def come_again() -> None:
        for _ in range(RETURNS):
            sender = entry.open_sender()
            await sender.send(form.read_pieces())
            sender.close()

    tasks = [asyncio.create_task(come_again()) for _ in range(CROWD)]
    await asyncio.wait(tasks, timeout=6)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await check_health(entry)


async def test_requests_in_a_row_that_are_not_read_fill_nothing(entry: Entry) -> None:
    """Guards against requests that wait behind others and fill the memory."""
    senders = [entry.open_sender() for _ in range(CROWD)]
    async with send_by_all(senders, read_small_heads):
        assert await entry.call() == 200
    await check_health(entry)


async def test_bodies_in_chunks_of_one_byte_leave_time_for_others(
    entry: Entry,
) -> None:
    """Guards against small chunks that keep the process from answering others."""
    senders = [entry.open_sender() for _ in range(CROWD)]
    async with send_by_all(senders, read_chunks_of_one_byte):
        assert await entry.call() == 200
    await check_health(entry)


async def test_a_body_in_chunks_of_one_byte_is_served(entry: Entry) -> None:
    """Guards against a bound that refuses a request inside the limits."""

    async def read_pieces() -> AsyncIterator[bytes]:
        head = HEAD + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        yield head + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"

    sender = entry.open_sender()
    async with asyncio.timeout(10):
        await sender.send(read_pieces(), reads=True)
    assert sender.statuses == [200]
    assert entry.target.bodies[-1:] == [b"x" * 20_000]


async def test_a_body_in_chunks_of_all_sizes_is_served(entry: Entry) -> None:
    """Guards against a connection that is not read on after small and large chunks."""
    small = b"1\r\nx\r\n" * 20_000
    large = b"10000\r\n" + b"y" * 65_536 + b"\r\n"

    async def read_pieces() -> AsyncIterator[bytes]:
        yield HEAD + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        for _ in range(3):
            yield small + large * 4
        yield b"0\r\n\r\n"

    sender = entry.open_sender()
    async with asyncio.timeout(20):
        await sender.send(read_pieces(), reads=True)
    assert sender.statuses == [200]
    assert [len(body) for body in entry.target.bodies[-1:]] == [846_432]


async def test_heads_inside_the_limit_are_served(entry: Entry) -> None:
    """Guards against a bound that refuses heads, or many of them in a row."""
    sender = entry.open_sender()

    async def read_pieces() -> AsyncIterator[bytes]:
        for number in range(12):
            yield write_small_head(number) + b"\r\n"
        yield write_small_head(12) + b"Connection: close\r\n\r\n"

    async with asyncio.timeout(10):
        await sender.send(read_pieces(), reads=True)
    assert sender.statuses == [200] * 13


async def open_silent(entry: Entry, count: int) -> list[asyncio.StreamWriter]:
    writers = []
    for _ in range(count):
        sender = entry.open_sender()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(2):
                _, writer = await asyncio.open_connection(sender.host, sender.port)
                writers.append(writer)
    return writers


async def test_a_crowd_that_sends_nothing_leaves_room_for_others(
    entry: Entry,
) -> None:
    """Guards against silent connections that use up the descriptors."""
    answered = asyncio.Event()

    async def answer_late(request: web.Request) -> web.Response:
        await answered.wait()
        return web.Response(body=b"late", headers=entry.target.sign(request))

    entry.target.handler = answer_late
    open_call = asyncio.create_task(entry.call())
    await asyncio.sleep(0.2)
    writers = await open_silent(entry, SILENT)
    answered.set()
    try:
        assert await open_call == 200
        await check_health(entry)
    finally:
        for writer in writers:
            writer.transport.abort()
    await check_health(entry)


@pytest.mark.parametrize("start", [b"", HEAD + b"Content-Length: 9\r\n\r\n"])
async def test_a_crowd_that_waits_is_closed_for_one_that_asks(
    entry: Entry, start: bytes
) -> None:
    """Guards against connections without a request that shut out those with one."""
    writers = await open_silent(entry, SILENT)
    try:
        for writer in writers:
            with suppress(ConnectionError):
                writer.write(start)
        await asyncio.sleep(0.2)
        await check_health(entry)
        assert entry.rude_requests == []
    finally:
        for writer in writers:
            writer.transport.abort()


async def test_a_crowd_that_sends_bytes_now_and_then_leaves_room_for_others(
    entry: Entry,
) -> None:
    """Guards against heads that never end and use up the descriptors."""
    writers = await open_silent(entry, SILENT)
    try:
        for byte in HEAD[:20]:
            for writer in writers:
                with suppress(ConnectionError):
                    writer.write(bytes([byte]))
            await asyncio.sleep(0.02)
        await check_health(entry)
    finally:
        for writer in writers:
            writer.transport.abort()


@pytest.mark.parametrize(
    ("start", "piece"),
    [(b"", b""), (HEAD + b"X-More: ", b"x"), (b"", b"\r\n")],
    ids=["nothing", "head", "lines"],
)
async def test_silent_connections_are_closed(
    entry: Entry, start: bytes, piece: bytes
) -> None:
    """Guards against configured times for a head and for silence that do not hold."""

    async def read_pieces() -> AsyncIterator[bytes]:
        yield start
        while True:
            await asyncio.sleep(0.3)
            yield piece

    senders = [entry.open_sender() for _ in range(5)]
    tasks = [
        asyncio.create_task(one.send(read_pieces(), reads=True)) for one in senders
    ]
    for _ in range(round(CLOSE_SECONDS / 0.1)):
        if all(one.ended for one in senders):
            break
        await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for one in senders:
        one.close()
    assert all(one.ended for one in senders)
    assert entry.rude_requests == []
    await check_health(entry)
