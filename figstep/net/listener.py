"""HTTP listener for callers that answers malformed HTTP with problem documents."""

import asyncio
import resource
import ssl
from functools import partial
from typing import Any

from aiohttp import web

from figstep.core.clock import Millis
from figstep.errors import ListenError
from figstep.net.connections import CallerServer, ConnectionLimits
from figstep.net.refusals import answer_errors
from figstep.settings import Limits, Tls

UNLIMITED_SECONDS = 1e9
"""Time without a request after which aiohttp would close a connection, in seconds. The
server closes idle connections itself, as their limit may change."""

SHUTDOWN_SECONDS = 1.0
"""Maximum time that a closing listener waits for open requests, in seconds."""


class CallerRunner(web.AppRunner):
    """Runs an application whose connections are bounded.

    Attributes:
        limits: Limits of the connections, which hold for open ones too.
        bounded: Whether the buffers of connections are bounded.
    """

    def __init__(
        self, app: web.Application, limits: ConnectionLimits, **options: Any
    ) -> None:
        super().__init__(app, **options)
        self.limits = limits
        self.bounded = False

    async def _make_server(self) -> web.Server:
        # ``answer_errors`` wraps the whole application: a middleware would not see
        # requests that aiohttp rejects before it calls one, such as those with an
        # unknown Expect header.
        made = await super()._make_server()
        return CallerServer(
            partial(answer_errors, handler=made.request_handler),
            self.limits,
            self.bounded,
            asyncio.get_running_loop(),
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )


def build_connection_limits(limits: Limits) -> ConnectionLimits:
    """Return the limits of connections; callers may open half of the descriptors."""
    idle = Millis(round(limits.idle_seconds * 1000))
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ConnectionLimits(limits.head_bytes, idle, idle, descriptors // 2)


def build_runner(
    app: web.Application,
    limits: Limits,
    bounded: bool = False,
    decompress: bool = True,
    connections: ConnectionLimits | None = None,
    shutdown_seconds: float = SHUTDOWN_SECONDS,
) -> CallerRunner:
    """Return the runner of ``app``, with limits on callers' requests.

    Args:
        app: Application that handles the requests.
        limits: Limits of requests and connections.
        bounded: Whether the buffers of connections are bounded as well.
        decompress: Whether bodies with a Content-Encoding are decoded. If not, they can
            be forwarded as they were sent.
        connections: Limits of connections in place of those in ``limits``.
        shutdown_seconds: Maximum time that the closing listener waits for open
            requests, in seconds.
    """
    runner = CallerRunner(
        app,
        connections or build_connection_limits(limits),
        access_log=None,
        auto_decompress=decompress,
        handler_cancellation=True,
        shutdown_timeout=shutdown_seconds,
        keepalive_timeout=UNLIMITED_SECONDS,
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
