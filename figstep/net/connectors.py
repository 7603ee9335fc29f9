"""Connectors of the HTTP client: broken and endless answers, early connections."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from figstep.net.sockets import open_bounded_socket, open_keepalive_socket

MAX_BYTES_WITHOUT_BODY = 262_144
"""Largest number of bytes that may arrive in a row without any byte of a body.

These are heads, and the sizes, extensions and trailers of chunks. A head of usual size
is a few hundred bytes.
"""


class _ResetAwareHandler(ResponseHandler):
    """Reports an error for a body whose connection is reset, or that makes no progress.

    An answer without a length ends with its connection. aiohttp treats a reset as
    such an end too, so that a part of an answer would be forwarded as a complete one.

    The size of a chunk may go on without end, and then nothing else shows that the
    answer does not.
    """

    _body_bytes = 0
    _bytes_without_body = 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and close the connection if too many were no part of a body."""
        super().data_received(data)
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._bytes_without_body = 0
            return
        self._bytes_without_body += len(data)
        if self._bytes_without_body <= MAX_BYTES_WITHOUT_BODY:
            return
        error = aiohttp.ClientPayloadError(
            f"{self._bytes_without_body} bytes came without any of a body"
        )
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on the body being read if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Opens sockets with TCP keep-alive, and recognizes resets and endless answers.

    The system's buffers of the sockets are bounded if ``bounded`` is set.
    """

    def __init__(self, bounded: bool = False, **options: Any) -> None:
        factory = open_bounded_socket if bounded else open_keepalive_socket
        super().__init__(socket_factory=factory, **options)
        self._factory: Any = functools.partial(_ResetAwareHandler, loop=self._loop)


class OpenedConnector(aiohttp.BaseConnector):
    """Hands out one connection that was opened beforehand, and opens no other.

    What is answered on it comes from the process that listened when it was opened, and
    from no successor at the address.
    """

    def __init__(self) -> None:
        super().__init__(limit=1, force_close=True)
        self._opened: ResponseHandler | None = None

    async def open(self, host: str, port: int, seconds: float) -> None:
        """Open the connection; the host is an IP address.

        Raises:
            OSError: If it is refused, or not established within ``seconds``.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds):
            _, self._opened = await loop.create_connection(self._factory, host, port)

    def abandon(self) -> None:
        """Close the connection if no request has used it."""
        if self._opened is not None:
            self._opened.close()
            self._opened = None

    async def _create_connection(self, *args: Any, **options: Any) -> ResponseHandler:
        opened, self._opened = self._opened, None
        if opened is None or not opened.is_connected():
            raise aiohttp.ClientConnectionError("the connection has ended")
        return opened
