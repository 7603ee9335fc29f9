"""End-to-end tests of an entry with a fake store and fake targets, with faults."""

import asyncio
import gzip
import os
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from figstep.core.clock import Millis
from figstep.platform.callers import CallerEdge
from figstep.platform.engines import TargetEdge
from figstep.platform.entry import (
    READINESS_NOTICE,
    STOP_RESERVE,
    Entry,
    choose_drain_time,
    serve_until_signal,
)
from figstep.platform.history import HistoryLog
from figstep.platform.settings import load_settings
from tests.framing import Framing, RawAnswer
from tests.platform.places import Place, call_order_route, open_place
from tests.platform.processes import build_network, query_ready, start_entry
from tests.platform.standins import (
    KEY,
    FakeStore,
    build_configuration,
    build_settings,
    write_settings,
)


@pytest.fixture
async def place() -> AsyncIterator[Place]:
    async with open_place() as opened:
        await opened.add_target("i-b1", "bookings")
        for name in ("i-e1", "i-e2", "i-e3"):
            await opened.add_target(name, "engines")
        entry = await opened.add_entry()
        await opened.wait_ready(entry, 4)
        yield opened


def list_events(count: int) -> bytes:
    return b"".join(
        f"id: {index}\ndata: t{index}\n\n".encode() for index in range(1, count + 1)
    )


@dataclass(frozen=True, slots=True)
class Process:
    """Process of an entry, and its address for callers as "ip:port"."""

    process: asyncio.subprocess.Process
    callers: str


BODY_SECONDS = 4.0
"""Time in which a body arrives, in seconds; entries that stop wait at least three."""

PLAN = {"Model": "m", "Token_Count": "3000,2000", "Length_Hint": "80"}


async def test_a_call_goes_through_byte_for_byte(place: Place) -> None:
    headers = place.headers("r-1", X_Kitchen="langar", Tenant="forged", Hold="h")
    url = place.url("/order/a%20b?x=%2F")
    async with place.session.post(
        aiohttp.client.URL(url, encoded=True), data=b"flour", headers=headers
    ) as response:
        assert response.status == 200
        assert await response.read() == b"answer"
        assert response.headers["Server-Stamp"] == "stamp-i-b1"
    target = place.targets["i-b1"]
    received = target.received_headers[0]
    assert target.bodies == [b"flour"]
    assert received["Tenant"] == "gurdwara"
    assert received["X-Kitchen"] == "langar"
    assert int(received["Deadline-Ms"]) <= 4_000
    assert "Credential" not in received
    assert "Hold" not in received


async def test_a_stream_goes_through_byte_for_byte(place: Place) -> None:
    headers = place.headers("r-1", **PLAN)
    async with place.session.post(place.url("/plan/a"), headers=headers) as response:
        assert response.status == 200
        assert await response.read() == list_events(20)


async def test_a_stream_survives_the_loss_of_its_engine(place: Place) -> None:
    """Guards against a caller that loses its plan in the middle of the answer.

    The engine's registration is deleted and the engine ends a little later. The run
    resumes on the engine that holds its backup, inside the same answer, with the
    first engine's signature.
    """
    for target in place.targets.values():
        target.events, target.event_interval = 60, 0.02
    headers = place.headers("r-1", **PLAN)
    async with place.session.post(place.url("/plan/a"), headers=headers) as response:
        start = await response.content.readuntil(b"id: 9\n")
        first = response.headers["Server-Stamp"].removeprefix("stamp-")
        await place.store.put("keyed.servers", first, b"")
        rest = asyncio.create_task(response.read())
        await asyncio.sleep(0.3)
        await place.targets[first].kill()
        assert start + await rest == list_events(60)
    assert place.targets[first].aborted == ["r-1"]


async def test_a_broken_stream_never_looks_complete(place: Place) -> None:
    for name in ("i-e2", "i-e3"):
        await place.store.put("keyed.servers", name, b"")
    await asyncio.sleep(0.1)
    place.targets["i-e1"].event_interval = 0.05
    headers = place.headers("r-1", **PLAN)
    async with place.session.post(place.url("/plan/a"), headers=headers) as response:
        await response.content.readuntil(b"id: 5\n")
        killing = asyncio.create_task(place.targets["i-e1"].kill())
        with pytest.raises(aiohttp.ClientError):
            await response.read()
        await killing


