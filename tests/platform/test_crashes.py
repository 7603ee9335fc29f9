"""Tests of requests that crash their targets, with several entries."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count

from aiohttp import web

from figstep.platform.entry import Entry
from tests.afterlife import Afterlife
from tests.framing import Framing, RawAnswer
from tests.platform.places import Place, open_place, read_complete, start_fleet
from tests.platform.standins import FakeTarget

ENTRIES = 4
DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
CRASHING_PATH = "/lookup/crashes"

CRASH_SECONDS = 0.05
"""Time in seconds from the start of a crashing request until its target crashes."""

RESTART_DELAY_SECONDS = 0.5
"""Time in seconds from a crash until a target with a new name starts at the same
address."""

RETRY_INTERVAL_SECONDS = 1.0
"""Time in seconds between two attempts of the caller."""

PROPAGATION_SECONDS = 0.6
"""Time in seconds after which all entries know of the third crash. Its ratio to
RETRY_INTERVAL_SECONDS is that of the users' deployments, where callers retry every
3.6 s."""

MAX_LATE_RUNS = 3
"""Tolerated runs of the crashing request once all entries know of the third crash."""


@dataclass
class Crashes:
    """Targets that a request can crash, and a record of their crashes.

    Attributes:
        place: Store, targets and entries of the test.
        run_times: Loop times in seconds at which the crashing request reached a target.
        crash_times: Loop times in seconds at which a target crashed.
        restarts: Tasks that restart crashed targets.
        numbers: Numbers for the names of targets.
    """

    place: Place
    run_times: list[float] = field(default_factory=list)
    crash_times: list[float] = field(default_factory=list)
    restarts: list[asyncio.Task[None]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=lambda: count(1))

    async def add_target(self, failure_domain: str) -> FakeTarget:
        """Add a target that crashes when it runs a request for CRASHING_PATH."""
        target = FakeTarget(
            f"i-b{next(self.numbers)}", "bookings", failure_domain=failure_domain
        )
        await self.start(target)
        return target

    async def start(self, target: FakeTarget, port: int = 0) -> None:
        """Start a target that crashes when it runs a request for CRASHING_PATH."""

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
        """Return the number of runs since all entries know of the third crash."""
        if len(self.crash_times) < 3:
            return 0
        known = sorted(self.crash_times)[2] + PROPAGATION_SECONDS
        return sum(at > known for at in self.run_times)


@asynccontextmanager
async def open_crashing_place() -> AsyncIterator[Crashes]:
    """Start entries, and one target in each failure domain."""
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
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


async def read(place: Place, entry: Entry, path: str, number: str) -> int:
    """Send a read to an entry and return the status of its answer."""
    headers = place.headers(number)
    async with place.session.get(place.url(path, entry), headers=headers) as response:
        await response.read()
        return response.status


async def test_a_read_that_crashes_its_targets_is_kept_away() -> None:
    """Guards against crashes that are mistaken for unreachable targets."""
    async with open_crashing_place() as crashes:
        place = crashes.place
        for number in range(6):
            entry = place.entries[number % ENTRIES]
            await read(place, entry, CRASHING_PATH, f"crash-{number}")
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    assert crashes.count_late_runs() <= MAX_LATE_RUNS


async def read_often(place: Place, stop: asyncio.Event) -> list[tuple[float, int]]:
    """Send seven different reads in turn until stopped.

    Returns:
        The time at which each read was sent, and its status.
    """
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
    """Guards against reads that are refused for a crash that another request caused."""
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


async def test_a_call_after_the_crash_that_an_answer_showed_is_no_suspect() -> None:
    """Guards against suspecting calls that the address of a dead target resets."""
    async with open_place() as place:
        target = await place.add_target("i-b1", "bookings")
        entry = await place.add_entry()
        await place.wait_ready(entry, 1)

        async def answer(request: web.Request) -> web.StreamResponse:
            raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
            raw.write(b"two pal")
            target.afterlife = Afterlife.RESET
            return raw.close()

        target.handler = answer
        running = asyncio.create_task(read_complete(place, "/order/running"))
        async with asyncio.timeout(5):
            while target.afterlife is None:
                await asyncio.sleep(0.001)
        # The entry asks whether the target lives before it takes the answer for lost.
        await asyncio.sleep(0.05)
        assert not running.done()
        assert await read_complete(place, "/order/late") is None
        assert await running is None
        target.born = 2
        await target.register(place.store)
        crashes = entry.gateway.known.crashes
        async with asyncio.timeout(5):
            while not crashes.has_suspects:
                await asyncio.sleep(0.01)
        assert len(crashes.list_suspected()) == 1


async def test_a_crash_is_found_although_its_address_accepts_for_a_moment() -> None:
    """Guards against ends that stay unknown as long as the registration stays."""
    async with open_place() as place:
        targets = [await place.add_target(f"i-b{one}", "bookings") for one in (1, 2)]
        entry = await place.add_entry()
        await place.wait_ready(entry, 2)

        async def answer(request: web.Request) -> web.StreamResponse:
            assert request.transport is not None
            host, port = request.transport.get_extra_info("sockname")
            address = f"{host}:{port}"
            [target] = [one for one in targets if one.address == address]
            target.afterlife = Afterlife.RESET
            asyncio.get_running_loop().call_later(
                0.1, asyncio.create_task, target.stop_listening()
            )
            target.reset_connections()
            return web.Response()

        for target in targets:
            target.handler = answer
        assert await read_complete(place, "/order/killer") is None
        crashes = entry.gateway.known.crashes
        async with asyncio.timeout(5):
            while not crashes.has_suspects:
                await asyncio.sleep(0.01)
