"""Benchmark of an entry: parallel streams, their throughput and delays.

The token source stand-in adds ``sent_ns`` to its events: the monotonic time in
nanoseconds at which it wrote them. If events carry it, the delay to the caller is
measured too, which requires that the target runs on the same machine.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import orjson

from figstep.errors import FigstepError

PATH = "/v1/completions"
_SENT_FIELD = b'"sent_ns":'


class BenchmarkError(FigstepError):
    """A benchmark received no events, so it has nothing to report."""


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of a benchmark.

    Attributes:
        url: Base URL of an entry or of a target.
        key: Key of the customer.
        streams: Number of parallel streams.
        tokens: Length of each answer, in tokens.
        gap: Time between two tokens that is requested from a token source, in
            milliseconds.
    """

    url: str
    key: str
    model: str
    streams: int
    tokens: int
    gap: float


@dataclass(slots=True)
class Tally:
    """Results that the callers of a workload collect.

    Attributes:
        tokens: Number of token events received.
        requests: Number of complete answers.
        failures: Number of incomplete answers by reason.
        first: Time from sending each request to the first bytes of its answer, in
            milliseconds.
        delays: Time from the target's write of each event with ``sent_ns`` to the
            caller's read, in milliseconds.
    """

    tokens: int = 0
    requests: int = 0
    failures: Counter[str] = field(default_factory=Counter)
    first: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)

    def clear(self) -> None:
        """Reset all results."""
        self.tokens = self.requests = 0
        self.failures.clear()
        self.first.clear()
        self.delays.clear()


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile of values in any order; 0 for no values.

    ``share`` is the fraction of the values below the quantile, from 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class LoadGenerator:
    """Keeps the streams of a workload open; a stream that ends is replaced.

    After an incomplete answer, the next request is sent 0.5 seconds later.
    """

    def __init__(self, workload: Workload) -> None:
        self.workload = workload
        self.tally = Tally()
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession | None = None

    async def start(self, ramp: float) -> None:
        """Open the streams, spread evenly over ``ramp`` seconds."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        for _ in range(self.workload.streams):
            self._tasks.append(asyncio.create_task(self._repeat(self._session)))
            await asyncio.sleep(ramp / self.workload.streams)

    async def stop(self) -> None:
        """Close all streams and the HTTP session."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _repeat(self, session: aiohttp.ClientSession) -> None:
        while True:
            try:
                failure = await self._read_answer(session)
            except (aiohttp.ClientError, TimeoutError) as error:
                failure = type(error).__name__
            if not failure:
                self.tally.requests += 1
                continue
            self.tally.failures[failure] += 1
            await asyncio.sleep(0.5)

    async def _read_answer(self, session: aiohttp.ClientSession) -> str:
        """Read one answer; return why it was incomplete, or ""."""
        load = self.workload
        body = {
            "model": load.model,
            "prompt": "menu",
            "stream": True,
            "max_tokens": load.tokens,
            "gap_ms": load.gap,
        }
        headers = {"Authorization": f"Bearer {load.key}"}
        sent_at = time.monotonic()
        async with session.post(
            load.url + PATH, data=orjson.dumps(body), headers=headers
        ) as response:
            if response.status != 200:
                return f"{response.status} {(await response.text())[:200]}"
            remainder, first = b"", True
            async for chunk in response.content.iter_any():
                if first:
                    self.tally.first.append((time.monotonic() - sent_at) * 1000)
                    first = False
                remainder = self._handle_chunk(remainder + chunk)
            return "" if remainder.startswith(b"data: [DONE]") else "truncated"

    def _handle_chunk(self, data: bytes) -> bytes:
        now = time.monotonic_ns()
        *frames, remainder = data.split(b"\n\n")
        for frame in frames:
            position = frame.rfind(_SENT_FIELD)
            if position >= 0:
                sent = int(frame[position + len(_SENT_FIELD) : -1])
                self.tally.delays.append((now - sent) / 1e6)
            if frame.startswith(b"id: "):
                self.tally.tokens += 1
            if frame.startswith(b"data: [DONE]"):
                return frame
        return remainder


@dataclass(frozen=True, slots=True)
class Report:
    """Results of a workload and the duration of its measurement, in seconds."""

    seconds: float
    tally: Tally

    def list_lines(self) -> list[str]:
        """Return the results as lines of text."""
        tally = self.tally
        return [
            f"tokens/s {tally.tokens / self.seconds:.0f}",
            f"requests/s {tally.requests / self.seconds:.1f}",
            f"failures {dict(tally.failures)}",
            f"first event ms p50 {find_quantile(tally.first, 0.5):.2f}"
            f" p99 {find_quantile(tally.first, 0.99):.2f}",
            f"delay ms p50 {find_quantile(tally.delays, 0.5):.2f}"
            f" p99 {find_quantile(tally.delays, 0.99):.2f}",
        ]


async def measure(workload: Workload, warm_up: float, seconds: float) -> Report:
    """Run a workload and return its results.

    The streams are opened over ``warm_up`` seconds, which are not measured. The
    measurement lasts ``seconds`` after that.

    Raises:
        BenchmarkError: If no token was received.
    """
    generator = LoadGenerator(workload)
    await generator.start(warm_up)
    generator.tally.clear()
    await asyncio.sleep(seconds)
    tally = generator.tally
    await generator.stop()
    if not tally.tokens:
        raise BenchmarkError(
            f"no token came from {workload.url}; check address, key and model"
        )
    return Report(seconds, tally)
