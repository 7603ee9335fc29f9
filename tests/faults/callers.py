"""Callers of the fault soak: steady traffic of all kinds, with forged headers."""

import asyncio
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from figstep.net.sessions import send_once
from tests.faults.records import (
    CRASHING,
    EVENTS,
    STREAMS,
    Attempt,
    Kind,
    Record,
)
from tests.platform.entries import EntryEndpoint
from tests.platform.runs import read_clock
from tests.platform.standins import ROUTE_HOST
from tests.platform.targets import FORGED, SYSTEM_ONLY_HEADERS

MEAN_REQUEST_INTERVAL = 0.07
"""Mean time in seconds between two requests of all callers together."""

LARGE_SITE_REQUEST_INTERVAL = 0.014
"""Mean time in seconds between two requests to a site with many entries."""

LARGE_SITE_ENTRIES = 17
"""Number of entries from which a site counts as large."""

ANSWER_TIMEOUT_SECONDS = 6.0
"""Time limit of a request in seconds; it is also sent as Deadline-Ms."""

DISCONNECT_SHARE = 0.06
"""Share of the requests that the caller abandons if open after a random delay."""

CROWD_PERIOD = 10
"""Number of requests of which one does not come to the entry that is crowded."""

DOCUMENTS = 5
"""Number of documents that prompts share."""

METHODS = ("POST", "POST", "GET", "PUT", "DELETE")
"""Methods of calls to plain services, POST twice as often.

Whether a call may be repeated depends on its route, not on its method.
"""

SOUGHT_SHARE = 0.7
"""Probability that a caller takes a stream up at a sought entry, if there is one."""

MORE_RETURNING = 4
"""Factor by which there are more such callers while engines are updated."""

RETURN_INTERVAL = 0.2
"""Time in seconds between two streams whose callers leave and take them up again."""

MAX_TRIES = 4
"""Maximum number of attempts of such a caller."""

_KIND_SHARES = {Kind.PLAN: 0.25, Kind.CHECK: 0.2, Kind.ORDER: 0.3, Kind.LOOKUP: 0.25}


