"""Tests of answers that have neither a length nor chunks, or end too early."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from enum import Enum

import aiohttp
import pytest
from aiohttp import web

from figstep.core import silence
from figstep.core.clock import Millis
from figstep.demo import KEY
from figstep.standins.engine import DONE
from figstep.standins.service import ExecutedCall, PlainService
from tests.afterlife import Afterlife, answer_for_crashed
from tests.contracts import test_targets
from tests.contracts.test_targets import TOKENS, FaultyEngine, run_entry
from tests.fleet import Caller, wait_for
from tests.framing import Framing, RawAnswer

ANSWER = b"two pallets of flour"

STREAM_HEADERS = {"Content-Type": "text/event-stream"}

EACH_FORM = pytest.mark.parametrize(
    "stream", [True, False], ids=["stream", "one piece"]
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


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


EARLY = 3
"""Number of events after which an engine closes a stream early."""


class Rest(Enum):
    """How an engine leaves the question for the rest of a stream unanswered."""

    RESET = "reset"
    CLOSED = "closed"  # in order, without an answer
    SILENT = "silent"
    EMPTY = "empty"  # a stream that ends with its connection before an event
    NO_EVENT = "no event"  # a complete body in chunks that holds none
    MARKER = "marker"  # the end marker alone


class ClosingEngine(FaultyEngine):
    """Engine that closes a stream early, and leaves questions for its rest unanswered.

    Attributes:
        early: Number of streams that are closed early, for all engines together.
        rest: What becomes of questions for a rest.
        unanswered: Number of them that are not answered.
        stops: Whether its process is stopped with an early close.
        stopped: Whether its process is stopped: connections are accepted, and nothing
            is answered on them.
        questions: Number of questions for a rest that it got.
    """

    def __init__(
        self,
        name: str,
        early: list[int],
        rest: Rest = Rest.RESET,
        unanswered: float = 0,
        stops: bool = False,
    ) -> None:
        super().__init__(name, [])
        self.early = early
        self.rest = rest
        self.unanswered = unanswered
        self.stops = stops
        self.stopped = False
        self.questions = 0

    def build_app(self) -> web.Application:
        app = super().build_app()
        app.middlewares.append(self._serve)
        return app

    @web.middleware
    async def _serve(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.questions += request.method == "GET" and "/generations/" in request.path
        if self.stopped:
            return await answer_for_crashed(request, Afterlife.SILENT)
        return await handler(request)

    async def _stream(
        self, request: web.Request, name: str, after: int
    ) -> web.StreamResponse:
        if request.method == "GET" and self.unanswered > 0:
            self.unanswered -= 1
            return await self._leave_unanswered(request)
        if request.method == "GET" or not self.early[0]:
            return await super()._stream(request, name, after)
        self.early[0] -= 1
        generation = self._generations[name]
        await wait_for(lambda: generation.ended, "the generation ended")
        raw = RawAnswer(request, Framing.CONNECTION, STREAM_HEADERS, 0)
        for frame in generation.frames[:EARLY]:
            raw.write(frame)
        self.stopped = self.stops
        return raw.close()

    async def _leave_unanswered(self, request: web.Request) -> web.StreamResponse:
        match self.rest:
            case Rest.RESET:
                return await answer_for_crashed(request, Afterlife.RESET)
            case Rest.CLOSED:
                return await answer_for_crashed(request, Afterlife.CLOSED)
            case Rest.SILENT:
                return await answer_for_crashed(request, Afterlife.SILENT)
            case Rest.EMPTY:
                return RawAnswer(request, Framing.CONNECTION, STREAM_HEADERS, 0).close()
        raw = RawAnswer(request, Framing.CHUNKS, STREAM_HEADERS, 0)
        if self.rest is Rest.MARKER:
            raw.write(DONE)
        return raw.end()


def check_whole(caller: Caller) -> None:
    """Check that a caller has got a whole generation."""
    assert caller.last.ended
    if caller.history.stream:
        indexes = [event.index for event in caller.history.events]
        assert indexes == list(range(1, TOKENS + 1))
        assert caller.history.events[-1].finish
    else:
        assert len(caller.history.text.split()) == TOKENS


def check_part_or_whole(caller: Caller) -> None:
    """Check that a caller was told of the loss of a stream whose rest nobody states.

    One that has got nothing yet gets a whole generation of another engine.
    """
    if not caller.history.stream:
        check_whole(caller)
        return
    assert not caller.last.ended
    assert caller.last.problem == "generation_lost"
    assert [event.index for event in caller.history.events] == [1, 2, 3]


@pytest.fixture
def brief_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a question count as lost after half a second instead of five."""
    monkeypatch.setattr(silence, "FIRST_EVENT_LIMIT", Millis(500))


@EACH_FORM
@pytest.mark.parametrize("unanswered", [2, math.inf], ids=["lost", "all lost"])
@pytest.mark.parametrize("rest", list(Rest))
@pytest.mark.usefixtures("brief_silence")
async def test_a_question_for_a_rest_that_nobody_answers_states_no_end(
    rest: Rest, unanswered: float, stream: bool
) -> None:
    """Guards against a lost answer, or an empty one, that counts as the end."""
    early = [1]
    engines = [
        ClosingEngine(f"engine-{number}", early, rest, unanswered) for number in (1, 2)
    ]
    async with run_entry(list(engines), PlainService("planning-1")) as url:
        caller = Caller("tag", TOKENS, stream)
        await caller.stream_to_end(url)
        following = Caller("tag-2", TOKENS, stream)
        await following.stream_to_end(url)
    assert sum(engine.questions for engine in engines) >= 3
    if unanswered == math.inf:
        check_part_or_whole(caller)
    else:
        check_whole(caller)
    check_whole(following)


@EACH_FORM
@pytest.mark.parametrize("continues", [True, False], ids=["continues", "stays"])
@pytest.mark.usefixtures("brief_silence")
async def test_a_stream_of_a_process_that_is_stopped_after_its_close_has_not_ended(
    continues: bool, stream: bool
) -> None:
    """Guards against accepted connections of a stopped process as a sign of an end."""
    early = [1]
    engines = [
        ClosingEngine(f"engine-{number}", early, stops=True) for number in (1, 2)
    ]
    async with run_entry(list(engines), PlainService("planning-1")) as url:
        caller = Caller("tag", TOKENS, stream)
        caller.start_generation(url)
        await wait_for(
            lambda: sum(engine.questions for engine in engines) >= 2, "rest asked for"
        )
        for engine in engines:
            engine.stopped = engine.stopped and not continues
        await caller.finish()
        following = Caller("tag-2", TOKENS, stream)
        await following.stream_to_end(url)
    if continues:
        check_whole(caller)
    else:
        check_part_or_whole(caller)
    check_whole(following)
