"""Periodic gauges of one entry: requests, memory, processor time, loop lag."""

import asyncio
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from mode import Service

from figstep.metrics import Metrics

REPORT_INTERVAL_SECONDS = 5.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STATM = Path("/proc/self/statm")


@dataclass(frozen=True, slots=True)
class Load:
    """What an entry holds at a moment.

    Attributes:
        requests: Requests without a final answer.
        queued: Those that wait for a target.
        streams: Open streams towards callers.
        targets: Known targets.
        leaving: Targets that take no new work.
        configuration_offset: Offset of the document in force; -1 for none.
    """

    requests: int
    queued: int
    streams: int
    targets: int
    leaving: int
    configuration_offset: int


class LoadReporter(Service):
    """Sends the gauges of one entry."""

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
    """Send the gauges of one moment.

    Args:
        metrics: Where they go.
        load: What the entry holds.
        lag: How late the loop ran a timer, in seconds.
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
    """Return the resident memory of this process, in bytes."""
    return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
