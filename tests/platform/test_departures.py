"""Targets that say in their answers that they leave, or want a pause."""

import asyncio

from aiohttp import web

from tests.platform.places import add_fleet, open_place, send_calls_to_all

ENTRIES = 3
LEAVING_TARGET = "i-b1"

DRAIN_SECONDS = 2.0
"""Time after an answer that says so from which a leaving target gets nothing."""

PAUSE_SECONDS = 2.0
PAUSE_BEGINS_SECONDS = 0.5
MAX_IN_PAUSE = 2
"""Requests of one entry that may reach a target within its pause."""


async def test_a_target_that_says_that_it_leaves_gets_nothing_new() -> None:
    """Guards against departures that are known from the store alone."""
    async with open_place() as place:
        await add_fleet(place, ENTRIES, 2)
        target = place.targets[LEAVING_TARGET]
        # The store is never told: it would be the same if it were away.
        target.extra_headers = {"Server-Leaving": "1"}
        statuses = await send_calls_to_all(place, "first", 1.0)
        announced_at = asyncio.get_running_loop().time()
        statuses += await send_calls_to_all(place, "later", DRAIN_SECONDS + 2.0)
        late = [at for at in target.arrivals if at > announced_at + DRAIN_SECONDS]
    assert late == []
    assert set(statuses) == {200}


async def test_a_target_that_wants_a_pause_gets_one() -> None:
    """Guards against requests to a target that has said when to come back."""
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
