"""Tests of the client for targets: which answers reach a caller as complete."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from figstep.platform.engines import CONFIRM_TIMEOUT
from tests.framing import Framing, RawAnswer
from tests.platform.places import Place, open_place, read_complete
from tests.platform.standins import Handler, build_configuration

PLAN = {"Model": "m", "Token_Count": "3000,2000", "Length_Hint": "80"}
EVENTS = b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n"
ANSWER = b"two pallets of flour"

EACH_FRAMING = pytest.mark.parametrize("framing", list(Framing))

PARTS_OF_A_STREAM = {
    "before its first event": b"",
    "inside its first event": EVENTS[:9],
    "inside a later event": EVENTS[:25],
    "inside the end of its last event": EVENTS[:-1],
}


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    async with open_place() as opened:
        await opened.add_target("i-b1", "bookings")
        await opened.add_target("i-e1", "engines")
        # Only where no other run could state the end, that of the connection counts.
        pool = {"slots": 64, "kv_capacity": 34_000, "stride": 4}
        services = [{"name": "engines", "engine": pool}, {"name": "bookings"}]
        document = build_configuration(2, services=services)
        await opened.store.put("keyed.op", "config", document)
        entry = await opened.add_entry()
        await opened.wait_ready(entry, 2)
        yield opened


def write_answer(
    place: Place, name: str, framing: Framing, part: bytes, body: bytes
) -> Handler:
    """Return a handler that writes a part of a body, and ends or closes after it."""
    target = place.targets[name]

    async def answer(request: web.Request) -> web.StreamResponse:
        headers = target.sign(request)
        raw = RawAnswer(request, framing, headers, len(body))
        raw.write(part)
        return raw.end() if part == body else raw.close()

    return answer


@EACH_FRAMING
async def test_a_complete_stream_arrives_in_each_framing(
    place: Place, framing: Framing
) -> None:
    place.targets["i-e1"].handler = write_answer(place, "i-e1", framing, EVENTS, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) == EVENTS


@EACH_FRAMING
@pytest.mark.parametrize("part", PARTS_OF_A_STREAM.values(), ids=PARTS_OF_A_STREAM)
async def test_a_broken_off_stream_does_not_look_complete(
    place: Place, framing: Framing, part: bytes
) -> None:
    """Guards against a part of a stream that its caller gets as a complete one."""
    place.targets["i-e1"].handler = write_answer(place, "i-e1", framing, part, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) is None


@EACH_FRAMING
async def test_a_stream_with_a_byte_too_many_does_not_look_complete(
    place: Place, framing: Framing
) -> None:
    """Guards against the start of another event that is passed on as the end."""
    body = EVENTS + b"i"
    place.targets["i-e1"].handler = write_answer(place, "i-e1", framing, body, body)
    assert await read_complete(place, "/plan/a", **PLAN) is None


@EACH_FRAMING
async def test_a_complete_answer_arrives_in_each_framing(
    place: Place, framing: Framing
) -> None:
    place.targets["i-b1"].handler = write_answer(place, "i-b1", framing, ANSWER, ANSWER)
    assert await read_complete(place, "/order/a") == ANSWER


@pytest.mark.parametrize(
    ("framing", "part"),
    [
        (Framing.LENGTH, b""),
        (Framing.LENGTH, ANSWER[:5]),
        (Framing.CHUNKS, b""),
        (Framing.CHUNKS, ANSWER[:5]),
        (Framing.CONNECTION, b""),
    ],
)
async def test_a_broken_off_answer_does_not_look_complete(
    place: Place, framing: Framing, part: bytes
) -> None:
    """Guards against the head of an answer that its caller gets as all of it."""
    place.targets["i-b1"].handler = write_answer(place, "i-b1", framing, part, ANSWER)
    assert await read_complete(place, "/order/a") is None


@pytest.mark.parametrize("status", [204, 304])
async def test_an_answer_without_a_body_is_complete(place: Place, status: int) -> None:
    target = place.targets["i-b1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        headers = target.sign(request)
        return RawAnswer(request, Framing.CONNECTION, headers, 0, status).close()

    target.handler = answer
    async with place.session.post(
        place.url("/order/a"), headers=place.headers("r-1")
    ) as response:
        assert response.status == status
        assert await response.read() == b""


def crash_within(place: Place, name: str, part: bytes) -> Handler:
    """Return a handler that writes a part of an answer and stops listening."""
    target = place.targets[name]

    async def crash(request: web.Request) -> web.StreamResponse:
        headers = target.sign(request)
        raw = RawAnswer(request, Framing.CONNECTION, headers, 0)
        raw.write(part)
        assert target.runner is not None
        for site in list(target.runner.sites):
            await site.stop()
        return raw.close()

    return crash


async def test_a_stream_whose_target_crashed_after_an_event_does_not_look_complete(
    place: Place,
) -> None:
    """Guards against a crash between two events that looks like the end."""
    place.targets["i-e1"].handler = crash_within(place, "i-e1", EVENTS[:32])
    assert EVENTS[:32].endswith(b"\n\n")
    assert await read_complete(place, "/plan/a", **PLAN) is None


@pytest.mark.parametrize("part", [EVENTS[:32], EVENTS[:25]])
async def test_a_stream_is_lost_at_once_if_its_target_no_longer_listens(
    place: Place, part: bytes
) -> None:
    """Guards against streams that pause before they go on from their copies."""
    place.targets["i-e1"].handler = crash_within(place, "i-e1", part)
    began = asyncio.get_running_loop().time()
    assert await read_complete(place, "/plan/a", **PLAN) is None
    assert asyncio.get_running_loop().time() - began < CONFIRM_TIMEOUT / 1_000


async def test_an_answer_whose_target_crashed_does_not_look_complete(
    place: Place,
) -> None:
    """Guards against half an order's answer that its caller gets as all of it."""
    place.targets["i-b1"].handler = crash_within(place, "i-b1", ANSWER[:5])
    assert await read_complete(place, "/order/a") is None


@pytest.mark.parametrize("registered", [True, False])
async def test_an_answer_is_not_completed_by_a_target_that_started_again(
    place: Place, registered: bool
) -> None:
    """Guards against a part of a stream as a whole one after a crash and restart."""
    target = place.targets["i-e1"]

    async def restart(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(EVENTS)
        target.born = 2
        if registered:
            await target.register(place.store)
            await asyncio.sleep(0.2)
        return raw.close()

    target.handler = restart
    assert await read_complete(place, "/plan/a", **PLAN) is None
