"""Tests of answers without a length: what shows that they are complete."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

import orjson
import pytest
from aiohttp import web
from multidict import CIMultiDict

from figstep.gateway.token_counts import MIN_EXACT_LISTS, MIN_FULL_EVENTS
from figstep.platform.entry import Entry
from figstep.platform.retention import LIST_TRIES
from tests.afterlife import Afterlife
from tests.framing import Framing, RawAnswer
from tests.platform.memory import STRIDE
from tests.platform.places import Place, open_place, read_complete
from tests.platform.standins import (
    FakeTarget,
    Handler,
    build_configuration,
    build_routes,
)

EVENTS = 20
"""Number of events in a whole stream; the targets write events of four tokens."""

EARLY = 10
"""Event after which a stream is closed early; a backup of the run has arrived then."""

EVENT_INTERVAL = 0.045
"""Time between two events, in seconds."""

PLAN = {
    "Model": "m",
    "Token_Count": "3000,2000",
    "Length_Hint": "80",
    "Prefix_Hash": "a1:1000,b2:2000",
}

PINS = {"pin_ms": 4_000}
"""Property of engines that keep complete runs."""

EACH_AFTERLIFE = pytest.mark.parametrize("afterlife", list(Afterlife))


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    async with open_place() as opened:
        await opened.add_target("i-b1", "bookings")
        await opened.add_target("i-e1", "engines")
        entry = await opened.add_entry()
        await opened.wait_ready(entry, 2)
        yield opened


async def configure(
    place: Place,
    resumable: bool,
    attempts: int = 1,
    other_tokens: int = STRIDE,
    **engine: object,
) -> None:
    """Change the route of streams and the engines, and wait until that is in force.

    Where engines keep runs, wait also until the entry has learned what their lists
    state, unless ``other_tokens``, which is the number of tokens in other events, is 0.
    """
    routes = build_routes()
    routes[0] |= {"resumable": resumable, "attempts": attempts}
    services = [{"name": "engines"}, {"name": "bookings"}]
    if engine:
        services[0]["engine"] = {"slots": 64, "stride": 4, **engine}
    document = build_configuration(2, routes=routes, services=services)
    await place.store.put("keyed.op", "config", document)
    async with asyncio.timeout(5):
        while True:
            table = place.entries[0].gateway.known.table
            if table is not None and table.version == 2:
                break
            await asyncio.sleep(0.01)
    if not engine.get("pin_ms") or not other_tokens:
        return
    for entry in place.entries:
        await show_counts(place, entry, other_tokens)


async def show_counts(place: Place, entry: Entry, other_tokens: int) -> None:
    """Let the engine serve streams until the entry knows how it counts tokens."""
    target = place.targets["i-e1"]
    target.other_tokens = other_tokens
    target.events, target.event_interval = 200, 0.05
    calls = []
    for number in range(MIN_EXACT_LISTS):
        prompt = {"Token_Count": "306,2000", "Prefix_Hash": f"a1:100,d{number}:206"}
        plan = {**PLAN, **prompt}
        call = read_complete(place, "/plan/a", f"r-d{number}", entry, **plan)
        calls.append(asyncio.create_task(call))
    known = entry.gateway.known
    async with asyncio.timeout(5):
        while (
            max((one.full_events for one in known.event_counts.values()), default=0)
            < MIN_FULL_EVENTS
            or max((one.reads for one in known.list_counts.values()), default=0)
            < MIN_EXACT_LISTS
        ):
            await asyncio.sleep(0.01)
    for call in calls:
        call.cancel()
    await asyncio.wait(calls)
    async with asyncio.timeout(5):
        while len(target.aborted) < len(calls):
            await asyncio.sleep(0.01)
    for closes in known.closes.values():
        closes.delimited = 0
    for records in (target.received_headers, target.paths, target.aborted):
        records.clear()


def write_events(first: int, last: int) -> bytes:
    """Return the events from one index to another, as the targets write them."""
    return b"".join(b"id: %d\ndata: t%d\n\n" % (i, i) for i in range(first, last + 1))


def stream_until(
    target: FakeTarget,
    last: int,
    afterlife: Afterlife | None = None,
    rest: Framing = Framing.CONNECTION,
) -> Handler:
    """Return a handler whose stream ends with its connection after one event.

    Resumed streams go on after the event that they name, in the framing ``rest``. With
    ``afterlife`` the target crashes then. A backup is kept only for a stream that is
    not whole, and in the target's memory only a run that is.
    """

    async def answer(request: web.Request) -> web.StreamResponse:
        number = request.headers["Request-Id"]
        if "Kv-From" in request.headers and number not in target.copies:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        resumed = "Last-Event-Id" in request.headers
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        framing = rest if resumed else Framing.CONNECTION
        length = len(write_events(first, last))
        raw = RawAnswer(request, framing, target.sign(request), length)
        holder = target.peers.get(request.headers.get("Kv-Backup", ""))
        if holder is not None and last < EVENTS:
            holder.copies.add(number)
        for index in range(first, last + 1):
            raw.write(write_events(index, index))
            await asyncio.sleep(EVENT_INTERVAL)
        if last == EVENTS:
            target.memory.complete(request.headers, STRIDE * EVENTS)
        target.afterlife = afterlife
        return raw.end()

    return answer


async def add_engine(place: Place) -> list[FakeTarget]:
    """Add a second engine and return both."""
    engines = [place.targets["i-e1"], await place.add_target("i-e2", "engines")]
    await place.wait_ready(place.entries[0], 3)
    return engines


def end_first_early(
    engines: list[FakeTarget], last: int, answer_rest: Callable[[FakeTarget], Handler]
) -> None:
    """Let the engine that gets a stream close it, and the other one answer the rest."""

    async def answer(request: web.Request) -> web.StreamResponse:
        target, holder = engines
        if request.headers["Expect-Instance"] != target.name:
            target, holder = holder, target
        holder.handler = answer_rest(holder)
        return await stream_until(target, last)(request)

    for engine in engines:
        engine.handler = answer


@EACH_AFTERLIFE
async def test_a_stream_of_a_crashed_target_whose_address_lives_on_is_not_complete(
    place: Place, afterlife: Afterlife
) -> None:
    """Guards against an accepted connection that is taken for a living target."""
    # The close of a living target would be the end.
    await configure(place, False, moves=False)
    target = place.targets["i-e1"]
    target.handler = stream_until(target, EARLY, afterlife)
    assert await read_complete(place, "/plan/a", **PLAN) is None


@EACH_AFTERLIFE
async def test_an_answer_of_a_crashed_target_whose_address_lives_on_is_not_complete(
    place: Place, afterlife: Afterlife
) -> None:
    """Guards against a part of a call's answer that its caller gets as all of it."""
    target = place.targets["i-b1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(b"two pal")
        target.afterlife = afterlife
        return raw.close()

    target.handler = answer
    assert await read_complete(place, "/order/a") is None


@EACH_AFTERLIFE
async def test_a_stream_of_a_crashed_target_that_reached_its_maximum_is_not_complete(
    place: Place, afterlife: Afterlife
) -> None:
    """Guards against an end by arithmetic, as events may hold fewer tokens."""
    target = place.targets["i-e1"]
    target.handler = stream_until(target, EARLY, afterlife)
    plan = {**PLAN, "Token_Count": f"3000,{STRIDE * EARLY}"}
    assert await read_complete(place, "/plan/a", **plan) is None


@pytest.mark.parametrize("engine", [{}, PINS])
async def test_a_stream_that_is_closed_at_its_maximum_is_asked_for_its_rest(
    place: Place, engine: dict[str, object]
) -> None:
    """Guards against an end by arithmetic, as events may hold fewer tokens."""
    await configure(place, False, moves=True, **engine)
    engines = await add_engine(place)
    end_first_early(
        engines, EARLY, lambda holder: stream_until(holder, EVENTS, rest=Framing.CHUNKS)
    )
    plan = {**PLAN, "Token_Count": f"3000,{STRIDE * EARLY}"}
    assert await read_complete(place, "/plan/a", **plan) == write_events(1, EVENTS)


@pytest.mark.parametrize("engine", [{}, PINS, {"moves": True}, {"backups": True}])
@pytest.mark.parametrize("resumable", [True, False])
async def test_whole_streams_that_all_end_with_their_connection_are_delivered(
    place: Place, resumable: bool, engine: dict[str, object]
) -> None:
    """Guards against a loss of all whole streams of engines that state no end."""
    await configure(place, resumable, attempts=2, **{"slots": 64, **engine})
    for target in await add_engine(place):
        target.handler = stream_until(target, EVENTS)
    streams = []
    for number in range(10):
        prompt = {"Token_Count": "300,2000", "Prefix_Hash": f"a1:100,b{number}:200"}
        plan = {**PLAN, **prompt}
        streams.append(read_complete(place, "/plan/a", f"r-{number}", **plan))
    assert await asyncio.gather(*streams) == [write_events(1, EVENTS)] * 10


@pytest.mark.parametrize("rest", list(Framing))
@pytest.mark.parametrize("last", [EARLY, EVENTS])
@pytest.mark.parametrize("engine", [{}, PINS])
async def test_a_stream_that_a_living_target_closes_goes_on_from_its_copy(
    place: Place, last: int, rest: Framing, engine: dict[str, object]
) -> None:
    """Guards against a stream closed between two events, and a loss of whole ones."""
    await configure(place, False, moves=True, **engine)
    engines = await add_engine(place)
    end_first_early(
        engines, last, lambda holder: stream_until(holder, EVENTS, rest=rest)
    )
    # After an early close, the next one is the end only if something states so.
    is_unstated = last == EARLY and rest is Framing.CONNECTION and not engine
    whole = None if is_unstated else write_events(1, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) == whole


@pytest.mark.parametrize("rest", list(Framing))
async def test_a_stream_that_a_living_target_closes_goes_on_from_its_backup(
    place: Place, rest: Framing
) -> None:
    """Guards against a stream closed between two events that ends as the whole."""
    await configure(place, False, backups=True)
    engines = await add_engine(place)
    end_first_early(
        engines, EARLY, lambda holder: stream_until(holder, EVENTS, rest=rest)
    )
    whole = None if rest is Framing.CONNECTION else write_events(1, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) == whole


@pytest.mark.parametrize("last", [EARLY, EARLY + 3])
@pytest.mark.parametrize("engine", ["moves", "backups"])
async def test_a_stream_that_its_holder_closes_as_well_is_not_complete(
    place: Place, engine: str, last: int
) -> None:
    """Guards against two closes of living targets that are taken for the end."""
    await configure(place, False, **{engine: True, **PINS})
    engines = await add_engine(place)
    end_first_early(engines, EARLY, lambda holder: stream_until(holder, last))
    assert await read_complete(place, "/plan/a", **PLAN) is None


@pytest.mark.parametrize("last", [EARLY, EVENTS])
@pytest.mark.parametrize("engine", ["moves", "backups"])
async def test_a_holder_without_the_copy_states_no_end(
    place: Place, engine: str, last: int
) -> None:
    """Guards against a holder that had no room or lost the copy and seems to confirm.

    A holder of a backup answers the same once the run has ended well.
    """
    await configure(place, False, **{engine: True, **PINS})
    engines = await add_engine(place)
    asked: list[bool] = []

    def refuse(holder: FakeTarget) -> Handler:
        async def answer(request: web.Request) -> web.StreamResponse:
            asked.append(request.headers["Request-Id"] in holder.copies)
            return web.Response(status=503, headers={"Not-Executed": "1"})

        return answer

    end_first_early(engines, last, refuse)
    whole = write_events(1, EVENTS) if last == EVENTS else None
    assert await read_complete(place, "/plan/a", **PLAN) == whole
    assert len(asked) == (0 if whole else 1)


@pytest.mark.parametrize("framing", list(Framing))
async def test_the_close_of_the_last_engine_that_is_left_is_not_the_end(
    place: Place, framing: Framing
) -> None:
    """Guards against a part that counts as whole as all other engines have crashed."""
    await configure(place, False, moves=True, **PINS)
    await add_engine(place)
    await place.targets["i-e2"].crash()
    await place.store.put("keyed.servers", "i-e2", b"")
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        length = len(write_events(1, EVENTS))
        raw = RawAnswer(request, framing, target.sign(request), length)
        for index in range(1, EARLY + 1):
            raw.write(write_events(index, index))
            await asyncio.sleep(EVENT_INTERVAL)
        return raw.close()

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_a_stream_that_could_have_been_copied_is_not_complete_by_its_close(
    place: Place,
) -> None:
    """Guards against an end between two events that nobody is asked to confirm."""
    await configure(place, False, moves=True, **PINS)
    await place.add_target("i-e2", "engines")
    await place.wait_ready(place.entries[0], 3)
    for name in ("i-e1", "i-e2"):
        target = place.targets[name]
        target.copies_runs = False
        target.handler = stream_until(target, EARLY)
    assert await read_complete(place, "/plan/a", **PLAN) is None


@pytest.mark.parametrize("engine", [{}, {"moves": False, "backups": False}])
async def test_a_stream_that_no_other_run_could_end_is_complete_by_the_close(
    place: Place, engine: dict[str, object]
) -> None:
    """Guards against a loss of all streams where nothing else can state the end."""
    await configure(place, False, **engine)
    target = place.targets["i-e1"]
    target.handler = stream_until(target, EARLY)
    prompt = PLAN if engine else {}
    assert await read_complete(place, "/plan/a", **prompt) == write_events(1, EARLY)


@pytest.mark.parametrize("rest", list(Framing))
@pytest.mark.parametrize("last", [EARLY, EVENTS])
@pytest.mark.parametrize("engine", [{}, PINS])
async def test_a_resumable_stream_that_a_living_target_closes_is_asked_for_its_rest(
    place: Place, last: int, rest: Framing, engine: dict[str, object]
) -> None:
    """Guards against a stream closed between two events, and a loss of whole ones."""
    await configure(place, True, moves=True, **engine)
    target = place.targets["i-e1"]
    endings = iter([last])

    async def answer(request: web.Request) -> web.StreamResponse:
        return await stream_until(target, next(endings, EVENTS), rest=rest)(request)

    target.handler = answer
    is_unstated = rest is Framing.CONNECTION and last == EARLY and not engine
    whole = None if is_unstated else write_events(1, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) == whole
    received = [CIMultiDict(headers) for headers in target.received_headers]
    asked = [headers.get("Last-Event-Id") for headers in received]
    # The same target is asked again only if events have come since.
    again = [str(EVENTS)] if is_unstated else []
    first = [] if engine and last == EVENTS else [str(last)]
    assert asked == [None, *first, *again]


@pytest.mark.parametrize("last", [EARLY, EVENTS])
async def test_a_resumable_stream_is_asked_for_its_rest_at_another_target(
    place: Place, last: int
) -> None:
    """Guards against a question to the one target that leaves each end open."""
    await configure(place, True, moves=True, attempts=2)
    engines = await add_engine(place)
    end_first_early(
        engines, last, lambda other: stream_until(other, EVENTS, rest=Framing.CHUNKS)
    )
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)
    assert [len(engine.received_headers) for engine in engines] == [1, 1]


