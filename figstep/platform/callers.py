"""HTTP server for the platform's callers, readiness checks and metrics."""

import asyncio
import hashlib
import resource
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from aiohttp import HttpVersion11, web
from mode import Service
from multidict import CIMultiDictProxy

from figstep.core.clock import Millis
from figstep.core.problems import Problem, Ran
from figstep.errors import RefusedError
from figstep.gateway.edges import AnswerHead, CallerPort, WholeAnswer
from figstep.gateway.events import CallerGone, Event, RequestArrived, RoutedRequest
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import CallerLimits
from figstep.net.buffers import (
    PIECE_BYTES,
    BufferTable,
    ExchangeBuffer,
    RequestBody,
    read_request_body,
    write_answer,
)
from figstep.net.connections import ConnectionLimits
from figstep.net.listener import build_runner
from figstep.net.sockets import close_in_order, reset_on_close
from figstep.platform import names
from figstep.platform.listeners import BACKLOG, listen
from figstep.platform.relays import mark_relayed
from figstep.platform.settings import Address
from figstep.problems import encode_problem
from figstep.settings import Limits

_log = logbook.Logger("figstep.callers")

READY_PATH = "/figstep/readyz"
METRICS_PATH = "/metrics"

BODY_TIMEOUT_SECONDS = 10.0
"""Timeout of reading a caller's body, in seconds."""

MAX_BODY_BYTES = 8_388_608
"""Largest body that the HTTP server reads, in bytes. The gateway then checks the body
against the limit in the configuration, 4 MiB by default."""

READINESS_STOP_TIMEOUT_SECONDS = 0.1
"""How long the readiness listener waits for open checks when it stops, in seconds; a
check takes a millisecond."""

_UNKNOWN_ENTRY = Problem(
    503, "unknown_entry", "this entry does not know the one that passes the request on"
)

LISTEN_LIMITS = Limits(
    body_bytes=MAX_BODY_BYTES,
    header_bytes=32_768,
    headers=128,
    body_seconds=BODY_TIMEOUT_SECONDS,
)

RELAY_HEAD_BYTES = 4_096
"""Bytes by which the head of a request that another entry passes on may be larger than
that of its caller."""

RELAY_IDLE_TIMEOUT = Millis(75_000)
"""How long a connection of another entry may stay without a request, in milliseconds.
It has to be longer than entries keep such connections to use them again."""

CALLER_SHARE = 1 / 2
"""Share of an entry's descriptors that connections with callers may take."""

RELAY_SHARE = 1 / 8
"""Share of the descriptors that connections for requests of other entries may take."""

MIN_CONNECTIONS = 8
"""Connections that each listener may have however few descriptors there are."""

READINESS_SHARE = 1 / 32
"""Share of the descriptors that connections for readiness checks may take."""


class CallerExchange:
    """A caller's request, and the parts of its answer as they arrive.

    Attributes:
        buffer: What is buffered of the answer.
        path: Path with its query, as received.
        headers: Headers that are forwarded to targets.
        credential: API key that the caller sent, or None.
        head: Status and headers of a stream; None until the stream has begun.
        answer: Complete answer of a target; None if there is none.
        problem: Error answer made by the gateway; None if there is none.
        finished: Whether a stream has ended as complete.
        broken: Whether a stream has to be cut off.
    """

    def __init__(
        self,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: RequestBody,
        buffer: ExchangeBuffer,
        credential: str | None = None,
    ) -> None:
        self.buffer = buffer
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.credential = credential
        self.head: AnswerHead | None = None
        self.answer: WholeAnswer | None = None
        self.problem: Problem | None = None
        self.finished = False
        self.broken = False
        self._pieces: deque[bytes] = deque()
        self._changed = asyncio.Event()

    @property
    def request_id(self) -> str | None:
        """The id that the caller gave this request; None if it gave none."""
        return dict(self.headers).get(names.REQUEST_ID)

    @property
    def ended(self) -> bool:
        """Whether no more parts of the answer follow; some may still be unsent."""
        has_answer = self.answer is not None or self.problem is not None
        return has_answer or self.finished or self.broken

    def add(self, data: bytes) -> None:
        """Append bytes of a stream and wake the HTTP handler."""
        self._pieces.append(data)
        self._changed.set()

    def wake_handler(self) -> None:
        """Wake the HTTP handler, which waits for changes of this exchange."""
        self._changed.set()

    def pop_data(self) -> bytes:
        """Return the next bytes of the stream, about ``PIECE_BYTES``, and remove them.

        All at once would be in memory twice while they wait for a slow reader.
        """
        pieces = []
        size = 0
        while self._pieces and size < PIECE_BYTES:
            pieces.append(self._pieces.popleft())
            size += len(pieces[-1])
        return b"".join(pieces)

    async def wait(self) -> None:
        """Wait for the next change of this exchange."""
        await self._changed.wait()
        self._changed.clear()


