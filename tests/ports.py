"""Ports for processes that tests start."""

import itertools
import random
import socket

HOST = "127.0.0.1"

PORTS = range(10_000, 32_000)
"""Ports below those that the system gives out by itself.

No connection takes one of them before a process listens there.
"""

_candidates = itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))


def find_free_port() -> int:
    """Return a port that no socket is bound to, neither of TCP nor of UDP.

    A port is returned again only after all others, as its first caller may not have
    bound it yet.
    """
    for port in _candidates:
        if _is_free(port):
            return port
    raise AssertionError("a cycle of ports does not end")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
