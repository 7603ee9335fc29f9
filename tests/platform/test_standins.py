"""Tests of the fake store's return from older copies, and of what engines state."""

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import pytest

from figstep.platform.store import CONFIGURATION_TOPIC as TOPIC
from figstep.platform.store import HttpStore
from tests.deployments.hosts import Spares, TargetHost
from tests.framing import Framing
from tests.platform.memory import draw_sizes
from tests.platform.standins import FakeStore, FakeTarget, start_app
from tests.platform.target import REPORT_INTERVAL, Identity, ProcessTarget
from tests.ports import HOST, find_free_port


@pytest.fixture
async def fake() -> AsyncIterator[FakeStore]:
    """Provide a fake store that listens."""
    fake = FakeStore()
    await fake.start()
    yield fake
    await fake.stop()


async def read_values(fake: FakeStore) -> dict[str, bytes | None]:
    """Return the newest value of each key that a client reads."""
    client = HttpStore(fake.address)
    try:
        snapshot = await client.read_newest(TOPIC)
    finally:
        await client.close()
    return {record.key: record.value for record in snapshot.records}


@pytest.mark.parametrize("first", [0, 1])
async def test_what_overlapping_returns_lost_is_written_again(
    fake: FakeStore, first: int
) -> None:
    """Guards against the loss of a record as an older one is written again before."""
    await fake.put(TOPIC, "config", b"v3")
    lost = [await fake.restore(1, TOPIC)]
    await fake.put(TOPIC, "config", b"v4")
    lost.append(await fake.restore(1, TOPIC))
    assert await read_values(fake) == {}
    await fake.write_again(TOPIC, lost[first])
    assert await read_values(fake) == {"config": (b"v3", b"v4")[first]}
    await fake.write_again(TOPIC, lost[1 - first])
    assert await read_values(fake) == {"config": b"v4"}


async def test_what_an_earlier_return_lost_does_not_replace_a_newer_record(
    fake: FakeStore,
) -> None:
    """Guards against old values over newer ones that a second return has kept."""
    await fake.put(TOPIC, "config", b"v3")
    lost = await fake.restore(1, TOPIC)
    await fake.put(TOPIC, "config", b"v4")
    await fake.put(TOPIC, "evacuate/muc-a", b"1")
    lost_later = await fake.restore(1, TOPIC)
    await fake.write_again(TOPIC, lost)
    await fake.write_again(TOPIC, lost_later)
    assert await read_values(fake) == {"config": b"v4", "evacuate/muc-a": b"1"}


async def test_a_record_that_was_lost_twice_is_written_again(fake: FakeStore) -> None:
    """Guards against the loss of a record that was written again before a return."""
    await fake.put(TOPIC, "config", b"v3")
    await fake.put(TOPIC, "config", b"v4")
    lost = await fake.restore(2, TOPIC)
    await fake.write_again(TOPIC, lost)
    assert await read_values(fake) == {"config": b"v4"}
    lost = await fake.restore(1, TOPIC)
    assert await read_values(fake) == {}
    await fake.write_again(TOPIC, lost)
    assert await read_values(fake) == {"config": b"v4"}


async def test_a_value_of_before_a_removal_is_not_written_again(
    fake: FakeStore,
) -> None:
    """Guards against targets that come back as their removal was not lost."""
    await fake.put(TOPIC, "evacuate/muc-a", b"1")
    lost = await fake.restore(1, TOPIC)
    await fake.put(TOPIC, "evacuate/muc-a", b"")
    await fake.write_again(TOPIC, lost)
    assert await read_values(fake) == {}


PIN = {"Pin-Ms": "60000"}
"""Headers of a request whose last part is to be kept."""

PART = 2_000
"""Tokens of the last part of a prompt."""


