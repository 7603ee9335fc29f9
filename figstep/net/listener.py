"""HTTP listener for callers that answers malformed HTTP with problem documents."""

import asyncio
import ssl
from functools import partial
from typing import cast

import logbook
from aiohttp import web

from figstep.core.problems import Problem
from figstep.errors import ListenError
from figstep.net.refusals import answer_errors, answer_problem, build_status_problem
from figstep.net.sockets import (
    CALLER_BUFFER_BYTES,
    CALLER_WRITE_BYTES,
    bound_buffers,
)
from figstep.settings import Limits, Tls

_log = logbook.Logger("figstep.callers")

SHUTDOWN_SECONDS = 1.0
"""Maximum time that a closing listener waits for open requests, in seconds."""


class _CallerProtocol(web.RequestHandler):
    """Answers requests that the HTTP parser rejects with a problem document."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        # aiohttp would log the offending line, which may hold a customer's key.
        _log.info("malformed HTTP request", extra={"status": status})
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; the connection is closed")
        response = answer_problem(_build_error_problem(status, exc))
        response.force_close()
        return response


class _BoundedProtocol(_CallerProtocol):
    """Bounds what a connection buffers for a caller that does not read."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            bound_buffers(connection, CALLER_BUFFER_BYTES)
        # The transports of uvloop are not subclasses of asyncio.WriteTransport.
        writing = cast(asyncio.WriteTransport, transport)
        writing.set_write_buffer_limits(high=CALLER_WRITE_BYTES)


class _CallerServer(web.Server):
    bounded = False

    def __call__(self) -> web.RequestHandler:
        kind = _BoundedProtocol if self.bounded else _CallerProtocol
        return kind(self, loop=self._loop, **self._kwargs)


class CallerRunner(web.AppRunner):
    """Runs an application whose connections use ``_CallerProtocol``.

    Attributes:
        bounded: Whether the buffers of connections are bounded.
    """

    bounded = False

    async def _make_server(self) -> web.Server:
        # ``answer_errors`` wraps the whole application: a middleware would not see
        # requests that aiohttp rejects before it calls one, such as those with an
        # unknown Expect header.
        made = await super()._make_server()
        server = _CallerServer(
            partial(answer_errors, handler=made.request_handler),
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            loop=asyncio.get_running_loop(),
            **made._kwargs,
        )
        server.bounded = self.bounded
        return server


def _build_error_problem(status: int, error: BaseException | None) -> Problem:
    if type(error).__name__ == "LineTooLong":
        return build_status_problem(431)
    return build_status_problem(status)


def build_runner(
    app: web.Application,
    limits: Limits,
    bounded: bool = False,
    decompress: bool = True,
) -> CallerRunner:
    """Return the runner of ``app``, with limits on callers' requests.

    Args:
        app: Application that handles the requests.
        limits: Limits of requests and connections.
        bounded: Whether the buffers of connections are bounded as well.
        decompress: Whether bodies with a Content-Encoding are decoded. If not, they can
            be forwarded as they were sent.
    """
    runner = CallerRunner(
        app,
        access_log=None,
        auto_decompress=decompress,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
        keepalive_timeout=limits.idle_seconds,
        lingering_time=limits.body_seconds,
        max_line_size=limits.header_bytes,
        max_field_size=limits.header_bytes,
        max_headers=limits.headers,
    )
    runner.bounded = bounded
    return runner


def build_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context for callers, or None for plain HTTP.

    Raises:
        ListenError: If the certificate and key files cannot be used.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except OSError as error:
        raise ListenError(
            f"tls: {tls.certificate} and {tls.key} are no usable pair ({error});"
            " write paths of a PEM chain and its PEM key"
        ) from error
    return context
