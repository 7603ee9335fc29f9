"""Entries as processes that are killed, stopped, frozen and started again."""

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

from tests.platform.processes import query_ready, start_entry
from tests.platform.runs import read_clock

RESTART_DELAY = 0.3
"""Time between the end of an entry and its next start, in seconds."""

READY_TIMEOUT_SECONDS = 20.0
"""Time limit of the start of an entry, also while the store is unavailable."""


@dataclass(slots=True)
class EntryEndpoint:
    """Address, number of restarts and readiness of an entry, as callers know them."""

    entry: int
    address: str
    incarnation: int = 0
    ready: bool = True


@dataclass(frozen=True, slots=True)
class Stop:
    """Graceful stop of an entry.

    Attributes:
        at: Time at which SIGTERM was sent.
        took: Seconds until the process ended; None if it was killed after its
            grace time.
    """

    entry: int
    incarnation: int
    at: float
    took: float | None


@dataclass(slots=True, kw_only=True)
class EntryHost:
    """Entry instance with its process and its settings.

    Attributes:
        ready: Address of its readiness check, as "ip:port".
        grace: Time from SIGTERM until it is killed, in seconds.
        stops: Graceful stops of all entries.
        stopping: Whether the entry was stopped or killed and is not ready again.
        starting: Whether the entry has not been ready since its start.
    """

    number: int
    ready: str
    endpoint: EntryEndpoint
    settings: Path
    log: Path
    grace: float
    stops: list[Stop]
    process: asyncio.subprocess.Process | None = None
    stopping: bool = False
    starting: bool = True

    async def start(self) -> None:
        """Start the process and append its output to the log."""
        self.process = await start_entry(self.settings, self.log)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def disturb(self, action: str, seconds: float) -> None:
        """Kill, stop, freeze or reload the entry; return once it is ready again."""
        match action:
            case "kill" if self.stopping:
                # The task that stops or restarts the entry handles the end.
                self.send_signal(signal.SIGKILL)
            case "stop" if self.stopping:
                self.send_signal(signal.SIGTERM)
            case "kill":
                self.stopping = True
                self.send_signal(signal.SIGKILL)
                await self._restart()
            case "stop":
                await self._stop()
            case "freeze":
                self.send_signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                self.send_signal(signal.SIGCONT)
            case "reload":
                text = self.settings.read_text()
                self.settings.write_text(text + f"# {read_clock()}\n")
                if not self.starting:
                    # SIGHUP ends a process that has not installed its handlers yet.
                    self.send_signal(signal.SIGHUP)

    async def _stop(self) -> None:
        assert self.process is not None
        self.stopping = True
        asked = read_clock()
        incarnation = self.endpoint.incarnation
        self.send_signal(signal.SIGTERM)
        took: float | None = None
        try:
            async with asyncio.timeout(self.grace):
                await self.process.wait()
            took = read_clock() - asked
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
        self.stops.append(Stop(self.number, incarnation, asked, took))
        await self._restart()

    async def _restart(self) -> None:
        assert self.process is not None
        await self.process.wait()
        await asyncio.sleep(RESTART_DELAY)
        text = self.settings.read_text()
        self.settings.write_text(text.replace("bootstrap = true", "bootstrap = false"))
        await self.wait_until_ready(launch=True)

    async def wait_until_ready(self, launch: bool) -> None:
        """Wait until the entry is ready, and start it before if ``launch``."""
        self.starting = True
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            if launch:
                self.endpoint.incarnation += 1
                await self.start()
            while not await query_ready(self.ready):
                if self.process is not None and self.process.returncode is not None:
                    self.endpoint.incarnation += 1
                    await self.start()
                await asyncio.sleep(0.1)
        self.starting = False
        self.stopping = False

    async def end(self) -> None:
        """Kill the process, also if it is frozen."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
