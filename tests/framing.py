"""HTTP answers that a test writes byte by byte, in each framing that HTTP has."""

import zlib
from collections.abc import Mapping
from enum import Enum
from http import HTTPStatus

from aiohttp import web

from figstep.net.sockets import reset_on_close


class Framing(Enum):
    """How an answer tells where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def choose_framing(text: str) -> Framing:
    """Return a framing that depends on nothing but a text."""
    return list(Framing)[zlib.crc32(text.encode()) % len(Framing)]


def draw_share(text: str) -> float:
    """Return a number from 0 to below 1 that depends on nothing but a text."""
    return zlib.crc32(text.encode()) / 2**32


class RawAnswer:
    """Answer to a request, written to the transport without the HTTP server."""

    def __init__(
        self,
        request: web.Request,
        framing: Framing,
        headers: Mapping[str, str],
        length: int,
        status: int = 200,
    ) -> None:
        """Write the head.

        Args:
            request: Request that is answered.
            framing: Framing of the body.
            headers: Headers besides those of the framing.
            length: Length of the complete body in bytes, for a framing by length.
            status: HTTP status.
        """
        assert request.transport is not None
        self._transport = request.transport
        self._framing = framing
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        match framing:
            case Framing.LENGTH:
                lines.append(f"Content-Length: {length}")
            case Framing.CHUNKS:
                lines.append("Transfer-Encoding: chunked")
            case Framing.CONNECTION:
                lines.append("Connection: close")
        self._transport.write("\r\n".join([*lines, "", ""]).encode())

    def check_peer(self) -> None:
        """Raise ConnectionResetError if the peer has closed the connection."""
        if self._transport.is_closing():
            raise ConnectionResetError("the peer closed the connection")

    def write(self, data: bytes) -> None:
        """Write a part of the body.

        Raises:
            ConnectionResetError: If the peer has closed the connection.
        """
        self.check_peer()
        if not data:
            return
        if self._framing is Framing.CHUNKS:
            data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
        self._transport.write(data)

    def end(self) -> web.StreamResponse:
        """End a body that is complete, and close the connection."""
        if self._framing is Framing.CHUNKS:
            self._transport.write(b"0\r\n\r\n")
        return self.close()

    def close(self) -> web.StreamResponse:
        """Close the connection in order, wherever the body is."""
        self._transport.close()
        return web.Response()

    def reset(self) -> web.StreamResponse:
        """Reset the connection."""
        reset_on_close(self._transport)
        return self.close()
