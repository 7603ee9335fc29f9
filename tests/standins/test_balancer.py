"""Tests of the stand-in for the load balancer."""

from contextlib import AsyncExitStack

import aiohttp
import pytest
from aiohttp import web

from figstep.standins.balancer import Balancer
from figstep.standins.http import start_app
from tests.fleet import wait_for


async def test_connections_go_to_ready_entries_in_turn() -> None:
    ready = {"a": True, "b": True}
    async with AsyncExitStack() as stack:
        urls = {}
        for name in ready:

            async def answer(request: web.Request, name: str = name) -> web.Response:
                known = request.path != "/readyz" or ready[name]
                return web.Response(text=name, status=200 if known else 503)

            app = web.Application()
            app.router.add_get("/{path:.*}", answer)
            runner, urls[name] = await start_app(app)
            stack.push_async_callback(runner.cleanup)
        balancer = Balancer(urls)
        await balancer.start()
        stack.push_async_callback(balancer.stop)
        assert {await fetch_name(balancer.url), await fetch_name(balancer.url)} == {
            "a",
            "b",
        }
        ready["a"] = False
        await wait_for(lambda: balancer.ready == ["b"], "a was dropped")
        assert [await fetch_name(balancer.url) for _ in range(3)] == ["b"] * 3
        ready["b"] = False
        await wait_for(lambda: not balancer.ready, "b was dropped")
        with pytest.raises(aiohttp.ClientError):
            await fetch_name(balancer.url)


async def fetch_name(url: str) -> str:
    """Return the name of the entry that a new connection reaches."""
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return await response.text()
