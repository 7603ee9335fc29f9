"""Tests that probes distinguish a refused connection from a failing link."""

import asyncio

import pytest

from figstep.net.probes import is_listening
from tests.ports import find_free_port

HOST = "127.0.0.1"


async def test_an_address_with_a_listener() -> None:
    server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    assert await is_listening(HOST, port, 5.0)
    server.close()


async def test_an_address_without_a_listener() -> None:
    assert not await is_listening(HOST, find_free_port(), 5.0)


async def test_a_failing_link_raises_an_error() -> None:
    """Guards against targets behind a broken link that count as crashed."""
    with pytest.raises(OSError):
        await is_listening(HOST, find_free_port(), 0.0)
