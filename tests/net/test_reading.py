"""Tests of bodies and messages whose sender never ends them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from figstep.core.clock import Millis
from figstep.core.effects import SendOrder
from figstep.core.events import Event
from figstep.core.inventory import EngineInfo
from figstep.core.orders import UnloadModel
from figstep.errors import LogUnavailableError, PeerMessageError
from figstep.net import instances, links, log, orders, reports
from figstep.net.clock import SystemClock
from figstep.net.log import HttpLog
from figstep.net.reading import BodyTooLongError, SharedRoom, read_body
from figstep.platform import copies, store
from figstep.platform.store import HttpStore
from tests.net.test_links import FakeHost
from tests.platform.endless import EndlessTarget, Form

MAX_BYTES = 100_000

MAX_SENT = 20 * MAX_BYTES
"""Bytes that may be sent until a reader that takes MAX_BYTES has closed."""


@asynccontextmanager
async def open_endless(form: Form = Form.BODY) -> AsyncIterator[EndlessTarget]:
    """Start a target, and check at the end that its connections were closed soon."""
    target = EndlessTarget(form)
    await target.start()
    yield target
    async with asyncio.timeout(3):
        while target.open:
            await asyncio.sleep(0.02)
    await target.stop()
    assert target.requests
    assert target.most_sent <= MAX_SENT


async def test_a_body_that_is_too_long_is_given_up() -> None:
    """Guards against memory that grows with a body until a timeout."""
    async with open_endless() as target, aiohttp.ClientSession() as session:
        async with session.get(f"http://{target.address}/x") as response:
            with pytest.raises(BodyTooLongError, match="/x exceeds 100000 bytes"):
                await read_body(response, MAX_BYTES)


async def test_of_bodies_that_share_a_room_the_largest_is_given_up() -> None:
    """Guards against many answers below their bounds that fill the memory together.

    Each server sends 40,000 bytes, and 50,000 more if it is a large one, then waits.
    """
    may_end = asyncio.Event()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 40_000)
        if b"/large" in head:
            writer.write(b"x" * 50_000)
        await may_end.wait()
        writer.write(b"end")
        writer.close()

    room = SharedRoom(3 * MAX_BYTES)
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(connector=connector)

    async def read(path: str) -> int:
        async with session.get(f"http://{host}:{port}{path}") as response:
            return len(await read_body(response, MAX_BYTES, room=room))

    async with server, session:
        paths = ["/small"] * 5 + ["/large"] * 5
        reads = [asyncio.create_task(read(path)) for path in paths]
        async with asyncio.timeout(3):
            while sum(one.done() for one in reads) < 4:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        may_end.set()
        sizes = await asyncio.gather(*reads, return_exceptions=True)
        assert sizes[:5] == [40_003] * 5
        given_up = [one for one in sizes if isinstance(one, BodyTooLongError)]
        assert len(given_up) == 4
        # Nothing of them is counted any more.
        may_end.clear()
        reads = [asyncio.create_task(read(path)) for path in paths[:5]]
        await asyncio.sleep(0.1)
        may_end.set()
        assert await asyncio.gather(*reads) == [40_003] * 5


async def test_the_store_s_answer_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry whose memory is filled by one answer of the store."""
    monkeypatch.setattr(store, "MAX_ANSWER_BYTES", MAX_BYTES)
    async with open_endless() as target:
        client = HttpStore(target.address)
        with pytest.raises(LogUnavailableError):
            await client.read_newest("keyed.op")
        await client.close()


async def test_an_answer_to_an_order_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a copy that is waited for while its engine sends garbage."""
    monkeypatch.setattr(copies, "MAX_ORDER_ANSWER_BYTES", MAX_BYTES)
    async with open_endless() as target, aiohttp.ClientSession() as session:
        made = await copies.order_copy(
            session, target.address, "127.0.0.1:1", "plan-1", lambda answer: None
        )
    assert not made.handle


async def test_the_log_s_answer_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry whose memory is filled by one answer of the log."""
    monkeypatch.setattr(log, "MAX_ANSWER_BYTES", MAX_BYTES)
    async with open_endless() as target:
        client = HttpLog(f"http://{target.address}")
        with pytest.raises(LogUnavailableError):
            await client.read("claims", 0)
        with pytest.raises(LogUnavailableError):
            await client.append("claims", [{}])
        await client.close()


