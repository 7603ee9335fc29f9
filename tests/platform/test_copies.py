"""Tests of orders to engines to copy runs."""

import aiohttp
import pytest
from aiohttp import web

from figstep.platform.copies import order_copy
from tests.platform.standins import start_app


@pytest.mark.parametrize(
    ("status", "body", "handle"),
    [
        (200, b'{"handle": "h-1", "created": 3}', "h-1"),
        (200, b"{}", ""),
        (200, b'{"handle"', ""),
        (503, b'{"handle": "h-1"}', ""),
    ],
)
async def test_only_a_valid_answer_names_a_copy(
    status: int, body: bytes, handle: str
) -> None:
    """Guards against an order whose malformed answer ends without a result."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_post("/figstep/kv-move", answer)
    runner, address = await start_app(app)
    heard: list[int] = []
    async with aiohttp.ClientSession() as session:
        made = await order_copy(
            session, address, "h:1", "r-1", lambda answer: heard.append(answer.status)
        )
    await runner.cleanup()
    assert (made.handle, heard) == (handle, [status])
