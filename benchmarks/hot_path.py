"""Benchmark of the hot path.

Run as ``python -m benchmarks.hot_path``. The token source, the platform
stand-ins, the measured process and the callers each run in a separate process.
For every measured process two loads run at the same time: one through the process,
and one with fewer streams directly from the token source. The state of the machine
affects both loads alike, and the added delay is the difference of the quantiles of
their delays.
"""

import argparse
import asyncio
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import psutil
import uvloop
import yaml

from figstep.bench import LoadGenerator, Report, Workload, find_quantile
from figstep.inventory import hash_key

KEY = "bench-key"
MODEL = "m"

DIRECT_STREAMS = 20
"""Number of streams that read from the token source directly."""

ENGINES = 20
"""Number of engines in the inventory; all of them are the one token source."""

MEGABYTE = 1_000_000
"""Bytes in a megabyte."""


@dataclass(slots=True)
class ChildProcess:
    """A started process and the URL that it printed."""

    process: asyncio.subprocess.Process
    url: str

    @property
    def usage(self) -> psutil.Process:
        """Resource counters of the process."""
        return psutil.Process(self.process.pid)

    def read_cpu(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        times = self.usage.cpu_times()
        return float(times.user + times.system)

    def read_memory(self) -> float:
        """Return the resident memory of the process, in megabytes."""
        return float(self.usage.memory_info().rss / MEGABYTE)


async def start(stack: AsyncExitStack, *arguments: str) -> ChildProcess:
    """Start ``python -m ARGUMENTS`` and wait for the line ``KIND URL`` that it prints.

    The process is killed when ``stack`` is closed.

    Raises:
        TimeoutError: If no line is printed within 60 seconds.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    assert process.stdout is not None

    async def end() -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    stack.push_async_callback(end)
    line = await asyncio.wait_for(process.stdout.readline(), 60)
    return ChildProcess(process, line.decode().split()[1])


def build_engine(number: int, source: ChildProcess) -> dict[str, Any]:
    """Return the inventory document of an engine whose address is the token source."""
    return {
        "name": f"source-{number}",
        "address": source.url,
        "failure_domain": "a",
        "models": [MODEL],
        "memory_tokens": 10_000_000,
        "max_running": 1_000,
    }


async def start_entry(
    stack: AsyncExitStack, source: ChildProcess, folder: Path
) -> ChildProcess:
    """Start an entry in front of engines that are all the token source.

    Raises:
        SystemExit: If the inventory cannot be published.
    """
    log = await start(stack, "figstep", "standin", "log")
    instances = await start(stack, "figstep", "standin", "instances")
    settings = {
        "node": "bench-1",
        "failure_domain": "a",
        "platform": {"log": log.url, "instances": instances.url},
        "limits": {"keep_alive_seconds": 5},
        "notice_seconds": 0,
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    entry = await start(stack, "figstep", "serve", "--settings", str(path))
    inventory = {
        "failure_domains": [{"name": "a", "region": "r"}],
        "engines": [build_engine(number, source) for number in range(ENGINES)],
        "models": [{"name": MODEL}],
        "customers": [{"name": "c", "key_hash": hash_key(KEY)}],
        # The benchmark uses streams with long gaps on purpose, so the goal is set
        # high enough that the policy does not take the engines for overloaded.
        "rules": {"gap_goal_ms": 10_000},
    }
    document = folder / "inventory.yaml"
    document.write_text(yaml.safe_dump(inventory))
    publish = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "figstep", "publish", str(document), "--log", log.url),
        *("--reason", "bench"),
        stdout=asyncio.subprocess.DEVNULL,
    )
    if await publish.wait():
        raise SystemExit("publish failed")
    await asyncio.sleep(1)
    return entry


@dataclass(frozen=True, slots=True)
class Figures:
    """Measurements of one process under one load.

    Attributes:
        through: Report of the load through the process.
        direct: Report of the load directly from the token source.
        cpu: Processor time that the process used, in seconds.
        memory: Resident memory of the process, in megabytes.
    """

    through: Report
    direct: Report
    cpu: float
    memory: float

    def list_lines(self) -> list[str]:
        """Return the measurements as lines of text."""
        seconds, tally = self.through.seconds, self.through.tally
        direct = self.direct.tally
        added = [
            find_quantile(tally.delays, share) - find_quantile(direct.delays, share)
            for share in (0.5, 0.99)
        ]
        return [
            *self.through.list_lines(),
            f"direct delay ms p50 {find_quantile(direct.delays, 0.5):.2f}"
            f" p99 {find_quantile(direct.delays, 0.99):.2f}",
            f"added delay ms p50 {added[0]:.2f} p99 {added[1]:.2f}",
            f"core {self.cpu / seconds:.3f}"
            f" us/token {self.cpu / max(1, tally.tokens) * 1e6:.1f}",
            f"resident MB {self.memory:.1f}",
        ]


async def measure_load(
    child: ChildProcess,
    source: ChildProcess,
    load: Workload,
    ramp: float,
    seconds: float,
) -> Figures:
    """Run ``load`` through ``child`` and another one directly from the source.

    The streams are started over ``ramp`` seconds, and the measurement lasts ``seconds``
    after that.
    """
    direct_load = Workload(source.url, "", MODEL, DIRECT_STREAMS, load.tokens, 50.0)
    through, direct = LoadGenerator(load), LoadGenerator(direct_load)
    await asyncio.gather(through.start(ramp), direct.start(ramp))
    through.tally.clear()
    direct.tally.clear()
    cpu = child.read_cpu()
    await asyncio.sleep(seconds)
    cpu = child.read_cpu() - cpu
    memory = child.read_memory()
    figures = Figures(
        Report(seconds, through.tally), Report(seconds, direct.tally), cpu, memory
    )
    await asyncio.gather(through.stop(), direct.stop())
    return figures


def print_figures(title: str, lines: list[str]) -> None:
    """Print the lines of one measurement under a title."""
    print(f"\n{title}")
    for line in lines:
        print(f"  {line}", flush=True)


async def measure_requests(
    child: ChildProcess, source: ChildProcess, seconds: float
) -> None:
    """Measure and print the processor time per request, with answers of one token."""
    load = Workload(child.url, KEY, MODEL, 20, 1, 50.0)
    figures = await measure_load(child, source, load, 1.0, seconds)
    tally = figures.through.tally
    cost = figures.cpu / max(1, tally.requests)
    rate = tally.requests / seconds
    print_figures(
        "short answers", [f"requests/s {rate:.0f}", f"us/request {cost * 1e6:.0f}"]
    )


async def count_open(child: ChildProcess) -> int:
    """Return the number of open requests that an entry reports."""
    async with aiohttp.ClientSession() as session:
        async with session.get(child.url + "/status") as response:
            return int((await response.json())["requests"])


async def measure_memory(child: ChildProcess, counts: list[int]) -> None:
    """Measure and print the memory and processor time by number of open streams.

    Each stream receives four tokens per second.
    """
    lines = [f"streams 0 resident MB {child.read_memory():.1f}"]
    for count in counts:
        generator = LoadGenerator(Workload(child.url, KEY, MODEL, count, 240, 250.0))
        await generator.start(count / 150)
        await asyncio.sleep(4)
        memory, cpu = child.read_memory(), child.read_cpu()
        await asyncio.sleep(4)
        core = (child.read_cpu() - cpu) / 4
        opened = await count_open(child)
        lines.append(
            f"streams {count} open {opened} resident MB {memory:.1f}"
            f" core {core:.3f} failures {dict(generator.tally.failures)}"
        )
        await generator.stop()
        await asyncio.sleep(1)
    print_figures("memory by open streams", lines)


async def run(options: argparse.Namespace) -> None:
    """Run the chosen measurements one after the other."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        source = await start(stack, "figstep", "standin", "source")
        seconds, ramp = options.seconds, options.ramp
        for name in options.measured:
            if name == "entry":
                child = await start_entry(stack, source, folder)
            else:
                loop = name.partition("-")[2]
                child = await start(stack, "benchmarks.passthrough", source.url, loop)
            if options.memory:
                await measure_memory(child, [100, 500, 1000])
                continue
            load = Workload(child.url, KEY, MODEL, 190, 253, 50.0)
            figures = await measure_load(child, source, load, ramp, seconds)
            print_figures(f"{name}: 190 streams of 253 tokens", figures.list_lines())
            if options.short:
                continue
            if name == "entry":
                await measure_requests(child, source, seconds / 2)
            load = Workload(child.url, KEY, MODEL, 190, 4000, 5.0)
            figures = await measure_load(child, source, load, 2.0, seconds / 2)
            print_figures(f"{name}: saturated", figures.list_lines())
            if name == "entry":
                await asyncio.sleep(1)
                await measure_memory(child, [100, 500, 1000])


def main() -> None:
    """Parse the options and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--ramp", type=float, default=12.65)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--memory", action="store_true", help="memory only")
    parser.add_argument(
        "measured",
        nargs="*",
        default=["entry", "passthrough-uvloop", "passthrough-asyncio"],
    )
    uvloop.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
