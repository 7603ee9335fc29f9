"""Tests of streams that callers take up at another entry, with two versions."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from figstep.platform.entry import Entry
from tests.platform.places import Place, open_place, start_fleet
from tests.platform.standins import ROUTE_HOST, build_configuration
from tests.platform.test_copies import read_plan

QUESTION = {"Model": "m", "Token_Count": "300,200", "Length_Hint": "80"}

ROUTE = {
    "name": "question",
    "host": ROUTE_HOST,
    "prefix": "/question/",
    "type": "stream",
    "service": "engines",
    "attempts": 2,
    "timeout_ms": 5_000,
    "slo_ms": 1_000,
    "resumable": True,
}


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    """Yield engines of two versions, and two entries."""
    async with open_place() as opened:
        configuration = build_configuration(2, routes=[ROUTE])
        await opened.store.put("keyed.op", "config", configuration)
        for number in range(4):
            version = f"v{number % 2 + 1}"
            name = f"i-e{number}"
            target = await opened.add_target(name, "engines", version=version)
            target.events = 60
        await start_fleet(opened, 2, 4)
        yield opened


async def read_some(place: Place, entry: Entry, number: str) -> str:
    """Leave a stream after its first bytes, and return its target."""
    headers = place.headers(number, **QUESTION)
    url = place.url("/question/a", entry)
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        assert response.status == 200
        await response.content.readany()
        response.close()
        return response.headers["Server-Stamp"].removeprefix("stamp-")


@pytest.mark.parametrize("run", range(4))
async def test_another_entry_takes_a_stream_up_at_its_version(
    place: Place, run: int
) -> None:
    """Guards against a returning caller whose stream goes on at any version."""
    first, second = place.entries
    begun = await read_some(place, first, f"r-{run}")
    await asyncio.sleep(0.2)
    resuming = {"Last_Event_Id": "1", "Resumes": f"r-{run}"}
    headers = place.headers(f"r-{run}-again", **QUESTION, **resuming)
    url = place.url("/question/a", second)
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        assert response.status == 200
        stamp = response.headers["Server-Stamp"].removeprefix("stamp-")
        assert (await response.content.readany()).startswith(b"id: 2\n")
    assert place.targets[stamp].version == place.targets[begun].version


async def test_a_stream_that_no_entry_knows_is_not_run(place: Place) -> None:
    """Guards against a guess, and against a refusal that says nothing."""
    resuming = {"Last_Event_Id": "1", "Resumes": "r-unknown"}
    headers = place.headers("r-1", **QUESTION, **resuming)
    url = place.url("/question/a", place.entries[0])
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        assert response.status == 503
        assert "Not-Executed" in response.headers
        assert b"version_unknown" in await response.read()
    assert not any(target.received_headers for target in place.targets.values())


async def test_a_registration_without_a_version_names_no_target(place: Place) -> None:
    """Guards against streams at a target whose version is not known."""
    registration = b'{"service":"engines","addr":"127.0.0.1:1","zone":"muc-a",'
    registration += b'"slots":4,"state":"ready","warmup_left_ms":0,"born":1}'
    await place.store.put("keyed.servers", "i-e9", registration)
    await place.store.put("keyed.servers", "i-e8", registration[:-1] + b',"version":3}')
    await asyncio.sleep(0.3)
    known = place.entries[0].gateway.known.targets.targets
    assert sorted(known) == ["i-e0", "i-e1", "i-e2", "i-e3"]


@pytest.mark.parametrize("restarted", [1, 2])
async def test_a_stream_is_not_taken_up_at_an_engine_that_restarted(
    place: Place, restarted: int
) -> None:
    """Guards against events of two versions, and against a stream lost needlessly."""
    first, second = place.entries
    begun = place.targets[await read_some(place, first, "r-1")]
    await asyncio.sleep(0.2)
    same = [one for one in place.targets.values() if one.version == begun.version]
    same.sort(key=lambda target: target is begun)
    for target in same[:restarted]:
        target.version, target.born = "v3", 2
    resuming = {"Last_Event_Id": "1", "Resumes": "r-1"}
    headers = place.headers("r-1-again", **QUESTION, **resuming)
    url = place.url("/question/a", second)
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        assert (response.status == 200) is (restarted == 1)
        assert (b"data:" in await response.read()) is (restarted == 1)


def restart_as(place: Place, name: str, version: str) -> None:
    """Let an engine restart under its id; its registration stays as it was."""
    target = place.targets[name]
    target.version = version
    target.restart_unregistered(born=2)


async def refuse(request: web.Request) -> web.Response:
    """Answer that a request was not run."""
    headers = {"Request-Id": request.headers["Request-Id"], "Not-Executed": "1"}
    return web.Response(status=503, headers=headers)


async def begin_at(place: Place, entry: Entry, name: str) -> str:
    """Begin a stream at an engine, which is full then; return the attempt's id."""
    others = [target for target in place.targets.values() if target.name != name]
    for target in others:
        target.handler = refuse
    headers = place.headers("r-1", **QUESTION)
    url = place.url("/question/a", entry)
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        assert response.headers["Server-Stamp"] == f"stamp-{name}"
        await response.content.readany()
        # Other entries are told of the stream before its caller leaves.
        await asyncio.sleep(0.05)
    for target in others:
        target.handler = None
    place.targets[name].handler = refuse
    return "r-1"


