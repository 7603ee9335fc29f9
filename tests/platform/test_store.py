"""Tests of the client of the store, with a fake store."""

import asyncio

import pytest

from figstep.core.positions import Position
from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.platform.store import HttpStore, KeyedRecord, RecordBatch, decode_records
from tests.platform.standins import FakeStore

TOPIC = "keyed.servers"


async def open_store() -> tuple[FakeStore, HttpStore]:
    fake = FakeStore()
    await fake.start()
    return fake, HttpStore(fake.address)


async def test_newest_records_are_read_page_by_page() -> None:
    fake, store = await open_store()
    fake.page = 2
    for number in range(5):
        await fake.put(TOPIC, f"k{number}", b"old")
        await fake.put(TOPIC, f"k{number}", b"new")
    await fake.put(TOPIC, "k1", b"")
    snapshot = await store.read_newest(TOPIC)
    assert {record.key for record in snapshot.records} == {"k0", "k2", "k3", "k4"}
    assert {record.value for record in snapshot.records} == {b"new"}
    assert snapshot.end == Position(1, 11)
    await store.close()
    await fake.stop()


async def test_an_answer_of_an_era_without_measure_is_none() -> None:
    """Guards against the number of an era that fits into no message."""
    fake, store = await open_store()
    for era in (1 << 63, 10**30, 10**4_000):
        fake.era = era
        with pytest.raises(LogUnavailableError):
            await store.read_newest(TOPIC)
    await store.close()
    await fake.stop()


async def test_a_read_waits_for_a_record() -> None:
    fake, store = await open_store()
    reading = asyncio.create_task(store.read_records(TOPIC, 0))
    await asyncio.sleep(0.05)
    assert not reading.done()
    await fake.put(TOPIC, "k", b"value")
    assert await reading == RecordBatch([KeyedRecord("k", b"value")], era=1)
    await store.close()
    await fake.stop()


async def test_deleted_records_and_outages_raise_different_errors() -> None:
    fake, store = await open_store()
    await fake.put(TOPIC, "k", b"value")
    fake.delete_before(TOPIC, 1)
    with pytest.raises(LogTruncatedError):
        await store.read_records(TOPIC, 0)
    fake.unavailable = True
    with pytest.raises(LogUnavailableError):
        await store.read_records(TOPIC, 1)
    await fake.stop()
    with pytest.raises(LogUnavailableError):
        await store.read_newest(TOPIC)
    await store.close()


def test_a_record_without_a_value_drops_its_key() -> None:
    content = b"\x01k"
    raw = bytes(16) + len(content).to_bytes(4) + content
    assert decode_records(raw) == [KeyedRecord("k", None)]


@pytest.mark.parametrize("missing", [1, 7, 12, 20, 30])
def test_records_that_are_cut_short_are_not_read(missing: int) -> None:
    """Guards against half a configuration that is taken as the whole one."""
    content = bytes([1]) + b"k" + b"a value of some length"
    record = len(content).to_bytes(4) + content
    raw = (2).to_bytes(8) + (0).to_bytes(8) + record + record
    assert len(decode_records(raw)) == 2
    with pytest.raises(ValueError, match="cut short"):
        decode_records(raw[:-missing])


def test_an_answer_without_offsets_is_not_read() -> None:
    with pytest.raises(ValueError, match="cut short"):
        decode_records(bytes(15))
