"""Tests that the soak reports stalls of its own event loop."""

import asyncio
import time

from tests.faults.records import Record
from tests.faults.sites import record_loop_stalls
from tests.platform.runs import LOOP_CHECK_INTERVAL, LOOP_STALL_THRESHOLD


async def test_a_blocked_event_loop_is_recorded() -> None:
    """Guards against reports of failures that omit a stall of the soak itself."""
    record = Record()
    recorder = asyncio.create_task(record_loop_stalls(record))
    await asyncio.sleep(2 * LOOP_CHECK_INTERVAL)
    assert not record.loop_stalls
    time.sleep(2 * LOOP_STALL_THRESHOLD)  # noqa: ASYNC251
    await asyncio.sleep(2 * LOOP_CHECK_INTERVAL)
    recorder.cancel()
    [(start, end)] = record.loop_stalls
    assert end - start > LOOP_STALL_THRESHOLD