async def test_repeated_events_do_not_count_for_the_maximum_output(
    place: Place,
) -> None:
    """Guards against a part that, counted twice, seems to have reached its maximum."""
    await configure(place, True, moves=True)
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        """Begin with the first event, also where the rest is asked for."""
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(write_events(1, EARLY))
        return raw.close()

    target.handler = answer
    plan = {**PLAN, "Token_Count": f"3000,{8 * EARLY}"}
    assert await read_complete(place, "/plan/a", **plan) is None


async def test_a_stream_is_broken_off_if_the_question_for_its_rest_gets_no_answer(
    place: Place,
) -> None:
    """Guards against an end that nobody confirmed, as the target crashed meanwhile."""
    await configure(place, True, moves=True, **PINS)
    target = place.targets["i-e1"]
    endings = iter([None, Afterlife.SILENT])

    async def answer(request: web.Request) -> web.StreamResponse:
        return await stream_until(target, EARLY, next(endings))(request)

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


@pytest.mark.parametrize("indexes", [(1, 3), (1, 1), (2, 1)])
async def test_events_that_arrive_out_of_order_in_one_read_are_not_delivered(
    place: Place, indexes: tuple[int, ...]
) -> None:
    """Guards against gaps and repeats in the first events of a stream."""
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CHUNKS, target.sign(request), 0)
        raw.write(b"".join(write_events(index, index) for index in indexes))
        return raw.end()

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


