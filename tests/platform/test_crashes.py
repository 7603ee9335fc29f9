"""Requests that crash the targets that run them, before entries that share work."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count

from aiohttp import web

from figstep.platform.entry import Entry
from tests.platform.places import Place, open_place, start_fleet
from tests.platform.standins import FakeTarget

ENTRIES = 4
DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
CRASHING_PATH = "/lookup/crashes"

CRASH_SECONDS = 0.05
"""From when a target begins to run such a request until it crashes."""

RESTART_DELAY_SECONDS = 0.5
"""Until it starts again, at its address and under a new id."""

RETRY_INTERVAL_SECONDS = 1.0
"""Time between two sendings by the caller."""

PROPAGATION_SECONDS = 0.6
"""From when on the third crash is known to all; a part of RETURN_SECONDS as it is on
the users' deployments, where callers return every 3.6 s."""

MAX_LATE_RUNS = 3
"""Sendings later than that which are borne."""


@dataclass
class Crashes:
    """What became of the targets of a place.

    Attributes:
        run_times: When the request that crashes them reached one.
        crash_times: When each target crashed.
        restarts: Targets that are starting again.
    """

    place: Place
    run_times: list[float] = field(default_factory=list)
    crash_times: list[float] = field(default_factory=list)
    restarts: list[asyncio.Task[None]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=lambda: count(1))

    async def add_target(self, failure_domain: str) -> FakeTarget:
        """Add a target that a request for CRASHING crashes."""
        target = FakeTarget(
            f"i-b{next(self.numbers)}", "bookings", failure_domain=failure_domain
        )
        await self.start(target)
        return target

    async def start(self, target: FakeTarget, port: int = 0) -> None:
        """Start a target."""

        async def answer(request: web.Request) -> web.StreamResponse:
            if request.path != CRASHING_PATH:
                await asyncio.sleep(CRASH_SECONDS / 2)
                return web.Response(body=b"answer", headers=target.sign(request))
            self.run_times.append(read_clock())
            await asyncio.sleep(CRASH_SECONDS)
            self.crash_times.append(read_clock())
            self.restarts.append(asyncio.create_task(self._restart(target)))
            await target.crash()
            return web.Response()

        target.handler = answer
        self.place.targets[target.name] = target
        await target.start(self.place.store, port)

    async def _restart(self, target: FakeTarget) -> None:
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await target.kill()
        port = int(target.address.rpartition(":")[2])
        successor = FakeTarget(
            f"i-b{next(self.numbers)}",
            "bookings",
            failure_domain=target.failure_domain,
        )
        await self.start(successor, port)
        await self.place.store.put("keyed.servers", target.name, b"")

    def count_late_runs(self) -> int:
        """Return the sendings since the third crash was known to all."""
        if len(self.crash_times) < 3:
            return 0
        known = sorted(self.crash_times)[2] + PROPAGATION_SECONDS
        return sum(at > known for at in self.run_times)


@asynccontextmanager
async def open_crashing_place() -> AsyncIterator[Crashes]:
    """Open a place whose targets lie in failure domains of their own."""
    async with open_place() as place:
        crashes = Crashes(place)
        for failure_domain in DOMAINS:
            await crashes.add_target(failure_domain)
        await start_fleet(place, ENTRIES, len(DOMAINS))
        try:
            yield crashes
        finally:
            await asyncio.gather(*crashes.restarts)


def read_clock() -> float:
    """Return the loop's time, in seconds."""
    return asyncio.get_running_loop().time()


async def read(place: Place, entry: Entry, path: str, number: str) -> int:
    """Send a read to an entry; returns its status."""
    headers = place.headers(number)
    async with place.session.get(place.url(path, entry), headers=headers) as response:
        await response.read()
        return response.status


async def test_a_read_that_crashes_its_targets_is_kept_away() -> None:
    """Guards against crashes that look like targets that could not be reached."""
    async with open_crashing_place() as crashes:
        place = crashes.place
        for number in range(6):
            entry = place.entries[number % ENTRIES]
            await read(place, entry, CRASHING_PATH, f"crash-{number}")
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    assert crashes.count_late_runs() <= MAX_LATE_RUNS


async def read_often(place: Place, stop: asyncio.Event) -> list[tuple[float, int]]:
    """Send the same few reads to all entries; returns when, and their statuses."""
    reads: list[asyncio.Task[tuple[float, int]]] = []

    async def read_one(number: int) -> tuple[float, int]:
        at = read_clock()
        entry = place.entries[number % ENTRIES]
        return at, await read(place, entry, f"/lookup/{number % 7}", f"r-{number}")

    while not stop.is_set():
        reads.append(asyncio.create_task(read_one(len(reads))))
        await asyncio.sleep(0.01)
    return await asyncio.gather(*reads)


async def test_reads_beside_one_that_crashes_targets_are_served() -> None:
    """Guards against reads refused for what crashed beside them."""
    stop = asyncio.Event()
    async with open_crashing_place() as crashes:
        place = crashes.place
        reading = asyncio.create_task(read_often(place, stop))
        await asyncio.sleep(0.3)
        for number in range(4):
            entry = place.entries[number % ENTRIES]
            await read(place, entry, CRASHING_PATH, f"crash-{number}")
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        stop.set()
        statuses = await reading
        suspected = [
            digest
            for entry in place.entries
            for digest in entry.gateway.known.crashes.list_suspected()
        ]
    last = max(crashes.crash_times) + PROPAGATION_SECONDS
    assert {status for at, status in statuses if at > last} == {200}
    assert len(set(suspected)) == 1
    assert len(crashes.crash_times) <= 4
