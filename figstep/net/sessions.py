"""Sessions of the HTTP client towards targets."""

from collections.abc import Sequence

import aiohttp


class ConnectionBrokenError(aiohttp.ClientConnectionError):
    """A connection was made, and broke before the answer came."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Middleware that lets the bytes of a request out once.

    The client sends a GET, PUT or DELETE again by itself when its connection
    breaks. That runs a non-idempotent call twice, and a target that crashed under
    the first sending refuses the second: it looks as if nothing had run.

    Raises:
        ConnectionBrokenError: If the connection breaks.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # The client repeats after these two errors only.
        message = f"{type(error).__name__}: {error}"
        raise ConnectionBrokenError(message) from error


def open_target_session(
    connector: aiohttp.BaseConnector,
    connect_seconds: float,
    skip_auto_headers: Sequence[str] = (),
) -> aiohttp.ClientSession:
    """Open a session that hands on what targets answer, byte for byte.

    Args:
        connector: Opens its connections.
        connect_seconds: Time to open one.
        skip_auto_headers: Headers that the client doesn't add by itself.
    """
    # Cookies are dropped: a jar would hand one customer's to the next.
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        auto_decompress=False,
        skip_auto_headers=skip_auto_headers,
        middlewares=(send_once,),
    )
