"""Tests of the log's contract, for the log in memory and the service over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from aiohttp import web

from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.net.log import HttpLog, LogClient, MemoryLog
from figstep.standins.http import start_app
from figstep.standins.log import LogService
from figstep.standins.proxy import Delay, Direction, Drip, Lose, LoseAnswers, TcpProxy
from tests.framing import Framing, RawAnswer

LONG_POLL_MS = 30_000
KINDS = ["memory", "http"]


@asynccontextmanager
async def open_log(
    kind: str, seconds: float = 10.0
) -> AsyncIterator[tuple[LogClient, MemoryLog | LogService, TcpProxy | None]]:
    """Yield the client, the log that stores the records, and the proxy between them."""
    if kind == "memory":
        memory = MemoryLog()
        yield memory, memory, None
        return
    service = LogService()
    runner, url = await start_app(service.build_app())
    host, _, port = url.removeprefix("http://").rpartition(":")
    proxy = TcpProxy(host, int(port))
    await proxy.start()
    client = HttpLog(proxy.url, seconds)
    try:
        yield client, service, proxy
    finally:
        await client.close()
        await proxy.stop()
        await runner.cleanup()


def truncate_stream(storage: MemoryLog | LogService, count: int) -> None:
    """Expire the records before offset ``count``."""
    if isinstance(storage, MemoryLog):
        storage.earliest["s"] = count
        return
    storage.faults = replace(storage.faults, keep_records=4 - count)


@pytest.mark.parametrize("kind", KINDS)
async def test_offsets_grow_by_one_and_streams_are_apart(kind: str) -> None:
    async with open_log(kind) as (log, _, _):
        assert await log.append("s", [{"n": 0}, {"n": 1}]) == 0
        assert await log.append("other", [{"n": 9}]) == 0
        assert await log.append("s", [{"n": 2}]) == 2
        records = await log.read("s", 1)
        assert [(r.offset, r.data) for r in records] == [(1, {"n": 1}), (2, {"n": 2})]
        assert await log.read("s", 3) == []


@pytest.mark.parametrize("kind", KINDS)
async def test_a_waiting_read_gets_what_is_appended(kind: str) -> None:
    async with open_log(kind) as (log, _, _):
        waiting = asyncio.create_task(log.read("s", 0, LONG_POLL_MS))
        await asyncio.sleep(0.05)
        await log.append("s", [{"n": 0}])
        assert [record.offset for record in await waiting] == [0]


@pytest.mark.parametrize("kind", KINDS)
async def test_expired_records_are_distinguished_from_an_empty_stream(
    kind: str,
) -> None:
    async with open_log(kind) as (log, storage, _):
        await log.append("s", [{"n": n} for n in range(4)])
        truncate_stream(storage, 3)
        with pytest.raises(LogTruncatedError) as caught:
            await log.read("s", 0)
        assert caught.value.earliest == 3
        assert [record.offset for record in await log.read("s", 3)] == [3]
        assert await log.append("s", [{"n": 4}]) == 4


@pytest.mark.parametrize("kind", KINDS)
async def test_an_outage_fails_every_call_and_loses_nothing(kind: str) -> None:
    async with open_log(kind) as (log, storage, _):
        await log.append("s", [{"n": 0}])
        storage.available = False
        with pytest.raises(LogUnavailableError):
            await log.append("s", [{"n": 1}])
        with pytest.raises(LogUnavailableError):
            await log.read("s", 0)
        storage.available = True
        assert [record.data for record in await log.read("s", 0)] == [{"n": 0}]


@pytest.mark.parametrize(
    ("fault", "took_effect"),
    [
        ("service loses the answer", True),
        ("service drops the append", False),
        (LoseAnswers(1, b"POST"), True),
        (Lose(Direction.TO_CLIENT), True),
        (Lose(Direction.TO_TARGET), False),
    ],
)
async def test_an_append_without_an_answer_is_settled_by_reading(
    fault: str | LoseAnswers | Lose, took_effect: bool
) -> None:
    """Guards against an append without an answer that is treated as failed.

    The sender cannot know whether the append took effect, so the error must say that
    the outcome is uncertain. Reading the records back shows the outcome.
    """
    async with open_log("http", seconds=0.5) as (log, service, proxy):
        assert isinstance(service, LogService) and proxy is not None
        match fault:
            case "service loses the answer":
                service.faults = replace(service.faults, lose_answers=1)
            case "service drops the append":
                service.faults = replace(service.faults, drop_appends=1)
            case LoseAnswers() | Lose():
                proxy.set_fault(fault)
        with pytest.raises(LogUnavailableError, match="read back"):
            await log.append("s", [{"n": 0}])
        proxy.clear_fault()
        assert bool(await log.read("s", 0)) is took_effect


@pytest.mark.parametrize("fault", [Delay(0.05), Drip(7, 0.01)])
async def test_a_slow_link_changes_nothing(fault: Delay | Drip) -> None:
    async with open_log("http") as (log, _, proxy):
        assert proxy is not None
        proxy.set_fault(fault)
        await log.append("s", [{"n": 0}])
        assert [record.data for record in await log.read("s", 0)] == [{"n": 0}]


async def test_an_answer_that_is_cut_short_is_no_answer() -> None:
    """Guards against a follower or appender that ends over half an answer."""

    async def cut_short(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, {}, 0)
        raw.write(b'{"records": [{"off')
        return raw.close()

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", cut_short)
    runner, url = await start_app(app)
    client = HttpLog(url)
    with pytest.raises(LogUnavailableError):
        await client.append("s", [{"n": 0}])
    with pytest.raises(LogUnavailableError):
        await client.read("s", 0)
    await client.close()
    await runner.cleanup()
