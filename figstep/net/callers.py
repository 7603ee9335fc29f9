"""HTTP server for callers: OpenAI-compatible endpoints and plain services."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import logbook
import orjson
from aiohttp import web
from aiohttp.http import StreamWriter
from mode import Service

from figstep.core.buffers import UNPACED_FRACTION
from figstep.core.clock import Clock
from figstep.core.events import CallerGone, CallerReturned, Event, RequestArrived
from figstep.core.inventory import CustomerInfo, Inventory
from figstep.errors import ListenError
from figstep.metrics import Metrics
from figstep.net.answers import assemble_answer
from figstep.net.arrivals import CHAT_PATH, COMPLETION_PATH, RequestReader
from figstep.net.buffers import (
    PIECE_BYTES,
    BufferTable,
    ExchangeBuffer,
    write_answer,
)
from figstep.net.deliveries import StreamSink, StreamTable
from figstep.net.exchanges import Exchange, NullSink
from figstep.net.headers import CallerHeaders, read_headers
from figstep.net.keys import CustomerKeys
from figstep.net.listener import build_runner, build_tls
from figstep.net.refusals import answer_problem
from figstep.problems import build_document
from figstep.settings import Settings

_log = logbook.Logger("figstep.callers")

DONE = b"data: [DONE]\n\n"
"""End marker of a stream, as sent to callers."""

STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


class CallerEdge(Service):
    """HTTP server for callers and for health checks.

    Attributes:
        buffers: Buffers of all open requests.
        ready: Whether load balancers should send new callers to this entry.
        address: Base URL; empty until the server listens.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        dispatch: Callable[[Event], None],
        exchanges: dict[str, Exchange],
        read_inventory: Callable[[], Inventory | None],
        read_status: Callable[[], dict[str, Any]],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._dispatch = dispatch
        self._exchanges = exchanges
        self._read_inventory = read_inventory
        self._read_status = read_status
        self._keys = CustomerKeys(read_inventory)
        self._reader = RequestReader(settings.node, settings.limits, clock)
        self._runner: web.AppRunner | None = None
        self._grace_tasks: set[asyncio.Task[None]] = set()
        self.streams = StreamTable(settings.limits)
        self.buffers = BufferTable(
            settings.limits.memory_bytes, clock, self._count_buffers, UNPACED_FRACTION
        )
        self.ready = True
        self.address = ""

    async def on_start(self) -> None:
        """Start to listen for callers.

        Raises:
            ListenError: If the address cannot be bound or the TLS files cannot be
                used.
        """
        self._runner = build_runner(
            self._build_app(), self._settings.limits, self.buffers.bounded
        )
        await self._runner.setup()
        listen = self._settings.callers
        tls = build_tls(self._settings.tls)
        site = web.TCPSite(self._runner, listen.host, listen.port, ssl_context=tls)
        try:
            await site.start()
        except OSError as error:
            raise ListenError(
                f"callers: cannot listen on {listen.host}:{listen.port}"
                f" ({error.strerror}); write an address of this instance and a"
                " free port"
            ) from error
        bound = self._runner.addresses[0]
        scheme = "http" if tls is None else "https"
        self.address = f"{scheme}://{bound[0]}:{bound[1]}"

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=self._settings.limits.body_bytes)
        app.router.add_post(CHAT_PATH, self._serve_generation)
        app.router.add_post(COMPLETION_PATH, self._serve_generation)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_route("*", "/services/{name}/{path:.*}", self._serve_service)
        app.router.add_get("/healthz", self._answer_health)
        app.router.add_get("/readyz", self._answer_readiness)
        app.router.add_get("/status", self._answer_status)
        app.on_response_prepare.append(self._prepare_response)
        return app

    async def on_stop(self) -> None:
        """Cancel grace periods and close the listener and its connections."""
        for task in self._grace_tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that are buffered in the connections to callers."""
        server = None if self._runner is None else self._runner.server
        if server is None:
            return 0
        unsent_bytes = 0
        for connection in server.connections:
            if connection.transport is not None:
                unsent_bytes += connection.transport.get_write_buffer_size()
        return unsent_bytes

    async def _prepare_response(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        # Closing a kept-alive connection makes the caller connect to another entry;
        # its next request could otherwise arrive after the listener has closed and
        # be lost. The header announces the close, so that the caller sends no
        # request that crosses it.
        if not self.ready:
            response.headers["Connection"] = "close"
            response.force_close()

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        ready = self.ready and self._read_inventory() is not None
        text = "ready\n" if ready else "not ready\n"
        return web.Response(text=text, status=200 if ready else 503)

    async def _answer_status(self, request: web.Request) -> web.Response:
        body = orjson.dumps(self._read_status())
        return web.Response(body=body, content_type="application/json")

    async def _list_models(self, request: web.Request) -> web.Response:
        self._keys.find_customer(request.headers)
        inventory = self._read_inventory() or Inventory()
        models = []
        for model in inventory.models:
            models.append(
                {"id": model.name, "object": "model", "created": 0, "owned_by": ""}
            )
        body = orjson.dumps({"object": "list", "data": models})
        return web.Response(body=body, content_type="application/json")

    def _count_buffers(self, name: str) -> None:
        if name == "buffers_rejected":
            self._metrics.count("buffers.rejected")
        else:
            self._metrics.count("buffers.terminated")

    @contextmanager
    def _open_buffer(self, request: web.Request) -> Iterator[ExchangeBuffer]:
        """Count what is buffered for a request until its answer is sent."""
        announced = min(request.content_length or 0, self._settings.limits.body_bytes)

        def abort() -> None:
            if request.transport is not None:
                request.transport.abort()

        buffer = self.buffers.open(announced, abort)
        try:
            yield buffer
        finally:
            if not buffer.kept:
                buffer.close()

    async def _serve_generation(self, request: web.Request) -> web.StreamResponse:
        customer = self._keys.find_customer(request.headers)
        headers = read_headers(request.headers, self._settings.limits)
        with self._open_buffer(request) as buffer:
            return await self._generate(request, customer, headers, buffer)

    async def _generate(
        self,
        request: web.Request,
        customer: CustomerInfo,
        headers: CallerHeaders,
        buffer: ExchangeBuffer,
    ) -> web.StreamResponse:
        raw = await self._reader.read_body(request, buffer, self.buffers)
        inventory = self._read_inventory() or Inventory()
        exchange = self._reader.read_generation(
            request, raw, headers, customer, inventory
        )
        # The exchange holds the body that is sent; this one would be held beside it.
        del raw
        exchange.buffer = buffer
        if exchange.spec.stream:
            return await self._stream_answer(request, headers, exchange)
        await self._run_exchange(exchange)
        if exchange.problem is not None:
            return answer_problem(exchange.problem)
        chat = request.path == CHAT_PATH
        body = orjson.dumps(assemble_answer(exchange.pop_frames(), chat))
        return web.Response(body=body, content_type="application/json")

    async def _serve_service(self, request: web.Request) -> web.StreamResponse:
        customer = self._keys.find_customer(request.headers)
        headers = read_headers(request.headers, self._settings.limits)
        with self._open_buffer(request) as buffer:
            return await self._call(request, customer, headers, buffer)

    async def _call(
        self,
        request: web.Request,
        customer: CustomerInfo,
        headers: CallerHeaders,
        buffer: ExchangeBuffer,
    ) -> web.StreamResponse:
        raw = await self._reader.read_body(request, buffer, self.buffers)
        inventory = self._read_inventory() or Inventory()
        exchange = self._reader.read_call(request, raw, headers, customer, inventory)
        exchange.buffer = buffer
        await self._run_exchange(exchange)
        if exchange.problem is not None:
            return answer_problem(exchange.problem)
        answer = exchange.answer
        assert answer is not None
        if self.buffers.bounded and len(answer.body) > PIECE_BYTES:
            begun = web.StreamResponse(status=answer.status, headers=answer.headers)
            return await write_answer(request, begun, answer.body, buffer)
        return web.Response(
            body=answer.body, status=answer.status, headers=answer.headers
        )

    async def _run_exchange(self, exchange: Exchange) -> None:
        self._begin(exchange, RequestArrived(exchange.spec))
        try:
            await exchange.wait_end()
        except asyncio.CancelledError:
            self._dispatch(CallerGone(exchange.spec.request))
            raise
        finally:
            self._finish(exchange)

    def _begin(self, exchange: Exchange, event: Event) -> None:
        exchange.received_at = self._clock.now()
        self._exchanges[exchange.spec.request] = exchange
        self._dispatch(event)

    def _finish(self, exchange: Exchange) -> None:
        spec = exchange.spec
        del self._exchanges[spec.request]
        duration = self._clock.now() - exchange.received_at
        self._metrics.time("requests.duration", duration)
        problem = exchange.problem
        code = "gone" if problem is None else problem.code
        _log.info(
            "request ended",
            extra={
                "request": spec.request,
                "customer": spec.customer,
                "outcome": "whole" if exchange.completed else code,
                "millis": duration,
            },
        )

    async def _stream_answer(
        self, request: web.Request, headers: CallerHeaders, exchange: Exchange
    ) -> web.StreamResponse:
        self._begin(exchange, _read_event(headers, exchange))
        try:
            response = await self._write_stream(request, exchange)
        except BaseException:
            self._handle_disconnect(exchange, headers.grace)
            raise
        self._finish(exchange)
        return response

    def _handle_disconnect(self, exchange: Exchange, grace: float) -> None:
        """End the request of a disconnected caller, now or within ``grace`` seconds.

        The generation is cancelled only if the request ends now. Without a grace
        period, before the stream has begun and after the answer has ended, the
        request ends now.
        """
        if not grace or exchange.sink is None or exchange.ended:
            self._dispatch(CallerGone(exchange.spec.request))
            self._finish(exchange)
            return
        exchange.sink = NullSink()
        self._metrics.count("callers.away")
        task = asyncio.get_running_loop().create_task(
            self._wait_out_grace(exchange, grace)
        )
        self._grace_tasks.add(task)
        task.add_done_callback(self._grace_tasks.discard)

    async def _wait_out_grace(self, exchange: Exchange, grace: float) -> None:
        try:
            async with asyncio.timeout(grace):
                await exchange.wait_end()
        except TimeoutError:
            # The caller may meanwhile read the same generation through another
            # entry, where a cancellation would cut off its answer. Without a
            # cancellation the target ends the generation if nobody reads it.
            self._dispatch(CallerGone(exchange.spec.request, cancel=False))
        finally:
            self._finish(exchange)

    async def _write_stream(
        self, request: web.Request, exchange: Exchange
    ) -> web.StreamResponse:
        await exchange.wait()
        if exchange.problem is not None and not exchange.frames:
            return answer_problem(exchange.problem)
        response = web.StreamResponse(headers=STREAM_HEADERS)
        writer = await response.prepare(request)
        transport = request.transport
        if not isinstance(writer, StreamWriter) or transport is None:
            raise ConnectionResetError("the caller closed its connection")
        loop = asyncio.get_running_loop()
        buffer = exchange.buffer if self.buffers.bounded else None
        sink = StreamSink(writer, transport, self._settings.limits, loop.time, buffer)
        exchange.sink = sink
        self.streams.add(sink)
        try:
            if exchange.frames:
                exchange.deliver(exchange.pop_frames())
            await exchange.wait_end()
        finally:
            self.streams.finish(sink)
            self._metrics.time("streams.longest_gap", sink.gaps.longest * 1000)
            self._metrics.time("streams.stall", sink.gaps.stalled * 1000)
        if exchange.problem is None:
            await response.write_eof(DONE)
            return response
        # The reader may have exceeded the buffer limit: waiting for the buffer to
        # drain would hold its memory until the reader reads.
        document = orjson.dumps(build_document(exchange.problem))
        response.force_close()
        await writer.write(b"event: error\ndata: " + document + b"\n\n", drain=False)
        return response

    @Service.task
    async def _sweep_streams(self) -> None:
        limits = self._settings.limits
        period = min(limits.keep_alive_seconds, limits.stalled_seconds)
        while not self.should_stop:
            await self.sleep(period)
            if self.buffers.bounded:
                self._metrics.gauge("buffers.bytes", self.buffers.budget.used)
            swept = self.streams.sweep(asyncio.get_running_loop().time())
            if swept.aborted:
                self._metrics.count("callers.stalled", swept.aborted)


def _read_event(headers: CallerHeaders, exchange: Exchange) -> Event:
    last = headers.last_event
    if last is None:
        return RequestArrived(exchange.spec)
    return CallerReturned(exchange.spec, last.generation, last.index)
