"""Helpers that start a fake store, fake targets and entries for a test."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from figstep.platform.entry import Entry
from tests.platform.standins import (
    KEY,
    ROUTE_HOST,
    FakeStore,
    FakeTarget,
    build_configuration,
    build_settings,
)


class Place:
    """A fake store, fake targets, and entries that serve callers."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.targets: dict[str, FakeTarget] = {}
        self.entries: list[Entry] = []
        self.session = aiohttp.ClientSession()
        self.tasks: list[asyncio.Task[bytes]] = []

    async def add_target(self, name: str, service: str, **fields: object) -> FakeTarget:
        target = FakeTarget(name, service, **fields)  # type: ignore[arg-type]
        await target.start(self.store)
        self.targets[name] = target
        for one in self.targets.values():
            one.peers = {other.address: other for other in self.targets.values()}
        return target

    async def add_entry(self, **fields: object) -> Entry:
        entry = Entry(build_settings(self.store.address, **fields))
        await entry.start()
        self.entries.append(entry)
        return entry

    async def wait_ready(self, entry: Entry, targets: int) -> None:
        async with asyncio.timeout(5):
            while True:
                known = entry.gateway.known
                if known.table is not None and len(known.targets.targets) >= targets:
                    return
                await asyncio.sleep(0.01)

    def url(self, path: str, entry: Entry | None = None) -> str:
        address = (entry or self.entries[0]).settings.callers
        return f"http://{address.host}:{address.port}{path}"

    def headers(self, number: str, **more: str) -> dict[str, str]:
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": number,
            "Credential": KEY,
            "Deadline-Ms": "4000",
        }
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        return headers


@asynccontextmanager
async def open_place() -> AsyncIterator[Place]:
    place = Place()
    await place.store.start()
    await place.store.put("keyed.op", "config", build_configuration())
    try:
        yield place
    finally:
        for task in place.tasks:
            task.cancel()
        await place.session.close()
        for entry in place.entries:
            await entry.stop()
        for target in place.targets.values():
            await target.kill()
        await place.store.stop()


async def read_complete(
    place: Place,
    path: str,
    number: str = "r-1",
    entry: Entry | None = None,
    **headers: str,
) -> bytes | None:
    """Return the body of a successful answer; None if it is not a complete one."""
    async with place.session.post(
        place.url(path, entry), headers=place.headers(number, **headers)
    ) as response:
        try:
            body = await response.read()
        except aiohttp.ClientError:
            return None
        return body if response.status == 200 else None


async def call_order_route(place: Place, entry: Entry, number: str) -> int:
    headers = place.headers(number)
    async with place.session.post(
        place.url("/order/a", entry), headers=headers
    ) as response:
        return response.status


async def add_fleet(place: Place, entries: int, targets: int) -> None:
    """Add targets of the plain service, and entries that know each other."""
    for number in range(1, targets + 1):
        await place.add_target(f"i-b{number}", "bookings")
    await start_fleet(place, entries, targets)


async def start_fleet(place: Place, entries: int, targets: int) -> None:
    """Start entries and wait until they know each other and all targets."""
    seeds: list[object] = []
    for number in range(entries):
        entry = await place.add_entry(node=f"entry-{number}", seeds=tuple(seeds))
        seeds.append(entry.settings.peers)
        await place.wait_ready(entry, targets)
    async with asyncio.timeout(5):
        while any(entry.gateway.known.entries < entries for entry in place.entries):
            await asyncio.sleep(0.01)


async def send_calls(
    place: Place, entry: Entry, name: str, seconds: float, rate: int
) -> list[int]:
    """Send ``rate`` calls a second to an entry and return their statuses."""
    calls = []
    for number in range(round(seconds * rate)):
        calls.append(
            asyncio.create_task(call_order_route(place, entry, f"{name}-{number}"))
        )
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*calls)


async def send_calls_to_all(
    place: Place, name: str, seconds: float, rate: int = 10
) -> list[int]:
    """Send ``rate`` calls a second to each entry and return all their statuses."""
    coroutines = [
        send_calls(place, entry, f"{name}-{number}", seconds, rate)
        for number, entry in enumerate(place.entries)
    ]
    return [
        status for statuses in await asyncio.gather(*coroutines) for status in statuses
    ]
