"""Tests of versions and starts as records of the store."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from figstep.core.clock import Millis
from figstep.gateway.events import Event, VersionsUnread
from figstep.gateway.starts import START_RETENTION, RecordedVersion, StreamStart
from figstep.platform.history import (
    VERSION_TOPIC,
    HistoryLog,
    encode_starts,
    encode_version,
    parse_starts,
    parse_version,
)
from figstep.platform.store import HttpStore, _StoreAnswer
from tests.platform.standins import FakeStore

NOW = 1_800_000_000_000
"""Unix time in milliseconds."""


def read_value(record: bytes) -> bytes:
    """Return the value in a keyed record."""
    return record[1 + record[0] :]


@pytest.mark.parametrize("age", [None, Millis(0), Millis(31_000)])
def test_a_record_of_a_version_holds_when_its_last_target_left(
    age: Millis | None,
) -> None:
    """Guards against a version whose end an entry that starts does not know."""
    version = RecordedVersion("engines", "v1", age)
    assert parse_version(read_value(encode_version(version, NOW)), NOW) == [version]


def test_a_clock_that_is_behind_makes_no_version_younger_than_now() -> None:
    """Guards against an end in the future, which would be remembered for longer."""
    record = encode_version(RecordedVersion("engines", "v1", Millis(0)), NOW)
    (version,) = parse_version(read_value(record), NOW - 5_000)
    assert version.age == 0


def test_an_expired_version_deletes_its_record() -> None:
    """Guards against records of versions that nobody asks for any more."""
    record = encode_version(RecordedVersion("engines", "v1", expired=True), NOW)
    other = encode_version(RecordedVersion("engines", "v1"), NOW)
    assert read_value(record) == b""
    assert other.startswith(record)


def test_a_record_of_starts_is_believed_for_as_long_as_callers_wait() -> None:
    """Guards against a stream that goes on long after its caller has left."""
    starts = (StreamStart(2**64 - 1, "v1"), StreamStart(7, "v2"))
    record = encode_starts(starts, NOW)
    assert set(parse_starts(record, NOW + START_RETENTION - 1)) == set(starts)
    assert parse_starts(record, NOW + START_RETENTION) == []


@pytest.mark.parametrize("content", [b"", b"{", b"{}", b'{"at": "1", "starts": {}}'])
def test_records_of_others_are_ignored(content: bytes) -> None:
    """Guards against an entry that does not start for a record it cannot read."""
    assert parse_starts(content, NOW) == []
    assert parse_version(content, NOW) == []


@pytest.fixture
async def store() -> AsyncIterator[FakeStore]:
    fake = FakeStore()
    await fake.start()
    yield fake
    await fake.stop()


@pytest.mark.parametrize("deleted", [0, 2])
async def test_a_topic_is_read_as_far_as_it_is_kept(
    store: FakeStore, deleted: int
) -> None:
    """Guards against a start of an entry that fails for deleted records."""
    client = HttpStore(store.address)
    assert await client.read_log("starts") == []
    for number in range(4):
        await client.append("starts", [b"%d" % number])
    store.delete_before("starts", deleted)
    records = await client.read_log("starts")
    assert records[-2:] == [b"2", b"3"]
    await client.close()


async def test_keyed_records_are_read_as_they_were_appended(store: FakeStore) -> None:
    """Guards against versions that are written in a form that no entry reads."""
    client = HttpStore(store.address)
    record = encode_version(RecordedVersion("engines", "v1"), NOW)
    await client.append(VERSION_TOPIC, [record])
    snapshot = await client.read_newest(VERSION_TOPIC)
    assert [one.value for one in snapshot.records] == [read_value(record)]
    await client.close()


@pytest.mark.parametrize("page", [b"[]", b'{"items": [{"key": 1}]}', b"no JSON"])
async def test_a_page_that_cannot_be_read_ends_the_read_of_versions(
    store: FakeStore, page: bytes
) -> None:
    """Guards against callers that wait for a read which does not end."""
    events: list[Event] = []
    client = HttpStore(store.address)
    log = HistoryLog(client, events.append)

    async def answer(*args: object) -> _StoreAnswer:
        return _StoreAnswer(page, 1)

    client._call = answer  # type: ignore[method-assign]
    log.read_versions()
    async with asyncio.timeout(5):
        while not events:
            await asyncio.sleep(0.01)
    assert events == [VersionsUnread()]
    await client.close()
