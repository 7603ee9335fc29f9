"""Tests that sessions to targets send each request once."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import pytest
from yarl import URL

from figstep.net.connectors import OpenedConnector, ResetAwareConnector
from figstep.net.probes import is_listening, open_witness
from figstep.net.sessions import ConnectionBrokenError, open_target_session
from figstep.net.timeouts import limit_running_time

CONNECT_SECONDS = 0.2
"""Timeout of opening a connection, in seconds, in tests of a stalled loop."""


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(force_close=True)
    async with open_target_session(connector, 1.0) as session:
        yield session


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
async def test_a_target_that_crashes_is_not_taken_for_one_that_was_not_reached(
    session: aiohttp.ClientSession, method: str
) -> None:
    """Guards against an automatic retry that hides that the first request ran."""

    async def crash(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        server.close()
        writer.transport.abort()

    server = await asyncio.start_server(crash, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    with pytest.raises(ConnectionBrokenError):
        await session.request(method, f"http://{host}:{port}/")


async def test_a_target_that_is_down_fails_to_connect(
    session: aiohttp.ClientSession,
) -> None:
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    with pytest.raises(aiohttp.ClientConnectorError):
        await session.get(f"http://{host}:{port}/")


async def request_over_http(host: str, port: int) -> None:
    connector = ResetAwareConnector(force_close=True)
    async with (
        open_target_session(connector, CONNECT_SECONDS) as session,
        session.get(f"http://{host}:{port}/") as response,
    ):
        assert await response.read() == b"ok"


async def open_beforehand(host: str, port: int) -> None:
    connector = OpenedConnector()
    await connector.open(host, port, CONNECT_SECONDS)
    connector.abandon()
    await connector.close()


async def probe(host: str, port: int) -> None:
    assert await is_listening(host, port, CONNECT_SECONDS)


async def watch(host: str, port: int) -> None:
    async with open_witness(URL(f"http://{host}:{port}/"), CONNECT_SECONDS) as witness:
        assert witness is not None


@pytest.mark.parametrize("connect", [request_over_http, open_beforehand, probe, watch])
async def test_a_target_is_reached_though_the_loop_stalls_as_it_connects(
    monkeypatch: pytest.MonkeyPatch, connect: Callable[[str, int], Any]
) -> None:
    """Guards against a stall of the own process that is taken for a broken link."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readline()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    sock_connect = loop.sock_connect

    async def connect_and_stall(connection: Any, address: Any) -> None:
        await sock_connect(connection, address)
        loop.call_soon(time.sleep, 2 * CONNECT_SECONDS)
        await asyncio.sleep(0)

    monkeypatch.setattr(loop, "sock_connect", connect_and_stall)
    async with server:
        await connect(*server.sockets[0].getsockname())


async def test_a_connection_that_is_not_established_in_time_is_given_up() -> None:
    """Guards against a timeout that does not end while the loop runs."""
    with pytest.raises(TimeoutError):
        async with limit_running_time(CONNECT_SECONDS):
            await asyncio.Event().wait()