async def open_stream_by_http_1_0(
    place: Place, address: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Request a stream at "ip:port" as a caller that understands no chunks."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = place.headers("r-1", **PLAN)
    lines = [f"{name}: {value}" for name, value in headers.items()]
    request = "\r\n".join(["POST /plan/a HTTP/1.0", *lines, "", ""])
    writer.write(request.encode())
    return reader, writer


async def read_stream_by_http_1_0(place: Place) -> bytes:
    """Read a stream as a caller that understands no chunks.

    Raises:
        ConnectionResetError: If the connection is reset within the stream.
    """
    address = str(place.entries[0].settings.callers)
    reader, writer = await open_stream_by_http_1_0(place, address)
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b" 200 " in head.splitlines()[0]
    return body


async def test_a_caller_without_chunks_gets_its_stream(place: Place) -> None:
    assert await read_stream_by_http_1_0(place) == list_events(20)


async def test_a_caller_without_chunks_sees_that_its_stream_broke(place: Place) -> None:
    """Guards against the end of a connection that looks like the end of a stream."""
    for name in ("i-e2", "i-e3"):
        await place.store.put("keyed.servers", name, b"")
    await asyncio.sleep(0.1)
    target = place.targets["i-e1"]

    async def break_off(request: web.Request) -> web.StreamResponse:
        raw = RawAnswer(request, Framing.CHUNKS, target.sign(request), 0)
        raw.write(list_events(5))
        await asyncio.sleep(0.1)
        return raw.close()

    target.handler = break_off
    with pytest.raises(ConnectionResetError):
        await read_stream_by_http_1_0(place)


async def test_a_disconnected_caller_frees_its_engine(place: Place) -> None:
    for target in place.targets.values():
        target.events, target.event_interval = 500, 0.02
    headers = place.headers("r-1", **PLAN)
    response = await place.session.post(place.url("/plan/a"), headers=headers)
    await response.content.readuntil(b"id: 3\n")
    response.close()
    async with asyncio.timeout(0.5):
        while not any(target.aborted for target in place.targets.values()):
            await asyncio.sleep(0.01)


async def break_connection(request: web.Request) -> web.StreamResponse:
    """Run a request and abort its connection before the answer."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def test_an_order_is_sent_once_and_reported_as_uncertain(place: Place) -> None:
    """Guards against a non-idempotent order that runs twice.

    The service runs the order and its connection breaks before the answer.
    """
    target = place.targets["i-b1"]
    target.handler = break_connection
    async with place.session.post(
        place.url("/order/a"), headers=place.headers("r-1")
    ) as response:
        assert response.status == 502
        assert "Not-Executed" not in response.headers
    assert len(target.received_headers) == 1


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_an_order_by_any_method_is_sent_once(place: Place, method: str) -> None:
    """Guards against an HTTP client that repeats some methods by itself."""
    target = place.targets["i-b1"]
    target.handler = break_connection
    url, headers = place.url("/order/a"), place.headers("r-1")
    async with place.session.request(method, url, headers=headers) as response:
        assert response.status == 502
    assert len(target.received_headers) == 1


async def test_another_requests_answer_is_not_forwarded(place: Place) -> None:
    async def answer_other(request: web.Request) -> web.StreamResponse:
        return web.Response(body=b"other", headers={"Request-Id": "r-0"})

    place.targets["i-b1"].handler = answer_other
    async with place.session.post(
        place.url("/order/a"), headers=place.headers("r-1")
    ) as response:
        assert response.status == 502
        assert b"other" not in await response.read()


async def test_refusals_have_a_retry_after(place: Place) -> None:
    async def refuse(request: web.Request) -> web.StreamResponse:
        return web.Response(status=503, headers={"Not-Executed": "1"})

    place.targets["i-b1"].handler = refuse
    async with place.session.post(
        place.url("/order/a"), headers=place.headers("r-1")
    ) as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/a", KEY, 404), ("/order/a", "unknown", 401)],
)
async def test_unauthorized_requests_reach_no_target(
    place: Place, path: str, key: str, status: int
) -> None:
    headers = place.headers("r-1", Credential=key)
    async with place.session.post(place.url(path), headers=headers) as response:
        assert response.status == status
    assert place.targets["i-b1"].received_headers == []


async def test_a_revoked_key_stops_working(place: Place) -> None:
    tenants = [{"name": "gurdwara", "api_keys": ["key-2"]}]
    await place.store.put("keyed.op", "config", build_configuration(2, tenants=tenants))
    await asyncio.sleep(0.2)
    async with place.session.post(
        place.url("/order/a"), headers=place.headers("r-1")
    ) as response:
        assert response.status == 401


async def add_entry_without_store(
    place: Place, healthy_entry: Entry
) -> tuple[FakeStore, Entry]:
    """Add an entry whose store answers 503 to all calls.

    The entry receives records from its only peer, ``healthy_entry``.

    Returns:
        The store of the entry, which the test has to stop, and the entry.
    """
    rejecting_store = FakeStore()
    await rejecting_store.start()
    rejecting_store.unavailable = True
    entry = Entry(
        build_settings(
            rejecting_store.address, "entry-2", seeds=(healthy_entry.settings.peers,)
        )
    )
    await entry.start()
    place.entries.append(entry)
    await place.wait_ready(entry, 1)
    return rejecting_store, entry


async def test_an_entry_that_the_store_rejects_reads_from_a_peer() -> None:
    """Guards against a revoked key that this entry would accept forever.

    The store answers 503 to all calls of one entry and serves the other. The
    operator's configuration reaches the first through the second.
    """
    async with open_place() as place:
        await place.add_target("i-b1", "bookings")
        healthy_entry = await place.add_entry(node="entry-1")
        await place.wait_ready(healthy_entry, 1)
        rejecting_store, entry = await add_entry_without_store(place, healthy_entry)
        assert entry.is_ready()
        async with place.session.post(
            place.url("/order/a", entry), headers=place.headers("r-1")
        ) as response:
            assert response.status == 200
        await rejecting_store.stop()


async def wait_evacuated(entry: Entry, *domains: str) -> None:
    async with asyncio.timeout(3):
        while entry.gateway.known.evacuations.domains != frozenset(domains):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("value", [b"{}", b"\xff\x00 no document"])
async def test_an_evacuated_domain_gets_no_call(place: Place, value: bytes) -> None:
    """Guards against an evacuation record that has no effect."""
    entry = place.entries[0]
    domain = next(iter(entry.gateway.known.targets.targets.values()))
    key = f"evacuate/{domain.info.failure_domain}"
    await place.store.put("keyed.op", key, value)
    await wait_evacuated(entry, domain.info.failure_domain)
    assert await call_order_route(place, entry, "r-1") == 503
    assert place.targets["i-b1"].received_headers == []
    await place.store.put("keyed.op", key, b"")
    await wait_evacuated(entry)
    assert await call_order_route(place, entry, "r-2") == 200


async def test_evacuations_are_read_after_records_were_deleted() -> None:
    """Guards against evacuations that began or ended in records deleted since."""
    async with open_place() as place:
        await place.add_target("i-b1", "bookings")
        await place.store.put("keyed.op", "evacuate/muc-b", b"{}")
        entry = await place.add_entry()
        await place.wait_ready(entry, 1)
        await wait_evacuated(entry, "muc-b")
        place.store.unavailable = True
        await place.store.put("keyed.op", "config", build_configuration(2))
        await asyncio.sleep(0.1)
        await place.store.put("keyed.op", "evacuate/muc-b", b"")
        await place.store.put("keyed.op", "evacuate/muc-a", b"{}")
        place.store.delete_all("keyed.op")
        place.store.unavailable = False
        await wait_evacuated(entry, "muc-a")


async def test_an_entry_without_the_store_receives_an_evacuation_from_a_peer() -> None:
    """Guards against an entry that keeps sending requests to an evacuated domain."""
    async with open_place() as place:
        await place.add_target("i-b1", "bookings")
        healthy_entry = await place.add_entry(node="entry-1")
        await place.wait_ready(healthy_entry, 1)
        rejecting_store, entry = await add_entry_without_store(place, healthy_entry)
        await place.store.put("keyed.op", "evacuate/muc-a", b"{}")
        await wait_evacuated(entry, "muc-a")
        assert await call_order_route(place, entry, "r-1") == 503
        await rejecting_store.stop()


async def test_without_a_configuration_an_entry_is_not_ready() -> None:
    async with open_place() as place:
        place.store.unavailable = True
        entry = await place.add_entry()
        readiness = entry.settings.readiness
        url = f"http://{readiness.host}:{readiness.port}/figstep/readyz"
        async with place.session.get(url) as response:
            assert response.status == 503
        async with place.session.post(
            place.url("/order/a"), headers=place.headers("r-1")
        ) as response:
            assert response.status == 503
        place.store.unavailable = False
        async with asyncio.timeout(3):
            while not entry.is_ready():
                await asyncio.sleep(0.02)
        async with place.session.get(url) as response:
            assert response.status == 200


async def test_a_graceful_shutdown_cuts_off_no_call(place: Place) -> None:
    async def answer_slowly(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(0.4)
        headers = {"Request-Id": request.headers["Request-Id"], "Server-Stamp": "s"}
        return web.Response(body=b"late", headers=headers)

    place.targets["i-b1"].handler = answer_slowly
    call = asyncio.create_task(
        place.session.post(place.url("/order/a"), headers=place.headers("r-1"))
    )
    await asyncio.sleep(0.1)
    draining = asyncio.create_task(place.entries[0].drain())
    response = await call
    assert await response.read() == b"late"
    assert response.headers["Connection"] == "close"
    await draining


async def test_new_settings_apply_at_once(place: Place) -> None:
    entry = place.entries[0]
    entry.apply_settings(replace(entry.settings, retry_allowance=7.0))
    assert entry.gateway.known.budget.allowance == 7.0


@pytest.mark.parametrize(
    ("grace", "drain"), [(8_000, 7_040), (4_000, 3_400), (1_000, 400), (500, 0)]
)
def test_a_short_grace_time_leaves_enough_to_stop(grace: int, drain: int) -> None:
    """Guards against a process that is killed while it closes open connections."""
    assert choose_drain_time(Millis(grace)) == drain


async def test_an_entry_stops_within_its_grace_time_with_open_answers(
    tmp_path: Path, unused_tcp_port_factory: Callable[[], int]
) -> None:
    """Guards against a process that the platform kills at the end of its grace time.

    A caller's answer is still open at the end of the drain. The listener would wait
    another second for it, and the process would be killed before.
    """
    ports = [unused_tcp_port_factory() for _ in range(3)]
    async with open_place() as place:
        target = await place.add_target("i-b1", "bookings")

        async def never_answer(request: web.Request) -> web.StreamResponse:
            await asyncio.sleep(60)
            return web.Response()

        target.handler = never_answer
        path = tmp_path / "boot.toml"
        write_settings(path, ports, place.store.address, "grace_s = 2\n")
        serving = asyncio.create_task(serve_until_signal(path))
        url = f"http://127.0.0.1:{ports[0]}/order/a"
        await asyncio.sleep(0.5)
        call = asyncio.create_task(
            place.session.post(url, headers=place.headers("r-1"))
        )
        await asyncio.sleep(0.2)
        began = asyncio.get_running_loop().time()
        os.kill(os.getpid(), signal.SIGTERM)
        await serving
        assert asyncio.get_running_loop().time() - began < 2.3
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)


@asynccontextmanager
async def start_process(
    place: Place, folder: Path, grace: float
) -> AsyncIterator[Process]:
    """Run an entry as a process with some grace time, in seconds, until it is ready."""
    network = build_network()
    path = folder / "entry.toml"
    bounds = f"grace_s = {grace}\n"
    network.write_settings(path, 0, place.store.address, bounds=bounds)
    ip = network.find_ip(0)
    process = await start_entry(path, folder / "entry.log")
    try:
        async with asyncio.timeout(20):
            while not await query_ready(f"{ip}:{network.ready}"):
                await asyncio.sleep(0.05)
        yield Process(process, f"{ip}:{network.front}")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def test_a_stream_that_a_stop_cuts_off_is_reset(tmp_path: Path) -> None:
    """Guards against a part of a stream that looks whole as its entry ends."""
    async with open_place() as place:
        engine = await place.add_target("i-e1", "engines")
        engine.events, engine.event_interval = 2_000, 0.02
        async with start_process(place, tmp_path, 1.0) as entry:
            reader, writer = await open_stream_by_http_1_0(place, entry.callers)
            await reader.readuntil(b"id: 3\n")
            entry.process.terminate()
            with pytest.raises(ConnectionResetError):
                while await reader.read(65_536):
                    pass
            writer.close()


async def test_an_entry_with_an_open_stream_ends_well_within_its_grace_time(
    tmp_path: Path,
) -> None:
    """Guards against a process that is killed as it waits for streams it has to cut.

    Half of what is kept of the grace time for the end of the process has to be left, as
    it may run late on a busy machine.
    """
    async with open_place() as place:
        engine = await place.add_target("i-e1", "engines")
        engine.events, engine.event_interval = 2_000, 0.02
        async with start_process(place, tmp_path, 2.0) as entry:
            reader, writer = await open_stream_by_http_1_0(place, entry.callers)
            await reader.readuntil(b"id: 3\n")
            entry.process.terminate()
            async with asyncio.timeout(2.0 - STOP_RESERVE / 1_000 / 2):
                await entry.process.wait()
            writer.close()


async def test_an_entry_that_is_frozen_as_it_is_asked_to_stop_ends_in_time(
    tmp_path: Path,
) -> None:
    """Guards against a grace time that is counted from the end of a freeze."""
    async with open_place() as place:
        engine = await place.add_target("i-e1", "engines")
        engine.events, engine.event_interval = 2_000, 0.02
        async with start_process(place, tmp_path, 3.0) as entry:
            reader, writer = await open_stream_by_http_1_0(place, entry.callers)
            await reader.readuntil(b"id: 3\n")
            entry.process.send_signal(signal.SIGSTOP)
            entry.process.terminate()
            async with asyncio.timeout(3.0):
                await asyncio.sleep(1.5)
                entry.process.send_signal(signal.SIGCONT)
                await entry.process.wait()
            writer.close()


async def test_an_entry_ends_although_several_of_its_services_do_not_stop(
    tmp_path: Path,
    unused_tcp_port_factory: Callable[[], int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a timeout that gives up one service and waits for the next."""

    async def hang(service: object) -> None:
        await asyncio.sleep(60)

    for kind in (CallerEdge, HistoryLog, TargetEdge):
        monkeypatch.setattr(kind, "on_stop", hang)
    ports = [unused_tcp_port_factory() for _ in range(3)]
    async with open_place() as place:
        path = tmp_path / "boot.toml"
        write_settings(path, ports, place.store.address, "grace_s = 1\n")
        serving = asyncio.create_task(serve_until_signal(path))
        await asyncio.sleep(0.5)
        os.kill(os.getpid(), signal.SIGTERM)
        # A timeout would cancel the task, and so end the wait that is tested.
        await asyncio.wait({serving}, timeout=READINESS_NOTICE / 1_000 + 1.0)
        assert serving.done()


def test_written_settings_hold_each_port_whatever_its_digits(tmp_path: Path) -> None:
    """Guards against a port whose digits are taken for the place of another one."""
    path = tmp_path / "boot.toml"
    write_settings(path, [48749, 38742, 58740], "127.0.0.1:7200")
    settings = load_settings(path)
    assert settings.callers.port == 48749
    assert settings.readiness.port == 38742
    assert settings.peers.port == 58740


async def test_a_compressed_body_reaches_its_target_as_it_was_sent(
    place: Place,
) -> None:
    """Guards against a target that gets other bytes than the caller sent."""
    body = gzip.compress(b"two pallets of flour")
    headers = place.headers("r-1", Content_Encoding="gzip")
    url = place.url("/order/a")
    async with place.session.post(url, data=body, headers=headers) as response:
        assert response.status == 200
    target = place.targets["i-b1"]
    assert target.received_headers[0]["Content-Encoding"] == "gzip"
    assert target.bodies == [body]


async def test_a_request_whose_body_is_on_its_way_is_served_as_its_entry_stops(
    place: Place,
) -> None:
    """Guards against an order that is read and dropped by an otherwise idle entry."""
    entry = await place.add_entry(node="entry-2", grace=Millis(8_000))
    await place.wait_ready(entry, 4)
    address = entry.settings.callers
    draining = asyncio.create_task(entry.drain())
    reader, writer = await asyncio.open_connection(address.host, address.port)
    headers = {**place.headers("r-1", Deadline_Ms="2000"), "Content-Length": "10"}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(["POST /order/a HTTP/1.1", *lines, "", ""]).encode())
    writer.write(b"flour")
    await asyncio.sleep(BODY_SECONDS)
    assert not draining.done()
    writer.write(b"sugar")
    async with asyncio.timeout(1):
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        await draining
    writer.close()


@pytest.mark.parametrize("first", [True, False])
async def test_an_entry_that_serves_soon_after_its_start_reads_what_changes(
    first: bool,
) -> None:
    """Guards against targets that come or leave unnoticed for two seconds."""
    async with open_place() as place:
        await place.add_target("i-b1", "bookings")
        seed = build_settings("").peers  # nobody listens there
        entry = await place.add_entry(seeds=(seed,), first_start=first)
        await place.wait_ready(entry, 1)
        assert await call_order_route(place, entry, "r-1") == 200
        await asyncio.sleep(0.4)
        await place.add_target("i-b2", "bookings")
        async with asyncio.timeout(0.4):
            while "i-b2" not in entry.gateway.known.targets.targets:
                await asyncio.sleep(0.01)
