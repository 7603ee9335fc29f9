"""Tests of how entries that are stopped are timed and killed."""

import asyncio
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.platform import entries
from tests.platform.entries import EntryEndpoint, EntryHost

GRACE = 1.0

PROGRAM = """
import os, signal, time

def end(*_):
    for _ in range({tenths}):
        time.sleep(0.1)
    os._exit(0)

signal.signal(signal.SIGTERM, end)
print("ready", flush=True)
while True:
    signal.pause()
"""
"""Program that runs for some tenths of a second after SIGTERM."""


@asynccontextmanager
async def open_host(tenths: int) -> AsyncIterator[EntryHost]:
    """Run a program that ends ``tenths`` of a second of its running after SIGTERM."""
    host = EntryHost(
        number=0,
        ready="",
        endpoint=EntryEndpoint(0, ""),
        settings=Path(),
        log=Path(),
        grace=GRACE,
        stops=[],
    )
    host.process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM.format(tenths=tenths),
        stdout=asyncio.subprocess.PIPE,
    )
    assert host.process.stdout is not None
    await host.process.stdout.readline()
    try:
        yield host
    finally:
        await host.end()


def block_loop(seconds: float) -> None:
    """Keep the event loop from running, as a busy machine does."""
    time.sleep(seconds)


async def begin_freeze(host: EntryHost, seconds: float) -> asyncio.Task[None]:
    """Freeze a process and return the task that continues it after some seconds."""
    task = asyncio.create_task(host.disturb("freeze", seconds))
    await asyncio.sleep(0)
    return task


async def test_a_process_that_is_frozen_as_it_ends_is_given_that_time() -> None:
    """Guards against a late end that is found where the fault plan is the cause."""
    async with open_host(2) as host:
        freezing = await begin_freeze(host, 1.5)
        await host.terminate()
        await freezing
    assert host.stops[0].took is not None
    assert host.stops[0].took > GRACE


async def test_a_process_that_never_ends_is_found_although_it_is_frozen() -> None:
    """Guards against a freeze that excuses a process that would never end."""
    async with open_host(600) as host:
        freezing = await begin_freeze(host, 1.0)
        began = asyncio.get_running_loop().time()
        await host.terminate()
        lasted = asyncio.get_running_loop().time() - began
        await freezing
        assert host.process is not None
        assert host.process.returncode == -signal.SIGKILL
    assert host.stops[0].took is None
    assert GRACE + 0.9 < lasted < GRACE + 1.8


async def test_a_freeze_before_the_signal_gives_no_further_time() -> None:
    """Guards against a late end that an earlier freeze of the entry hides."""
    async with open_host(600) as host:
        await host.disturb("freeze", 0.8)
        began = asyncio.get_running_loop().time()
        await host.terminate()
        lasted = asyncio.get_running_loop().time() - began
    assert host.stops[0].took is None
    assert lasted < GRACE + 0.8


async def test_a_process_that_ends_late_without_a_freeze_is_killed() -> None:
    """Guards against a late end that goes unnoticed."""
    async with open_host(15) as host:
        await host.terminate()
    assert host.stops[0].took is None


@pytest.mark.parametrize(("tenths", "in_time"), [(2, True), (12, False)])
async def test_an_end_is_timed_although_the_event_loop_is_blocked(
    tenths: int, in_time: bool
) -> None:
    """Guards against an end that counts as late, or in time, as the loop is busy."""
    async with open_host(tenths) as host:
        stopping = asyncio.create_task(host.terminate())
        await asyncio.sleep(0.2)
        block_loop(GRACE + 0.5)
        await stopping
    assert (host.stops[0].took is not None) is in_time


async def restart_host(
    host: EntryHost, monkeypatch: pytest.MonkeyPatch, asked: bool
) -> None:
    """Wait until an entry is ready that ends as it starts and needs most of two limits.

    Args:
        host: The entry.
        monkeypatch: Sets the time limit of a start to 1.5 s.
        asked: Whether it is stopped again; else it ends by itself.
    """
    began = asyncio.get_running_loop().time()
    starts = []

    async def start(host: EntryHost) -> None:
        starts.append(asyncio.get_running_loop().time() - began)
        program = PROGRAM.format(tenths=0) if len(starts) == 1 else "input()"
        host.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", program),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert host.process.stdout is not None
        if len(starts) == 1:
            await host.process.stdout.readline()

    async def query_ready(address: str) -> bool:
        return len(starts) == 2 and asyncio.get_running_loop().time() >= began + 2.2

    monkeypatch.setattr(entries, "READY_TIMEOUT_SECONDS", 1.5)
    monkeypatch.setattr(entries, "query_ready", query_ready)
    monkeypatch.setattr(EntryHost, "start", start)
    await host.end()
    host.stopping = True
    waiting = asyncio.create_task(host.wait_until_ready(launch=True))
    await asyncio.sleep(1.0)
    if asked:
        await host.disturb("stop", 0.0)
    else:
        host.send_signal(signal.SIGTERM)
    await waiting


async def test_an_entry_that_is_stopped_as_it_starts_is_given_a_further_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that fail as a plan stops an entry that is not ready yet."""
    async with open_host(0) as host:
        await restart_host(host, monkeypatch, asked=True)
        assert not host.stopping


async def test_an_entry_that_ends_by_itself_as_it_starts_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries that crash as they start, again and again, unnoticed."""
    async with open_host(0) as host:
        with pytest.raises(TimeoutError):
            await restart_host(host, monkeypatch, asked=False)
