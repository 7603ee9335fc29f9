"""Timeouts that count only the time for which the event loop runs."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

STEP_SECONDS = 0.05
"""Time between two checks that the loop runs, in seconds. A stall counts as one."""


@asynccontextmanager
async def limit_running_time(seconds: float | None) -> AsyncIterator[None]:
    """Limit the time for which a block may wait; None is no limit.

    Unlike with ``asyncio.timeout``, what became ready while the loop was stalled is
    handled before the time is up.

    Raises:
        TimeoutError: If the loop has run for ``seconds`` before the block ends.
    """
    if seconds is None:
        yield
        return
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None
    async with asyncio.timeout(None) as timeout:

        def check(left: float) -> None:
            nonlocal timer
            if left <= 0:
                timeout.reschedule(loop.time())
                return
            step = min(left, STEP_SECONDS)
            timer = loop.call_later(step, check, left - step)

        check(seconds)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()