@pytest.mark.parametrize(
    ("status", "body", "headers"),
    [(503, b"", {"Not-Executed": "1"}), (200, b"{}", {})],
)
async def test_an_engine_that_states_no_start_does_not_confirm_its_stream(
    place: Place, status: int, body: bytes, headers: dict[str, str]
) -> None:
    """Guards against the word of an engine that may have restarted, or of a proxy."""
    await configure(place, False, moves=False)
    target = place.targets["i-e1"]
    target.handler = stream_until(target, EARLY)
    target.report = web.Response(status=status, body=body, headers=headers)
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_a_plain_service_that_rejects_the_query_lives(place: Place) -> None:
    """Guards against a loss of all answers without a length of plain services."""
    target = place.targets["i-b1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(b"two pallets")
        return raw.close()

    target.handler = answer
    target.report = web.Response(status=400, headers={"Not-Executed": "1"})
    assert await read_complete(place, "/order/a") == b"two pallets"


async def test_an_answer_of_a_plain_service_that_started_again_is_not_complete(
    place: Place,
) -> None:
    """Guards against a successor at the address that states the end of an answer."""
    target = place.targets["i-b1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(b"two pal")
        await asyncio.sleep(0.1)
        assert target.runner is not None
        host, port = target.runner.addresses[0]
        await target.stop_listening()
        target.close_connections(request.transport)
        raw.close()
        await web.TCPSite(target.runner, host, port).start()
        return web.Response()

    target.handler = answer
    target.report = web.Response(status=400, headers={"Not-Executed": "1"})
    assert await read_complete(place, "/order/a") is None


@pytest.mark.parametrize("path", ["/order/a", "/plan/a"])
async def test_an_answer_that_is_finished_after_the_listener_has_closed_is_complete(
    place: Place, path: str
) -> None:
    """Guards against whole answers lost as their target shuts down in order."""
    target = place.targets["i-b1" if path == "/order/a" else "i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(write_events(1, EARLY))
        await target.register(place.store, "draining")
        await asyncio.sleep(0.2)
        await target.stop_listening()
        raw.write(write_events(EARLY + 1, EVENTS))
        return raw.close()

    target.handler = answer
    assert await read_complete(place, path) == write_events(1, EVENTS)


@pytest.mark.parametrize("seconds", [0.0, 0.03])
@pytest.mark.parametrize("path", ["/order/a", "/plan/a"])
async def test_an_answer_that_is_closed_as_its_target_exits_is_not_complete(
    place: Place, path: str, seconds: float
) -> None:
    """Guards against a part as the whole, as the process lives for a moment longer."""
    target = place.targets["i-b1" if path == "/order/a" else "i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(write_events(1, EARLY))
        await target.register(place.store, "draining")
        await asyncio.sleep(0.2)
        await target.stop_listening()
        response = raw.close()
        await asyncio.sleep(seconds)
        target.close_connections(request.transport)
        return response

    target.handler = answer
    assert await read_complete(place, path) is None


async def test_a_whole_stream_outlasts_the_idle_connections_of_its_target(
    place: Place,
) -> None:
    """Guards against whole streams lost as their target closes what is idle."""
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(write_events(1, EARLY))
        await asyncio.sleep(0.2)
        target.close_connections(request.transport)
        target.report = web.Response(status=400, headers={"Not-Executed": "1"})
        raw.write(write_events(EARLY + 1, EVENTS))
        return raw.close()

    target.handler = answer
    assert await read_complete(place, "/plan/a") == write_events(1, EVENTS)


async def test_a_resumed_stream_begins_with_the_event_that_was_asked_for(
    place: Place,
) -> None:
    """Guards against events that a caller misses as it takes a stream up again."""
    await configure(place, True, moves=True)
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CHUNKS, target.sign(request), 0)
        raw.write(write_events(7, EVENTS))
        return raw.end()

    target.handler = answer
    resumed = {**PLAN, "Last_Event_Id": "5", "Resumes": "r-0"}
    assert await read_complete(place, "/plan/a", **resumed) is None


@pytest.mark.parametrize("rest", list(Framing))
async def test_a_run_is_kept_only_until_its_end_is_known(
    place: Place, rest: Framing
) -> None:
    """Guards against memory of engines that complete runs take for seconds."""
    await configure(place, True, **PINS)
    target = place.targets["i-e1"]
    pinned = []

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, rest, target.sign(request), len(write_events(1, 1)))
        raw.write(write_events(1, 1))
        target.memory.complete(request.headers, STRIDE)
        pinned.append(target.memory.count_pinned())
        return raw.end()

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, 1)
    async with asyncio.timeout(1):
        while target.memory.count_pinned():
            await asyncio.sleep(0.01)
    assert pinned == [2000 + STRIDE]


@pytest.mark.parametrize("body", [b"{}", b"no list", b'{"held": [["", "b2", 1]]}'])
async def test_a_list_that_cannot_be_read_states_nothing(
    place: Place, body: bytes
) -> None:
    """Guards against whole streams broken off for an answer that is no list."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    target.kept = web.Response(body=body)
    target.handler = stream_until(target, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)


async def test_a_whole_stream_of_an_engine_that_registers_late_is_complete(
    place: Place,
) -> None:
    """Guards against whole streams lost as a registration was read late."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    target.restart_unregistered(born=2)

    async def answer(request: web.Request) -> web.StreamResponse:
        await target.register(place.store)
        return await stream_until(target, EVENTS)(request)

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)


