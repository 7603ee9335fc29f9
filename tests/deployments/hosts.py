"""Targets as processes: killed, stopped, and started again at once."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import orjson
from aiohttp import web

from tests.afterlife import Afterlife, answer_for_crashed
from tests.deployments.proxies import FaultyProxy
from tests.platform.runs import Run, read_clock
from tests.platform.standins import start_app
from tests.platform.target import Identity
from tests.processes import ROOT

START_TIMEOUT_SECONDS = 30.0
"""Time limit of the start of a target and of its registration, in seconds."""

SPARES = 3
"""Number of processes that wait for an identity."""


class Spares:
    """Processes that have imported what a target needs.

    A target that starts from one of them is there within milliseconds.
    """

    def __init__(self, log: Path) -> None:
        self._log = log
        self._waiting: list[asyncio.subprocess.Process] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int) -> None:
        """Start a number of processes."""
        for _ in range(count):
            await self._add()

    async def _add(self) -> None:
        with self._log.open("ab") as lines:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "tests.platform.target"),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=lines,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
        self._waiting.append(process)

    async def take(self, identity: Identity) -> asyncio.subprocess.Process:
        """Return the process of a target that starts now."""
        if not self._waiting:
            await self._add()
        process = self._waiting.pop(0)
        assert process.stdin is not None
        process.stdin.write(orjson.dumps(asdict(identity)) + b"\n")
        if len(self._waiting) < SPARES:
            task = asyncio.create_task(self._add())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return process

    async def stop(self) -> None:
        """Kill the processes that nobody took."""
        await asyncio.gather(*self._tasks)
        for process in self._waiting:
            process.kill()
            await process.wait()


@dataclass(slots=True)
class TargetHost:
    """A target with its process.

    Attributes:
        busy: Whether something is being done to it.
        proxy: Faulty proxy before it; None if there is none.
    """

    identity: Identity
    spares: Spares
    process: asyncio.subprocess.Process | None = None
    busy: bool = False
    proxy: FaultyProxy | None = None
    _holder: web.AppRunner | None = field(default=None)

    @property
    def name(self) -> str:
        """Id of the target."""
        return self.identity.name

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        await self.release()
        self.process = await self.spares.take(self.identity)
        await self._wait_for_line()

    async def wait_until_registered(self) -> None:
        """Wait until the process that has just started is registered."""
        await self._wait_for_line()

    async def _wait_for_line(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await self.process.stdout.readline()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> None:
        """Wait until the process has ended, and write that to its journal."""
        assert self.process is not None
        await self.process.wait()
        self._write_end()

    def _write_end(self) -> None:
        with Path(self.identity.journal).open("ab") as journal:
            journal.write(orjson.dumps({"kind": "ended", "at": read_clock()}) + b"\n")

    async def hold(self, afterlife: Afterlife | None) -> None:
        """Accept connections at the port of the killed process."""
        if afterlife is None:
            return

        async def answer(request: web.Request) -> web.StreamResponse:
            return await answer_for_crashed(request, afterlife)

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        self._holder, _ = await start_app(app, self.identity.find_port())

    async def release(self) -> None:
        """Stop accepting connections for it."""
        if self._holder is not None:
            await self._holder.cleanup()
            self._holder = None


def read_journal(path: Path, note: Callable[[dict[str, Any]], None]) -> list[Run]:
    """Return the runs in the journal of a target; call ``note`` with other lines."""
    runs: dict[tuple[str, str, float], Run] = {}
    running: list[Run] = []
    for line in path.read_bytes().splitlines():
        entry = orjson.loads(line)
        match entry["kind"]:
            case "run":
                fields = entry["run"]
                fields["body"] = fields["body"].encode()
                fields["forged"] = tuple(fields["forged"])
                run = Run(**fields)
                key = (run.request, run.generation, run.began)
                if key in runs:
                    running.remove(runs[key])
                runs[key] = run
                if run.ended is None:
                    running.append(run)
            case "ended":
                for run in running:
                    run.ended = entry["at"]
                running.clear()
            case _:
                note(entry)
    return list(runs.values())
