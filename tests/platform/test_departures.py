"""Tests of targets whose answers announce that they leave or ask for a pause."""

import asyncio

from aiohttp import web

from figstep.gateway.reducer import LAPSE_GRACE
from figstep.platform.followers import MAX_BACKOFF_SECONDS
from tests.platform.places import add_fleet, open_place, send_calls_to_all

ENTRIES = 3
LEAVING_TARGET = "i-b1"

DRAIN_SECONDS = 2.0
"""Time in seconds after which a target that announced that it leaves gets no
requests."""

PAUSE_SECONDS = 2.0
"""Pause in seconds that the target asks for."""

PAUSE_BEGINS_SECONDS = 0.5
"""Time in seconds after the first request from which the pause has to be kept."""

MAX_IN_PAUSE = 2
"""Largest number of requests of an entry that may reach a target within its pause."""


async def test_a_target_that_says_that_it_leaves_gets_nothing_new() -> None:
    """Guards against entries that learn of departures from the store only."""
    async with open_place() as place:
        await add_fleet(place, ENTRIES, 2)
        target = place.targets[LEAVING_TARGET]
        # The registration in the store does not change, as if the store were down.
        target.extra_headers = {"Server-Leaving": "1"}
        statuses = await send_calls_to_all(place, "first", 1.0)
        announced_at = asyncio.get_running_loop().time()
        statuses += await send_calls_to_all(place, "later", DRAIN_SECONDS + 2.0)
        late = [at for at in target.arrivals if at > announced_at + DRAIN_SECONDS]
    assert late == []
    assert set(statuses) == {200}


async def test_a_target_that_leaves_long_after_an_outage_gets_nothing_more() -> None:
    """Guards against the first departure after an outage that is taken for a lapse."""
    async with open_place() as place:
        await add_fleet(place, ENTRIES, 2)
        target = place.targets[LEAVING_TARGET]
        await place.store.fail()
        async with asyncio.timeout(5):
            while not all(entry.gateway.known.read_failed for entry in place.entries):
                await asyncio.sleep(0.01)
        place.store.unavailable = False
        await asyncio.sleep(MAX_BACKOFF_SECONDS + LAPSE_GRACE / 1_000)
        await place.store.put("keyed.servers", LEAVING_TARGET, b"")
        left_at = asyncio.get_running_loop().time()
        statuses = await send_calls_to_all(place, "call", DRAIN_SECONDS + 1.0)
        late = [at for at in target.arrivals if at > left_at + DRAIN_SECONDS]
    assert late == []
    assert set(statuses) == {200}


async def test_a_target_that_wants_a_pause_gets_one() -> None:
    """Guards against requests to a target before the end of its Retry-After."""
    async with open_place() as place:
        await add_fleet(place, 1, 2)
        target = place.targets[LEAVING_TARGET]

        async def reject(request: web.Request) -> web.StreamResponse:
            headers = {"Not-Executed": "1", "Retry-After": str(PAUSE_SECONDS)}
            return web.Response(status=503, headers=headers)

        target.handler = reject
        statuses = await send_calls_to_all(place, "call", PAUSE_SECONDS + 1.0)
        first = target.arrivals[0]
        begins, ends = first + PAUSE_BEGINS_SECONDS, first + PAUSE_SECONDS
        within = [at for at in target.arrivals if begins < at < ends]
    assert len(within) <= MAX_IN_PAUSE
    assert set(statuses) == {200}
