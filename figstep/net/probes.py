"""Probes of addresses: whether a process listens there."""

import asyncio


async def is_listening(host: str, port: int, seconds: float) -> bool:
    """Tell whether anybody takes connections at an address.

    Args:
        host: IP address.
        port: Port.
        seconds: Time to connect in.

    Returns:
        False only if the connection was refused.

    Raises:
        OSError: If the link fails or the time is over, which tells neither.
    """
    try:
        async with asyncio.timeout(seconds):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True
