"""Connectors of the HTTP client: broken and endless answers, early connections."""

import asyncio
import functools
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from figstep.core.clock import Millis
from figstep.net.allowances import FramingAllowance
from figstep.net.sockets import (
    TARGET_BUFFER_BYTES,
    bound_buffers,
    open_bounded_socket,
    open_keepalive_socket,
)
from figstep.net.statuses import begins_answer
from figstep.net.timeouts import limit_running_time

MAX_FRAMING_BYTES = 65_536
"""Largest number of bytes of an answer that are no part of its body.

These are its head, those of interim answers before it, and the sizes, extensions and
trailers of chunks. A head of usual size is a few hundred bytes.
"""

FRAMING_PER_BODY_BYTE = 16
"""Further bytes that are no part of a body, for each byte of the body. A chunk of one
byte comes with five others."""

MAX_WAITING_HEADS = 16
"""Largest number of heads that wait to be read: interim answers, and the last one."""

HEAD_SLICE_BYTES = 4_096
"""Number of bytes that are parsed at once before a body begins."""

BODY_SLICE_BYTES = 65_536
"""Number of bytes that are parsed at once as a body arrives."""

MAX_SMALL_PIECES = 32
"""Number of unread pieces of a body above which small ones are joined. A piece, usually
the content of a chunk, takes some 90 bytes beside its content until it is read."""

SMALL_PIECE_BYTES = 4_096
"""Size from which a piece is not joined with others."""


class _BoundedHandler(ResponseHandler):
    """Reports an error for an answer whose framing exceeds its bound, or for a reset.

    An answer without a length ends with its connection. aiohttp treats a reset as
    such an end too, so that a part of an answer would be forwarded as a complete one.

    What arrives at once is parsed in slices: thousands of interim answers or trailers
    fit into it, and each takes more memory than on the connection. Small pieces of a
    body are joined, as its reader counts only their content. While reading pauses
    nothing is parsed, as what the parser holds back would count as framing.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._framing = FramingAllowance(MAX_FRAMING_BYTES)
        self._unparsed = b""

    def set_response_params(self, **params: Any) -> None:
        """Begin to count anew, as the next answer belongs to another request."""
        self._framing = FramingAllowance(MAX_FRAMING_BYTES)
        super().set_response_params(**params)

    async def read(self) -> tuple[RawResponseMessage, aiohttp.StreamReader]:
        """Return the next head and body.

        Raises:
            HttpProcessingError: If what came is no head, or has no valid status.
        """
        message, payload = await super().read()
        if not begins_answer(message.code):
            # The client takes this for a head that it cannot read.
            raise HttpProcessingError(message=f"answered {message.code:03}")
        return message, payload

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and close the connection if the framing exceeds its bound."""
        resumed = not data
        if resumed:
            # Parsing of what has been received before goes on.
            self._parse(data, resumed)
        self._unparsed += data
        while self._unparsed and not self._reading_paused:
            in_body = self._payload is not None and not self._payload.is_eof()
            size = BODY_SLICE_BYTES if in_body else HEAD_SLICE_BYTES
            piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self._parse(piece, resumed)

    def _parse(self, data: bytes, resumed: bool) -> None:
        payload = self._payload
        before = 0 if payload is None else payload.total_bytes
        # A read that resumes parsing goes on to take the pieces that it has counted.
        kept = _count_pieces(payload) if resumed and payload is not None else 0
        super().data_received(data)
        if self._payload is not None and self._payload is not payload:
            payload, before, kept = self._payload, 0, 0
        if payload is not None and _count_pieces(payload) - kept > MAX_SMALL_PIECES:
            _join_small_pieces(payload, kept)
        received = 0 if payload is None else payload.total_bytes - before
        self._framing.count(max(0, len(data) - received), Millis(0))
        self._framing.limit += FRAMING_PER_BODY_BYTE * received
        if self._framing.is_used_up:
            self._refuse(f"{self._framing.used} bytes came beside those of a body")
        elif len(self._buffer) > MAX_WAITING_HEADS:
            self._refuse(f"{len(self._buffer)} heads came at once")
        if self.transport is None or self.transport.is_closing():
            self._unparsed = b""

    def _refuse(self, reason: str) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(reason))
        # The client takes this for a head that it cannot read.
        self.set_exception(HttpProcessingError(code=400, message=reason))
        self._buffer.clear()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on the body being read if the connection was reset."""
        payload = self._payload
        is_cut = exc is not None or self._unparsed
        if is_cut and payload is not None and not payload.is_eof():
            reason = (
                f"reset: {exc}" if exc is not None else "ended before it was parsed"
            )
            payload.set_exception(aiohttp.ClientPayloadError(reason))
        super().connection_lost(exc)


def _count_pieces(body: aiohttp.StreamReader) -> int:
    return 0 if body is EMPTY_PAYLOAD else len(body._buffer)


def _join_small_pieces(body: aiohttp.StreamReader, kept: int) -> None:
    """Join the small pieces at the end of what is unread of a body.

    The first ``kept`` pieces stay as they are, and the first one in any case, of which
    part may have been read.
    """
    pieces = body._buffer
    small: list[bytes] = []
    while len(pieces) > max(kept, 1) and len(pieces[-1]) < SMALL_PIECE_BYTES:
        small.append(pieces.pop())
    if small:
        pieces.append(b"".join(reversed(small)))
    # The ends of chunks are kept beside the pieces; only reads by chunks need them.
    ends = body._http_chunk_splits
    if ends:
        last = ends[-1]
        ends.clear()
        ends.append(last)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Opens sockets with TCP keep-alive, and recognizes resets and endless answers.

    The system's buffers of the sockets are bounded if ``bounded`` is set.
    """

    def __init__(self, bounded: bool = False, **options: Any) -> None:
        factory = open_bounded_socket if bounded else open_keepalive_socket
        super().__init__(socket_factory=factory, **options)
        self._factory: Any = functools.partial(_BoundedHandler, loop=self._loop)

    async def _create_connection(
        self,
        request: aiohttp.ClientRequest,
        traces: list[Any],
        limits: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        async with limit_running_time(limits.sock_connect):
            unlimited = aiohttp.ClientTimeout()
            return await super()._create_connection(request, traces, unlimited)


class OpenedConnector(aiohttp.BaseConnector):
    """Hands out one connection that was opened beforehand, and opens no other.

    What is answered on it comes from the process that listened when it was opened, and
    from no successor at the address.
    """

    def __init__(self) -> None:
        super().__init__(limit=1, force_close=True)
        self._factory: Any = functools.partial(_BoundedHandler, loop=self._loop)
        self._opened: ResponseHandler | None = None

    async def open(self, host: str, port: int, seconds: float) -> None:
        """Open the connection; the host is an IP address.

        Raises:
            OSError: If it is refused, or not established within ``seconds``.
        """
        loop = asyncio.get_running_loop()
        async with limit_running_time(seconds):
            transport, opened = await loop.create_connection(self._factory, host, port)
        # A connection that has ended meanwhile shows that as it is used.
        with suppress(OSError):
            bound_buffers(transport.get_extra_info("socket"), TARGET_BUFFER_BYTES)
        self._opened = opened

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