@dataclass(frozen=True, slots=True)
class RelayListener:
    """Where other entries pass requests on to this one.

    Attributes:
        address: Address at which this entry listens for them.
        is_entry: Returns whether an IP address is that of another entry.
    """

    address: Address
    is_entry: Callable[[str], bool]


class CallerEdge(Service, CallerPort):
    """HTTP server for callers, readiness checks and metrics.

    Attributes:
        ready: Whether readiness checks may succeed; False while the entry drains.
        closing: Whether connections are closed after their current answer.
        exchanges: Exchanges of open requests, by number.
    """

    def __init__(
        self,
        callers: Address,
        readiness: Address,
        dispatch: Callable[[Event], None],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        listener: socket.socket | None = None,
        relays: RelayListener | None = None,
        *,
        buffers: BufferTable,
        descriptors: int,
    ) -> None:
        """Prepare the server; nothing listens before it starts.

        Args:
            callers: Address for callers.
            readiness: Address for readiness checks and metrics.
            dispatch: Called with the event of each request.
            is_ready: Returns whether the entry can serve requests.
            render_metrics: Returns the metrics as text.
            listener: Socket that already listens for callers, or None to open one.
            relays: Where other entries pass requests on to this one, or None.
            buffers: Buffers of all open requests.
            descriptors: Largest number of open files and sockets.
        """
        super().__init__()
        allowed = min(descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self._caller_limits = _build_limits(allowed * CALLER_SHARE)
        self._relay_limits = _build_limits(allowed * RELAY_SHARE)
        self._readiness_limits = _build_limits(allowed * READINESS_SHARE)
        self.set_limits(CallerLimits())
        self._buffers = buffers
        self._relays = relays
        self._callers = callers
        self._listener = listener
        self._readiness = readiness
        self._dispatch = dispatch
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._runners: list[web.BaseRunner] = []
        self._next_number = 1
        self.ready = True
        self.closing = False
        self.exchanges: dict[int, CallerExchange] = {}
        self._open_requests = 0

    async def on_start(self) -> None:
        """Listen for callers and for readiness checks.

        Raises:
            OSError: If an address is in use or does not belong to this machine.
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._serve)
        app.on_response_prepare.append(self._prepare_response)
        listener = self._listener
        if listener is None:
            listener = listen(self._callers.host, self._callers.port)
        await self._listen(_build_request_runner(app, self._caller_limits), listener)
        if self._relays is not None:
            await self._listen_for_entries(self._relays.address)
        readiness_app = web.Application()
        readiness_app.router.add_get(READY_PATH, self._answer_readiness)
        readiness_app.router.add_get(METRICS_PATH, self._answer_metrics)
        runner = build_runner(
            readiness_app,
            LISTEN_LIMITS,
            bounded=True,
            connections=self._readiness_limits,
            shutdown_seconds=READINESS_STOP_TIMEOUT_SECONDS,
        )
        await self._listen(runner, listen(self._readiness.host, self._readiness.port))

    async def _listen_for_entries(self, address: Address) -> None:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._serve_entry)
        app.on_response_prepare.append(self._prepare_response)
        runner = _build_request_runner(app, self._relay_limits)
        await self._listen(runner, listen(address.host, address.port))

    async def _listen(self, runner: web.BaseRunner, listener: socket.socket) -> None:
        await runner.setup()
        self._runners.append(runner)
        await web.SockSite(runner, listener, backlog=BACKLOG).start()

    async def on_stop(self) -> None:
        """Close the listeners."""
        for runner in self._runners:
            await runner.cleanup()

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the configured limits, also to connections that are open."""
        for connections in (
            self._caller_limits,
            self._relay_limits,
            self._readiness_limits,
        ):
            connections.head_bytes = limits.header_bytes
            connections.head_timeout = limits.header_timeout
            connections.idle_timeout = limits.idle_timeout
        self._relay_limits.head_bytes += RELAY_HEAD_BYTES
        self._relay_limits.idle_timeout = RELAY_IDLE_TIMEOUT

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, also none whose body is on its way."""
        return not self._open_requests

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        ready = self.ready and self._is_ready()
        return web.Response(status=200 if ready else 503)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self._render_metrics(), content_type="text/plain")

    async def _prepare_response(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        # If the connection stayed open, the caller's next request on it could be sent
        # as the process ends, and be lost.
        if self.closing:
            response.headers["Connection"] = "close"
            response.force_close()

    async def _serve_entry(self, request: web.Request) -> web.StreamResponse:
        """Serve a request that another entry passes on."""
        assert self._relays is not None
        response: web.StreamResponse
        if self._relays.is_entry(request.remote or ""):
            response = await self._serve(request, relayed=True)
        else:
            _log.warning("relayed request rejected", extra={"from": request.remote})
            response = build_problem_response(_UNKNOWN_ENTRY)
        request_id = request.headers.get(names.REQUEST_ID)
        if not response.prepared and request_id is not None:
            # An entry takes no answer without the id of its request.
            response.headers.setdefault(names.REQUEST_ID, request_id)
        return response

    async def _serve(
        self, request: web.Request, relayed: bool = False
    ) -> web.StreamResponse:
        number = self._next_number
        self._next_number += 1
        announced = min(request.content_length or 0, MAX_BODY_BYTES)
        try:
            buffer = self._buffers.open(
                announced, lambda: self._abort(number, request.transport)
            )
        except RefusedError as error:
            return build_problem_response(error.problem)
        self._open_requests += 1
        try:
            return await self._serve_buffered(number, request, relayed, buffer)
        finally:
            self._open_requests -= 1
            buffer.close()

    def _abort(self, number: int, transport: asyncio.Transport | None) -> None:
        """Close a caller's connection at once, and end all work for it."""
        if transport is not None:
            transport.abort()
        self._dispatch(CallerGone(number))

    async def _serve_buffered(
        self, number: int, request: web.Request, relayed: bool, buffer: ExchangeBuffer
    ) -> web.StreamResponse:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                body = await read_request_body(
                    request, buffer, self._buffers, MAX_BODY_BYTES
                )
        except TimeoutError:
            problem = Problem(408, "body_too_slow", "send the body faster")
            return build_problem_response(problem)
        except RefusedError as error:
            return build_problem_response(error.problem)
        exchange = CallerExchange(
            request.method,
            request.raw_path,
            select_headers(request),
            body,
            buffer,
            request.headers.get(names.CREDENTIAL),
        )
        self.exchanges[number] = exchange
        spec = read_request(number, request, body)
        if relayed:
            spec = mark_relayed(spec, request.headers)
        try:
            self._dispatch(RequestArrived(spec))
            return await self._answer(request, exchange)
        finally:
            del self.exchanges[number]
            if not exchange.ended:
                self._dispatch(CallerGone(number))

    async def _answer(
        self, request: web.Request, exchange: CallerExchange
    ) -> web.StreamResponse:
        while exchange.head is None and not exchange.ended:
            await exchange.wait()
        if exchange.answer is not None:
            answer = exchange.answer
            if len(answer.body) > PIECE_BYTES:
                begun = web.StreamResponse(status=answer.head.status)
                _set_headers(begun, answer.head)
                return await write_answer(request, begun, answer.body, exchange.buffer)
            response = web.Response(status=answer.head.status, body=answer.body)
            _set_headers(response, answer.head)
            return response
        if exchange.problem is not None:
            return build_problem_response(exchange.problem)
        return await self._write_stream(request, exchange)

    async def _write_stream(
        self, request: web.Request, exchange: CallerExchange
    ) -> web.StreamResponse:
        head = exchange.head
        if head is None:
            raise ConnectionError("the stream broke before its first byte")
        response = web.StreamResponse(status=head.status)
        _set_headers(response, head)
        response.content_length = head.length
        if head.length is None and request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        await response.prepare(request)
        if head.length is None and not response.chunked:
            # The close is the end of the body. It has to differ from that of an entry
            # that stops or crashes before.
            reset_on_close(request.transport)
        while True:
            data = exchange.pop_data()
            if data:
                await _write_pieces(request, response, data, exchange.buffer)
                continue
            if exchange.ended:
                break
            await exchange.wait()
        if exchange.finished:
            close_in_order(request.transport)
            await response.write_eof()
            return response
        # The connection is closed without the terminating chunk, so that the caller
        # cannot mistake the answer for a complete one.
        response.force_close()
        if request.transport is not None:
            if not response.chunked:
                reset_on_close(request.transport)
            request.transport.close()
        raise ConnectionError("the stream was cut off")

    @property
    def has_served(self) -> bool:
        """Whether a caller has sent a request."""
        return self._next_number > 1

    def begin_stream(self, number: int, head: AnswerHead) -> None:
        """Start a stream to a caller; ignored if the request is not open."""
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.head = head
            exchange.wake_handler()

    def deliver(self, number: int, data: bytes) -> None:
        """Add bytes to a caller's stream; ignored if the request is not open."""
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.buffer.add(len(data))
            exchange.add(data)

    def finish_stream(self, number: int) -> None:
        """End a stream as complete; ignored if the request is not open."""
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.finished = True
            exchange.wake_handler()

    def break_stream(self, number: int) -> None:
        """Cut a stream off so that it cannot look complete, if the request is open."""
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.broken = True
            exchange.wake_handler()

    def break_all_streams(self) -> int:
        """Cut all open streams off, as ``break_stream`` does; return their number."""
        streams = [
            number
            for number, exchange in self.exchanges.items()
            if exchange.head is not None and not exchange.ended
        ]
        for number in streams:
            self.break_stream(number)
        return len(streams)

    def answer(self, number: int, answer: WholeAnswer) -> None:
        """Send a target's complete answer; ignored if the request is not open."""
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.answer = answer
            exchange.wake_handler()

    def refuse(self, number: int, problem: Problem) -> None:
        """Send an error answer of the gateway; ignored if the request is not open."""
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.problem = problem
            exchange.wake_handler()


async def _write_pieces(
    request: web.Request,
    response: web.StreamResponse,
    data: bytes,
    buffer: ExchangeBuffer,
) -> None:
    """Write bytes of a stream, no faster than the caller's connection takes them."""
    for start in range(0, len(data), PIECE_BYTES):
        piece = data[start : start + PIECE_BYTES]
        await response.write(piece)
        await request.writer.drain()
        buffer.take(len(piece))


def select_headers(request: web.Request) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request that are forwarded to targets.

    Headers of the connection, those that the Connection header lists (except Host), and
    those that only this system may set are left out.
    """
    connection_options = {
        name.strip().lower()
        for value in request.headers.getall("Connection", [])
        for name in value.split(",")
    }
    selected = []
    for name, value in request.headers.items():
        lower = name.lower()
        if lower in names.CONNECTION_HEADERS or lower in names.SYSTEM_HEADERS:
            continue
        if lower in connection_options and lower != "host":
            continue
        selected.append((name, value))
    return tuple(selected)


def _build_limits(connections: float) -> ConnectionLimits:
    limits = CallerLimits()
    return ConnectionLimits(
        limits.header_bytes,
        limits.header_timeout,
        limits.idle_timeout,
        max(MIN_CONNECTIONS, round(connections)),
    )


def _build_request_runner(
    app: web.Application, limits: ConnectionLimits
) -> web.BaseRunner:
    # Bodies are forwarded as they were sent.
    return build_runner(
        app, LISTEN_LIMITS, bounded=True, decompress=False, connections=limits
    )


def read_request(number: int, request: web.Request, body: RequestBody) -> RoutedRequest:
    """Return a request in the form that the gateway's decisions use.

    ``number`` identifies the request at this entry.
    """
    headers = request.headers
    key = headers.get(names.CREDENTIAL)
    digest = hashlib.sha256(f"{key} {request.method} {request.raw_path}\n".encode())
    for part in body:
        digest.update(part)
    return RoutedRequest(
        number=number,
        id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        host=headers.get("Host", ""),
        path=request.raw_path.partition("?")[0],
        key=key,
        max_wait=_read_millis(headers.get(names.DEADLINE)),
        prompt=read_prompt(headers),
        after=_read_number(headers.get(names.LAST_EVENT)),
        resumes=headers.get(names.RESUMES, ""),
        digest=digest.hexdigest()[:24],
        body_bytes=len(body),
    )


def read_prompt(headers: CIMultiDictProxy[str]) -> Prompt | None:
    """Return the prompt that the headers of a generation describe.

    Returns:
        The prompt; None if its token count is missing or invalid, as the request is
        then not a generation.
    """
    size = headers.get(names.TOKEN_COUNT)
    if size is None:
        return None
    prompt, _, output = size.partition(",")
    tokens = _read_number(prompt)
    if tokens is None:
        return None
    return Prompt(
        model=headers.get(names.MODEL, ""),
        tokens=tokens,
        max_output=_read_number(output) or 0,
        hint=_read_number(headers.get(names.LENGTH_HINT)),
        parts=_read_parts(headers.get(names.PREFIX_PARTS, "")),
    )


def _read_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for item in text.split(","):
        part, _, tokens = item.strip().partition(":")
        count = _read_number(tokens)
        if count is None:
            continue
        parts.append((part, count))
    return tuple(parts)


def _read_number(text: str | None) -> int | None:
    if text is None or not text.strip().isdigit():
        return None
    return int(text)


def _read_millis(text: str | None) -> Millis | None:
    number = _read_number(text)
    return None if number is None else Millis(number)


def build_problem_response(problem: Problem) -> web.Response:
    """Return the HTTP response that carries a problem."""
    headers = {"Content-Type": "application/problem+json"}
    if problem.retry_after is not None:
        # The header is in seconds. The platform's callers accept fractions, and most
        # can retry in less than a second.
        headers[names.RETRY_AFTER] = f"{problem.retry_after / 1000:.3f}"
    if problem.ran is Ran.NO and problem.status in (408, 429, 503):
        headers[names.NOT_RUN] = "1"
    response = web.Response(
        body=encode_problem(problem), status=problem.status, headers=headers
    )
    if problem.status == 408:
        response.force_close()
    return response


def _set_headers(response: web.StreamResponse, head: AnswerHead) -> None:
    response.headers.popall("Content-Type", None)
    for name, value in head.headers:
        response.headers.add(name, value)
