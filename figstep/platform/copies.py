"""Orders to engines to copy runs to other engines, and to free copies."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import logbook
import orjson

from figstep.net.reading import read_body

_log = logbook.Logger("figstep.targets")

COPY_TIMEOUT_SECONDS = 2.0
"""Timeout of an order to copy a run, in seconds; a leaving engine has ended by
then."""

MAX_ORDER_ANSWER_BYTES = 65_536
"""Largest answer to an order to copy a run, in bytes; it names the copy."""

FREE_TIMEOUT_SECONDS = 0.5
"""Timeout of an order to free a copy, in seconds. An engine that does not answer frees
an unused copy by itself."""

_MALFORMED = (ValueError, KeyError, TypeError)
"""Errors of reading a handle from an answer that is not one to an order."""


@dataclass(frozen=True, slots=True)
class MadeCopy:
    """Result of an order to copy a run.

    Attributes:
        handle: Name of the copy at its source; empty if none was made.
        detail: Text for the log.
        status: HTTP status of the answer; 0 if there was none.
    """

    handle: str
    detail: str
    status: int = 0


async def order_copy(
    session: aiohttp.ClientSession,
    source: str,
    holder: str,
    request_id: str,
    handle_answer: Callable[[aiohttp.ClientResponse], None],
    stop: bool = False,
) -> MadeCopy:
    """Order an engine to copy a run to another engine, and wait for the copy.

    Args:
        session: Session of requests to targets.
        source: Address of the engine that runs the request, as "ip:port".
        holder: Address of the engine that is to hold the copy.
        request_id: Id that the caller gave the request.
        handle_answer: Called with the engine's answer as its headers have arrived.
        stop: Whether the run is stopped first. Its source then keeps its memory, and
            names it even if no copy could be made.
    """
    order: dict[str, str | bool] = {"id": request_id, "target": holder}
    if stop:
        order["last"] = True
    try:
        async with (
            asyncio.timeout(COPY_TIMEOUT_SECONDS),
            session.post(
                f"http://{source}/figstep/kv-move",
                data=orjson.dumps(order),
                headers={"Content-Type": "application/json"},
            ) as response,
        ):
            handle_answer(response)
            body = await read_body(response, MAX_ORDER_ANSWER_BYTES)
        named = response.status == 200 or (stop and response.status == 503)
        handle = str(orjson.loads(body)["handle"]) if named else ""
    except (aiohttp.ClientError, OSError, TimeoutError, *_MALFORMED) as error:
        return MadeCopy("", f"{type(error).__name__}: {error}"[:200])
    return MadeCopy(handle, f"answered {response.status}", response.status)


async def free_copy(session: aiohttp.ClientSession, owner: str, handle: str) -> None:
    """Free a copy at the engine whose address names it; a failure is only logged."""
    url = f"http://{owner}/figstep/kv-handle/{handle}"
    try:
        async with asyncio.timeout(FREE_TIMEOUT_SECONDS), session.delete(url):
            return
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        _log.info("copy not freed", extra={"error": f"{type(error).__name__}: {error}"})