@pytest.mark.parametrize("ends", ["closed", "reset", "silent"])
@pytest.mark.parametrize("resumable", [True, False])
async def test_a_continuation_that_is_cut_inside_its_first_event_contradicts_the_end(
    place: Place, resumable: bool, ends: str
) -> None:
    """Guards against a part as the whole, though the next event had begun to come."""
    await configure(place, resumable, attempts=2, moves=True)
    engines = await add_engine(place)

    def cut(holder: FakeTarget) -> Handler:
        async def answer(request: web.Request) -> web.StreamResponse:
            raw = RawAnswer(request, Framing.CONNECTION, holder.sign(request), 0)
            raw.write(write_events(EARLY + 1, EARLY + 1)[:-2])
            await asyncio.sleep(2 if ends == "silent" else 0.05)
            if ends == "reset":
                assert request.transport is not None
                request.transport.abort()
            return raw.close()

        return answer

    end_first_early(engines, EARLY, cut)
    assert await read_complete(place, "/plan/a", **PLAN) is None


@pytest.mark.parametrize("last", [EARLY, EVENTS])
async def test_a_part_that_is_kept_for_another_model_states_nothing(
    place: Place, last: int
) -> None:
    """Guards against the memory of another model taken for that of the run."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    whole = last == EVENTS
    # The other model keeps the prompt alone where the run is whole, and the reverse.
    other = 2_000 if whole else 2_000 + STRIDE * EARLY
    own = 2_000 + STRIDE * EVENTS if whole else 2_000
    held = [["", "b2", other, "other"], ["", "b2", own, "m"]]
    write = stream_until(target, last)

    async def answer(request: web.Request) -> web.StreamResponse:
        target.kept = web.Response(body=orjson.dumps({"held": held}))
        return await write(request)

    target.handler = answer
    expected = write_events(1, EVENTS) if whole else None
    assert await read_complete(place, "/plan/a", **PLAN) == expected


def freeze(seconds: float) -> None:
    """Stop the entry; its sockets hold what its targets have sent."""
    time.sleep(seconds)


@pytest.mark.parametrize("last", [EARLY, EVENTS])
@pytest.mark.parametrize("pin_ms", [300, 4_000])
async def test_a_close_that_a_frozen_entry_reads_late_is_the_end_only_if_it_is_listed(
    place: Place, pin_ms: int, last: int
) -> None:
    """Guards against a part as the whole, and a loss of whole streams still kept."""
    await configure(place, False, pin_ms=pin_ms)
    target = place.targets["i-e1"]
    write = stream_until(target, last)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await write(request)
        freeze(0.4)
        return response

    target.handler = answer
    # The shorter pin has ended as the entry asks, whatever the engine closed.
    whole = write_events(1, EVENTS) if (last, pin_ms) == (EVENTS, 4_000) else None
    assert await read_complete(place, "/plan/a", **PLAN) == whole


@pytest.mark.parametrize("last", [EARLY, EVENTS])
async def test_a_close_after_a_late_event_is_judged_by_the_list(
    place: Place, last: int
) -> None:
    """Guards against a part as the whole, as its last event came after a pause."""
    await configure(place, False, pin_ms=300)
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(write_events(1, last - 1))
        await asyncio.sleep(0.5)
        raw.write(write_events(last, last))
        if last == EVENTS:
            target.memory.complete(request.headers, STRIDE * EVENTS)
        return raw.close()

    target.handler = answer
    whole = write_events(1, EVENTS) if last == EVENTS else None
    assert await read_complete(place, "/plan/a", **PLAN) == whole


async def test_a_run_of_a_caller_who_leaves_at_its_end_is_not_kept(
    place: Place,
) -> None:
    """Guards against memory of engines left behind by callers who leave at the end."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    target.handler = stream_until(target, EVENTS)
    last = b"t%d\n\n" % EVENTS
    async with place.session.post(
        place.url("/plan/a"), headers=place.headers("r-1", **PLAN)
    ) as response:
        async for chunk in response.content.iter_any():
            if chunk.endswith(last):
                break
        async with asyncio.timeout(2):
            while not target.memory.count_pinned():
                await asyncio.sleep(0)
        response.close()
    async with asyncio.timeout(1):
        while target.memory.count_pinned():
            await asyncio.sleep(0.01)


