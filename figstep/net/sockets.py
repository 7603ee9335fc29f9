"""Sockets of outgoing connections that find out when the other side is gone."""

import socket

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""A connection that has been quiet for a second is probed twice, a second
apart. Behind a cut, or after something on the way forgot the connection, it
would else stay open for good and its reader would wait in vain; three seconds
find it without a call to the other side's program."""

USER_TIMEOUT_MILLIS = 2_000
"""The same where bytes wait to be acknowledged, when no probe is sent."""


def open_keepalive_socket(
    address: tuple[
        socket.AddressFamily | int,
        socket.SocketKind | int,
        int,
        str,
        tuple[object, ...],
    ],
) -> socket.socket:
    """Return a socket for an address as ``getaddrinfo`` gives it."""
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