@dataclass(slots=True)
class Traffic:
    """Generator of random requests to all entries.

    Attributes:
        list_paths: Returns paths that have, had or never had a route.
        list_keys: Returns keys that are, or were, in force.
        methods: Source of the methods of calls; separate, so that drawing them does
            not change the other random choices of a seed.
        crowded: Endpoint that most callers come to; None if they are spread evenly.
    """

    record: Record
    rng: random.Random
    endpoints: list[EntryEndpoint]
    list_paths: Callable[[], list[str]]
    list_keys: Callable[[], list[str]]
    methods: random.Random
    _sessions: dict[int, aiohttp.ClientSession] = field(default_factory=dict)
    _calls: set[asyncio.Task[None]] = field(default_factory=set)
    crowded: EntryEndpoint | None = None
    _count: int = 0

    async def run(self, stop_event: asyncio.Event) -> None:
        """Send requests until an event is set, then wait for all answers."""
        for endpoint in self.endpoints:
            self._sessions[endpoint.entry] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
                timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS),
                auto_decompress=False,
                middlewares=(send_once,),
            )
        interval = MEAN_REQUEST_INTERVAL
        if len(self.endpoints) >= LARGE_SITE_ENTRIES:
            interval = LARGE_SITE_REQUEST_INTERVAL
        try:
            while not stop_event.is_set():
                task = asyncio.create_task(self._send())
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
                await asyncio.sleep(self.rng.expovariate(1 / interval))
            await asyncio.gather(*self._calls)
        finally:
            for session in self._sessions.values():
                await session.close()

    def _choose_endpoint(self) -> EntryEndpoint:
        ready = [endpoint for endpoint in self.endpoints if endpoint.ready]
        chosen = self.rng.choice(ready or self.endpoints)
        if self.crowded in ready and self._count % CROWD_PERIOD:
            return self.crowded
        return chosen

    async def _send(self) -> None:
        endpoint = self._choose_endpoint()
        kinds = list(_KIND_SHARES)
        kind = self.rng.choices(kinds, list(_KIND_SHARES.values()))[0]
        path = f"/{kind.value}/"
        key = "key-1"
        if self.rng.random() < 0.15:
            kind = Kind.LOOKUP
            path = self.rng.choice(self.list_paths())
            key = self.rng.choice(self.list_keys())
        attempt = self._add_attempt(endpoint, kind, f"{path}x", key)
        disconnect_after = None
        if self.rng.random() < DISCONNECT_SHARE:
            disconnect_after = self.rng.uniform(0.05, 1.0)
        call = asyncio.create_task(self._call(endpoint, attempt))
        done, _ = await asyncio.wait({call}, timeout=disconnect_after)
        if not done:
            call.cancel()
            await asyncio.wait({call})
            attempt.disconnected = not attempt.whole
        attempt.ended = read_clock()

    async def send_crashing(self, kind: Kind, name: str) -> None:
        """Send a request that crashes each target that runs it, and await its end.

        Requests with the same kind and name are the same request to the entries.
        """
        endpoint = self._choose_endpoint()
        path = f"/{kind.value}/{CRASHING}{name}"
        attempt = self._add_attempt(endpoint, kind, path, "key-1")
        await self._call(endpoint, attempt)
        attempt.ended = read_clock()

    async def send_crashing_part(self, part: str) -> None:
        """Send a prompt with a part that crashes each engine, and await its end."""
        endpoint = self._choose_endpoint()
        kind = Kind.CHECK if self._count % 2 else Kind.PLAN
        attempt = self._add_attempt(endpoint, kind, f"/{kind.value}/x", "key-1")
        attempt.part = part
        await self._call(endpoint, attempt)
        attempt.ended = read_clock()

    async def run_returning(self, stop_event: asyncio.Event) -> None:
        """Begin streams that are taken up at other entries, until an event is set."""
        rng = random.Random(self.rng.random())
        while not stop_event.is_set():
            task = asyncio.create_task(self._return_to_stream(rng))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(RETURN_INTERVAL)

    async def send_returning(self, seconds: float) -> None:
        """Begin more of them for a time."""
        stop_event = asyncio.Event()
        senders = [
            asyncio.create_task(self.run_returning(stop_event))
            for _ in range(MORE_RETURNING)
        ]
        await asyncio.sleep(seconds)
        stop_event.set()
        await asyncio.gather(*senders)

    async def _return_to_stream(self, rng: random.Random) -> None:
        first, received = "", 0
        for _ in range(MAX_TRIES):
            ready = [one for one in self.endpoints if one.ready] or self.endpoints
            sought = [one for one in ready if one.sought]
            if received and sought and rng.random() < SOUGHT_SHARE:
                ready = sought
            endpoint = rng.choice(ready)
            attempt = self._add_attempt(endpoint, Kind.RESUME, "/resume/x", "key-1")
            attempt.resumes, attempt.after = first, received
            call = asyncio.create_task(self._call(endpoint, attempt))
            done, _ = await asyncio.wait({call}, timeout=rng.uniform(0.1, 0.8))
            if not done:
                call.cancel()
                await asyncio.wait({call})
                attempt.disconnected = not attempt.whole
            attempt.ended = read_clock()
            received += attempt.body.count(b"\n\n")
            if received:
                first = first or attempt.id
            if attempt.whole and attempt.status == 200:
                return

    def _add_attempt(
        self, endpoint: EntryEndpoint, kind: Kind, path: str, key: str
    ) -> Attempt:
        self._count += 1
        attempt = Attempt(
            f"r{self._count}",
            kind,
            endpoint.entry,
            endpoint.incarnation,
            path,
            key,
            read_clock(),
        )
        attempt.crowded = endpoint is self.crowded
        self.record.attempts.append(attempt)
        return attempt

    async def _call(self, endpoint: EntryEndpoint, attempt: Attempt) -> None:
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": attempt.id,
            "Credential": attempt.key,
            "Deadline-Ms": str(int(ANSWER_TIMEOUT_SECONDS * 1000)),
        }
        if attempt.kind in STREAMS:
            output = EVENTS[attempt.kind] * 4
            headers["Model"] = "m"
            headers["Token-Count"] = f"600,{output}"
            headers["Length-Hint"] = str(output)
            headers["Prefix-Hash"] = _describe_parts(attempt)
        if attempt.resumes:
            headers["Resumes"] = attempt.resumes
            headers["Last-Event-Id"] = str(attempt.after)
        if self.rng.random() < 0.1:
            headers[self.rng.choice(SYSTEM_ONLY_HEADERS)] = FORGED
        method, body = "POST", b"flour" * self.rng.choice([0, 1, 2000])
        if attempt.kind is Kind.RESUME:
            body = b"dal"
        if attempt.kind not in STREAMS:
            method = self.methods.choice(METHODS)
        if attempt.is_crashing:
            # Entries recognize a repeated request by its method, path and body.
            method, body = "POST" if attempt.kind in STREAMS else "GET", b""
        url = f"http://{endpoint.address}{attempt.path}"
        try:
            async with self._sessions[endpoint.entry].request(
                method, url, data=body or None, headers=headers
            ) as response:
                attempt.status = response.status
                attempt.stamp = response.headers.get("Server-Stamp", "")
                async for chunk in response.content.iter_any():
                    attempt.body += chunk
                attempt.whole = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.error = type(error).__name__


def _describe_parts(attempt: Attempt) -> str:
    """Return the parts of a prompt: shared ones, and last one of its own.

    A request that is sent again has the same parts as before.
    """
    number = int(attempt.id.removeprefix("r"))
    own = attempt.id
    if CRASHING in attempt.path:
        number, own = zlib.crc32(attempt.path.encode()), attempt.path
    parts = ["first", f"document-{number % DOCUMENTS}", attempt.part, own]
    return ",".join(f"{part}:150" for part in parts if part)
