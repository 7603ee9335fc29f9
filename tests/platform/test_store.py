"""Tests of the client of the store, with a fake store."""

import asyncio

import pytest

from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.platform.store import (
    HttpStore,
    KeyedRecord,
    TopicFollower,
    TopicSink,
    decode_records,
)
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
    assert snapshot.end == 11
    await store.close()
    await fake.stop()


async def test_a_read_waits_for_a_record() -> None:
    fake, store = await open_store()
    reading = asyncio.create_task(store.read_records(TOPIC, 0))
    await asyncio.sleep(0.05)
    assert not reading.done()
    await fake.put(TOPIC, "k", b"value")
    assert await reading == [KeyedRecord("k", b"value")]
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


async def test_a_follower_rereads_a_topic_whose_records_were_deleted() -> None:
    """Guards against a departed target that would get requests forever.

    The store deletes its records while the follower cannot read, and with them the
    record of the departure.
    """
    fake, store = await open_store()
    await fake.put(TOPIC, "k1", b"value")
    await fake.put(TOPIC, "k2", b"value")
    snapshots: list[set[str]] = []
    reports: list[str] = []
    sink = TopicSink(
        lambda records, end: snapshots.append({record.key for record in records}),
        lambda records, end: None,
        reports.append,
        lambda: reports.append("regained"),
    )
    follower = TopicFollower(store, TOPIC, sink)
    await follower.start()
    await asyncio.sleep(0.1)
    fake.unavailable = True
    await fake.put(TOPIC, "k3", b"value")
    await asyncio.sleep(0.1)
    await fake.put(TOPIC, "k1", b"")
    fake.delete_before(TOPIC, 4)
    fake.unavailable = False
    async with asyncio.timeout(3):
        while len(snapshots) < 2:
            await asyncio.sleep(0.02)
    assert snapshots == [{"k1", "k2"}, {"k2", "k3"}]
    assert reports[-1] == "regained"
    await follower.stop()
    await store.close()
    await fake.stop()


async def test_a_follower_that_stops_reading_reports_the_store_regained() -> None:
    """Guards against an entry that keeps querying engines, which is costly.

    The store rejects the entry, and other entries read and relay the records. The
    entry stops reading, and must not consider the store lost until it reads again.
    """
    fake, store = await open_store()
    reports: list[str] = []
    wanted = True
    follower = TopicFollower(
        store,
        TOPIC,
        TopicSink(
            lambda records, end: None,
            lambda records, end: None,
            lambda reason: reports.append("lost"),
            lambda: reports.append("regained"),
        ),
        lambda: wanted,
    )
    await follower.start()
    await asyncio.sleep(0.1)
    fake.unavailable = True
    await fake.put(TOPIC, "k", b"value")
    async with asyncio.timeout(3):
        while reports != ["lost"]:
            await asyncio.sleep(0.01)
        wanted = False
        while reports != ["lost", "regained"]:
            await asyncio.sleep(0.01)
    await follower.stop()
    await store.close()
    await fake.stop()


async def test_a_follower_reports_the_store_regained_before_the_next_record() -> None:
    """Guards against an outage that seems to last until a quiet topic changes."""
    fake, store = await open_store()
    reports: list[str] = []
    sink = TopicSink(
        lambda records, end: None,
        lambda records, end: None,
        lambda reason: reports.append("lost"),
        lambda: reports.append("regained"),
    )
    follower = TopicFollower(store, TOPIC, sink)
    await follower.start()
    await asyncio.sleep(0.1)
    await fake.fail()
    async with asyncio.timeout(3):
        while reports != ["lost"]:
            await asyncio.sleep(0.01)
        fake.unavailable = False
        while reports != ["lost", "regained"]:
            await asyncio.sleep(0.01)
    await follower.stop()
    await store.close()
    await fake.stop()


async def test_a_follower_survives_an_error_of_its_sink() -> None:
    """Guards against an entry that would keep its old configuration forever.

    The sink fails at one record. The follower reads the whole topic again, and later
    records are applied.
    """
    fake, store = await open_store()
    applied_ends: list[int] = []

    def apply(records: object, end: int) -> None:
        if not applied_ends:
            applied_ends.append(-1)
            raise RuntimeError("unexpected record")
        applied_ends.append(end)

    sink = TopicSink(apply, apply, lambda reason: None, lambda: None)
    follower = TopicFollower(store, TOPIC, sink)
    await follower.start()
    await fake.put(TOPIC, "k", b"value")
    async with asyncio.timeout(3):
        while applied_ends[-1:] != [1]:
            await asyncio.sleep(0.01)
    await follower.stop()
    await store.close()
    await fake.stop()


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
