"""Callers of a deployment, which come back at once at another entry."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp

from figstep.net.sessions import send_once
from tests.deployments.shapes import MAX_EVENTS, USUAL, Options, Shape, draw_length
from tests.faults.records import STREAMS, Attempt, Kind, Record
from tests.framing import draw_share
from tests.platform.entries import EntryEndpoint
from tests.platform.memory import draw_sizes
from tests.platform.runs import read_clock
from tests.platform.standins import KEY, ROUTE_HOST
from tests.platform.targets import EVENT_BYTES

TIME_LIMITS = {Kind.PLAN: 39.0, Kind.RESUME: 6.0, Kind.ORDER: 3.0, Kind.LOOKUP: 3.0}
"""Time for which a caller waits in seconds, also sent as Deadline-Ms."""

THINGS = 200
"""Number of different calls of each kind, which their paths name."""

MAX_TRIES = 4
"""Maximum number of attempts of a caller."""

LEAVE_SHARES = {Kind.PLAN: 0.06, Kind.RESUME: 0.5, Kind.ORDER: 0.03, Kind.LOOKUP: 0.03}
"""Probability that a caller leaves an attempt if it is open after a random time."""

LEAVE_RANGES = {Kind.PLAN: (0.1, 10.0), Kind.RESUME: (0.03, 0.5)}
"""Shortest and longest of these times, in seconds; calls have those of short streams.
"""

SOUGHT_SHARE = 0.7
"""Probability that a returning caller comes to a sought entry, if there is one."""

OVERLAP_SECONDS = 1.0
"""Time for which an attempt stays open beside the one that takes its stream up, at
most, in seconds."""

MAX_PAUSE_SHARE = 1 / 3
"""Longest pause before a refused request is sent again, as a share of what is left."""

PROMISES = (408, 421, 429, 503)
"""Statuses after which also an unsafe request may be sent again."""

PROMPT_TOKENS = {Kind.PLAN: 3_079, Kind.RESUME: 2_550}
"""Tokens of prompts."""

DEADLINE_RANGE = (0.3, 4.0)
"""Shortest and longest Deadline-Ms of streams with short deadlines, in seconds."""

SLOW_PIECE_BYTES = 4_096
"""Largest number of bytes that a slow caller reads at once."""

SLOW_PAUSE = 0.06
"""Mean pause of a slow caller between two of these, in seconds."""

SLOW_BUFFER_BYTES = 4_096
"""Receive buffer of a slow caller, which the system doubles."""

SLOW_EVENT_BYTES = 4_000
"""Smallest size of events for slow callers, as whole streams of small ones would fit
into the buffers of an entry."""


@dataclass(slots=True)
class Chain:
    """What a caller wants, over all its attempts."""

    kind: Kind
    length: int
    path: str
    parts: str
    due: float
    first: str = ""
    received: int = 0


@dataclass(slots=True)
class Callers:
    """Generator of requests to all entries."""

    record: Record
    rng: random.Random
    endpoints: list[EntryEndpoint]
    shape: Shape
    returns: float = 1.0
    options: Options = USUAL
    _sessions: dict[tuple[int, bool], aiohttp.ClientSession] = field(
        default_factory=dict
    )
    _calls: set[asyncio.Task[None]] = field(default_factory=set)
    _count: int = 0

    async def run(self, stop_event: asyncio.Event, patience: float) -> None:
        """Send requests until an event is set, and wait a while for the answers."""
        for endpoint in self.endpoints:
            for is_slow in (False, True):
                self._sessions[endpoint.entry, is_slow] = open_session(is_slow)
        senders = [
            asyncio.create_task(self._send(kind, rate, stop_event))
            for kind, rate in self.shape.rates.items()
        ]
        try:
            await asyncio.gather(*senders)
            if self._calls:
                await asyncio.wait(self._calls, timeout=patience)
        finally:
            self.record.begin_disturbance("end of the run")
            for task in [*senders, *self._calls]:
                task.cancel()
            await asyncio.gather(*senders, *self._calls, return_exceptions=True)
            for session in self._sessions.values():
                await session.close()

    async def _send(self, kind: Kind, rate: float, stop_event: asyncio.Event) -> None:
        rng = random.Random(f"{self.rng.random()} {kind.value}")
        if kind is Kind.RESUME:
            rate *= self.returns
        while not stop_event.is_set():
            task = asyncio.create_task(self._pursue(self._draw(rng, kind), rng))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(rng.expovariate(rate))

    def _draw(self, rng: random.Random, kind: Kind) -> Chain:
        length = draw_length(rng, kind) if kind in STREAMS else 0
        shared = f"a{rng.randrange(8):x}:79,b{rng.randrange(120):x}:150"
        last = rng.getrandbits(32)
        if self.options.sessions:
            last %= self.options.sessions
        parts = f"{shared},{last:x}:2000"
        due = read_clock() + TIME_LIMITS[kind]
        name = length or rng.randrange(THINGS)
        return Chain(kind, length, f"/{kind.value}/{name}", parts, due)

    async def _pursue(self, chain: Chain, rng: random.Random) -> None:
        """Send a request, and again as long as its caller may and wants to."""
        entry = -1
        for _ in range(MAX_TRIES):
            endpoint = self._choose_endpoint(rng, entry)
            entry = endpoint.entry
            attempt = self._add_attempt(endpoint, chain)
            leaves = None
            if rng.random() < LEAVE_SHARES[chain.kind]:
                span = LEAVE_RANGES.get(chain.kind, LEAVE_RANGES[Kind.RESUME])
                leaves = rng.uniform(*span)
            pause = await self._attempt(endpoint, attempt, chain, rng, leaves)
            if chain.kind is Kind.RESUME:
                chain.received += attempt.body.count(b"\n\n")
                if chain.received:
                    chain.first = chain.first or attempt.id
            if attempt.whole and attempt.status not in PROMISES:
                return
            refused = attempt.whole and attempt.status in PROMISES
            if not refused and chain.kind not in (Kind.RESUME, Kind.LOOKUP):
                return
            if read_clock() + pause >= chain.due:
                return
            if refused:
                await asyncio.sleep(pause)

    def _choose_endpoint(self, rng: random.Random, before: int) -> EntryEndpoint:
        others = [one for one in self.endpoints if one.entry != before]
        sought = [one for one in others if one.sought]
        if sought and before >= 0 and rng.random() < SOUGHT_SHARE:
            return rng.choice(sought)
        return rng.choice([one for one in others if one.ready] or others)

    def _add_attempt(self, endpoint: EntryEndpoint, chain: Chain) -> Attempt:
        self._count += 1
        attempt = Attempt(
            f"r{self._count}",
            chain.kind,
            endpoint.entry,
            endpoint.incarnation,
            chain.path,
            KEY,
            read_clock(),
        )
        attempt.length = chain.length
        attempt.resumes, attempt.after = chain.first, chain.received
        self.record.attempts.append(attempt)
        return attempt

    async def _attempt(
        self,
        endpoint: EntryEndpoint,
        attempt: Attempt,
        chain: Chain,
        rng: random.Random,
        leaves: float | None,
    ) -> float:
        """Make an attempt; return the pause in seconds that a refusal asks for."""
        call = asyncio.create_task(self._call(endpoint, attempt, chain, rng))
        left = chain.due - read_clock()
        try:
            timeout = left if leaves is None else min(leaves, left)
            await asyncio.wait({call}, timeout=timeout)
        finally:
            if not call.done() and self.options.overlaps and leaves is not None:
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
                later = asyncio.create_task(self._end_later(call, attempt))
                self._calls.add(later)
                later.add_done_callback(self._calls.discard)
            else:
                await self._end_call(call, attempt)
        pause = call.result() if call.done() and not call.cancelled() else 0.0
        return min(pause, MAX_PAUSE_SHARE * max(0.0, chain.due - read_clock()))

    async def _end_call(self, call: asyncio.Task[float], attempt: Attempt) -> None:
        if not call.done():
            call.cancel()
            await asyncio.wait({call})
            attempt.disconnected = not attempt.whole
        attempt.ended = read_clock()

    async def _end_later(self, call: asyncio.Task[float], attempt: Attempt) -> None:
        """Leave an attempt open beside the one that takes its stream up."""
        try:
            await asyncio.wait({call}, timeout=OVERLAP_SECONDS)
        finally:
            await self._end_call(call, attempt)

    async def _call(
        self,
        endpoint: EntryEndpoint,
        attempt: Attempt,
        chain: Chain,
        rng: random.Random,
    ) -> float:
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": attempt.id,
            "Credential": KEY,
            "Deadline-Ms": str(self._find_deadline(attempt, chain)),
        }
        method, body = "GET", None
        if chain.kind in STREAMS:
            headers["Model"] = "m"
            prompt, output = PROMPT_TOKENS[chain.kind], 4 * MAX_EVENTS[chain.kind]
            mean = self.options.event_tokens
            tokens = sum(draw_sizes(chain.path, chain.length, mean))
            if self.options.true_maximum:
                output = tokens
            headers["Token-Count"] = f"{prompt},{output}"
            hint = tokens * rng.lognormvariate(0.0, 0.6)
            headers["Length-Hint"] = str(max(1, min(output, round(hint))))
            headers["Prefix-Hash"] = chain.parts
        is_slow = self._is_slow(chain)
        if is_slow:
            headers[EVENT_BYTES] = str(SLOW_EVENT_BYTES)
        if chain.kind is not Kind.LOOKUP:
            method, body = "POST", b"flour" * 120
        if chain.first:
            if self.options.named_returns:
                headers["Resumes"] = chain.first
            after = chain.received + self.options.first_id - 1
            headers["Last-Event-Id"] = str(after)
        url = f"http://{endpoint.address}{chain.path}"
        try:
            async with self._sessions[endpoint.entry, is_slow].request(
                method, url, data=body, headers=headers
            ) as response:
                attempt.status = response.status
                attempt.stamp = response.headers.get("Server-Stamp", "")
                pieces = response.content.iter_any()
                if is_slow:
                    pieces = read_slowly(response.content)
                async for piece in pieces:
                    attempt.body += piece
                attempt.whole = True
                return float(response.headers.get("Retry-After", "0"))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.error = type(error).__name__
        return 0.0

    def _find_deadline(self, attempt: Attempt, chain: Chain) -> int:
        left = chain.due - read_clock()
        if self.options.deadlines and chain.kind in STREAMS:
            shortest, longest = DEADLINE_RANGE
            share = draw_share(f"{attempt.id} deadline")
            left = min(left, shortest + share * (longest - shortest))
        return max(1, int(left * 1000))

    def _is_slow(self, chain: Chain) -> bool:
        share = self.options.slow_share if chain.kind in STREAMS else 0.0
        return draw_share(f"{chain.parts} slow") < share


def open_session(is_slow: bool) -> aiohttp.ClientSession:
    """Return a session of callers; those of slow ones buffer little."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=30,
            socket_factory=_open_small_socket if is_slow else None,
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        auto_decompress=False,
        middlewares=(send_once,),
        read_bufsize=SLOW_PIECE_BYTES if is_slow else 1 << 16,
    )


def _open_small_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    return opened


async def read_slowly(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Read a body in small pieces, with pauses between them."""
    while piece := await content.read(SLOW_PIECE_BYTES):
        yield piece
        await asyncio.sleep(random.uniform(0, 2 * SLOW_PAUSE))
