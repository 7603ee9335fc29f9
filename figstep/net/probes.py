"""Probes that detect whether a process listens or answers at an address."""

import asyncio

import logbook
from yarl import URL

_log = logbook.Logger("figstep.probes")

_GATEWAY_STATUSES = (502, 503, 504)
"""Statuses with which a gateway answers for a target that it does not reach."""


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
        async with asyncio.timeout(seconds):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


async def answers_requests(url: URL, seconds: float) -> bool:
    """Return whether a target answers requests at its address.

    It is sent ``OPTIONS *``, which asks the server itself and runs nothing (RFC 9110,
    section 9.3.7). An accepted connection would show nothing, as the address of a
    target may outlive it. A target that cannot be reached within ``seconds``, or for
    which a gateway answers, does not answer.
    """
    try:
        async with asyncio.timeout(seconds):
            status = await _query_server(url)
    except (OSError, ValueError) as error:
        _log.info("target does not answer", extra={"error": repr(error)})
        return False
    return status not in _GATEWAY_STATUSES


async def _query_server(url: URL) -> int:
    """Return the status of the answer to ``OPTIONS *``.

    Raises:
        OSError: If no connection is established.
        ValueError: If what comes is no HTTP answer.
    """
    reader, writer = await asyncio.open_connection(
        url.host, url.port, ssl=url.scheme == "https" or None
    )
    try:
        request = f"OPTIONS * HTTP/1.1\r\nHost: {url.authority}\r\n"
        writer.write(f"{request}Connection: close\r\n\r\n".encode())
        version, _, rest = (await reader.readline()).partition(b" ")
        if not version.startswith(b"HTTP/"):
            raise ValueError(f"received {version[:40]!r} in place of an answer")
        return int(rest[:3])
    finally:
        writer.close()
