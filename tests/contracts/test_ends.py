"""Tests of answers of plain services that have neither a length nor chunks."""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from figstep.demo import KEY
from figstep.standins.service import ExecutedCall, PlainService
from tests.afterlife import Afterlife, answer_for_crashed
from tests.contracts import test_targets
from tests.contracts.test_targets import TOKENS, FaultyEngine, run_entry
from tests.fleet import Caller, wait_for
from tests.framing import Framing, RawAnswer

ANSWER = b"two pallets of flour"


class CrashingService(PlainService):
    """Plain service that may crash within its first answer; its address lives on.

    Attributes:
        afterlife: What the address does after the crash; None if there is none.
        crashed: Whether it has crashed.
    """

    def __init__(self, name: str, afterlife: Afterlife | None) -> None:
        super().__init__(name)
        self.afterlife = afterlife
        self.crashed = False

    def build_app(self) -> web.Application:
        app = super().build_app()
        app.middlewares.append(self._serve)
        return app

    @web.middleware
    async def _serve(self, request: web.Request, handler: object) -> web.StreamResponse:
        if self.crashed and self.afterlife is not None:
            return await answer_for_crashed(request, self.afterlife)
        if request.method == "OPTIONS":
            return web.Response(status=404)
        await self._execute(request)
        raw = RawAnswer(request, Framing.CONNECTION, {}, 0)
        self.crashed = self.afterlife is not None
        raw.write(ANSWER[:7] if self.crashed else ANSWER)
        return raw.close()


class RestartingService(test_targets.CrashingService):
    """Plain service that crashes within its first answer and starts again at once."""

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        if self.executed:
            return web.Response(body=ANSWER)
        self.executed.append(ExecutedCall(request.method, request.path, ""))
        raw = RawAnswer(request, Framing.CONNECTION, {}, 0)
        raw.write(ANSWER[:7])
        await asyncio.sleep(0.1)
        host, port = self.runner.addresses[0]
        for site in list(self.runner.sites):
            await site.stop()
        assert self.runner.server is not None
        for connection in self.runner.server.connections:
            if connection.transport not in (None, request.transport):
                connection.transport.abort()
        raw.close()
        await web.TCPSite(self.runner, host, port).start()
        return web.Response()


async def order_once(*services: PlainService) -> tuple[int, bytes]:
    """Place an order; return the status and body that its caller gets."""
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "order-1"}
    async with run_entry([], *services) as url, aiohttp.ClientSession() as session:
        target = f"{url}/services/planning/order"
        async with session.post(target, headers=headers, data=b"flour") as response:
            return response.status, await response.read()


@pytest.mark.parametrize("afterlife", list(Afterlife))
async def test_an_answer_of_a_crashed_service_whose_address_lives_on_is_not_complete(
    afterlife: Afterlife,
) -> None:
    """Guards against an accepted connection that is taken for a living service."""
    status, body = await order_once(CrashingService("planning-1", afterlife))
    assert status >= 500
    assert not body.startswith(ANSWER[:7])


async def test_an_answer_of_a_service_that_started_again_is_not_complete() -> None:
    """Guards against the next incarnation that is taken for the one that answered."""
    status, body = await order_once(RestartingService("planning-1"))
    assert (status, body) == (200, ANSWER)


async def test_an_answer_of_a_living_service_is_complete_by_its_close() -> None:
    """Guards against a loss of whole answers that have neither length nor chunks."""
    status, body = await order_once(CrashingService("planning-1", None))
    assert (status, body) == (200, ANSWER)


class OpenEndedEngine(FaultyEngine):
    """Engine that closes one stream after three events and resets the next two.

    Attributes:
        left: Number of streams that are whole before that, for all engines together.
    """

    def __init__(self, name: str, left: list[int]) -> None:
        super().__init__(name, [])
        self.left = left

    async def _stream(
        self, request: web.Request, name: str, after: int
    ) -> web.StreamResponse:
        self.left[0] -= 1
        if self.left[0] >= 0 or self.left[0] < -3:
            return await super()._stream(request, name, after)
        generation = self._generations[name]
        await wait_for(lambda: generation.ended, "the generation ended")
        raw = RawAnswer(request, Framing.CONNECTION, {}, 0)
        if self.left[0] < -1:
            return raw.reset()
        for frame in generation.frames[:3]:
            raw.write(frame)
        return raw.close()


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "one piece"])
async def test_an_open_end_after_many_whole_streams_is_not_the_end(
    stream: bool,
) -> None:
    """Guards against a part as the whole where open ends are rare among streams."""
    left = [8]
    engines = [OpenEndedEngine(f"engine-{number}", left) for number in (1, 2)]
    async with run_entry(list(engines), PlainService("planning-1")) as url:
        for number in range(8):
            caller = Caller(f"tag-{number}", TOKENS, stream)
            await caller.stream_to_end(url)
            assert caller.last.ended
        caller = Caller("tag", TOKENS, stream)
        await caller.stream_to_end(url)
    assert left[0] < -3
    assert caller.last.ended
    if stream:
        assert [event.index for event in caller.history.events] == [1, 2, 3, 4, 5, 6]
    else:
        assert len(caller.history.text.split()) == TOKENS
