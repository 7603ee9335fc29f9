"""Tests of entries that reach no target: other entries serve their callers."""

import asyncio
import copy
from collections.abc import AsyncIterator
from dataclasses import replace

import aiohttp
import pytest
from aiohttp import web

from figstep.gateway.targets import Target
from figstep.platform.entry import Entry
from tests.framing import Framing, RawAnswer
from tests.platform.places import Place, open_place, start_fleet
from tests.platform.standins import FakeTarget, Handler
from tests.ports import HOST, find_free_port
from tests.unreachable import Blackhole

PLAN = {"Model": "m", "Token_Count": "3000,2000", "Length_Hint": "80"}

DETECTION_SECONDS = 3.0
"""Time from the begin of a cut after which callers have to be served again."""

EACH_CUT = pytest.mark.parametrize("cut", ["silent", "refused"])


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    """Yield two services with two targets each, and three entries."""
    async with open_place() as opened:
        for name in ("i-b1", "i-b2"):
            await opened.add_target(name, "bookings")
        for name in ("i-e1", "i-e2"):
            await opened.add_target(name, "engines")
        await start_fleet(opened, 3, 4)
        yield opened


class Cut:
    """Cut between an entry and all targets, or those of a service.

    Other entries still reach them.
    """

    def __init__(self, entry: Entry, address: str, service: str | None = None) -> None:
        self._edge = entry.targets
        self._service = service
        self._address = address
        self._find = self._edge._find_target
        self._edge._find_target = self._find_unreachable

    def _find_unreachable(self, name: str) -> Target | None:
        target = self._find(name)
        if target is None:
            return None
        if self._service not in (None, target.info.service):
            return target
        unreachable = copy.copy(target)
        unreachable.info = replace(target.info, address=self._address)
        return unreachable

    def heal(self) -> None:
        self._edge._find_target = self._find


@pytest.fixture
async def silent_address() -> AsyncIterator[str]:
    hole = Blackhole()
    await hole.fill()
    yield hole.address
    hole.close()


def choose_address(cut: str, silent_address: str) -> str:
    return silent_address if cut == "silent" else f"{HOST}:{find_free_port()}"


async def call(place: Place, path: str, number: str, **headers: str) -> int:
    """Send a call to the first entry and return its status; 0 without an answer."""
    url = place.url(path, place.entries[0])
    method = "GET" if path.startswith("/lookup/") else "POST"
    try:
        async with place.session.request(
            method, url, headers=place.headers(number, **headers)
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def call_steadily(place: Place, name: str, seconds: float) -> list[int]:
    """Send ten calls a second to the first entry and return their statuses."""
    calls = []
    for number in range(round(seconds * 10)):
        path = "/order/a" if number % 2 else "/lookup/a"
        calls.append(asyncio.create_task(call(place, path, f"{name}-{number}")))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*calls)


async def cut_first_entry(place: Place, address: str) -> Cut:
    """Cut the first entry off and send it calls until it has to have noticed."""
    cut = Cut(place.entries[0], address)
    await call_steadily(place, "early", DETECTION_SECONDS)
    return cut


@EACH_CUT
async def test_callers_of_an_entry_that_reaches_no_target_are_served(
    place: Place, cut: str, silent_address: str
) -> None:
    """Guards against an entry that tries one unreachable target after the other."""
    await cut_first_entry(place, choose_address(cut, silent_address))
    assert await call_steadily(place, "later", 2.0) == [200] * 20


@EACH_CUT
@pytest.mark.parametrize("service", ["bookings", "engines"])
async def test_callers_of_an_entry_that_reaches_one_service_are_served(
    place: Place, cut: str, service: str, silent_address: str
) -> None:
    """Guards against a service that is reached and hides that another one is not."""
    Cut(place.entries[0], choose_address(cut, silent_address), service)
    for phase, seconds in (("early", DETECTION_SECONDS), ("later", 2.0)):
        calls = asyncio.create_task(call_steadily(place, phase, seconds))
        streams = []
        for number in range(round(seconds * 2)):
            plan = call(place, "/plan/a", f"{phase}-plan-{number}", **PLAN)
            streams.append(asyncio.create_task(plan))
            await asyncio.sleep(0.5)
        statuses = [*await calls, *await asyncio.gather(*streams)]
    assert set(statuses) == {200}


