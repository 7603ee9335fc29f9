"""Probes that detect whether a process listens at an address."""

import asyncio


async def is_listening(host: str, port: int, seconds: float) -> bool:
    """Return whether a process accepts connections at an address.

    Args:
        host: IP address.
        port: Port.
        seconds: Timeout of the connection attempt.

    Returns:
        False only if the connection was refused.

    Raises:
        OSError: If the link fails or the timeout expires, so that neither is known.
    """
    try:
        async with asyncio.timeout(seconds):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True
