"""Tests of copies of runs: orders to engines, and their use."""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from figstep.platform.copies import order_copy
from tests.platform.places import Place, open_place, start_fleet
from tests.platform.standins import FakeTarget, start_app


@pytest.mark.parametrize(
    ("status", "body", "handle"),
    [
        (200, b'{"handle": "h-1", "created": 3}', "h-1"),
        (200, b"{}", ""),
        (200, b'{"handle"', ""),
        (200, b"[]", ""),
        (200, b"null", ""),
        (503, b'{"handle": "h-1"}', ""),
    ],
)
async def test_only_a_valid_answer_names_a_copy(
    status: int, body: bytes, handle: str
) -> None:
    """Guards against an order whose malformed answer ends without a result."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_post("/figstep/kv-move", answer)
    runner, address = await start_app(app)
    heard: list[int] = []
    async with aiohttp.ClientSession() as session:
        made = await order_copy(
            session, address, "h:1", "r-1", lambda answer: heard.append(answer.status)
        )
    await runner.cleanup()
    assert (made.handle, heard) == (handle, [status])


async def begin_copied_plan(
    place: Place, events: int = 150
) -> tuple[FakeTarget, FakeTarget]:
    """Start an entry and a long plan, and return its engine and its copy's holder."""
    for name in ("i-e1", "i-e2"):
        target = await place.add_target(name, "engines")
        target.events = events
    await start_fleet(place, 1, 2)
    task = asyncio.create_task(read_plan(place))
    place.tasks.append(task)
    async with asyncio.timeout(5):
        while not any(target.copies for target in place.targets.values()):
            await asyncio.sleep(0.01)
    holder = next(target for target in place.targets.values() if target.copies)
    source = next(target for target in place.targets.values() if target is not holder)
    # The answer to the order takes a moment to reach the entry.
    await asyncio.sleep(0.1)
    return source, holder


async def read_plan(place: Place) -> bytes:
    """Read a long plan, and return its events until it ends or breaks."""
    prompt = {"Token_Count": "300,600", "Length_Hint": "600"}
    headers = place.headers("r-1", Model="m", **prompt)
    received = b""
    try:
        url = place.url("/plan/a")
        async with place.session.post(url, data=b"dal", headers=headers) as response:
            async for chunk in response.content.iter_any():
                received += chunk
    except aiohttp.ClientError:
        return received + b"broken"
    return received


async def test_a_copy_is_not_used_once_its_engine_has_restarted_unnoticed() -> None:
    """Guards against a stream that goes on from the copy of another caller's run."""
    async with open_place() as place:
        source, holder = await begin_copied_plan(place)
        source.restart_unregistered(born=2)
        received = await place.tasks[0]
        assert received.endswith(b"broken")
        assert not any("Kv-From" in headers for headers in holder.received_headers)


async def test_a_copy_is_not_used_although_its_engine_resets_the_first_query() -> None:
    """Guards against a lost answer that counts as the start that is registered."""
    async with open_place() as place:
        source, holder = await begin_copied_plan(place)
        source.reports_lost = 1
        source.restart_unregistered(born=2)
        received = await place.tasks[0]
        assert received.endswith(b"broken")
        assert not any("Kv-From" in headers for headers in holder.received_headers)


async def test_a_copy_is_used_once_its_engine_has_ended() -> None:
    """Guards against streams lost because their engine can't be asked for its start."""
    async with open_place() as place:
        source, holder = await begin_copied_plan(place)
        await source.crash()
        received = await place.tasks[0]
        assert received.endswith(b"id: 150\ndata: t150\n\n")
        copy_source = holder.received_headers[-1]["Kv-From"]
        assert copy_source == f"{source.address}/h-1"


@pytest.mark.parametrize("restarts", [False, True])
async def test_only_the_engine_that_made_a_copy_is_ordered_to_free_it(
    restarts: bool,
) -> None:
    """Guards against an order that frees a copy of another caller's run."""
    async with open_place() as place:
        source, _ = await begin_copied_plan(place)
        if restarts:
            # The stream goes on: only the start that the engine states shows it.
            source.born = 2
        await place.tasks[0]
        await asyncio.sleep(0.2)
        assert source.freed == ([] if restarts else ["h-1"])


@pytest.mark.parametrize("drops", [True, False])
@pytest.mark.parametrize("trouble", ["leaves", "breaks"])
async def test_a_run_that_goes_on_elsewhere_is_stopped_at_its_engine(
    drops: bool, trouble: str
) -> None:
    """Guards against a run that works on at two engines after its connection closed."""
    async with open_place() as place:
        source, holder = await begin_copied_plan(place)
        source.drops = drops
        if trouble == "leaves":
            await source.register(place.store, "draining")
        else:
            source.reset_connections()
        received = await place.tasks[0]
        assert received.endswith(b"id: 150\ndata: t150\n\n")
        assert source.worked["r-1"] - holder.began["r-1"] <= 0.4
        # An engine that drops a run with its connection does nothing for the order.
        assert (source.stopped == []) is drops
        assert source.freed == ([] if drops else ["h-1"])


async def wait_for_stop(source: FakeTarget) -> None:
    """Wait until an engine has been ordered to stop its run, and has done so."""
    async with asyncio.timeout(3):
        while source.stopped != ["r-1"] or "r-1" not in source.aborted:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("status", [0, 409, 429, 500, 502])
async def test_a_stop_that_its_engine_does_not_confirm_is_ordered_again(
    status: int,
) -> None:
    """Guards against two runs where a lost or foreign answer counts as confirmation."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status)

    async with open_place() as place:
        source, holder = await begin_copied_plan(place, events=800)
        source.drops = False
        holder.events = 150
        source.stops_unmet = 8
        source.answer_unmet = answer if status else None
        source.reset_connections()
        received = await place.tasks[0]
        assert received.endswith(b"id: 150\ndata: t150\n\n")
        await wait_for_stop(source)


async def test_a_stop_is_ordered_although_the_engine_gone_on_at_has_left() -> None:
    """Guards against two runs as the engine named in the order leaves meanwhile."""
    async with open_place() as place:
        source, holder = await begin_copied_plan(place, events=800)
        source.drops = False
        holder.events = 150
        source.stops_unmet = 3
        source.reset_connections()
        await asyncio.sleep(0.06)
        targets = place.entries[0].gateway.known.targets.targets
        del targets[holder.name]
        await wait_for_stop(source)
