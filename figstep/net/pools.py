"""Pools of connections to targets, one pool each."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

CONNECT_TIMEOUT = 2.0


class SendOnce:
    """Middleware that lets the bytes of a request out once.

    The client sends a GET, PUT or DELETE again by itself when its connection
    breaks, which runs a non-idempotent call twice without anyone knowing.
    Failing the second send hands the loss to the reducer, which decides.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send, or fail where it was sent before."""
        if self._sent:
            raise aiohttp.ServerDisconnectedError("lost after it was sent")
        self._sent = True
        return await handler(request)


class Pool:
    """Connections to one target; a retired one closes when it is unused.

    Attributes:
        reused: Session whose connections are kept alive.
        fresh: Session that opens a connection for each request.
    """

    def __init__(self) -> None:
        self.reused = _open_session(force_close=False)
        self.fresh = _open_session(force_close=True)
        self.users = 0
        self.retired = False

    async def close(self) -> None:
        """Close the connections."""
        await self.reused.close()
        await self.fresh.close()


class PoolTable:
    """The pool of each target, made when first used."""

    def __init__(self) -> None:
        self._pools: dict[str, Pool] = {}
        self._retired: set[Pool] = set()

    @asynccontextmanager
    async def use(self, target: str) -> AsyncIterator[Pool]:
        """Hold a target's pool open for the length of a request."""
        pool = self._pools.get(target)
        if pool is None:
            pool = self._pools[target] = Pool()
        pool.users += 1
        try:
            yield pool
        finally:
            pool.users -= 1
            if pool.retired and pool.users == 0:
                self._retired.discard(pool)
                await pool.close()

    def replace(self, target: str) -> None:
        """Take new connections from now on; those in use end by themselves."""
        pool = self._pools.pop(target, None)
        if pool is None:
            return
        pool.retired = True
        self._retired.add(pool)

    async def close(self) -> None:
        """Close all pools."""
        for pool in [*self._pools.values(), *self._retired]:
            await pool.close()


def _open_session(force_close: bool) -> aiohttp.ClientSession:
    # Cookies are dropped: a jar would hand one customer's to the next.
    connector = aiohttp.TCPConnector(limit=0, force_close=force_close)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
    return aiohttp.ClientSession(
        timeout=timeout,
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
