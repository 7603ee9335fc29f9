"""Tests of connections to targets: reused, new and replaced."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from figstep.net.pools import Pool, PoolTable
from figstep.standins.http import start_app
from tests.framing import Framing, RawAnswer


class Target:
    """A target that counts requests and the connections on which they arrive."""

    def __init__(self) -> None:
        self.requests = 0
        self.connections: set[object] = set()
        self.aborts_connections = False
        self.url = ""

    async def answer(self, request: web.Request) -> web.StreamResponse:
        self.requests += 1
        self.connections.add(request.transport)
        if self.aborts_connections and request.transport is not None:
            request.transport.abort()
        response = web.Response(text="ok")
        response.set_cookie("session", "of another customer")
        return response


@pytest.fixture
async def target() -> AsyncIterator[Target]:
    target = Target()
    app = web.Application()
    app.router.add_route("*", "/", target.answer)
    runner, target.url = await start_app(app)
    yield target
    await runner.cleanup()


@pytest.fixture
async def pools() -> AsyncIterator[PoolTable]:
    pools = PoolTable()
    yield pools
    await pools.close()


async def send(session: aiohttp.ClientSession, target: Target) -> None:
    async with session.get(target.url) as response:
        await response.read()


async def test_resumes_open_new_connections(pools: PoolTable, target: Target) -> None:
    async with pools.use("t") as pool:
        for _ in range(3):
            await send(pool.reused, target)
        assert len(target.connections) == 1
        for _ in range(3):
            await send(pool.fresh, target)
        assert len(target.connections) == 4


async def test_a_replaced_pool_serves_its_users_and_then_closes(
    pools: PoolTable, target: Target
) -> None:
    async with pools.use("t") as old:
        await send(old.reused, target)
        pools.replace("t")
        async with pools.use("t") as new:
            assert new is not old
            await send(new.reused, target)
        assert len(target.connections) == 2
        await send(old.reused, target)
    assert is_closed(old)


def is_closed(pool: Pool) -> bool:
    return pool.reused.closed and pool.fresh.closed


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_a_call_is_never_sent_twice(
    pools: PoolTable, target: Target, method: str
) -> None:
    """Guards against a call that runs twice because the client repeats it by itself."""
    target.aborts_connections = True
    async with pools.use("t") as pool:
        for session in (pool.fresh, pool.reused):
            target.requests = 0
            with pytest.raises(aiohttp.ClientError):
                await session.request(method, target.url)
            assert target.requests == 1


async def test_cookies_of_one_caller_do_not_reach_the_next(
    pools: PoolTable, target: Target
) -> None:
    async with pools.use("t") as pool:
        await send(pool.reused, target)
        assert len(pool.reused.cookie_jar) == 0


async def reset_in_answer(request: web.Request) -> web.StreamResponse:
    """Reset the connection within an answer that has neither a length nor chunks."""
    answer = RawAnswer(request, Framing.CONNECTION, {}, 0)
    answer.write(b"half an ans")
    await asyncio.sleep(0.05)
    return answer.reset()


async def test_a_reset_within_an_answer_is_a_loss(pools: PoolTable) -> None:
    """Guards against half an answer of a service that is passed on and recorded."""
    app = web.Application()
    app.router.add_route("*", "/", reset_in_answer)
    runner, url = await start_app(app)
    async with pools.use("t") as pool:
        for session in (pool.reused, pool.fresh):
            with pytest.raises(aiohttp.ClientError):
                async with session.get(url) as response:
                    await response.read()
    await runner.cleanup()
