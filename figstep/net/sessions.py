"""HTTP client sessions for requests to targets."""

from collections.abc import Callable, Sequence
from typing import Any

import aiohttp


class ConnectionBrokenError(aiohttp.ClientConnectionError):
    """An established connection broke before the answer was received."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once; a middleware that prevents automatic retries.

    aiohttp repeats a GET, PUT or DELETE by itself when its connection breaks. That
    runs a non-idempotent call twice. A target that the first request crashed refuses
    the connection of the second one, so that the call seems not to have run.

    Raises:
        ConnectionBrokenError: If an established connection breaks.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # aiohttp retries only after these two errors.
        message = f"{type(error).__name__}: {error}"
        raise ConnectionBrokenError(message) from error


def open_target_session(
    connector: aiohttp.BaseConnector,
    connect_seconds: float,
    skip_auto_headers: Sequence[str] = (),
    trace: aiohttp.TraceConfig | None = None,
    read_bytes: int = 65_536,
) -> aiohttp.ClientSession:
    """Return a session that passes on the answers of targets byte for byte.

    Opening a connection times out after ``connect_seconds``. aiohttp does not add
    ``skip_auto_headers`` by itself. ``trace`` observes the requests. Reading pauses
    while twice ``read_bytes`` of an answer are not consumed.
    """
    # Cookies are dropped: a cookie jar would send one customer's cookies with the
    # requests of another.
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        auto_decompress=False,
        read_bufsize=read_bytes,
        skip_auto_headers=skip_auto_headers,
        middlewares=(send_once,),
        trace_configs=None if trace is None else [trace],
    )


def trace_connections(handle: Callable[[Any], None]) -> aiohttp.TraceConfig:
    """Return a trace that reports each new connection before a byte is sent on it.

    ``handle`` is called with the ``trace_request_ctx`` of the request.
    """

    async def report(
        session: aiohttp.ClientSession,
        context: Any,
        params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        handle(context.trace_request_ctx)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(report)
    return trace
