"""Addresses that a test makes unreachable, as a network partition does."""

import asyncio
import socket


class Blackhole:
    """Address at which connections are neither accepted nor refused.

    The queue of the listening socket is full, so that the system drops every further
    request for a connection.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(0)
        self._queued: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Address as "ip:port"."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    async def fill(self) -> None:
        """Fill the queue until a connection is no longer answered."""
        loop = asyncio.get_running_loop()
        while True:
            opened = socket.socket()
            opened.setblocking(False)
            self._queued.append(opened)
            try:
                async with asyncio.timeout(0.05):
                    await loop.sock_connect(opened, self._listener.getsockname())
            except TimeoutError:
                return

    def close(self) -> None:
        """Free the address."""
        for opened in self._queued:
            opened.close()
        self._listener.close()
