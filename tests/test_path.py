"""Tests of the whole path of a request, with each part as its own process."""

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp

from figstep.demo import KEY, MODEL, build_document
from tests.processes import run_command, run_figstep, write_yaml


async def test_streamed_answer_arrives_whole_through_either_entry(
    tmp_path: Path,
) -> None:
    async with AsyncExitStack() as stack:

        async def start(*arguments: str) -> str:
            running = await stack.enter_async_context(run_figstep(*arguments))
            return running.url

        log = await start("standin", "log")
        instances = await start("standin", "instances")
        engines = {}
        for number, gap in enumerate((0.001, 0.002, 0.004), 1):
            name = f"engine-{number}"
            engines[name] = await start(
                "standin", "engine", "--name", name, "--gap", str(gap)
            )
        service = await start("standin", "service", "--name", "planning-1")
        entries = []
        for number in (1, 2):
            settings = {
                "node": f"entry-{number}",
                "failure_domain": "muc-a",
                "platform": {"log": log, "instances": instances},
            }
            path = write_yaml(tmp_path / f"entry-{number}.yaml", settings)
            entries.append(await start("serve", "--settings", str(path)))
        inventory = write_yaml(
            tmp_path / "inventory.yaml", build_document(engines, service)
        )
        code, output = await run_command(
            "publish", str(inventory), "--log", log, "--reason", "first"
        )
        assert code == 0, output
        session = await stack.enter_async_context(aiohttp.ClientSession())
        headers = {"Authorization": f"Bearer {KEY}"}
        body = {"model": MODEL, "stream": True, "prompt": "menu"}
        for entry in entries:
            await wait_until_ready(session, entry)
            async with session.post(
                entry + "/v1/completions", json=body, headers=headers
            ) as response:
                assert response.status == 200
                text = (await response.read()).decode()
            assert text.count("id: ") == 20
            assert text.endswith("data: [DONE]\n\n")
            async with session.post(
                entry + "/services/planning/menus", data="week", headers=headers
            ) as response:
                assert (await response.json())["path"] == "/menus"


async def wait_until_ready(session: aiohttp.ClientSession, entry: str) -> None:
    while True:
        async with session.get(entry + "/readyz") as response:
            if response.status == 200:
                return
        await asyncio.sleep(0.05)