async def test_a_load_report_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry whose memory is filled by one load report."""
    monkeypatch.setattr(reports, "MAX_REPORT_BYTES", MAX_BYTES)
    events: list[Event] = []
    async with open_endless() as target:
        engine = EngineInfo("e-1", f"http://{target.address}", "a", ("m",))
        edge = reports.ReportEdge(events.append, lambda: [engine])
        await edge.start()
        async with asyncio.timeout(3):
            while not target.most_sent:
                await asyncio.sleep(0.02)
        await edge.stop()
    assert events == []


async def test_the_instance_list_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry whose memory is filled by the instance list."""
    monkeypatch.setattr(instances, "MAX_LIST_BYTES", MAX_BYTES)
    events: list[Event] = []
    async with open_endless() as target:
        edge = instances.InstanceEdge(f"http://{target.address}", events.append)
        await edge.start()
        async with asyncio.timeout(3):
            while not target.most_sent:
                await asyncio.sleep(0.02)
        await edge.stop()
    assert events == []


EACH_FRAMING = pytest.mark.parametrize(
    "form", [Form.CHUNK_EXTENSION, Form.TRAILERS, Form.INTERIM_ANSWERS]
)


@EACH_FRAMING
async def test_the_log_s_framing_may_not_go_on_without_end(form: Form) -> None:
    """Guards against an entry that reads the framing of the log until a timeout."""
    async with open_endless(form) as target:
        client = HttpLog(f"http://{target.address}", timeout=30.0)
        async with asyncio.timeout(3):
            with pytest.raises(LogUnavailableError):
                await client.read("claims", 0)
            with pytest.raises(LogUnavailableError):
                await client.append("claims", [{}])
        await client.close()


@EACH_FRAMING
async def test_an_engine_s_framing_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch, form: Form
) -> None:
    """Guards against an entry that reads the framing of an engine until a timeout."""
    monkeypatch.setattr(reports, "TIMEOUT_SECONDS", 30.0)
    async with open_endless(form) as target:
        engine = EngineInfo("e-1", f"http://{target.address}", "a", ("m",))
        edge = reports.ReportEdge(lambda event: None, lambda: [engine])
        await edge.start()
        async with asyncio.timeout(3):
            while not target.most_sent:
                await asyncio.sleep(0.02)
        await edge.stop()


async def test_an_order_s_interim_answers_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that is not sent again while its answer goes on."""
    monkeypatch.setattr(orders, "ORDER_TIMEOUT", Millis(30_000))
    events: list[Event] = []
    async with open_endless(Form.INTERIM_ANSWERS) as target:
        engine = EngineInfo("e-1", f"http://{target.address}", "a", ("m",))
        clock = SystemClock()
        edge = orders.OrderEdge(events.append, lambda name: engine, clock)
        await edge.start()
        until = Millis(clock.now() + 60_000)
        edge.send_order(SendOrder(1, "e-1", UnloadModel("m", "v1"), 1, until))
        async with asyncio.timeout(3):
            while not events:
                await asyncio.sleep(0.02)
        await edge.stop()


@EACH_FRAMING
async def test_the_instance_list_s_framing_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch, form: Form
) -> None:
    """Guards against an entry that reads the list's framing until a timeout."""
    monkeypatch.setattr(instances, "TIMEOUT_SECONDS", 30.0)
    async with open_endless(form) as target:
        edge = instances.InstanceEdge(f"http://{target.address}", lambda event: None)
        await edge.start()
        async with asyncio.timeout(3):
            while not target.most_sent:
                await asyncio.sleep(0.02)
        await edge.stop()


async def test_a_peer_s_copy_may_not_go_on_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a copy of records that is read until a timeout."""
    monkeypatch.setattr(links, "MAX_COPY_BYTES", MAX_BYTES)
    server = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    link = links.PeerLink("127.0.0.1", 0, (), "muc-a", FakeHost("entry-1", "muc-a"))
    began = asyncio.get_running_loop().time()
    with pytest.raises(PeerMessageError, match="are not a copy"):
        await link.fetch_copy(f"127.0.0.1:{port}")
    assert asyncio.get_running_loop().time() - began < links.COPY_TIMEOUT_SECONDS / 2
    server.close()


async def send_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            writer.write(bytes(65_536))
            await writer.drain()
            await asyncio.sleep(0.01)
    except OSError:
        writer.close()
