"""Tests of streams that are taken up after all entries were lost at once."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import pytest

from tests.platform.processes import build_network, query_ready, start_entry
from tests.platform.standins import (
    KEY,
    ROUTE_HOST,
    FakeStore,
    FakeTarget,
    build_configuration,
)

STREAMS = 12
ENTRIES = 3

ROUTE = {
    "name": "question",
    "host": ROUTE_HOST,
    "prefix": "/question/",
    "type": "stream",
    "service": "engines",
    "attempts": 2,
    "timeout_ms": 20_000,
    "slo_ms": 1_000,
    "resumable": True,
}


@dataclass
class Stream:
    """A stream as its caller knows it.

    Attributes:
        name: Name of the stream, which begins the ids of its attempts.
        begun_by: Id of the attempt that brought its first event; "" before that.
        versions: Software versions of the targets that wrote its events, in order.
        last: Id of the last event received.
        refusals: Statuses with which it was not taken up.
    """

    name: str
    begun_by: str
    versions: list[str]
    last: int
    refusals: list[int]


class Fleet:
    """Entry processes, engines and a store."""

    def __init__(self, folder: Path) -> None:
        self.store = FakeStore()
        self.engines: dict[str, FakeTarget] = {}
        self._folder = folder
        self._processes: list[asyncio.subprocess.Process] = []
        self._network = build_network()
        self._session = aiohttp.ClientSession()

    async def start(self) -> None:
        await self.store.start()
        configuration = build_configuration(2, routes=[ROUTE])
        await self.store.put("keyed.op", "config", configuration)

    async def stop(self) -> None:
        await self.kill_entries()
        await self._session.close()
        for engine in self.engines.values():
            await engine.kill()
        await self.store.stop()

    async def add_engines(self, version: str) -> None:
        for number in range(2):
            name = f"i-{version}-{number}"
            engine = FakeTarget(name, "engines", 400, 0.02, version=version)
            self.engines[name] = engine
            await engine.start(self.store)

    async def remove_engines(self, version: str) -> None:
        """Let the engines of a version leave; they have ended when this returns."""
        leaving = [one for one in self.engines.values() if one.version == version]
        for engine in leaving:
            await engine.register(self.store, "draining")
        await asyncio.sleep(0.1)
        for engine in leaving:
            await self.store.put("keyed.servers", engine.name, b"")
            await engine.kill()

    async def start_entries(self, first: bool) -> None:
        for number in range(ENTRIES):
            path = self._folder / f"entry-{number}.toml"
            self._network.write_settings(path, number, self.store.address, first=first)
            log = self._folder / f"entry-{number}.log"
            process = await start_entry(path, log)
            self._processes.append(process)
        for number in range(ENTRIES):
            await self._wait_ready(number)

    async def _wait_ready(self, number: int) -> None:
        address = f"{self._network.find_ip(number)}:{self._network.ready}"
        async with asyncio.timeout(30):
            while not await query_ready(address):
                await asyncio.sleep(0.05)

    async def kill_entries(self) -> None:
        """Kill all entries at once."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            await process.wait()
        self._processes.clear()

    async def read(self, stream: Stream, entry: int, events: int, again: str) -> None:
        """Begin a stream or take it up at an entry, and leave it after some events."""
        attempt_id = f"{stream.name}-{again}"
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": attempt_id,
            "Credential": KEY,
            "Deadline-Ms": "15000",
            "Model": "m",
            "Token-Count": "300,2000",
        }
        if stream.last:
            headers |= {"Last-Event-Id": str(stream.last), "Resumes": stream.begun_by}
        url = f"http://{self._network.find_ip(entry)}:{self._network.front}/question/a"
        try:
            async with self._session.post(
                url, data=stream.name.encode(), headers=headers
            ) as response:
                if response.status != 200:
                    stream.refusals.append(response.status)
                    return
                name = response.headers["Server-Stamp"].removeprefix("stamp-")
                async with asyncio.timeout(5):
                    await self._read_events(response, stream, stream.last + events)
                stream.versions.append(self.engines[name].version)
                stream.begun_by = stream.begun_by or attempt_id
        except (aiohttp.ClientError, TimeoutError):
            stream.refusals.append(0)

    async def _read_events(
        self, response: aiohttp.ClientResponse, stream: Stream, until: int
    ) -> None:
        async for line in response.content:
            if line.startswith(b"id: "):
                index = int(line.removeprefix(b"id: "))
                assert index == stream.last + 1
                stream.last = index
                if index >= until:
                    response.close()
                    return

    async def read_all(self, streams: list[Stream], shift: int, again: str) -> None:
        """Begin streams or take them up, each at another entry than with ``shift`` - 1.

        A refused caller comes again at the next entry, four times at most.
        """
        await asyncio.gather(
            *(
                self._read_patiently(stream, number + shift, again)
                for number, stream in enumerate(streams)
            )
        )

    async def _read_patiently(self, stream: Stream, entry: int, again: str) -> None:
        before = len(stream.versions)
        for attempt in range(4):
            await self.read(
                stream, (entry + attempt) % ENTRIES, 10, f"{again}{attempt}"
            )
            if len(stream.versions) > before:
                return
            await asyncio.sleep(0.2)


