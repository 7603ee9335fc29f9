"""Tests of the shutdown of an entry process."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from figstep.demo import KEY, MODEL, build_document
from figstep.server import EXIT_DRAINED, EXIT_FORCED
from tests.processes import Running, run_command, run_figstep, write_yaml
from tests.test_path import wait_until_ready

PATH = "/v1/completions"
HEADERS = {"Authorization": f"Bearer {KEY}"}
LONG = {"model": MODEL, "prompt": "menu", "stream": True, "standin_length": 100}
SHORT = {"model": MODEL, "prompt": "menu", "standin_length": 1}


@dataclass(slots=True)
class Served:
    """An entry process and an HTTP client session for it."""

    entry: Running
    session: aiohttp.ClientSession

    def post(self, body: object):  # type: ignore[no-untyped-def]
        url = self.entry.url + PATH
        return self.session.post(url, json=body, headers=HEADERS)

    async def end(self) -> int:
        return await asyncio.wait_for(self.entry.process.wait(), 60)


@asynccontextmanager
async def serve(tmp_path: Path, notice: float) -> AsyncIterator[Served]:
    async with AsyncExitStack() as stack:

        async def start(*arguments: str) -> Running:
            return await stack.enter_async_context(run_figstep(*arguments))

        log = await start("standin", "log")
        instances = await start("standin", "instances")
        engine = await start("standin", "engine", "--name", "engine-1", "--gap", "0.05")
        service = await start("standin", "service", "--name", "planning-1")
        settings = {
            "node": "entry-1",
            "failure_domain": "muc-a",
            "platform": {"log": log.url, "instances": instances.url},
            "notice_seconds": notice,
        }
        path = write_yaml(tmp_path / "entry.yaml", settings)
        entry = await start("serve", "--settings", str(path))
        document = build_document({"engine-1": engine.url}, service.url)
        inventory = write_yaml(tmp_path / "inventory.yaml", document)
        code, output = await run_command(
            "publish", str(inventory), "--log", log.url, "--reason", "first"
        )
        assert code == 0, output
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await wait_until_ready(session, entry.url)
        yield Served(entry, session)


async def test_graceful_shutdown_cuts_off_no_answer(tmp_path: Path) -> None:
    """An entry gets SIGTERM while it streams a long answer.

    It must become unready first, and serve new requests during the notice period,
    as load balancers react with a delay. After that it must refuse new requests
    without running them, finish the long answer, and exit with 0.
    """
    async with serve(tmp_path, notice=1.0) as served:
        async with served.post(LONG) as response:
            await response.content.readuntil(b"\n\n")
            served.entry.process.send_signal(signal.SIGTERM)
            url = served.entry.url + "/readyz"
            while True:
                async with served.session.get(url) as readiness:
                    if readiness.status == 503:
                        break
                await asyncio.sleep(0.01)
            async with served.post(SHORT) as in_notice:
                assert in_notice.status == 200
            while True:
                async with served.post(SHORT) as later:
                    refusal = await later.json(content_type=None)
                    if later.status == 503:
                        break
                await asyncio.sleep(0.01)
            assert (refusal["error"]["code"], refusal["ran"]) == ("entry_leaving", "no")
            assert "Retry-After" in later.headers
            rest = await response.read()
        assert rest.count(b"id: ") == 99
        assert rest.endswith(b"data: [DONE]\n\n")
        assert await served.end() == EXIT_DRAINED


async def test_second_signal_ends_with_typed_errors(tmp_path: Path) -> None:
    """An entry gets a second signal while it streams a long answer.

    Its caller must get an error event that describes how to continue, not a stream
    that just stops. The exit code must show that requests were interrupted.
    """
    async with serve(tmp_path, notice=0) as served:
        async with served.post(LONG) as response:
            await response.content.readuntil(b"\n\n")
            served.entry.process.send_signal(signal.SIGTERM)
            while True:
                async with served.post(SHORT) as later:
                    if later.status == 503:
                        break
                await asyncio.sleep(0.01)
            served.entry.process.send_signal(signal.SIGINT)
            rest = await response.read()
        data = rest.rpartition(b"event: error\ndata: ")[2]
        document = json.loads(data)
        assert document["error"]["code"] == "entry_ended"
        assert document["ran"] == "yes"
        assert b"[DONE]" not in rest
        assert await served.end() == EXIT_FORCED
