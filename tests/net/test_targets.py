"""Tests of the edge to targets."""

import asyncio
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from aiohttp import web
from yarl import URL

from figstep.core.effects import CancelGeneration, OpenAttempt
from figstep.core.events import (
    AttemptEnded,
    AttemptLost,
    Event,
    Loss,
    ServiceAnswered,
    TargetDown,
    TokensArrived,
)
from figstep.core.inventory import EngineInfo, ServiceInfo
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from figstep.net.buffers import RequestBody
from figstep.net.exchanges import Exchange
from figstep.net.probes import open_witness
from figstep.net.targets import TargetEdge
from figstep.standins.http import start_app


async def test_connection_is_reused_when_the_end_of_the_body_is_late() -> None:
    """Guards against a new connection for each answer.

    A target writes the end marker, and the end of the body a moment later. The answer
    ends with the marker, but the connection can be reused only once it is read to the
    end of the body.
    """
    ports = set()

    async def answer(request: web.Request) -> web.StreamResponse:
        ports.add(request.transport.get_extra_info("peername")[1])
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"id: e1~0~1:1\ndata: {}\n\ndata: [DONE]\n\n")
        await asyncio.sleep(0.05)
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", answer)
    runner, url = await start_app(app)
    events: asyncio.Queue[Event] = asyncio.Queue()
    engine = EngineInfo("e1", url, "muc-a", ("m",))
    edge = TargetEdge(events.put_nowait, lambda _: engine)
    spec = RequestSpec("r1", "c", GenerationWork("m"))
    exchange = Exchange(spec, "POST", "/v1/completions", {}, RequestBody(b"{}"))
    for attempt in (1, 2, 3):
        edge.open_attempt(OpenAttempt("r1", attempt, "e1", "e1~0~1"), exchange)
        async with asyncio.timeout(20):
            while await events.get() != AttemptEnded(attempt):
                continue
            while edge._attempt_tasks:
                await asyncio.sleep(0.01)
    await edge.stop()
    await runner.cleanup()
    assert len(ports) == 1


async def probe(address: str) -> list[Event]:
    """Return the events that a probe of a target at an address dispatches."""
    events: list[Event] = []
    edge = TargetEdge(events.append, lambda _: ServiceInfo("s1", "x", address, "a"))
    edge.probe_target("s1")
    async with asyncio.timeout(20):
        while edge._background:
            await asyncio.sleep(0.01)
    await edge.stop()
    return events


async def test_a_probe_reports_a_target_that_is_down() -> None:
    """Guards against calls that crash plain services without being suspected."""
    runner, url = await start_app(web.Application())
    assert await probe(url) == []
    await runner.cleanup()
    assert await probe(url) == [TargetDown("s1")]


