"""Connection pools, one for each target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from figstep.net.connectors import ResetAwareConnector
from figstep.net.sessions import open_target_session

CONNECT_TIMEOUT = 2.0
"""Time to open a connection to a target, in seconds."""


class Pool:
    """Connections to one target.

    A pool that is retired while in use closes when its last request ends. One that is
    retired while unused closes with the table.

    Attributes:
        reused: Session whose connections are kept alive.
        fresh: Session that opens a connection for each request.
        users: Number of requests that use the pool.
        retired: Whether the pool was replaced.
    """

    def __init__(self, bounded: bool) -> None:
        self.reused = _open_session(bounded, force_close=False)
        self.fresh = _open_session(bounded, force_close=True)
        self.users = 0
        self.retired = False

    async def close(self) -> None:
        """Close the connections."""
        await self.reused.close()
        await self.fresh.close()


class PoolTable:
    """Connection pools by target, each created at its first use.

    The system's buffers of the connections are bounded if ``bounded`` is set.
    """

    def __init__(self, bounded: bool = False) -> None:
        self._bounded = bounded
        self._pools: dict[str, Pool] = {}
        self._retired: set[Pool] = set()

    @asynccontextmanager
    async def use(self, target: str) -> AsyncIterator[Pool]:
        """Keep a target's pool open for the duration of a request."""
        pool = self._pools.get(target)
        if pool is None:
            pool = self._pools[target] = Pool(self._bounded)
        pool.users += 1
        try:
            yield pool
        finally:
            pool.users -= 1
            if pool.retired and pool.users == 0:
                self._retired.discard(pool)
                await pool.close()

    def replace(self, target: str) -> None:
        """Use a new pool for later requests; requests in progress keep the old one."""
        pool = self._pools.pop(target, None)
        if pool is None:
            return
        pool.retired = True
        self._retired.add(pool)

    async def close(self) -> None:
        """Close all pools, including those in use."""
        for pool in [*self._pools.values(), *self._retired]:
            await pool.close()


def _open_session(bounded: bool, force_close: bool) -> aiohttp.ClientSession:
    connector = ResetAwareConnector(bounded, limit=0, force_close=force_close)
    return open_target_session(connector, CONNECT_TIMEOUT)
