"""Entries as processes that are killed, stopped, frozen and started again."""

import asyncio
import os
import signal
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from tests.platform.processes import query_ready, start_entry
from tests.platform.runs import read_clock

STOP_POLL_SECONDS = 0.05
"""Interval in seconds at which the time that a stop has left is worked out again."""

RESTART_DELAY = 0.3
"""Time between the end of an entry and its next start, in seconds."""

READY_TIMEOUT_SECONDS = 20.0
"""Time limit of the start of an entry, also while the store is unavailable."""


@dataclass(slots=True)
class EntryEndpoint:
    """Address, number of restarts and readiness of an entry, as callers know them.

    Attributes:
        sought: Whether returning callers mostly come to it.
    """

    entry: int
    address: str
    incarnation: int = 0
    ready: bool = True
    sought: bool = False


@dataclass(frozen=True, slots=True)
class Stop:
    """Graceful stop of an entry.

    Attributes:
        at: Time at which SIGTERM was sent.
        took: Seconds until the process ended; None if it had not ended by itself when
            it had run for its grace time.
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
        grace: Time from SIGTERM until it is killed, in seconds, without the time for
            which it is frozen meanwhile.
        stops: Graceful stops of all entries.
        program: Module that runs as its process.
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
    program: str = "figstep.platform"
    process: asyncio.subprocess.Process | None = None
    stopping: bool = False
    starting: bool = True
    _frozen_since: float | None = None
    _frozen_seconds: float = 0.0
    _ended_again: bool = False

    async def start(self) -> None:
        """Start the process and append its output to the log."""
        self.process = await start_entry(self.settings, self.log, self.program)
        self._note_continued()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def disturb(self, action: str, seconds: float) -> None:
        """Kill, stop, freeze or reload the entry; return once it is ready again."""
        match action:
            case "kill" if self.stopping:
                # The task that stops or restarts the entry handles the end.
                self._end_again(signal.SIGKILL)
            case "stop" if self.stopping:
                self._end_again(signal.SIGTERM)
            case "kill":
                self.stopping = True
                self.send_signal(signal.SIGKILL)
                await self._restart()
            case "stop":
                await self._stop()
            case "freeze":
                self.send_signal(signal.SIGSTOP)
                if self._frozen_since is None:
                    self._frozen_since = read_clock()
                await asyncio.sleep(seconds)
                self.send_signal(signal.SIGCONT)
                self._note_continued()
            case "reload":
                text = self.settings.read_text()
                self.settings.write_text(text + f"# {read_clock()}\n")
                if not self.starting:
                    # SIGHUP ends a process that has not installed its handlers yet.
                    self.send_signal(signal.SIGHUP)

    def _end_again(self, number: int) -> None:
        self._ended_again = True
        self.send_signal(number)

    def _note_continued(self) -> None:
        self._frozen_seconds = self._measure_frozen()
        self._frozen_since = None

    def _measure_frozen(self) -> float:
        """Return the seconds for which processes of the entry were frozen so far."""
        if self._frozen_since is None:
            return self._frozen_seconds
        return self._frozen_seconds + read_clock() - self._frozen_since

    async def _stop(self) -> None:
        self.stopping = True
        await self.terminate()
        await self._restart()

    async def terminate(self) -> None:
        """Send SIGTERM, kill the process once its grace time is over, and record both.

        A frozen process can't end by itself: it gets the time for which it was frozen
        after the signal in addition. The end is timed by a thread, as the event loop
        may notice it late on a busy machine.
        """
        assert self.process is not None
        asked = read_clock()
        frozen_before = self._measure_frozen()
        incarnation = self.endpoint.incarnation
        self.send_signal(signal.SIGTERM)
        with ThreadPoolExecutor(max_workers=1) as executor:
            end = asyncio.wrap_future(executor.submit(_time_end, self.process.pid))
            allowed = self.grace
            while not end.done() and read_clock() - asked < allowed:
                await asyncio.wait({end}, timeout=STOP_POLL_SECONDS)
                allowed = self.grace + self._measure_frozen() - frozen_before
            if not end.done():
                self.send_signal(signal.SIGKILL)
            took = await end - asked
        await self.process.wait()
        in_time = took if took <= allowed else None
        self.stops.append(Stop(self.number, incarnation, asked, in_time))

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
        self._ended_again = False
        async with asyncio.timeout(READY_TIMEOUT_SECONDS) as limit:
            if launch:
                self.endpoint.incarnation += 1
                await self.start()
            while not await query_ready(self.ready):
                if self.process is not None and self.process.returncode is not None:
                    if self._ended_again:
                        # Its end was asked for, and the next start takes as long.
                        self._ended_again = False
                        now = asyncio.get_running_loop().time()
                        limit.reschedule(now + READY_TIMEOUT_SECONDS)
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


def _time_end(process: int) -> float:
    """Wait in a thread until a child process ends; return the time."""
    with suppress(ChildProcessError):  # the event loop was faster
        os.waitid(os.P_PID, process, os.WEXITED | os.WNOWAIT)
    return read_clock()
