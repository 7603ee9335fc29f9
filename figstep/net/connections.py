"""Connections with callers: what each may send, and how many there may be."""

import asyncio
import heapq
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, cast

import logbook
from aiohttp import web

from figstep.core.clock import Clock, Millis
from figstep.core.problems import Problem
from figstep.net.clock import SystemClock
from figstep.net.parsers import (
    MAX_WAITING_REQUESTS,
    BoundedParser,
    RefusedHeadError,
    RequestParser,
)
from figstep.net.refusals import answer_problem, build_status_problem
from figstep.net.sockets import CALLER_BUFFER_BYTES, CALLER_WRITE_BYTES, bound_buffers

_log = logbook.Logger("figstep.callers")

CHECK_SECONDS = 0.25
"""Interval in seconds at which the times of a listener's connections are checked."""

MAX_CHECK_INTERVAL = Millis(500)
"""Longest time in milliseconds between two checks after which the second one closes
connections."""

CLOSED_AT_ONCE = 32
"""One in so many connections is closed at once where there are too many."""

READS_BODY = 2
"""Stage of a connection whose request has a body that has not come yet."""

LINGER_SECONDS = 1.0
"""How long a refused connection stays open for its caller to read the refusal, in
seconds."""

LINGER_BYTES = 262_144
"""Bytes after a refusal that are read and dropped before the connection is closed. A
close while bytes are unread is a reset, which may take the refusal with it."""

MAX_HELD_BYTES = 8_388_608
"""Bytes that all connections of a listener may hold of requests that are not served
yet. Above that, the connection that holds most is closed."""


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of a listener's connections, which may change while they are open.

    Attributes:
        head_bytes: Largest head of a request, in bytes. As much may come in trailers,
            in the framing between two pieces of content, and in empty lines.
        head_timeout: Longest time for a head in milliseconds, from its first byte.
        idle_timeout: Longest time without a request in milliseconds.
        connections: Largest number of open connections.
    """

    head_bytes: int
    head_timeout: Millis
    idle_timeout: Millis
    connections: int


class CallerConnection(web.RequestHandler):
    """Connection that bounds what it takes outside of bodies.

    Attributes:
        idle_since: When the last request ended, or the connection was opened, in
            milliseconds.
    """

    __slots__ = ("_aborted", "_linger_waiter", "idle_since")

    def __init__(self, manager: "CallerServer", **options: Any) -> None:
        super().__init__(manager, **options)
        parser = cast(RequestParser, self._parser)
        bounded = BoundedParser(
            parser, manager.limits.head_bytes, manager.clock, self._count_held
        )
        self._parser = cast(Any, bounded)
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS - 1
        self._linger_waiter: asyncio.Future[None] | None = None
        self._aborted = False
        self.idle_since = manager.clock.now()

    @property
    def _bounded(self) -> BoundedParser | None:
        return cast(BoundedParser | None, self._parser)

    @property
    def _server(self) -> "CallerServer | None":
        return cast("CallerServer | None", self._manager)

    @property
    def serves(self) -> bool:
        """Whether a request is being served, or waits for that."""
        return self._waiter is None or self._waiter.done()

    @property
    def reads_body(self) -> bool:
        """Whether all that it serves is a request whose body has not come yet."""
        parser, request = self._bounded, self._current_request
        if parser is None or self._messages or not parser.reads_body:
            return False
        return request is None or request.content is parser.body

    @property
    def closes(self) -> bool:
        """Whether the connection is being closed."""
        return self._aborted or self._force_close or self._close

    @property
    def has_begun_head(self) -> bool:
        """Whether a part of a head has come."""
        parser = self._bounded
        return parser is not None and parser.allowance.begun_at is not None

    @property
    def stage(self) -> int:
        """How far a request has come: 0 for none, 1 for its head, 2 for its body."""
        if self.serves:
            return READS_BODY
        return int(self.has_begun_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget what the connection holds."""
        server = self._server
        if server is not None:
            server.set_held(self, 0)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or go on with held ones for ``b""``."""
        parser, server = self._bounded, self._server
        if parser is None or server is None or (not data and self._reading_paused):
            return
        parser.allowance.limit = server.limits.head_bytes
        super().data_received(data)
        if self.closes:
            return
        if parser.stopped and parser.dropped > LINGER_BYTES:
            self._stop_lingering()
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif parser.may_go_on:
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
            server.turns.add(self)
        elif self._buffer_paused and len(self._messages) < self._max_msg_queue_size:
            self._resume_reading_for_buffer()
        self._count_held()

    def _count_held(self) -> None:
        parser, server = self._bounded, self._server
        if parser is not None and server is not None and not self._aborted:
            server.set_held(self, parser.occupied_bytes)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on, if reading was paused as a body had no room."""
        # aiohttp calls this for each piece of a body that is taken, and parses then.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_reading_for_buffer(self) -> None:
        parser = self._bounded
        if parser is not None and parser.held_bytes:
            return
        super()._resume_reading_for_buffer()

    def _stop_lingering(self) -> None:
        if self._linger_waiter is not None and not self._linger_waiter.done():
            self._linger_waiter.set_result(None)

    def shutdown(self, timeout: float | None = 15.0) -> Coroutine[Any, Any, None]:
        """Close the connection, after the request that it serves if that ends in time.

        Args:
            timeout: Longest time for that, in seconds; None for no limit.
        """
        self._stop_lingering()
        return super().shutdown(timeout)

    def check_times(self, limits: ConnectionLimits, now: Millis) -> None:
        """Close the connection if a head takes too long, or if it is idle."""
        parser = self._bounded
        if parser is None or self.serves:
            return
        if self.has_begun_head:
            expired = parser.allowance.is_late(now, limits.head_timeout)
        else:
            expired = now - self.idle_since >= limits.idle_timeout
        if expired:
            self.force_close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._aborted = True
        if self.transport is not None:
            self.transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the problem document of a request that is no valid HTTP.

        Raises:
            ConnectionError: If the answer has begun.
        """
        # aiohttp would log the offending line, which may hold a customer's key.
        problem = _build_error_problem(status, exc)
        _log.info("malformed HTTP request", extra={"status": problem.status})
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; the connection is closed")
        response = answer_problem(problem)
        response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the rest of a response; close a refused connection after it."""
        parser = self._bounded
        last = parser is not None and parser.ended and not self._messages
        if last:
            resp.force_close()
        finished = await super().finish_response(request, resp, start_time)
        server = self._server
        if server is not None:
            self.idle_since = server.clock.now()
        if parser is not None and last:
            parser.end_body()
            await self._linger()
        return finished

    async def _linger(self) -> None:
        """Wait until the caller has closed, or has sent enough after its refusal."""
        parser, transport = self._bounded, self.transport
        if parser is None or transport is None or self._force_close:
            return
        if parser.dropped > LINGER_BYTES:
            return
        if transport.can_write_eof():
            transport.write_eof()
        if self._buffer_paused:
            self._resume_reading_for_buffer()
        self._linger_waiter = self._loop.create_future()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_SECONDS):
                await self._linger_waiter