@EACH_CUT
async def test_streams_of_an_entry_that_reaches_no_target_arrive(
    place: Place, cut: str, silent_address: str
) -> None:
    await cut_first_entry(place, choose_address(cut, silent_address))
    assert await call(place, "/plan/a", "r-plan", **PLAN) == 200


async def test_requests_go_to_targets_within_a_second_after_the_links_are_back(
    place: Place,
) -> None:
    cut = await cut_first_entry(place, f"{HOST}:{find_free_port()}")
    known = place.entries[0].gateway.known
    assert known.is_cut_off
    cut.heal()
    await asyncio.sleep(1.0)
    assert not known.cut_services
    assert await call(place, "/order/a", "r-back") == 200


async def test_a_broken_stream_is_broken_at_the_far_caller_too(place: Place) -> None:
    """Guards against a cut stream that looks complete once it has passed an entry."""
    for name in ("i-e1", "i-e2"):
        target = place.targets[name]
        target.handler = break_off_stream(target)
    await cut_first_entry(place, f"{HOST}:{find_free_port()}")
    assert await call(place, "/plan/a", "r-plan", **PLAN) == 0


def break_off_stream(target: FakeTarget) -> Handler:
    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(b"id: 1\ndata: t1\n\nid: 2\nda")
        return raw.close()

    return answer


async def test_a_failure_keeps_its_status_and_signature(place: Place) -> None:
    for name in ("i-b1", "i-b2"):
        target = place.targets[name]

        async def fail(
            request: web.Request, target: FakeTarget = target
        ) -> web.StreamResponse:
            return web.Response(status=500, headers=target.sign(request))

        target.handler = fail
    await cut_first_entry(place, f"{HOST}:{find_free_port()}")
    async with place.session.post(
        place.url("/order/a", place.entries[0]), headers=place.headers("r-1")
    ) as response:
        assert response.status == 500
        assert response.headers["Server-Stamp"].startswith("stamp-i-b")


async def test_a_caller_cannot_pose_as_an_entry(place: Place) -> None:
    """Guards against a caller whose headers count as the word of another entry."""
    headers = place.headers("r-1", Figstep_Lost_Runs="9", Figstep_Waited_Ms="9000")
    async with place.session.get(place.url("/lookup/a"), headers=headers) as response:
        assert response.status == 200
    received = [
        one for target in place.targets.values() for one in target.received_headers
    ]
    assert len(received) == 1
    assert not any(name.startswith("Figstep-") for name in received[0])


async def test_requests_of_a_host_that_is_no_entry_are_rejected() -> None:
    async with open_place() as place:
        target = await place.add_target("i-b1", "bookings")
        entry = await place.add_entry()
        await place.wait_ready(entry, 1)
        url = f"http://{entry.settings.relays}/order/a"
        async with place.session.post(url, headers=place.headers("r-1")) as response:
            assert response.status == 503
            assert response.headers["Not-Executed"] == "1"
        assert target.received_headers == []


@EACH_CUT
async def test_an_entry_that_is_not_known_yet_is_served_by_another_one(
    place: Place, cut: str, silent_address: str
) -> None:
    """Guards against a rejected hop that reads as a request that may have run."""
    relays = place.entries[1].callers._relays
    assert relays is not None
    place.entries[1].callers._relays = replace(relays, is_entry=lambda host: False)
    await cut_first_entry(place, choose_address(cut, silent_address))
    assert await call_steadily(place, "later", 2.0) == [200] * 20
