"""Tests of the followers of the store's topics, with a fake store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from figstep.core.positions import Position
from figstep.errors import LogUnavailableError
from figstep.gateway.targets import Standing
from figstep.platform.followers import TopicFollower, TopicSink
from figstep.platform.store import HttpStore, KeyedRecord
from tests.platform.places import open_place, start_fleet
from tests.platform.standins import FakeStore

TOPIC = "keyed.servers"


async def open_store() -> tuple[FakeStore, HttpStore]:
    fake = FakeStore()
    await fake.start()
    return fake, HttpStore(fake.address)


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

    def apply(records: object, end: Position) -> None:
        if not applied_ends:
            applied_ends.append(-1)
            raise RuntimeError("unexpected record")
        applied_ends.append(end.offset)

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


class FollowedTopic:
    """A follower of a topic of a fake store, and what it has read.

    Attributes:
        values: Value of each key, as read.
        position: Position up to which the topic was read.
        eras: Eras that the follower reported.
    """

    def __init__(self, fake: FakeStore, store: HttpStore) -> None:
        self.fake = fake
        self.values: dict[str, bytes] = {}
        self.position = Position()
        self.eras: list[int] = []
        sink = TopicSink(
            self._apply_snapshot,
            self._apply_records,
            lambda reason: None,
            lambda: None,
            self.eras.append,
        )
        self.follower = TopicFollower(store, TOPIC, sink)

    def _apply_snapshot(
        self, records: tuple[KeyedRecord, ...], position: Position
    ) -> None:
        self.values.clear()
        self._apply_records(list(records), position)

    def _apply_records(self, records: list[KeyedRecord], position: Position) -> None:
        for record in records:
            self.values[record.key] = record.value or b""
        self.position = position

    async def wait_for(self, **values: bytes) -> None:
        async with asyncio.timeout(3):
            while self.values != values:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def follow_topic(records: int) -> AsyncIterator[FollowedTopic]:
    """Follow a topic with some records of one key, whose values are their numbers."""
    fake, store = await open_store()
    for number in range(records):
        await fake.put(TOPIC, "k", b"%d" % number)
    topic = FollowedTopic(fake, store)
    await topic.follower.start()
    await topic.wait_for(k=b"%d" % (records - 1))
    await asyncio.sleep(0.05)
    try:
        yield topic
    finally:
        await topic.follower.stop()
        await store.close()
        await fake.stop()


@pytest.mark.parametrize("written_again", [1, 3, 5])
async def test_records_at_offsets_that_were_read_before_are_read(
    written_again: int,
) -> None:
    """Guards against new records that are skipped as their offsets were read before."""
    async with follow_topic(6) as topic:
        await topic.fake.restore(lost=3, resets=False)
        for number in range(written_again):
            await topic.fake.put(TOPIC, "new", b"%d" % number)
        topic.follower.notice_era(topic.fake.era)
        await topic.wait_for(k=b"2", new=b"%d" % (written_again - 1))
        assert topic.position == Position(2, 3 + written_again)


async def test_a_read_that_waits_across_a_return_is_void() -> None:
    """Guards against records that are read from an offset of the era before."""
    async with follow_topic(6) as topic:
        await topic.fake.restore(lost=3, resets=False)
        for number in range(5):
            await topic.fake.put(TOPIC, "new", b"%d" % number)
        await topic.wait_for(k=b"2", new=b"4")
        assert topic.eras == [1, 2]


async def test_a_return_to_the_same_offset_is_noticed() -> None:
    """Guards against a broken read that the HTTP client repeats by itself."""
    async with follow_topic(6) as topic:
        await topic.fake.restore(lost=1)
        await topic.fake.put(TOPIC, "new", b"1")
        await topic.wait_for(k=b"4", new=b"1")


async def test_an_answer_of_an_earlier_era_is_void() -> None:
    """Guards against an answer that was on its way as the store came back."""
    async with follow_topic(3) as topic:
        topic.follower.notice_era(7)
        await topic.fake.put(TOPIC, "late", b"x")
        await asyncio.sleep(0.3)
        assert "late" not in topic.values
        topic.fake.era = 7
        await topic.wait_for(k=b"2", late=b"x")


async def test_pages_of_two_eras_are_no_snapshot() -> None:
    """Guards against a snapshot whose pages lack what was written between them."""
    fake, store = await open_store()
    fake.page = 1
    await fake.put(TOPIC, "a", b"1")
    await fake.put(TOPIC, "b", b"1")

    async def return_between_pages() -> None:
        while fake.calls.count("newest") < 1:
            await asyncio.sleep(0)
        fake.era += 1

    fake.delay = 0.02
    returning = asyncio.create_task(return_between_pages())
    with pytest.raises(LogUnavailableError, match="eras 1 and 2"):
        await store.read_newest(TOPIC)
    await returning
    await store.close()
    await fake.stop()


async def test_a_store_that_names_no_era_is_followed() -> None:
    fake, store = await open_store()
    fake.era = 0
    await fake.put(TOPIC, "k", b"1")
    topic = FollowedTopic(fake, store)
    await topic.follower.start()
    await topic.wait_for(k=b"1")
    await fake.put(TOPIC, "k", b"2")
    await topic.wait_for(k=b"2")
    await topic.follower.stop()
    await store.close()
    await fake.stop()


KNOWN_WITHIN_SECONDS = 5.0
"""Time after an outage of the store in which entries must know of a departure: three
seconds until they count as connected, and two in which a target still serves."""


async def test_a_departure_is_known_soon_although_the_store_lost_answers() -> None:
    """Guards against requests to a target that has drained, as long polls hang."""
    async with open_place() as place:
        target = await place.add_target("i-b1", "bookings")
        await start_fleet(place, 3, 1)
        # Entries that start for the first time read changes after two seconds.
        await asyncio.sleep(3.0)
        place.store.lose_waiting_reads()
        await target.register(place.store, "draining")
        async with asyncio.timeout(KNOWN_WITHIN_SECONDS):
            for entry in place.entries:
                known = entry.gateway.known.targets.targets["i-b1"]
                while known.standing is Standing.READY:
                    await asyncio.sleep(0.05)
