"""Options of sockets: detection of an unreachable peer, and reset on close."""

import asyncio
import socket
import struct

KEEPALIVE_IDLE_SECONDS = 1
"""Idle time of a connection before the first keep-alive probe, in seconds.

After a network partition, or when a device on the path has lost the state of the
connection, the connection would otherwise stay open without limit while its reader
waits. The keep-alive detects this within three seconds and needs no answer of the
peer's program.
"""

KEEPALIVE_INTERVAL_SECONDS = 1
"""Interval of keep-alive probes, in seconds."""

KEEPALIVE_PROBES = 2
"""Number of unanswered keep-alive probes after which a connection is closed."""

USER_TIMEOUT_MILLIS = 3_000
"""Time for which sent bytes may stay unacknowledged, in milliseconds.

While bytes are unacknowledged the system sends no keep-alive probes. Where this option
is set, it also decides when unanswered probes end a connection, in place of their
number: a shorter time would end connections to a peer that is silent for a second,
before the last probe is answered.
"""


CALLER_BUFFER_BYTES = 131_072
"""Size of the system's buffers of a connection with a caller, in bytes. Without a bound
they grow to 4 MB for one that does not read. A round trip of 20 ms still allows 6 MB
per second."""

TARGET_BUFFER_BYTES = 32_768
"""Size of the system's buffers of a connection with a target, in bytes. One read takes
all that is received, so it also bounds what the process holds of a paused answer."""

CALLER_WRITE_BYTES = 12_288
"""Unsent bytes in the write buffer of a connection above which writing pauses. The
default of 64 KiB for each of 1,024 connections would be half of a small entry."""


def open_keepalive_socket(
    address: tuple[
        socket.AddressFamily | int,
        socket.SocketKind | int,
        int,
        str,
        tuple[object, ...],
    ],
) -> socket.socket:
    """Return a socket with TCP keep-alive for an address of ``getaddrinfo``."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


def open_bounded_socket(
    address: tuple[
        socket.AddressFamily | int,
        socket.SocketKind | int,
        int,
        str,
        tuple[object, ...],
    ],
) -> socket.socket:
    """Return a socket with TCP keep-alive and bounded buffers for an address."""
    opened = open_keepalive_socket(address)
    bound_buffers(opened, TARGET_BUFFER_BYTES)
    return opened


def bound_buffers(connection: socket.socket, size: int) -> None:
    """Bound what the system buffers for a connection, in either direction."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def reset_on_close(transport: asyncio.BaseTransport | None) -> None:
    """Make the close of a connection a reset, which its peer sees as an error.

    Bytes that are not sent yet are dropped. Does nothing for None, a transport without
    a socket, or one whose socket is closed already.
    """
    _set_linger(transport, True)


def close_in_order(transport: asyncio.BaseTransport | None) -> None:
    """Undo `reset_on_close`."""
    _set_linger(transport, False)


def _set_linger(transport: asyncio.BaseTransport | None, reset: bool) -> None:
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return
    linger = struct.pack("ii", reset, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
