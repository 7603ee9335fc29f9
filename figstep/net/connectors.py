"""Connector of the HTTP client that distinguishes a reset from a normal close."""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from figstep.net.sockets import open_keepalive_socket


class _ResetAwareHandler(ResponseHandler):
    """Reports an error for a body whose connection is reset.

    An answer without a length ends with its connection. aiohttp treats a reset as
    such an end too, so that a part of an answer would be forwarded as a complete one.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on the body being read if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Opens sockets with TCP keep-alive and distinguishes resets from closes."""

    def __init__(self, **options: Any) -> None:
        super().__init__(socket_factory=open_keepalive_socket, **options)
        self._factory: Any = functools.partial(_ResetAwareHandler, loop=self._loop)
