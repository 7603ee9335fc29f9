"""Real processes for integration tests; each ends with its test."""

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
START_TIMEOUT = 60


@dataclass(slots=True)
class Running:
    """A process of figstep and its first line, ``KIND URL ...``."""

    process: asyncio.subprocess.Process
    words: list[str]

    @property
    def url(self) -> str:
        """Where it listens."""
        return self.words[1]

    def kill(self) -> None:
        """End it at once, as a crash does."""
        self.process.kill()

    def freeze(self) -> None:
        """Stop it from running, without closing anything."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
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
    """Run ``figstep ARGUMENTS`` to its end; return exit code and output."""
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
