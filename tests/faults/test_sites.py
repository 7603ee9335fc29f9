"""The soak tells its own standstills apart from faults of entries."""

import asyncio
import time

from tests.faults.records import Record
from tests.faults.sites import STOOD_STILL, WATCH_PERIOD, watch_itself


async def test_a_process_that_stood_still_is_noted() -> None:
    """Guards against failures whose report hides that the soak stood still."""
    record = Record()
    watching = asyncio.create_task(watch_itself(record))
    await asyncio.sleep(2 * WATCH_PERIOD)
    assert not record.loop_stalls
    time.sleep(2 * STOOD_STILL)  # noqa: ASYNC251
    await asyncio.sleep(2 * WATCH_PERIOD)
    watching.cancel()
    [(start, end)] = record.loop_stalls
    assert end - start > STOOD_STILL