class BufferedConnection(CallerConnection):
    """Connection that also bounds what is buffered for a caller that does not read."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the buffers of a new connection."""
        super().connection_made(transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            bound_buffers(connection, CALLER_BUFFER_BYTES)
        # The transports of uvloop are not subclasses of asyncio.WriteTransport.
        writing = cast(asyncio.WriteTransport, transport)
        writing.set_write_buffer_limits(high=CALLER_WRITE_BYTES)


class TurnQueue:
    """Lets connections parse what they hold, one in each turn of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[CallerConnection] = deque()
        self._known: set[CallerConnection] = set()
        self._scheduled = False

    def add(self, connection: CallerConnection) -> None:
        """Let a connection go on after those that wait already."""
        if connection in self._known:
            return
        self._known.add(connection)
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        connection = self._waiting.popleft()
        self._known.discard(connection)
        try:
            connection.data_received(b"")
        finally:
            self._schedule()


class CallerServer(web.Server):
    """Server whose connections share limits and turns.

    Attributes:
        limits: Limits of the connections, which may be replaced at any time.
        clock: Clock of the connections' times.
        turns: Connections that hold bytes to be parsed.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: ConnectionLimits,
        bounded: bool,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        """Prepare the server.

        Args:
            handler: Handler of requests.
            limits: Limits of the connections.
            bounded: Whether the buffers of connections are bounded.
            loop: Event loop of the connections.
            options: Further arguments of aiohttp's server.
        """
        super().__init__(handler, loop=loop, **options)
        self.limits = limits
        self.clock: Clock = SystemClock()
        self.turns = TurnQueue(loop)
        self._kind = BufferedConnection if bounded else CallerConnection
        self._held: dict[CallerConnection, int] = {}
        self._held_bytes = 0
        self._check: asyncio.TimerHandle | None = None
        self._checked_at = self.clock.now()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return self._kind(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a new connection, and close another one if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > self.limits.connections:
            self._make_room(cast(CallerConnection, handler))
        if self._check is None:
            self._checked_at = self.clock.now()
            self._check = self._loop.call_later(CHECK_SECONDS, self._check_times)

    def _make_room(self, newest: CallerConnection) -> None:
        """Close the connections that have been idle for longest.

        Those with a part of a head follow, then one with a part of a body, and the
        newest if all others serve requests. Some are closed at once, as each search
        goes through all.
        """
        waiting = []
        for one in self._list_connections():
            if one.closes or one is newest or (one.serves and not one.reads_body):
                continue
            waiting.append((one.stage, one.idle_since, one))
        count = max(1, self.limits.connections // CLOSED_AT_ONCE)
        chosen = heapq.nsmallest(count, waiting, key=lambda place: place[:2])
        if not chosen:
            _log.info("connection closed, all others serve requests")
            newest.abort()
        for position, (stage, _, one) in enumerate(chosen):
            if position == 0 or stage < READS_BODY:
                one.abort()

    def _list_connections(self) -> list[CallerConnection]:
        return cast(list[CallerConnection], list(self._connections))

    def _check_times(self) -> None:
        self._check = None
        now = self.clock.now()
        # After a stall, requests may wait in the system that were sent in time.
        stalled = now - self._checked_at > MAX_CHECK_INTERVAL
        self._checked_at = now
        for connection in self._list_connections():
            if not stalled:
                connection.check_times(self.limits, now)
        if self._connections:
            self._check = self._loop.call_later(CHECK_SECONDS, self._check_times)

    def set_held(self, connection: CallerConnection, size: int) -> None:
        """Set what a connection holds of requests that are not served yet, in bytes.

        If that is too much with all others, the one that holds most is closed.
        """
        self._held_bytes += size - self._held.pop(connection, 0)
        if size:
            self._held[connection] = size
        if self._held_bytes <= MAX_HELD_BYTES:
            return
        largest = max(self._held, key=lambda one: self._held[one])
        self._held_bytes -= self._held.pop(largest)
        _log.info("connection closed, too much waits to be served")
        largest.abort()


def _build_error_problem(status: int, error: BaseException | None) -> Problem:
    if isinstance(error, RefusedHeadError):
        return build_status_problem(error.code)
    return build_status_problem(status)
