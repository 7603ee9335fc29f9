"""Tests of targets that send bytes without end."""

import asyncio

import aiohttp
import pytest

from figstep.platform.entry import Entry
from tests.platform.endless import EndlessTarget, Form
from tests.platform.places import Place, open_place

CALLS = 24

MAX_SENT = 12 << 20
"""Bytes on one connection after which an endless answer has to be given up."""

MAX_REQUESTS = CALLS // 3
"""Requests of all calls that may reach a target whose answers never end."""

EACH_FORM = pytest.mark.parametrize("form", Form)


async def call_lookup(place: Place, entry: Entry, number: str) -> int:
    headers = place.headers(number)
    async with place.session.get(
        place.url("/lookup/a", entry), headers=headers
    ) as response:
        await response.read()
        return response.status


async def wait_closed(target: EndlessTarget) -> None:
    async with asyncio.timeout(3):
        while target.open:
            await asyncio.sleep(0.02)


@EACH_FORM
async def test_reads_are_served_beside_a_target_whose_answers_never_end(
    form: Form,
) -> None:
    """Guards against callers who lose reads to a target that sends without end."""
    async with open_place() as place:
        endless = EndlessTarget(form)
        await endless.start(place.store)
        await place.add_target("i-b1", "bookings")
        entry = await place.add_entry()
        await place.wait_ready(entry, 2)
        calls = []
        for number in range(CALLS):
            calls.append(
                asyncio.create_task(call_lookup(place, entry, f"read-{number}"))
            )
            await asyncio.sleep(0.1)
        statuses = await asyncio.gather(*calls)
        await wait_closed(endless)
        await endless.stop()
    assert statuses == [200] * CALLS
    assert endless.requests <= MAX_REQUESTS
    assert endless.most_sent <= MAX_SENT


@pytest.mark.parametrize("form", [Form.EVENT, Form.CHUNK_SIZE, Form.TRAILERS])
async def test_a_stream_that_sends_no_event_without_end_is_cut(form: Form) -> None:
    """Guards against a stream that holds its caller and memory until the deadline."""
    async with open_place() as place:
        endless = EndlessTarget(form, service="engines")
        await endless.start(place.store)
        entry = await place.add_entry()
        await place.wait_ready(entry, 1)
        headers = place.headers("plan-1", Token_Count="100,10", Prefix_Hash="a:100")
        with pytest.raises(aiohttp.ClientError):
            async with place.session.post(
                place.url("/plan/a", entry), headers=headers
            ) as response:
                response.raise_for_status()
                await response.read()
        await wait_closed(endless)
        await endless.stop()
    assert endless.most_sent <= MAX_SENT