async def test_a_kept_run_of_another_request_does_not_state_the_end(
    place: Place,
) -> None:
    """Guards against a part as the whole, as its prompt ran to its end beside it."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    target.memory.begin({"Prefix-Hash": "a1:1000,b2:2000", "Model": "m"})
    whole = {"Prefix-Hash": "a1:1000,b2:2000", "Model": "m", "Pin-Ms": "4000"}
    cut = stream_until(target, EARLY)

    async def answer(request: web.Request) -> web.StreamResponse:
        # Another entry's run of all events, of which each holds two tokens.
        asyncio.get_running_loop().call_later(
            0.2, target.memory.complete, whole, 2 * EVENTS
        )
        return await cut(request)

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_a_whole_stream_whose_prompt_begins_to_run_again_is_not_contradicted(
    place: Place,
) -> None:
    """Guards against whole streams lost as a request of the same session follows."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    write_whole = stream_until(target, EVENTS)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await write_whole(request)
        # Another entry's request with the same last part.
        target.memory.begin(request.headers)
        return response

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)


def stream_kept_part(
    target: FakeTarget, sent: int, events: int, event_tokens: int
) -> Handler:
    """Return a handler that completes and keeps each run, but sends a part of it.

    Resumed streams have all events after the one that they name, in chunks.
    """

    async def answer(request: web.Request) -> web.StreamResponse:
        target.memory.begin(request.headers)
        resumed = "Last-Event-Id" in request.headers
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        framing = Framing.CHUNKS if resumed else Framing.CONNECTION
        raw = RawAnswer(request, framing, target.sign(request), 0)
        for index in range(first, (events if resumed else sent) + 1):
            raw.write(write_events(index, index))
            await asyncio.sleep(EVENT_INTERVAL)
        target.memory.complete(request.headers, event_tokens * events)
        return raw.end()

    return answer


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize(
    ("sent", "event_tokens"), [(8, 2), (5, 2), (9, 3), (9, STRIDE)]
)
async def test_a_part_of_a_stream_whose_run_is_kept_is_not_the_whole(
    place: Place, sent: int, event_tokens: int, resumable: bool
) -> None:
    """Guards against a truncated answer that ends as complete, as its run is whole."""
    # What the entry has seen of events is that they are full, or nothing.
    other_tokens = STRIDE if event_tokens == STRIDE else 0
    await configure(place, resumable, other_tokens=other_tokens, **PINS)
    target = place.targets["i-e1"]
    target.handler = stream_kept_part(target, sent, 10, event_tokens)
    whole = write_events(1, 10) if resumable else None
    assert await read_complete(place, "/plan/a", **PLAN) == whole


