"""Tests that sessions to targets send each request once."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest

from figstep.net.sessions import ConnectionBrokenError, open_target_session


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
