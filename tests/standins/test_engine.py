"""Tests of the engine stand-in over HTTP."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from figstep.standins.engine import MAX_LAG_MS, EngineServer
from figstep.standins.engine_model import Token
from figstep.standins.http import start_app

HEADERS = {"X-Generation-Id": "e~0~1"}


@asynccontextmanager
async def serve(engine: EngineServer) -> AsyncIterator[aiohttp.ClientSession]:
    runner, url = await start_app(engine.build_app())
    async with aiohttp.ClientSession(url) as session:
        yield session
    await runner.cleanup()


def list_indexes(text: str) -> list[int]:
    lines = text.splitlines()
    return [int(line.rpartition(":")[2]) for line in lines if line.startswith("id:")]


async def test_continuation_starts_after_the_given_index() -> None:
    async with serve(EngineServer("e", gap=0.0)) as session:
        headers = {**HEADERS, "X-Continue-After": "3"}
        body = {"prompt": "x", "continuation": "a b c", "standin_length": 6}
        async with session.post("/v1/completions", json=body, headers=headers) as r:
            text = await r.text()
    assert list_indexes(text) == [4, 5, 6]
    assert text.endswith("data: [DONE]\n\n")


async def test_unread_generation_is_cancelled_after_the_grace() -> None:
    """Guards against generations that hold cache memory without a reader.

    The connection of the reader breaks in the middle of the stream and the reader
    does not return. The generation can be resumed within the grace time and is
    cancelled after it.
    """
    engine = EngineServer("e", gap=0.01, length=100_000)
    engine.grace = 0.2
    async with serve(engine) as session:
        async with session.post("/v1/completions", json={}, headers=HEADERS) as r:
            await r.content.readline()
        async with session.get("/v1/generations/e~0~1?after=0") as r:
            assert (await r.content.readline()).startswith(b"id: e~0~1:1")
        while not engine.cancelled:
            await asyncio.sleep(0.02)
    assert engine.cancelled == ["e~0~1"]


async def test_crash_resets_streams_and_restart_loses_generations() -> None:
    engine = EngineServer("e", gap=0.01, length=100_000)
    async with serve(engine) as session:
        async with session.post("/v1/completions", json={}, headers=HEADERS) as r:
            await r.content.readline()
            engine.crash()
            with pytest.raises(aiohttp.ClientError):
                await r.read()
        engine.restart()
        async with session.get("/v1/generations/e~0~1") as r:
            assert r.status == 404
        async with session.get("/load") as r:
            assert (await r.json())["incarnation"] == 2


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
async def test_old_fencing_number(checks: bool, status: int) -> None:
    """An order of a former lease holder arrives after one of the new holder.

    An engine that checks fencing numbers refuses it; others execute it.
    """
    engine = EngineServer("e")
    engine.checks_fencing = checks
    new = {"kind": "load", "model": "m", "version": "2", "fencing": 7}
    old = {"kind": "version", "model": "m", "version": "1", "fencing": 6}
    async with serve(engine) as session:
        async with session.post("/orders", json=new) as r:
            assert (await r.json())["models"] == ["m@2"]
        async with session.post("/orders", json=old) as r:
            assert r.status == status
        async with session.get("/load") as r:
            models = (await r.json())["models"]
    assert models == (["m@2"] if checks else ["m@1"])


class SlowMachineEngine(EngineServer):
    """Engine whose machine needs longer for a token than its profile allows.

    Attributes:
        token_seconds: Time that it needs for a token.
    """

    token_seconds = 0.0001

    def _handle_token(self, token: Token) -> None:
        time.sleep(self.token_seconds)
        super()._handle_token(token)


async def check_answers(token_seconds: float) -> None:
    """Check that an engine answers a request while it lags behind by its tokens."""
    engine = SlowMachineEngine("e", gap=0.0, length=1_000_000)
    engine.token_seconds = token_seconds
    async with serve(engine) as session:
        async with session.post("/v1/completions", json={}, headers=HEADERS) as r:
            await r.content.readline()
            await asyncio.sleep(0.3)
            asked = time.monotonic()
            async with session.delete("/v1/generations/e~0~1") as cancelled:
                assert cancelled.status == 200
            assert time.monotonic() - asked < 2.0
    assert engine.cancelled == ["e~0~1"]


async def test_an_engine_that_cannot_keep_pace_still_answers() -> None:
    """Guards against an emulator that blocks all others while it lags behind."""
    await check_answers(0.0001)


async def test_an_engine_whose_machine_is_very_slow_still_answers() -> None:
    """Guards against turns of many tokens that last for seconds on a busy machine."""
    await check_answers(0.02)


def stop_machine() -> None:
    """Block for a second, as a machine that runs others."""
    time.sleep(1.0)


async def test_an_engine_that_lags_behind_does_not_work_it_all_off() -> None:
    """Guards against an emulator that is further behind after each step that it ran."""
    engine = EngineServer("e", gap=0.0, length=1_000_000)
    async with serve(engine) as session:
        async with session.post("/v1/completions", json={}, headers=HEADERS) as r:
            await r.content.readline()
            produced = engine.model.produced
            stop_machine()
            asked = time.monotonic()
            async with session.delete("/v1/generations/e~0~1") as cancelled:
                assert cancelled.status == 200
            took = time.monotonic() - asked
    steps = (took + MAX_LAG_MS / 1_000) * 100_000
    assert engine.model.produced - produced <= steps + 5_000