@pytest.mark.parametrize("resumable", [True, False])
async def test_a_part_of_a_stream_is_not_the_whole_where_blocks_are_listed(
    place: Place, resumable: bool
) -> None:
    """Guards against a truncated answer that a list in blocks of tokens states."""
    target = place.targets["i-e1"]
    target.memory.block = 16
    await configure(place, resumable, **PINS)
    target.handler = stream_kept_part(target, 9, 10, STRIDE)
    whole = write_events(1, 10) if resumable else None
    plan = {**PLAN, "Token_Count": "3006,2000", "Prefix_Hash": "a1:1000,b2:2006"}
    assert await read_complete(place, "/plan/a", **plan) == whole


async def test_the_run_of_a_first_attempt_does_not_state_the_end_of_a_second(
    place: Place,
) -> None:
    """Guards against a stream taken up that ends one event early."""
    await configure(place, True, **PINS)
    target = place.targets["i-e1"]
    asked = iter([5])

    async def answer(request: web.Request) -> web.StreamResponse:
        last = next(asked, 6)
        first = int(request.headers["Last-Event-Id"]) + 1
        framing = Framing.CONNECTION if last == 5 else Framing.CHUNKS
        raw = RawAnswer(request, framing, target.sign(request), 0)
        for index in range(first, last + 1):
            raw.write(write_events(index, index))
            await asyncio.sleep(EVENT_INTERVAL)
        # The first attempt's run, which has come to its end meanwhile.
        target.memory.complete(request.headers, STRIDE * 6)
        return raw.end()

    target.handler = answer
    resumed = {**PLAN, "Last_Event_Id": "4", "Resumes": "r-0"}
    found = await read_complete(place, "/plan/a", **resumed)
    assert found == write_events(5, 6)


async def serve_delimited(place: Place, engines: list[FakeTarget]) -> None:
    """Let engines serve eight streams in chunks, one after the other."""

    def answer_whole(target: FakeTarget) -> Handler:
        async def answer(request: web.Request) -> web.StreamResponse:
            raw = RawAnswer(request, Framing.CHUNKS, target.sign(request), 0)
            raw.write(write_events(1, 3))
            return raw.end()

        return answer

    for engine in engines:
        engine.handler = answer_whole(engine)
    for number in range(8):
        prompt = {"Token_Count": "300,2000", "Prefix_Hash": f"a1:100,c{number}:200"}
        plan = {**PLAN, **prompt}
        found = await read_complete(place, "/plan/a", f"r-c{number}", **plan)
        assert found == write_events(1, 3)


def reset_rest(target: FakeTarget, count: int = 100) -> Handler:
    """Return a handler that resets its first connections, and then has the rest."""
    left = iter(range(count))
    write_rest = stream_until(target, EVENTS)

    async def answer(request: web.Request) -> web.StreamResponse:
        if next(left, None) is None:
            return await write_rest(request)
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        return raw.reset()

    return answer


def refuse_rest(target: FakeTarget) -> Handler:
    """Return a handler that refuses each request as not run."""

    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(status=503, headers={"Not-Executed": "1"})

    return answer


@pytest.mark.parametrize("last", [EARLY, EVENTS])
@pytest.mark.parametrize(
    ("resumable", "answer_rest"), [(True, reset_rest), (False, refuse_rest)]
)
async def test_an_open_end_after_many_delimited_streams_is_stated(
    place: Place,
    resumable: bool,
    answer_rest: Callable[[FakeTarget], Handler],
    last: int,
) -> None:
    """Guards against a part as the whole where open ends are rare among streams."""
    await configure(place, resumable, attempts=2, moves=True, **PINS)
    engines = await add_engine(place)
    await serve_delimited(place, engines)
    end_first_early(engines, last, answer_rest)
    whole = write_events(1, EVENTS) if last == EVENTS else None
    assert await read_complete(place, "/plan/a", **PLAN) == whole


