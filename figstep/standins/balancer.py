"""Stand-in for the platform's load balancer.

It distributes connections over the ready entries. It learns of readiness by polling
``/readyz``, so a change takes effect late, as with a real load balancer.
"""

import asyncio
from contextlib import suppress

import aiohttp

from figstep.standins.proxy import TcpProxy

POLL_SECONDS = 0.2
"""Pause between two polls of the readiness of all entries, in seconds."""

PROBE_TIMEOUT_SECONDS = 2.0
"""Maximum wait for the answer to one readiness probe, in seconds."""


class Balancer(TcpProxy):
    """Relays new connections in turn to the entries that were ready when polled.

    A connection is reset if no entry is ready.

    Attributes:
        entries: Base URLs of the entries by name. The owner of the balancer may
            change them at any time.
        ready: Names of the entries that were ready at the last poll.
    """

    def __init__(self, entries: dict[str, str]) -> None:
        super().__init__("", 0)
        self.entries = entries
        self.ready: list[str] = []
        self._next = 0
        self._poller: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Poll the entries once, then listen and keep polling."""
        await self._poll()
        await super().start(port)
        self._poller = asyncio.create_task(self._poll_forever())

    async def stop(self) -> None:
        """Stop polling and close the listener and every connection."""
        if self._poller is not None:
            self._poller.cancel()
            with suppress(asyncio.CancelledError):
                await self._poller
        await super().stop()

    def choose_target(self) -> tuple[str, int] | None:
        """Return the host and port of the next ready entry, or None without one."""
        ready = [name for name in self.ready if name in self.entries]
        if not ready:
            return None
        self._next += 1
        url = self.entries[ready[self._next % len(ready)]]
        host, _, port = url.removeprefix("http://").rpartition(":")
        return host, int(port)

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self._poll()

    async def _poll(self) -> None:
        names = list(self.entries)
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            probe_results = await asyncio.gather(
                *(_probe(session, self.entries[name]) for name in names)
            )
        self.ready = [name for name, ok in zip(names, probe_results, strict=True) if ok]


async def _probe(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url + "/readyz") as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
