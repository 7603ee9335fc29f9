"""Tests of bodies and messages whose sender never ends them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from figstep.core.events import Event
from figstep.core.inventory import EngineInfo
from figstep.errors import LogUnavailableError, PeerMessageError
from figstep.net import instances, links, log, reports
from figstep.net.log import HttpLog
from figstep.net.reading import BodyTooLongError, read_body
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
