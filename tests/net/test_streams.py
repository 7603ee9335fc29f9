"""Tests of the follower of a stream of the log."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from figstep.core.events import (
    Event,
    StreamCaughtUp,
    StreamRestarted,
    StreamUnavailable,
)
from figstep.core.records import LogRecord
from figstep.net.log import MemoryLog
from figstep.net.streams import StreamFollower

STREAM = "claims"
RECORDS = 6


class Reader:
    """Follower of a stream, and what it passed on."""

    def __init__(self, log: MemoryLog) -> None:
        self.records: list[LogRecord] = []
        self.events: list[Event] = []
        self.follower = StreamFollower(
            log, STREAM, self.records.extend, dispatch=self.events.append
        )

    async def wait_for(self, data: object) -> None:
        """Wait until a record was passed on; fail if that takes too long."""
        async with asyncio.timeout(2):
            while data not in [record.data for record in self.records]:
                await asyncio.sleep(0.01)


@pytest.fixture
async def log() -> MemoryLog:
    log = MemoryLog()
    await log.append(STREAM, [{"number": number} for number in range(RECORDS)])
    return log


@pytest.fixture
async def reader(log: MemoryLog) -> AsyncIterator[Reader]:
    """Yield a reader that has read the log to its end."""
    reader = Reader(log)
    await reader.follower.start()
    await reader.wait_for({"number": RECORDS - 1})
    yield reader
    await reader.follower.stop()


@pytest.mark.parametrize("lost", [1, 3, RECORDS])
async def test_records_at_offsets_that_were_read_before_are_read(
    log: MemoryLog, reader: Reader, lost: int
) -> None:
    """Guards against records that are skipped after the log came back from a copy."""
    log.revert(lost)
    await log.append(STREAM, [{"new": 1}])
    await reader.wait_for({"new": 1})
    assert reader.records[-1] == LogRecord(RECORDS - lost, 0, {"new": 1}, era=1)


async def test_records_written_up_to_the_old_end_are_read(
    log: MemoryLog, reader: Reader
) -> None:
    """Guards against a return that shows in no offset."""
    log.revert(2)
    await log.append(STREAM, [{"new": 1}, {"new": 2}])
    await reader.wait_for({"new": 1})
    await reader.wait_for({"new": 2})


async def test_each_return_restarts_the_stream_once(
    log: MemoryLog, reader: Reader
) -> None:
    """Guards against a second return that is taken for the first one."""
    for era in (1, 2):
        log.revert(1)
        await log.append(STREAM, [{"era": era}])
        await reader.wait_for({"era": era})
    await asyncio.sleep(0.02)
    restarted = StreamRestarted(STREAM, 1), StreamRestarted(STREAM, 2)
    ended = StreamCaughtUp(STREAM)
    assert reader.events == [ended, restarted[0], ended, restarted[1], ended]


async def test_a_reader_that_starts_in_a_later_era_names_it(log: MemoryLog) -> None:
    log.revert(1)
    reader = Reader(log)
    await reader.follower.start()
    await reader.wait_for({"number": RECORDS - 2})
    await asyncio.sleep(0.02)
    assert reader.events == [StreamRestarted(STREAM, 1), StreamCaughtUp(STREAM)]
    await reader.follower.stop()


async def test_a_position_beyond_the_end_is_not_asked_for_in_a_loop(
    log: MemoryLog, reader: Reader
) -> None:
    """Guards against reads without a pause of records that the log does not have."""
    log.streams[STREAM].clear()
    log._wake_readers()
    await asyncio.sleep(0.2)
    assert reader.events.count(StreamUnavailable(STREAM)) <= 1
    assert len(reader.events) <= 3
