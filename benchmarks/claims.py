"""Benchmark of claimed calls at real entry processes: appends and added time.

Run as ``python -m benchmarks.claims --entries 8 --rate 80 --seconds 10``. The log
service, the plain services and the callers share the event loop of this process,
so the measured times include theirs.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles
from tempfile import TemporaryDirectory

import aiohttp

from figstep.standins.log import Faults
from tests.fleet import HEADERS, Fleet

WARM_UP_SECONDS = 3.0
"""Seconds from the start of the fleet to the start of the measurement."""


@dataclass(frozen=True, slots=True)
class Result:
    """Measurements of one kind of call under load.

    Attributes:
        answered: Number of calls answered with 200.
        failed: Number of calls answered with another status.
        p50: Median duration of the calls answered with 200, in milliseconds.
        p99: 99th percentile of these durations, in milliseconds.
        appends: Number of appends to the log, each with a batch of records.
        seconds: Time from the first call to the last answer, in seconds.
    """

    answered: int
    failed: int
    p50: float
    p99: float
    appends: int
    records: int
    seconds: float


async def apply_load(fleet: Fleet, path: str, rate: float, seconds: float) -> Result:
    """Send ``rate`` calls per second for ``seconds``, to the entries in turn.

    ``path`` is the path of the calls at the service.
    """
    urls = [entry.url for entry in fleet.entries.values()]
    times: list[float] = []
    failed = 0
    appends, records = fleet.log.appends, fleet.log.appended_records
    async with aiohttp.ClientSession(headers=HEADERS) as session:

        async def call(number: int) -> None:
            nonlocal failed
            url = urls[number % len(urls)] + "/services/planning" + path
            headers = {"Idempotency-Key": f"{path}-{started}-{number}"}
            sent_at = time.perf_counter()
            async with session.post(url, data=b"flour", headers=headers) as response:
                await response.read()
            if response.status != 200:
                failed += 1
                return
            times.append((time.perf_counter() - sent_at) * 1000)

        started = time.perf_counter()
        tasks = []
        for number in range(int(rate * seconds)):
            due = started + number / rate
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            tasks.append(asyncio.create_task(call(number)))
        await asyncio.gather(*tasks)
        elapsed = time.perf_counter() - started
    percentiles = quantiles(times, n=100)
    return Result(
        len(times),
        failed,
        percentiles[49],
        percentiles[98],
        fleet.log.appends - appends,
        fleet.log.appended_records - records,
        elapsed,
    )


async def measure(entries: int, rate: float, seconds: float, delay: int) -> None:
    """Print the append rate of an idle fleet, and compare claimed calls with others.

    Calls of ``/orders`` are claimed, and calls of ``/menus`` are not. Each measurement
    lasts ``seconds``, with ``rate`` calls per second. Every answer of the log is
    delayed by ``delay`` milliseconds.
    """
    with TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            await fleet.start(entries, 1, 0.01)
            fleet.log.faults = Faults(delay_ms=delay)
            await asyncio.sleep(WARM_UP_SECONDS)
            idle = fleet.log.appends
            await asyncio.sleep(seconds)
            print(f"idle: {(fleet.log.appends - idle) / seconds:.1f} appends/s")
            for path in ("/menus", "/orders"):
                result = await apply_load(fleet, path, rate, seconds)
                print(
                    f"{path}: {result.answered} answered, {result.failed} failed,"
                    f" p50 {result.p50:.1f} ms, p99 {result.p99:.1f} ms,"
                    f" {result.appends / result.seconds:.1f} appends/s of"
                    f" {result.records / result.seconds:.1f} records/s"
                )
        finally:
            await fleet.close()


def main() -> None:
    """Parse the arguments and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--rate", type=float, default=80.0, help="calls a second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--delay", type=int, default=0, help="log's answer, in ms")
    arguments = parser.parse_args()
    asyncio.run(
        measure(arguments.entries, arguments.rate, arguments.seconds, arguments.delay)
    )


if __name__ == "__main__":
    main()