async def test_an_attempt_closed_while_events_arrive_closes_its_connection() -> None:
    """Guards against targets that keep working for a disconnected caller."""
    connection_closed = asyncio.Event()

    async def stream(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            for index in range(1, 1_000):
                await response.write(b"id: e1~0~1:%d\ndata: {}\n\n" % index)
                await asyncio.sleep(0.01)
        except ConnectionError:
            connection_closed.set()
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", stream)
    runner, url = await start_app(app)

    def handle_event(event: Event) -> None:
        if isinstance(event, TokensArrived):
            edge.close_attempt(event.attempt)

    engine = EngineInfo("e1", url, "muc-a", ("m",))
    edge = TargetEdge(handle_event, lambda _: engine)
    spec = RequestSpec("r1", "c", GenerationWork("m"))
    exchange = Exchange(spec, "POST", "/v1/completions", {}, RequestBody(b"{}"))
    edge.open_attempt(OpenAttempt("r1", 1, "e1", "e1~0~1"), exchange)
    async with asyncio.timeout(5):
        await connection_closed.wait()
    await edge.stop()
    await runner.cleanup()


@pytest.mark.parametrize("status", [0, 429, 502, 503])
@pytest.mark.parametrize("unmet", [1, 3])
async def test_a_lost_cancellation_is_sent_again(unmet: int, status: int) -> None:
    """Guards against targets that generate whole answers that nobody reads."""
    cancellations = []
    cancelled = asyncio.Event()

    async def cancel(request: web.Request) -> web.Response:
        cancellations.append(request.path)
        if len(cancellations) > unmet:
            cancelled.set()
            return web.Response()
        if not status:
            assert request.transport is not None
            request.transport.abort()
        return web.Response(status=status or 200)

    app = web.Application()
    app.router.add_delete("/v1/generations/{name}", cancel)
    runner, url = await start_app(app)
    engine = EngineInfo("e1", url, "muc-a", ("m",))
    edge = TargetEdge(lambda _: None, lambda _: engine)
    edge.cancel_generation(CancelGeneration("e1", "e1~0~1"))
    async with asyncio.timeout(20):
        await cancelled.wait()
    await edge.stop()
    await runner.cleanup()
    assert cancellations == ["/v1/generations/e1~0~1"] * (unmet + 1)


class OneByOne(BaseHTTPRequestHandler):
    """Handler of a server that ends each body with its connection, one at a time."""

    def do_GET(self) -> None:
        self.send_response(200)
        self.end_headers()
        for _ in range(3):
            self.wfile.write(b"flour ")
            time.sleep(0.05)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


async def test_a_service_that_serves_one_connection_at_a_time_is_read_whole() -> None:
    """Guards against a second connection for which such a service lets the first wait.

    It answers nothing on a connection that it has not yet accepted.
    """
    with HTTPServer(("127.0.0.1", 0), OneByOne) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        service = ServiceInfo("s1", "x", f"http://127.0.0.1:{server.server_port}", "a")
        events: asyncio.Queue[Event] = asyncio.Queue()
        edge = TargetEdge(events.put_nowait, lambda _: service)
        spec = RequestSpec("r1", "c", ServiceWork("x", "GET", "/stock"))
        try:
            for attempt in (1, 2, 3):
                exchange = Exchange(spec, "GET", "/stock", {}, RequestBody())
                edge.open_attempt(OpenAttempt("r1", attempt, "s1", ""), exchange)
                async with asyncio.timeout(20):
                    event = await events.get()
                assert isinstance(event, ServiceAnswered), event
                assert event.body == b"flour flour flour "
        finally:
            await edge.stop()
            await asyncio.to_thread(server.shutdown)
            thread.join()


class RawService:
    """Plain service that answers each call whole, with a status line of its own."""

    def __init__(self, status_line: bytes) -> None:
        self.calls = 0
        self._status_line = status_line

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls += 1
        writer.write(self._status_line + b"\r\nContent-Length: 5\r\n\r\nwhole")
        await writer.drain()
        writer.close()


@pytest.mark.parametrize("once", [False, True])
@pytest.mark.parametrize(
    "status_line", [b"HTTP/1.1 000 OK", b"HTTP/1.1 099 X", b"HTTP/1.1 101 X"]
)
async def test_a_status_that_is_not_final_is_no_answer_of_a_service(
    status_line: bytes, once: bool
) -> None:
    """Guards against callers that get a status unknown to HTTP as their answer."""
    service = RawService(status_line)
    server = await asyncio.start_server(service.answer, "127.0.0.1", 0)
    address = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    events: asyncio.Queue[Event] = asyncio.Queue()
    edge = TargetEdge(
        events.put_nowait, lambda _: ServiceInfo("s1", "x", address, "muc-a")
    )
    spec = RequestSpec("r1", "c", ServiceWork("x", "POST", "/a"))
    exchange = Exchange(spec, "POST", "/a", {}, RequestBody(b""))
    edge.open_attempt(OpenAttempt("r1", 1, "s1", "", once=once), exchange)
    async with asyncio.timeout(20):
        event = await events.get()
        while not isinstance(event, AttemptLost | ServiceAnswered):
            event = await events.get()
    await edge.stop()
    server.close()
    assert isinstance(event, AttemptLost)
    assert event.loss in (Loss.BROKEN, Loss.FAILED, Loss.TRUNCATED)
    assert service.calls == 1


@pytest.mark.parametrize("status_line", [b"HTTP/1.1 000 OK", b"HTTP/1.1 x", b"nothing"])
async def test_a_witness_without_a_valid_status_states_no_life(
    status_line: bytes,
) -> None:
    """Guards against a target that counts as alive for an answer that is none."""
    service = RawService(status_line)
    server = await asyncio.start_server(service.answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with open_witness(URL(f"http://127.0.0.1:{port}"), 1.0) as witness:
        assert witness is not None
        assert not await witness.answers(1.0)
    server.close()
