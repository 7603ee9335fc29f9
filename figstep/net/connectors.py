"""Connector of the HTTP client that tells a reset from an end."""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from figstep.net.sockets import open_keepalive_socket


class _ResetAwareHandler(ResponseHandler):
    """Fails a body that ends with a reset of its connection.

    An answer without a length ends with its connection. The library takes a
    reset for such an end too: half an answer would go on as a whole one.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read, if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Opens watched sockets and tells a reset from an end."""

    def __init__(self, **options: Any) -> None:
        super().__init__(socket_factory=open_keepalive_socket, **options)
        self._factory: Any = functools.partial(_ResetAwareHandler, loop=self._loop)
