"""Runs figstep processes for integration tests; each ends with its test."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

ROOT = Path(__file__).resolve().parent.parent
# Longest time for a process to print its address, in seconds.
START_TIMEOUT = 60


@dataclass(slots=True)
class Running:
    """A running figstep process.

    Attributes:
        process: Handle of the process.
        words: Words of the first line that it printed, ``KIND URL ...``.
    """

    process: asyncio.subprocess.Process
    words: list[str]

    @property
    def url(self) -> str:
        """URL on which the process listens."""
        return self.words[1]

    def kill(self) -> None:
        """Kill the process immediately, as a crash does."""
        self.process.kill()

    def freeze(self) -> None:
        """Suspend the process; its connections stay open."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.process.send_signal(signal.SIGCONT)


@asynccontextmanager
async def run_figstep(*arguments: str) -> AsyncIterator[Running]:
    """Start ``figstep ARGUMENTS`` and wait for its ``KIND URL`` line."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "figstep",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env=environment,
    )
    assert process.stdout is not None
    try:
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT)
        yield Running(process, line.decode().split())
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def run_command(*arguments: str) -> tuple[int, str]:
    """Run ``figstep ARGUMENTS`` to its end; return its exit code and output."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "figstep",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=environment,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()


def write_yaml(path: Path, document: Any) -> Path:
    """Write a YAML file and return its path."""
    path.write_text(yaml.safe_dump(document))
    return path
