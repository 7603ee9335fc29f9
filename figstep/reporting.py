"""Periodic gauges of an entry: requests, memory, processor time and loop lag."""

import asyncio
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from mode import Service

from figstep.metrics import Metrics

# Interval between two reports of the gauges.
REPORT_INTERVAL_SECONDS = 5.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STATM = Path("/proc/self/statm")


@dataclass(frozen=True, slots=True)
class Load:
    """Numbers of requests, streams and targets of an entry at one time.

    Attributes:
        requests: Number of requests without a final answer.
        queued: Number of requests that wait for a target.
        streams: Number of open streams to callers.
        targets: Number of known targets.
        leaving: Number of known targets that accept no new work.
        configuration_offset: Offset of the document in force; -1 if there is none.
    """

    requests: int
    queued: int
    streams: int
    targets: int
    leaving: int
    configuration_offset: int


class LoadReporter(Service):
    """Service that periodically reports the gauges of one entry."""

    def __init__(self, metrics: Metrics, read_load: Callable[[], Load]) -> None:
        super().__init__()
        self._metrics = metrics
        self._read_load = read_load

    @Service.task
    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            slept_at = loop.time()
            await self.sleep(REPORT_INTERVAL_SECONDS)
            lag = max(0.0, loop.time() - slept_at - REPORT_INTERVAL_SECONDS)
            report_load(self._metrics, self._read_load(), lag)


def report_load(metrics: Metrics, load: Load, lag: float) -> None:
    """Report the current gauges of an entry.

    ``lag`` is the delay with which the event loop ran a timer, in seconds. The gauge is
    in milliseconds.
    """
    metrics.gauge("requests.open", load.requests)
    metrics.gauge("requests.queued", load.queued)
    metrics.gauge("streams.open", load.streams)
    metrics.gauge("targets.known", load.targets)
    metrics.gauge("targets.leaving", load.leaving)
    metrics.gauge("configuration.offset", load.configuration_offset)
    metrics.gauge("process.memory_bytes", read_memory())
    metrics.gauge("process.cpu_seconds", time.process_time())
    metrics.time("loop.lag", lag * 1000)


def read_memory() -> int:
    """Return the resident set size of this process, in bytes."""
    return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
