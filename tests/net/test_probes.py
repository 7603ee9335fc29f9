"""Tests of what probes show of a target, and of what states nothing."""

import asyncio

import pytest
from aiohttp import web
from yarl import URL

from figstep.net.probes import is_listening, open_witness
from figstep.standins.http import start_app
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


@pytest.mark.parametrize(
    ("status", "lives"),
    [
        (200, True),
        (404, True),
        (405, True),
        (501, True),
        (408, False),
        (421, False),
        (429, False),
        (502, False),
        (503, False),
        (504, False),
    ],
)
async def test_only_what_a_target_itself_answers_shows_that_it_lives(
    status: int, lives: bool
) -> None:
    """Guards against an answer of a proxy that is taken for one of its target."""

    @web.middleware
    async def answer(request: web.Request, handler: object) -> web.Response:
        return web.Response(status=status)

    runner, url = await start_app(web.Application(middlewares=[answer]))
    async with open_witness(URL(url), 5.0) as witness:
        assert witness is not None
        assert await witness.answers(5.0) is lives
    await runner.cleanup()


async def test_a_target_that_accepts_no_connection_has_no_witness() -> None:
    url = URL(f"http://{HOST}:{find_free_port()}")
    async with open_witness(url, 5.0) as witness:
        assert witness is None
