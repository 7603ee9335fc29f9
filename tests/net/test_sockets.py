"""Tests of the options of sockets."""

import socket

from figstep.net.sockets import open_keepalive_socket


def test_a_short_silence_closes_no_connection() -> None:
    """Guards against a connection given up before its last probe is answered."""
    address = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ("", 0))
    with open_keepalive_socket(address) as opened:

        def read(option: int) -> int:
            return opened.getsockopt(socket.IPPROTO_TCP, option)

        probes = read(socket.TCP_KEEPCNT) * read(socket.TCP_KEEPINTVL)
        last_probe_ends = read(socket.TCP_KEEPIDLE) + probes
        assert read(socket.TCP_USER_TIMEOUT) >= 1_000 * last_probe_ends