@asynccontextmanager
async def run_fleet(folder: Path) -> AsyncIterator[Fleet]:
    fleet = Fleet(folder)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def build_streams() -> list[Stream]:
    return [Stream(f"r-{number}", "", [], 0, []) for number in range(STREAMS)]


def count_resumed(streams: list[Stream], times: int) -> int:
    """Return how many streams were taken up each time; none may be of two versions."""
    for stream in streams:
        assert len(set(stream.versions)) == 1, stream
    return sum(len(stream.versions) == times + 1 for stream in streams)


@pytest.mark.parametrize("first", [False, True])
@pytest.mark.parametrize("versions", [["v1"], ["v1", "v2"]])
async def test_streams_are_taken_up_after_all_entries_were_lost(
    tmp_path: Path, versions: list[str], first: bool
) -> None:
    """Guards against text of two versions, and against streams refused needlessly."""
    async with run_fleet(tmp_path) as fleet:
        for version in versions:
            await fleet.add_engines(version)
        await fleet.start_entries(first=True)
        streams = build_streams()
        await fleet.read_all(streams, 0, "first")
        await asyncio.sleep(2.0)
        await fleet.kill_entries()
        await fleet.start_entries(first)
        await fleet.read_all(streams, 1, "again")
        await fleet.read_all(streams, 2, "twice")
        assert count_resumed(streams, 2) >= STREAMS / 2, streams


@pytest.mark.parametrize("first", [False, True])
@pytest.mark.parametrize("leaves", ["before", "meanwhile"])
async def test_streams_of_a_version_that_left_are_not_joined_with_another(
    tmp_path: Path, leaves: str, first: bool
) -> None:
    """Guards against joined text after the old version and all entries are gone."""
    async with run_fleet(tmp_path) as fleet:
        await fleet.add_engines("v1")
        await fleet.start_entries(first=True)
        old, new = build_streams(), build_streams()
        await fleet.read_all(old, 0, "first")
        await fleet.add_engines("v2")
        # Entries that start for the first time read changes after two seconds.
        await asyncio.sleep(2.5)
        if leaves == "before":
            await fleet.remove_engines("v1")
        await asyncio.sleep(0.3)
        for stream in new:
            stream.name += "-new"
        await fleet.read_all(new, 0, "first")
        await asyncio.sleep(2.0)
        await fleet.kill_entries()
        if leaves == "meanwhile":
            await fleet.remove_engines("v1")
        await fleet.start_entries(first)
        await fleet.read_all(old, 1, "again")
        await fleet.read_all(old, 2, "twice")
        assert count_resumed(old, 1) == 0
        await fleet.read_all(new, 1, "again")
        count_resumed(new, 1)
        staying = [stream for stream in new if stream.versions[0] == "v2"]
        assert count_resumed(staying, 1) >= len(staying) / 2, staying
