"""Tests of targets whose answers name a rate, with several entries."""

import asyncio

from tests.platform.places import add_fleet, open_place, send_calls_to_all

ENTRIES = 4
TARGETS = 3
LIMITED_TARGET = "i-b1"
RATE = 1.0
"""Rate that the target names, in requests a second."""

CALLS_BEFORE_LIMIT = 4
"""Calls a second to each entry before a target names its rate. They count in the
first window, and more would fill it before any entry can know of the rate."""

WINDOW_SECONDS = 4.0
"""Length in seconds of the window over which requests are counted."""

PROPAGATION_SECONDS = 3.0
"""Time in seconds after which all entries have to keep to a named rate."""

MAX_IN_WINDOW = 1.5 * RATE * WINDOW_SECONDS + 5
"""Largest number of requests that a target with a rate may get in a window, from
PROPAGATION_SECONDS after it named the rate."""


def count_busiest(arrivals: list[float], since: float) -> int:
    """Return the most arrivals in any window that ends at ``since`` or later."""
    counts = [0]
    for end in arrivals:
        if end >= since:
            counts.append(sum(end - WINDOW_SECONDS < at <= end for at in arrivals))
    return max(counts)


async def test_a_target_in_need_gets_no_more_than_the_rate_that_it_names() -> None:
    """Guards against entries that ignore the rate that a target named."""
    async with open_place() as place:
        await add_fleet(place, ENTRIES, TARGETS)
        await send_calls_to_all(place, "before", 1.0, CALLS_BEFORE_LIMIT)
        target = place.targets[LIMITED_TARGET]
        target.extra_headers = {"Server-Limit": str(RATE)}
        named_at = asyncio.get_running_loop().time()
        statuses = await send_calls_to_all(place, "after", 8.0)
        busiest = count_busiest(target.arrivals, named_at + PROPAGATION_SECONDS)
    assert busiest <= MAX_IN_WINDOW
    assert set(statuses) == {200}


async def test_a_report_without_a_rate_does_not_end_the_limit() -> None:
    """Guards against reports without a rate that end the limit of a target."""
    async with open_place() as place:
        target = await place.add_target("i-e1", "engines")
        entry = await place.add_entry()
        await place.wait_ready(entry, 1)
        target.extra_headers = {"Server-Limit": "1.5"}
        headers = place.headers("r-1", Model="m", Token_Count="30,20")
        async with place.session.post(
            place.url("/plan/a"), headers=headers
        ) as response:
            await response.read()
        known = entry.gateway.known.targets.targets["i-e1"]
        assert known.limit is not None
        assert known.limit.rate == 1.5
        entry.targets.read_report("i-e1")
        async with asyncio.timeout(3):
            while not target.reports:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert known.limit.rate == 1.5