async def test_a_question_whose_answer_is_lost_is_asked_again(place: Place) -> None:
    """Guards against streams broken off for one reset beside a living engine."""
    await configure(place, True, attempts=2, moves=True, **PINS)
    engines = await add_engine(place)
    end_first_early(engines, EARLY, lambda other: reset_rest(other, 1))
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)


@pytest.mark.parametrize("last", [EARLY, EVENTS])
async def test_a_list_whose_answer_is_lost_is_read_again(
    place: Place, last: int
) -> None:
    """Guards against a lost list that is taken for an engine that states nothing."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    target.lists_lost = 1
    target.handler = stream_until(target, last)
    whole = write_events(1, EVENTS) if last == EVENTS else None
    assert await read_complete(place, "/plan/a", **PLAN) == whole
    assert target.lists_lost == 0


@pytest.mark.parametrize(
    ("lists_lost", "whole"), [(LIST_TRIES, True), (100, False)], ids=["first", "all"]
)
@pytest.mark.parametrize("resumable", [True, False])
async def test_an_early_close_whose_list_is_lost_is_not_the_end(
    place: Place, resumable: bool, lists_lost: int, whole: bool
) -> None:
    """Guards against a part as the whole, as a lost list contradicts nothing."""
    await configure(place, resumable, **PINS)
    target = place.targets["i-e1"]
    target.lists_lost = lists_lost
    endings = iter([EARLY])

    async def answer(request: web.Request) -> web.StreamResponse:
        return await stream_until(target, next(endings, EVENTS))(request)

    target.handler = answer
    delivered = write_events(1, EVENTS) if resumable and whole else None
    assert await read_complete(place, "/plan/a", **PLAN) == delivered


@EACH_AFTERLIFE
async def test_an_early_close_of_an_engine_that_then_stops_is_not_the_end(
    place: Place, afterlife: Afterlife
) -> None:
    """Guards against a part as the whole, as a stopped engine lives once it goes on."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    write_part = stream_until(target, EARLY)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await write_part(request)
        # Nothing it is asked gets an answer, until after the last query of its list.
        target.afterlife = afterlife
        asyncio.get_running_loop().call_later(1.05, target.go_on)
        return response

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_an_engine_that_is_slow_to_list_is_asked_for_its_start_meanwhile(
    place: Place,
) -> None:
    """Guards against callers who leave as one lost answer is awaited after another."""
    await configure(place, True, attempts=2, **PINS)
    engines = await add_engine(place)
    end_first_early(
        engines, EARLY, lambda other: stream_until(other, EVENTS, rest=Framing.CHUNKS)
    )
    for engine in engines:
        handler = engine.handler
        assert handler is not None

        async def answer(
            request: web.Request, handler: Handler = handler
        ) -> web.StreamResponse:
            response = await handler(request)
            if "Last-Event-Id" not in request.headers:
                name = request.headers["Expect-Instance"]
                place.targets[name].afterlife = Afterlife.SILENT
            return response

        engine.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)
    silent = next(engine for engine in engines if engine.afterlife)
    paths = silent.paths[silent.paths.index("/figstep/kv-list") :]
    assert paths.index("/figstep/report") < LIST_TRIES
    assert paths.count("/figstep/kv-list") == LIST_TRIES


@pytest.mark.parametrize("lists_lost", [LIST_TRIES, 100])
async def test_a_continuation_that_closes_without_an_event_states_no_end(
    place: Place, lists_lost: int
) -> None:
    """Guards against a part as the whole, as a second engine had nothing to add."""
    await configure(place, True, attempts=2, **PINS)
    engines = await add_engine(place)

    def close_at_once(other: FakeTarget) -> Handler:
        async def answer(request: web.Request) -> web.StreamResponse:
            return RawAnswer(
                request, Framing.CONNECTION, other.sign(request), 0
            ).close()

        return answer

    for engine in engines:
        engine.lists_lost = lists_lost
    end_first_early(engines, EARLY, close_at_once)
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_the_end_of_a_run_releases_no_other_run_of_the_same_part(
    place: Place,
) -> None:
    """Guards against whole streams lost as another of their session ends beside."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    other_ended = asyncio.Event()

    async def answer(request: web.Request) -> web.StreamResponse:
        number = request.headers["Request-Id"]
        framing = Framing.CHUNKS if number == "r-other" else Framing.CONNECTION
        raw = RawAnswer(request, framing, target.sign(request), 0)
        raw.write(write_events(1, 1))
        if number == "r-other":
            await asyncio.sleep(0.3)
            other_ended.set()
            return raw.end()
        raw.write(write_events(2, EVENTS))
        await other_ended.wait()
        target.memory.complete(request.headers, STRIDE * EVENTS)
        # The last packet is on its way.
        await asyncio.sleep(0.05)
        return raw.end()

    target.handler = answer
    other = asyncio.create_task(read_complete(place, "/plan/a", "r-other", **PLAN))
    found = await read_complete(place, "/plan/a", **PLAN)
    assert await other == write_events(1, 1)
    assert found == write_events(1, EVENTS)


async def test_a_stopping_entry_resets_a_stream_that_its_caller_reads_to_the_close(
    place: Place,
) -> None:
    """Guards against a part that looks whole to a caller without chunks."""
    await configure(place, False)
    target = place.targets["i-e1"]
    target.handler = stream_until(target, 100)
    entry = place.entries[0]
    address = entry.settings.callers
    reader, writer = await asyncio.open_connection(address.host, address.port)
    lines = [f"{name}: {text}" for name, text in place.headers("r-1", **PLAN).items()]
    request = "\r\n".join(["POST /plan/a HTTP/1.0", *lines, "", ""])
    writer.write(request.encode())
    await reader.readuntil(b"t3\n\n")
    stopping = asyncio.create_task(entry.callers.stop())
    try:
        with pytest.raises(ConnectionResetError):
            await reader.read()
    finally:
        writer.close()
        await stopping


@pytest.mark.parametrize("seconds", [0.0, 0.05], ids=["first", "second"])
@pytest.mark.parametrize("status", [200, 404])
async def test_one_answer_without_a_list_does_not_state_the_end(
    place: Place, status: int, seconds: float
) -> None:
    """Guards against a part as the whole, as one list is cut or another answers."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    write_part = stream_until(target, EARLY)

    def answer_no_list() -> None:
        target.kept = web.Response(status=status, body=b'{"held": [["", "b2", 2')

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await write_part(request)
        # The second list is read a tenth of a second after the first one.
        asyncio.get_running_loop().call_later(seconds, answer_no_list)
        return response

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_an_answer_without_a_list_that_is_read_late_does_not_state_the_end(
    place: Place,
) -> None:
    """Guards against a part as the whole, as a frozen entry reads one cut list."""
    await configure(place, False, pin_ms=300)
    target = place.targets["i-e1"]
    write_part = stream_until(target, EARLY)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await write_part(request)
        target.kept = web.Response(body=b'{"held": [["", "b2", 2')
        freeze(0.4)
        return response

    target.handler = answer
    assert await read_complete(place, "/plan/a", **PLAN) is None