@asynccontextmanager
async def open_engine(
    folder: Path, *faults: str, **fields: Any
) -> AsyncIterator[ProcessTarget]:
    """Serve as an engine whose streams are open-ended, within this process.

    ``fields`` are those of its identity that differ.
    """
    journal = os.open(folder / "journal", os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    address = f"{HOST}:{find_free_port()}"
    identity = Identity(
        "e-1", "engines", address, "muc-a", "v1", "", "", interval=0.005, faults=faults
    )
    identity = replace(identity, **fields)
    async with aiohttp.ClientSession() as session:
        target = ProcessTarget(identity, session, journal)
        target.framing = Framing.CONNECTION
        runner, _ = await start_app(target.build_app(), identity.find_port())
        report = asyncio.create_task(target.renew_report())
        try:
            yield target
        finally:
            report.cancel()
            await runner.cleanup()
            os.close(journal)


@asynccontextmanager
async def open_fake() -> AsyncIterator[FakeTarget]:
    """Serve as a fake target whose streams have 40 events."""
    target = FakeTarget("e-1", "engines", events=40)
    store = FakeStore()
    await store.start()
    await target.start(store)
    try:
        yield target
    finally:
        await target.kill()
        await store.stop()


async def stream(
    address: str, extra: dict[str, str], seconds: float = 10.0, part: str = "c"
) -> None:
    """Read a stream for a time, and close its connection."""
    headers = {
        "Expect-Instance": "e-1",
        "Request-Id": "r-2",
        "Token-Count": "2079,160",
        "Prefix-Hash": f"a:79,{part}:{PART}",
        "Model": "m",
        **extra,
    }
    timeout = aiohttp.ClientTimeout(total=seconds)
    with suppress(TimeoutError):
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = f"http://{address}/plan/40"
            async with session.post(url, headers=headers) as response:
                await response.read()


async def ask(address: str, path: str, method: str = "GET") -> tuple[int, Any]:
    """Call an engine, and return the status and the document of its answer."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}/figstep/{path}"
        async with session.request(method, url) as response:
            body = await response.read()
            return response.status, orjson.loads(body or b"null")


async def list_tokens(address: str) -> dict[str, int]:
    """Return the tokens that an engine keeps, by part."""
    status, kept = await ask(address, "kv-list")
    assert status == 200
    assert all((name, model) == ("", "m") for name, _, _, model in kept["held"])
    return {part: tokens for _, part, tokens, _ in kept["held"]}


async def test_a_complete_run_is_pinned_until_its_part_is_named(tmp_path: Path) -> None:
    """Guards against engines whose pins state another count than was generated."""
    async with open_engine(tmp_path) as engine, open_fake() as fake:
        for address in (engine.identity.address, fake.address):
            await stream(address, PIN)
            await asyncio.sleep(REPORT_INTERVAL + 0.1)
            assert await list_tokens(address) == {"a": 79, "c": PART + 160}
            _, report = await ask(address, "report")
            assert (report["pinned"], report["runs"]) == (PART + 160, [])
            assert (await ask(address, "kv-pin/c", "DELETE"))[0] == 200
            assert (await ask(address, "kv-pin/c", "DELETE"))[0] == 404
            assert await list_tokens(address) == {"a": 79, "c": PART}


async def test_a_pin_ends_in_time_or_as_its_part_is_used(tmp_path: Path) -> None:
    """Guards against pins that outlive their time or the next run of their session."""
    async with open_engine(tmp_path) as engine:
        address = engine.identity.address
        await stream(address, PIN)
        await stream(address, {"Pin-Ms": "100"}, part="d")
        expected = {"a": 79, "c": PART + 160, "d": PART + 160}
        assert await list_tokens(address) == expected
        await asyncio.sleep(0.15)
        await stream(address, PIN, 0.1)
        assert await list_tokens(address) == {"a": 79, "d": PART, "c": PART}


@pytest.mark.parametrize("end", ["time", "request", "order"])
async def test_a_short_pin_lasts_until_its_end(end: str, tmp_path: Path) -> None:
    """Guards against short pins that end before a list is read, or outlive that."""
    async with open_engine(tmp_path) as engine, open_fake() as fake:
        for address in (engine.identity.address, fake.address):
            await stream(address, {"Pin-Ms": "600"})
            assert await list_tokens(address) == {"a": 79, "c": PART + 160}
            if end == "request":
                call = asyncio.create_task(stream(address, {"Request-Id": "r-3"}))
                await asyncio.sleep(0.1)
            elif end == "order":
                assert (await ask(address, "kv-pin/c", "DELETE"))[0] == 200
            else:
                await asyncio.sleep(0.65)
            assert await list_tokens(address) == {"a": 79, "c": PART}
            if end == "request":
                await call
                assert await list_tokens(address) == {"a": 79, "c": PART}


@pytest.mark.parametrize("extra", [{}, PIN, {"Pin-Ms": "forged"}])
async def test_a_run_that_is_not_complete_is_not_pinned(
    extra: dict[str, str], tmp_path: Path
) -> None:
    """Guards against pins that state the end of a stream which was cut."""
    async with open_engine(tmp_path, *(["early"] if extra is PIN else [])) as engine:
        address = engine.identity.address
        # Half of the streams are closed early: which of them, the id decides.
        await stream(address, {**extra, "Request-Id": "r-2"})
        await stream(address, PIN, 0.1, part="d")
        await asyncio.sleep(0.1)
        assert await list_tokens(address) == {"a": 79, "c": PART, "d": PART}
        assert [run.request for run in engine.running.values()] == []


async def test_reports_list_runs(tmp_path: Path) -> None:
    """Guards against engines that don't state how far a run has come."""
    async with open_engine(tmp_path) as engine, open_fake() as fake:
        extra = {"Last-Event-Id": "3", "Request-Priority": "2"}
        for address in (engine.identity.address, fake.address):
            call = asyncio.create_task(stream(address, extra))
            await asyncio.sleep(REPORT_INTERVAL + 0.01)
            _, report = await ask(address, "report")
            [[request, tokens, made, priority]] = report["runs"]
            assert (request, priority) == ("r-2", 2)
            assert 3 < made < 40
            assert tokens == 2079 + 4 * made
            assert report["handles"] == 0
            await call


async def test_older_engines_pin_nothing(tmp_path: Path) -> None:
    """Guards against older engines that are asked for what they never state."""
    async with open_engine(tmp_path, "pinless") as engine, open_fake() as fake:
        fake.pins = False
        for address in (engine.identity.address, fake.address):
            await stream(address, PIN)
            assert (await ask(address, "kv-list"))[0] == 404
            assert "pinned" not in (await ask(address, "report"))[1]


async def test_a_restart_forgets_pins() -> None:
    """Guards against a pin that is stated by a process which did not run it."""
    async with open_fake() as fake:
        await stream(fake.address, PIN)
        fake.restart_unregistered(born=2)
        assert await list_tokens(fake.address) == {}


@pytest.mark.parametrize("mean", [1, 2.5, 3, 4])
def test_events_have_as_many_tokens_as_asked_for(mean: float) -> None:
    """Guards against continuations whose events differ from those of the run."""
    sizes = draw_sizes("/plan/2000", 2_000, mean)
    assert sizes == draw_sizes("/plan/2000", 2_000, mean)
    assert {1, 2, 3, 4} >= set(sizes)
    assert abs(sum(sizes) / 2_000 - mean) < 0.1


async def test_an_engine_that_leaves_still_reports_its_runs(tmp_path: Path) -> None:
    """Guards against reports that state runs of before a drain until its end."""
    store = FakeStore()
    await store.start()
    spares = Spares(tmp_path / "targets.log")
    await spares.start(1)
    address = f"{HOST}:{find_free_port()}"
    journal = str(tmp_path / "journal")
    identity = Identity(
        "e-1", "engines", address, "muc-a", "v1", store.address, journal
    )
    target = TargetHost(identity, spares)
    try:
        await target.start()
        await target.wait_until_registered()
        call = asyncio.create_task(stream(address, {}, 2.0))
        await asyncio.sleep(REPORT_INTERVAL + 0.1)
        target.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        _, before = await ask(address, "report")
        await asyncio.sleep(REPORT_INTERVAL + 0.1)
        _, after = await ask(address, "report")
        assert after["state"] == "draining"
        assert 0 < before["runs"][0][2] < after["runs"][0][2]
        await call
    finally:
        await target.kill()
        await spares.stop()
        await store.stop()
