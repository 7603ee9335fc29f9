"""Probes that detect whether a process listens or answers at an address."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import logbook
from yarl import URL

from figstep.net.statuses import begins_answer
from figstep.net.timeouts import limit_running_time

_log = logbook.Logger("figstep.probes")

_STRANGER_STATUSES = (408, 421, 429, 502, 503, 504)
"""Statuses with which a server answers that has not asked the target."""


async def is_listening(host: str, port: int, seconds: float) -> bool:
    """Return whether a process accepts connections at an address.

    The host is an IP address. The attempt times out after ``seconds``.

    Returns:
        False only if the connection was refused.

    Raises:
        OSError: If the attempt fails otherwise or times out, so that it is unknown
            whether a process listens.
    """
    try:
        async with limit_running_time(seconds):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


class Witness:
    """Connection that shows whether a target outlives its answer.

    It is opened while the answer arrives. A target that has crashed and started again
    accepts new connections, and answers on none that was opened before.
    """

    def __init__(
        self, url: URL, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._url = url
        self._reader = reader
        self._writer = writer

    async def answers(self, seconds: float) -> bool:
        """Return whether the target answers a request within ``seconds``.

        It is sent ``OPTIONS *``, which asks the server itself and runs nothing (RFC
        9110, section 9.3.7). What another server answers for the target states nothing.
        """
        try:
            async with asyncio.timeout(seconds):
                status = await self._query_server()
        except (OSError, ValueError) as error:
            _log.info("target does not answer", extra={"error": repr(error)})
            return False
        return status not in _STRANGER_STATUSES

    async def _query_server(self) -> int:
        """Return the status of the answer to ``OPTIONS *``.

        Raises:
            OSError: If the connection is lost.
            ValueError: If what comes is no HTTP answer.
        """
        request = f"OPTIONS * HTTP/1.1\r\nHost: {self._url.authority}\r\n"
        self._writer.write(f"{request}Connection: close\r\n\r\n".encode())
        version, _, rest = (await self._reader.readline()).partition(b" ")
        if not version.startswith(b"HTTP/"):
            raise ValueError(f"received {version[:40]!r} in place of an answer")
        status = int(rest[:3])
        if not begins_answer(status):
            raise ValueError(f"received status {status:03} in place of an answer")
        return status


@asynccontextmanager
async def open_witness(url: URL, seconds: float) -> AsyncIterator[Witness | None]:
    """Open a connection to a target whose answer is about to be read.

    None is returned if it is not established within ``seconds``.
    """
    try:
        async with limit_running_time(seconds):
            reader, writer = await asyncio.open_connection(
                url.host, url.port, ssl=url.scheme == "https" or None
            )
    except OSError as error:
        _log.info("target accepts no connection", extra={"error": repr(error)})
        yield None
        return
    try:
        yield Witness(url, reader, writer)
    finally:
        writer.close()