async def test_engines_that_never_list_are_believed(place: Place) -> None:
    """Guards against a loss of all whole streams of engines that keep no runs."""
    await configure(place, False, **PINS)
    target = place.targets["i-e1"]
    target.pins = False
    target.handler = stream_until(target, EVENTS)
    assert await read_complete(place, "/plan/a", **PLAN) == write_events(1, EVENTS)


@pytest.mark.parametrize("rest", list(Framing))
async def test_the_end_of_a_stream_that_was_broken_off_is_stated_as_it_is_taken_up(
    place: Place, rest: Framing
) -> None:
    """Guards against callers who have the last event and can never learn that."""
    await configure(place, True, **PINS)
    target = place.targets["i-e1"]
    target.lists_lost = LIST_TRIES * 2
    target.handler = stream_until(target, EVENTS)
    first = await read_complete(place, "/plan/a", **PLAN)
    target.lists_lost = 0
    target.handler = stream_until(target, EVENTS, rest=rest)
    resumed = {**PLAN, "Last_Event_Id": str(EVENTS), "Resumes": "r-1"}
    found = await read_complete(place, "/plan/a", "r-2", **resumed)
    assert (first, found) == (None, b"")


@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize("last", [EARLY, EVENTS])
async def test_a_stream_that_is_taken_up_outlives_the_release_of_the_run_before(
    place: Place, last: int, attempts: int
) -> None:
    """Guards against 502 as the order of another entry releases this run as well."""
    second = await place.add_entry(node="entry-2")
    await place.wait_ready(second, 2)
    await configure(place, True, attempts, **PINS)
    target = place.targets["i-e1"]
    arrives = target.unpins_held = asyncio.Event()
    write = stream_until(target, EVENTS)

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await write(request)
        if "Last-Event-Id" in request.headers and not arrives.is_set():
            arrives.set()
            while target.memory.count_pinned():
                await asyncio.sleep(0)
        return response

    target.handler = answer
    async with place.session.post(
        place.url("/plan/a"), headers=place.headers("r-1", **PLAN)
    ) as response:
        await response.content.readuntil(b"t%d\n\n" % EVENTS)
        async with asyncio.timeout(2):
            while not target.memory.count_pinned():
                await asyncio.sleep(0)
        response.close()
    async with asyncio.timeout(2):
        while "/figstep/kv-pin/b2" not in target.paths:
            await asyncio.sleep(0.01)
    resumed = {**PLAN, "Last_Event_Id": str(last), "Resumes": "r-1"}
    found = await read_complete(place, "/plan/a", "r-2", second, **resumed)
    assert arrives.is_set()
    assert found == write_events(last + 1, EVENTS)
    async with asyncio.timeout(2):
        while target.memory.count_pinned():
            await asyncio.sleep(0.01)
    # One order by each entry: none for the run that is not kept.
    assert target.paths.count("/figstep/kv-pin/b2") == 2


async def test_the_close_at_the_deadline_is_not_the_end(place: Place) -> None:
    """Guards against a part as the whole, as its engine stops work at the deadline."""
    await configure(place, False, moves=False, backups=False)
    target = place.targets["i-e1"]

    async def answer(request: web.Request) -> web.StreamResponse:
        deadline = int(request.headers["Deadline-Ms"]) / 1000
        raw = RawAnswer(request, Framing.CONNECTION, target.sign(request), 0)
        raw.write(write_events(1, EARLY))
        await asyncio.sleep(deadline)
        return raw.close()

    target.handler = answer
    plan = {**PLAN, "Token_Count": "300,2000", "Prefix_Hash": "a1:100,b2:200"}
    streams = [
        read_complete(place, "/plan/a", f"r-{wait}", **plan, Deadline_Ms=str(wait))
        for wait in range(1_500, 1_580, 8)
    ]
    assert await asyncio.gather(*streams) == [None] * len(streams)
