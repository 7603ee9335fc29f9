"""The soak tells its own standstills apart from faults of entries."""

import asyncio
import time

from tests.faults.records import Record
from tests.faults.sites import STOOD_STILL, WATCH_PERIOD, watch_itself


async def test_a_process_that_stood_still_is_noted() -> None:
    """Guards against entries blamed for stand-ins that answered nobody."""
    record = Record()
    watching = asyncio.create_task(watch_itself(record))
    await asyncio.sleep(2 * WATCH_PERIOD)
    assert not record.list_still()
    time.sleep(2 * STOOD_STILL)  # noqa: ASYNC251
    await asyncio.sleep(2 * WATCH_PERIOD)
    watching.cancel()
    [still] = record.list_still()
    assert still.end is not None
    assert still.end - still.start > STOOD_STILL
