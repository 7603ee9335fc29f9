"""Load generator for live entries, from a YAML scenario with a fixed seed."""

import asyncio
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from figstep.errors import SettingsError
from figstep.measures import StreamTimes, Summary, summarize_streams
from figstep.net.frames import FrameSplitter
from figstep.settings import describe_errors, load_yaml

# Number of characters that a prompt gets for each of its tokens.
CHARACTERS_PER_TOKEN = 4


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LoadCustomer(_Model):
    """A customer that sends requests.

    Attributes:
        key: Key that authenticates its requests.
        weight: Relative share of all requests that this customer sends.
    """

    name: str
    key: str
    weight: float = Field(default=1.0, gt=0)


class Lengths(_Model):
    """Distribution of answer lengths: short answers and a heavy tail of long ones.

    Short lengths are exponentially distributed, long ones log-normally.

    Stand-in engines read the drawn length from the request body. A real engine
    ignores it and decides the length itself.

    Attributes:
        short_part: Fraction of short answers, from 0 to 1.
        short_mean: Mean length of short answers, in tokens.
        long_median: Median length of long answers, in tokens.
        long_sigma: Standard deviation of the logarithm of long lengths.
        most: Maximum length of an answer, in tokens.
    """

    short_part: float = Field(default=0.7, ge=0, le=1)
    short_mean: float = Field(default=25, gt=0)
    long_median: float = Field(default=300, gt=0)
    long_sigma: float = Field(default=0.8, gt=0)
    most: int = Field(default=4_000, gt=0)


class Scenario(_Model):
    """Load scenario.

    Attributes:
        entries: Base URLs of the entries, used in turn by successive requests.
        seconds: Duration for which requests are sent, in seconds.
        rate: Mean number of requests per second (Poisson arrivals).
        seed: Seed of arrivals, customers and the lengths of prompts and answers.
        prompt_tokens: Mean length of a prompt, in tokens.
        returns: Maximum number of reconnects of a caller whose stream broke.
        timeout_seconds: Maximum duration of one connection, after which the caller
            abandons it, in seconds.
    """

    entries: tuple[str, ...] = Field(min_length=1)
    model: str
    customers: tuple[LoadCustomer, ...] = Field(min_length=1)
    seconds: float = Field(default=10, gt=0, le=3_600)
    rate: float = Field(default=5, gt=0, le=10_000)
    seed: int = 1
    prompt_tokens: float = Field(default=100, gt=0)
    lengths: Lengths = Lengths()
    returns: int = Field(default=3, ge=0)
    timeout_seconds: float = Field(default=300, gt=0)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a scenario.

    Attributes:
        at: Time at which the request is sent, in seconds from the start.
        length: Length of the answer, in tokens.
    """

    at: float
    customer: LoadCustomer
    prompt_tokens: int
    length: int


def load_scenario(path: Path) -> Scenario:
    """Read and validate a scenario.

    Raises:
        SettingsError: The file cannot be read or is not valid. The message names
            the file, each invalid field and its correction.
    """
    try:
        return Scenario.model_validate(load_yaml(path))
    except ValidationError as error:
        raise SettingsError(f"{path}: " + "; ".join(describe_errors(error))) from error


def draw_arrivals(scenario: Scenario) -> list[Arrival]:
    """Draw the requests of a scenario; the same seed gives the same requests."""
    rng = random.Random(scenario.seed)
    weights = [customer.weight for customer in scenario.customers]
    arrivals = []
    at = rng.expovariate(scenario.rate)
    while at < scenario.seconds:
        customer = rng.choices(scenario.customers, weights)[0]
        prompt = 1 + int(rng.expovariate(1 / scenario.prompt_tokens))
        length = _draw_length(scenario.lengths, rng)
        arrivals.append(Arrival(at, customer, prompt, length))
        at += rng.expovariate(scenario.rate)
    return arrivals


def _draw_length(lengths: Lengths, rng: random.Random) -> int:
    if rng.random() < lengths.short_part:
        drawn = rng.expovariate(1 / lengths.short_mean)
    else:
        drawn = lengths.long_median * rng.lognormvariate(0, lengths.long_sigma)
    return max(1, min(lengths.most, int(drawn)))


class LoadRun:
    """Sends the requests of a scenario and records when their events arrive.

    Attributes:
        streams: Timestamps of each request, in the order of sending.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._session: aiohttp.ClientSession | None = None
        self.streams: list[StreamTimes] = []

    async def run(self) -> Summary:
        """Send each request at its time, wait for all of them, return the measures."""
        timeout = aiohttp.ClientTimeout(total=self._scenario.timeout_seconds)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as self._session:
            started = time.monotonic()
            callers = []
            for number, arrival in enumerate(draw_arrivals(self._scenario)):
                await asyncio.sleep(max(0.0, started + arrival.at - time.monotonic()))
                callers.append(asyncio.create_task(self._call(number, arrival)))
            await asyncio.gather(*callers)
        return summarize_streams(self.streams)

    async def _call(self, number: int, arrival: Arrival) -> None:
        stream = StreamTimes(arrival.customer.name, _read_millis())
        self.streams.append(stream)
        last_event = ""
        for attempt in range(1 + self._scenario.returns):
            entries = self._scenario.entries
            entry = entries[(number + attempt) % len(entries)]
            last_event = await self._read_stream(entry, arrival, stream, last_event)
            if stream.whole or stream.refused:
                break
        stream.ended = _read_millis()

    async def _read_stream(
        self, entry: str, arrival: Arrival, stream: StreamTimes, last_event: str
    ) -> str:
        """Read a stream until it ends or breaks; return the id of the last event.

        If no event is read, ``last_event`` is returned unchanged.
        """
        assert self._session is not None
        headers = {"Authorization": f"Bearer {arrival.customer.key}"}
        if last_event:
            headers["Last-Event-ID"] = last_event
        body = {
            "model": self._scenario.model,
            "stream": True,
            "prompt": "x" * (CHARACTERS_PER_TOKEN * arrival.prompt_tokens),
            "standin_length": arrival.length,
        }
        try:
            async with self._session.post(
                entry + "/v1/completions", json=body, headers=headers
            ) as response:
                if response.status != 200:
                    stream.refused = _read_code(await response.read())
                    return last_event
                return await self._read_events(response, stream, last_event)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return last_event

    async def _read_events(
        self, response: aiohttp.ClientResponse, stream: StreamTimes, last_event: str
    ) -> str:
        splitter = FrameSplitter()
        try:
            async for chunk in response.content.iter_any():
                at = _read_millis()
                for run in splitter.feed(chunk):
                    stream.tokens += [at] * len(run.frames)
                    index = run.first + len(run.frames) - 1
                    last_event = f"{run.generation}:{index}"
                if b"event: error" in chunk:
                    stream.refused = "ended_with_problem"
                    return last_event
        except (aiohttp.ClientError, TimeoutError, OSError):
            return last_event
        stream.whole = splitter.ended
        return last_event


def _read_millis() -> float:
    return time.monotonic() * 1_000


def _read_code(body: bytes) -> str:
    try:
        return str(orjson.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "unreadable_problem"


def format_summary(summary: Summary) -> str:
    """Return the measures as a text table with one measure per line."""
    lines = []
    for name, value in asdict(summary).items():
        shown = f"{value:.1f}" if isinstance(value, float) else str(value)
        lines.append(f"{name.replace('_', ' '):<16} {shown:>12}")
    return "\n".join(lines)


def write_results(path: Path, label: str, summary: Summary) -> None:
    """Write the measures to a JSON file, with the label that plots show."""
    document: dict[str, Any] = {"label": label, **asdict(summary)}
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
