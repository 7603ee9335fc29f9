"""Probes that detect whether a process listens at an address."""

import asyncio


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
