"""Tests of the follower of a stream of the log."""

import asyncio

from figstep.net.log import MemoryLog
from figstep.net.streams import StreamFollower

STREAM = "claims"


async def test_records_at_offsets_that_were_read_before_are_read() -> None:
    """Guards against records that are skipped after the log came back from a copy."""
    log = MemoryLog()
    await log.append(STREAM, [{"number": number} for number in range(6)])
    read: list[object] = []
    follower = StreamFollower(
        log, STREAM, lambda records: read.extend(record.data for record in records)
    )
    await follower.start()
    await asyncio.sleep(0.05)
    del log.streams[STREAM][3:]
    await log.append(STREAM, [{"new": 1}])
    await asyncio.sleep(0.2)
    await follower.stop()
    assert {"new": 1} in read