async def take_up(place: Place, entry: Entry, resumes: str) -> int:
    """Take up a stream of which the first event was read, and return the status."""
    resuming = {"Last_Event_Id": "1", "Resumes": resumes}
    headers = place.headers(f"{resumes}-again", **QUESTION, **resuming)
    url = place.url("/question/a", entry)
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        return response.status


@pytest.mark.parametrize("versions", [1, 2])
async def test_a_stream_of_a_restarted_engine_is_not_taken_up_at_its_registered_version(
    place: Place, versions: int
) -> None:
    """Guards against the version of a dead incarnation where the caller is back."""
    first, second = place.entries
    if versions == 1:
        for target in place.targets.values():
            target.version = "v1"
            await target.register(place.store)
        await asyncio.sleep(0.2)
    restart_as(place, "i-e0", "v2")
    resumes = await begin_at(place, first, "i-e0")
    assert await take_up(place, second, resumes) == 503


async def test_a_stream_of_engines_that_register_no_start_is_not_taken_up() -> None:
    """Guards against a guess that the only version an entry has heard of began it."""
    async with open_place() as place:
        document = build_configuration(2, routes=[ROUTE])
        await place.store.put("keyed.op", "config", document)
        for name in ("i-e0", "i-e1"):
            await place.add_target(name, "engines", born=0, events=60)
        await start_fleet(place, 2, 2)
        first, second = place.entries
        async with asyncio.timeout(5):
            while not all(e.gateway.known.history.confirmed for e in place.entries):
                await asyncio.sleep(0.01)
        # It is served once it is on record that its version is not known.
        await read_some(place, first, "r-1")
        assert await take_up(place, second, "r-1") == 503


async def test_a_stream_of_an_engine_that_states_its_start_late_is_taken_up(
    place: Place,
) -> None:
    """Guards against streams lost as a query for the start finds no room at first."""
    first, second = place.entries
    for target in place.targets.values():
        target.report = web.Response(status=500)
    headers = place.headers("r-1", **QUESTION)
    url = place.url("/question/a", first)
    async with place.session.post(url, data=b"dal", headers=headers) as response:
        await response.content.readany()
        await asyncio.sleep(0.4)
    assert await take_up(place, second, "r-1") == 200


async def test_a_copy_is_not_used_at_a_holder_that_had_restarted() -> None:
    """Guards against a copy made at an incarnation whose version nobody read."""
    async with open_place() as place:
        for name in ("i-e1", "i-e2"):
            target = await place.add_target(name, "engines")
            target.events = 150
        await start_fleet(place, 1, 2)
        plan = asyncio.create_task(read_plan(place))
        async with asyncio.timeout(5):
            while not any(target.received_headers for target in place.targets.values()):
                await asyncio.sleep(0.01)
        (source,) = [one for one in place.targets.values() if one.received_headers]
        (holder,) = [one for one in place.targets.values() if one is not source]
        holder.version, holder.born = "v2", 2
        async with asyncio.timeout(5):
            while not holder.copies:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        await source.crash()
        assert (await plan).endswith(b"broken")
