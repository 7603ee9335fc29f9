"""Tests of faults of engines and plain services, as their callers observe them.

Only the first attempt meets the fault. A complete answer shows that the fault was
hidden from the caller, and a problem shows that it was reported.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp import web

from figstep.application import Application
from figstep.checker import ExecutedCall, ExecutedGeneration, History, check_history
from figstep.core.problems import Ran
from figstep.core.suspects import MAX_DEATHS
from figstep.demo import KEY, build_document
from figstep.net.log import MemoryLog
from figstep.operations import publish_document
from figstep.settings import Platform, Settings
from figstep.standins.engine import DONE, EngineServer
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.service import PlainService
from tests.fleet import Caller, wait_for

TOKENS = 6


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP status that is sent instead of a stream."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Frames:
    """Events in the order in which they are sent.

    Attributes:
        order: Indexes of the events, from 1.
        rename: Generation written into the ids instead of the real one, or "".
        done: Whether the end marker follows the events.
    """

    order: tuple[int, ...]
    rename: str = ""
    done: bool = True


class FaultyEngine(EngineServer):
    """Engine that injects the next of the faults that it shares with other engines."""

    def __init__(self, name: str, faults: list[Answer | Frames]) -> None:
        super().__init__(name, gap=0.0)
        self.faults = faults

    async def _start(self, request: web.Request) -> web.StreamResponse:
        if not self.faults or not isinstance(self.faults[0], Answer):
            return await super()._start(request)
        fault = self.faults.pop()
        assert isinstance(fault, Answer)
        return web.Response(status=fault.status, headers=dict(fault.headers))

    async def _stream(
        self, request: web.Request, name: str, after: int
    ) -> web.StreamResponse:
        if not self.faults or not isinstance(self.faults[0], Frames):
            return await super()._stream(request, name, after)
        fault = self.faults.pop()
        assert isinstance(fault, Frames)
        generation = self._generations[name]
        await wait_for(lambda: generation.ended, "the generation ended")
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for index in fault.order:
            frame = generation.frames[index - 1]
            if fault.rename:
                frame = frame.replace(name.encode(), fault.rename.encode())
            await response.write(frame)
        if fault.done:
            await response.write(DONE)
        return response


class CrashingService(PlainService):
    """A target of a plain service that crashes when ``/crash`` is read.

    Attributes:
        runner: Runner of its application; set once the target is started.
    """

    runner: web.AppRunner

    async def _execute(self, request: web.Request) -> web.Response:
        answer = await super()._execute(request)
        if request.path == "/crash":
            assert request.transport is not None
            for site in list(self.runner.sites):
                await site.stop()
            request.transport.abort()
        return answer


def build_engines(fault: Answer | Frames) -> list[FaultyEngine]:
    """Return two engines; the first one to get a request injects the fault."""
    faults = [fault]
    return [FaultyEngine(f"engine-{number}", faults) for number in (1, 2)]


@asynccontextmanager
async def run_entry(
    engines: list[FaultyEngine], *services: PlainService
) -> AsyncIterator[str]:
    """Run one entry with engines and targets of a plain service; yield its URL."""
    runners, urls = [], []
    for standin in (*engines, *services, InstanceList()):
        runner, url = await start_app(standin.build_app())
        runners.append(runner)
        urls.append(url)
        if isinstance(standin, CrashingService):
            standin.runner = runner
    log = MemoryLog()
    engine_urls = {engine.name: urls[at] for at, engine in enumerate(engines)}
    document = build_document(engine_urls, urls[-2])
    template = document["services"].pop()
    for at, service in enumerate(services, len(engines)):
        document["services"].append(
            {**template, "name": service.name, "address": urls[at]}
        )
    await publish_document(log, document, "ops", "first")
    settings = Settings(
        node="entry-1",
        failure_domain="muc-a",
        platform=Platform(log="http://unused", instances=urls[-1]),
    )
    application = Application(settings, log=log)
    await application.start()
    await wait_for(
        lambda: application.entry_state.inventory is not None, "the inventory is read"
    )
    try:
        yield application.callers.address
    finally:
        await application.stop()
        for runner in runners:
            await runner.cleanup()


WHOLE = "whole"
ENGINE_FAULTS = {
    "refused": Answer(503),
    "refused, come back": Answer(429, (("Retry-After", "1"),)),
    "server error": Answer(500),
    "no events and no end": Frames((), done=False),
    "truncated": Frames((1, 2, 3), done=False),
    "truncated before the end marker": Frames((1, 2, 3, 4, 5, 6), done=False),
    "repeated": Frames((1, 2, 2, 1, 3, 4, 5, 6)),
    "reordered": Frames((1, 3, 2, 4, 5, 6)),
    "gap": Frames((1, 2, 4, 5, 6)),
    "late start": Frames((2, 3, 4, 5, 6)),
    "end marker too early": Frames((1, 2, 3)),
    "end marker alone": Frames(()),
    "crossed": Frames((1, 2, 3, 4, 5, 6), rename="engine-1~000000000000~x"),
}


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "one piece"])
@pytest.mark.parametrize("fault", ENGINE_FAULTS.values(), ids=ENGINE_FAULTS.keys())
async def test_a_fault_of_an_engine_is_hidden_or_told(
    fault: Answer | Frames, stream: bool
) -> None:
    engines = build_engines(fault)
    async with run_entry(engines, PlainService("planning-1")) as url:
        caller = Caller("tag", TOKENS, stream)
        await caller.stream_to_end(url)
    generations = []
    for engine in engines:
        for name, prompt in engine.prompts.items():
            tag = prompt.split()[-1]
            generations.append(ExecutedGeneration(engine.name, name, tag))
    assert check_history(History([caller.history], generations)) == []
    assert caller.last.ended or caller.last.problem


async def test_a_request_that_an_engine_rejects_is_not_retried() -> None:
    engines = build_engines(Answer(422))
    async with run_entry(engines, PlainService("planning-1")) as url:
        caller = Caller("tag", TOKENS)
        await caller.stream_to_end(url)
    assert (caller.last.status, caller.last.ran) == (400, Ran.NO)
    assert [engine.executed for engine in engines] == [[], []]


class FaultyService(PlainService):
    """Plain service that injects one fault into the first call."""

    def __init__(self, fault: str) -> None:
        super().__init__("planning-1")
        self.fault = fault

    async def _execute(self, request: web.Request) -> web.Response:
        fault, self.fault = self.fault, ""
        if fault.isdigit():
            return web.Response(status=int(fault))
        answer = await super()._execute(request)
        if fault == "answer lost" and request.transport is not None:
            request.transport.abort()
        if fault == "answer truncated" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx")
            request.transport.close()
        return answer


@pytest.mark.parametrize("fault", ["503", "500", "answer lost", "answer truncated"])
async def test_a_call_is_not_repeated_where_it_may_have_run(fault: str) -> None:
    """Guards against a second run of a call that may run at most once.

    The service loses or truncates its answer, or refuses the call. If the call may
    have run, the caller is told so and no second call reaches the service.
    """
    service = FaultyService(fault)
    async with run_entry([], service) as url:
        caller = Caller("tag")
        caller.order(url)
        await caller.finish()
    calls = []
    for call in service.executed:
        calls.append(ExecutedCall("planning-1", call.body, call.body))
    assert check_history(History([caller.history], calls=calls)) == []
    assert len(calls) <= 1


@pytest.mark.parametrize("status", [408, 421, 502, 504])
async def test_what_a_proxy_answers_is_not_the_outcome_of_an_order(status: int) -> None:
    """Guards against "it ran" on the word of a proxy that had no answer to pass on."""
    service = FaultyService(str(status))
    async with run_entry([], service) as url:
        for _ in range(2):
            caller = Caller("tag")
            caller.order(url)
            await caller.finish()
            assert (caller.last.status, caller.last.problem) == (409, "outcome_unknown")
            assert caller.last.ran is Ran.UNKNOWN
    assert service.executed == []


async def test_a_call_that_crashes_services_is_kept_away_from_the_rest() -> None:
    """Guards against a read that repeatedly crashes all targets of a service."""
    services = [CrashingService(f"planning-{number}") for number in range(6)]
    statuses = []
    headers = {"Authorization": f"Bearer {KEY}"}
    async with run_entry([], *services) as url, aiohttp.ClientSession() as session:
        for path in ("crash", "crash", "crash", "stock"):
            target = f"{url}/services/planning/{path}"
            async with session.get(target, headers=headers) as response:
                statuses.append(response.status)
    executed = [call.path for service in services for call in service.executed]
    assert executed.count("/crash") <= MAX_DEATHS
    assert statuses[-2:] == [422, 200]
