"""Probes that detect whether a process listens at an address."""

import asyncio

import logbook

_log = logbook.Logger("figstep.probes")


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


async def outlives_answer(host: str, port: int, seconds: float) -> bool:
    """Return whether a target still accepts connections after it closed one.

    It shows whether an answer that ended with its connection can be taken as complete:
    a process that crashed closed all its sockets. The host is an IP address. A target
    that cannot be reached within ``seconds`` counts as ended.
    """
    try:
        return await is_listening(host, port, seconds)
    except OSError as error:
        _log.info("target not reached after its answer", extra={"error": repr(error)})
        return False
