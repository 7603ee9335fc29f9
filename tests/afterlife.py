"""Addresses that go on to accept connections for a target that has crashed.

A proxy before the target, a supervisor that holds its socket, or the kernel for a
stopped process accepts, and the target itself answers nothing more.
"""

import asyncio
from enum import Enum

from aiohttp import web

from figstep.net.sockets import reset_on_close

MAX_SILENT_SECONDS = 60.0
"""Longest time for which a silent address keeps a connection open, in seconds."""


class Afterlife(Enum):
    """What becomes of a connection that is accepted for a target that has crashed."""

    SILENT = "silent"  # it stays open, and nothing comes
    RESET = "reset"
    CLOSED = "closed"  # in order
    GATEWAY = "gateway"  # a proxy answers 502 to each request


async def answer_for_crashed(
    request: web.Request, afterlife: Afterlife
) -> web.StreamResponse:
    """Do with a request what the address of a crashed target does."""
    transport = request.transport
    assert transport is not None
    match afterlife:
        case Afterlife.SILENT:
            async with asyncio.timeout(MAX_SILENT_SECONDS):
                while not transport.is_closing():
                    await asyncio.sleep(0.02)
        case Afterlife.RESET:
            reset_on_close(transport)
        case Afterlife.GATEWAY:
            return web.Response(status=502)
    transport.close()
    return web.Response()
