"""Client of the platform's store, which keeps records in keyed topics.

A follower reads the newest record of each key first, then each new record.
"""

import asyncio
import base64
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import logbook
import orjson
from mode import Service

from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.net.connectors import ResetAwareConnector

_log = logbook.Logger("figstep.store")

CONFIGURATION_TOPIC = "keyed.op"
REGISTRATION_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"

OFFSETS_BYTES = 16
"""Length of the two offsets at the begin of the answer to a read, in bytes."""

LENGTH_BYTES = 4
"""Length of the field before each record that holds the record's length, in bytes."""

LONG_POLL_SECONDS = 25.0
"""How long the store waits for a new record before it answers a read, in seconds (long
polling). The store allows 30 s. TCP keep-alive probes detect dead connections, so a
longer wait costs nothing and saves calls."""

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call in seconds, beyond the time that the store waits for a record."""

IDLE_POLL_SECONDS = 0.25
"""Interval in seconds at which an entry that relies on other readers of the store
checks whether it has to read the store itself."""

INITIAL_BACKOFF_SECONDS = 0.1
"""Backoff after the first failed read, in seconds; each further failure doubles it."""

MAX_BACKOFF_SECONDS = 1.0
"""Longest backoff after failed reads, in seconds. A configuration has to be in force
within two seconds after the store has recovered."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        value: Value of the key; None if the record deletes the key.
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest record of each key of a topic.

    Attributes:
        records: Newest record of each key that is not deleted.
        end: Offset from which to read on; records that are not in the snapshot have
            this offset or a later one.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class Store(ABC):
    """Port through which an entry reads the store."""

    @abstractmethod
    async def read_newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key of a topic.

        Raises:
            LogUnavailableError: If the store gave no answer.
        """

    @abstractmethod
    async def read_records(
        self, topic: str, start: int, wait: float = LONG_POLL_SECONDS
    ) -> list[KeyedRecord]:
        """Return a topic's records from offset ``start`` on.

        If there is none, the store waits up to ``wait`` seconds for one. The list is
        empty if none is written within this time.

        Raises:
            LogTruncatedError: If records from ``start`` on were deleted.
            LogUnavailableError: If the store gave no answer.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class HttpStore(Store):
    """Client of the store's HTTP interface; opens its session at the first call."""

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def read_newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key of a topic, read page by page.

        Raises:
            LogUnavailableError: If the store gave no answer.
        """
        records: dict[str, KeyedRecord] = {}
        end: int | None = None
        after = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            page = orjson.loads(await self._call("/figstep/log-newest", query, 0.0))
            for item in page["items"]:
                value = base64.b64decode(item["value"])
                records[item["key"]] = KeyedRecord(item["key"], value or None)
            if end is None:
                # Records may change between two pages. The follower reads on from
                # the end in the first page, so it gets these changes again.
                end = page["end"]
            if not page["has_more"] or not page["items"]:
                return Snapshot(tuple(records.values()), end)
            after = page["items"][-1]["key"]

    async def read_records(
        self, topic: str, start: int, wait: float = LONG_POLL_SECONDS
    ) -> list[KeyedRecord]:
        """Return a topic's records from offset ``start`` on.

        Raises:
            LogTruncatedError: If records from ``start`` on were deleted.
            LogUnavailableError: If the store gave no answer.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "wait_ms": str(round(wait * 1000)),
        }
        raw = await self._call("/figstep/log-read", query, wait)
        return decode_records(raw)

    async def _call(self, path: str, query: dict[str, str], wait: float) -> bytes:
        if self._session is None:
            self._session = _open_session()
        try:
            async with (
                asyncio.timeout(wait + CALL_TIMEOUT_SECONDS),
                self._session.get(self._base_url + path, params=query) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise LogUnavailableError(f"{path}: {type(error).__name__}") from error
        if response.status == 410:
            raise LogTruncatedError(int(orjson.loads(body).get("first", 0)))
        if response.status != 200:
            raise LogUnavailableError(f"{path}: answered {response.status}")
        return body

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


def _open_session() -> aiohttp.ClientSession:
    # A connection on which an answer was lost delivers nothing more; aiohttp closes it
    # when a call on it times out.
    connector = ResetAwareConnector(limit=8)
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


def decode_records(raw: bytes) -> list[KeyedRecord]:
    """Return the records in the answer to a read.

    The answer begins with two offsets of 8 bytes. Each record follows as its length in
    4 bytes, big-endian, and its content: the length of the key in one byte, the key,
    and the value. An empty value means that the record deletes the key.

    Raises:
        ValueError: If the answer is cut short.
    """
    records = []
    position = OFFSETS_BYTES
    while position < len(raw):
        begin = position + LENGTH_BYTES
        end = begin + int.from_bytes(raw[position:begin])
        if begin > len(raw) or end > len(raw):
            break
        records.append(_decode_record(raw[begin:end]))
        position = end
    if position != len(raw):
        raise ValueError(f"answer of {len(raw)} bytes is cut short in a record")
    return records


def _decode_record(content: bytes) -> KeyedRecord:
    key_end = 1 + content[0] if content else 0
    key = content[1:key_end].decode(errors="replace")
    return KeyedRecord(key, content[key_end:] or None)


@dataclass(frozen=True, slots=True)
class TopicSink:
    """Callbacks that receive the records of a followed topic.

    Attributes:
        apply_snapshot: Called with the newest record of each key, and the offset of
            the next record.
        apply_records: Called with new records in order, and the offset after the last.
        handle_store_lost: Called with the reason when the store stops answering.
        handle_store_regained: Called when the store answers again, or when other
            entries read the topic for this one.
    """

    apply_snapshot: Callable[[tuple[KeyedRecord, ...], int], None]
    apply_records: Callable[[list[KeyedRecord], int], None]
    handle_store_lost: Callable[[str], None]
    handle_store_regained: Callable[[], None]


class TopicFollower(Service):
    """Reads the newest record of each key of a topic, then each new record."""

    def __init__(
        self,
        store: Store,
        topic: str,
        sink: TopicSink,
        should_read: Callable[[], bool] = lambda: True,
        choose_read_delay: Callable[[], float] = lambda: 0.0,
        first_read_delay: float = 0.0,
    ) -> None:
        """Follow a topic.

        Args:
            store: Store that holds the topic.
            topic: Name of the topic.
            sink: Callbacks that receive the records.
            should_read: Returns whether this entry has to read new records itself. The
                first snapshot is read in any case.
            choose_read_delay: Returns the delay in seconds after a read that
                returned records.
            first_read_delay: Delay in seconds after the first read, in which an
                entry finds out whether other entries read for it.
        """
        super().__init__()
        self._first_read_delay = first_read_delay
        self._choose_read_delay = choose_read_delay
        self._should_read = should_read
        self._store = store
        self._topic = topic
        self._sink = sink
        self._next_offset: int | None = None
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._store_lost = False

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self._next_offset is not None and not self._should_read():
                # Other entries read the records and relay them to this one. If the
                # store rejects this entry, repeated reads would only cost calls.
                self._report_store_regained()
                await self.sleep(IDLE_POLL_SECONDS)
                continue
            try:
                await self._read_next()
            except LogTruncatedError as error:
                # The deleted records cannot be read any more; a new snapshot replaces
                # them.
                _log.info(
                    "records deleted from the store",
                    extra={"topic": self._topic, "earliest": error.earliest},
                )
                if self._should_read():
                    self._next_offset = None
            except (LogUnavailableError, ValueError, KeyError) as error:
                self._report_store_lost(str(error))
                await self._back_off()
            except Exception:
                # If the follower ended here, this entry would keep its old
                # configuration and send requests to departed targets forever.
                _log.exception("records not taken in", extra={"topic": self._topic})
                self._next_offset = None
                await self._back_off()

    async def _back_off(self) -> None:
        await self.sleep(self._backoff)
        self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2)

    async def _read_next(self) -> None:
        if self._next_offset is None:
            snapshot = await self._store.read_newest(self._topic)
            self._report_store_regained()
            self._next_offset = snapshot.end
            self._sink.apply_snapshot(snapshot.records, snapshot.end)
            await self.sleep(self._first_read_delay)
            self._first_read_delay = 0.0
            return
        start = self._next_offset
        # Whether the store is back must not be learned from the next record only, which
        # may be long in coming.
        wait = 0.0 if self._store_lost else LONG_POLL_SECONDS
        records = await self._store.read_records(self._topic, start, wait)
        self._report_store_regained()
        if self._next_offset != start:
            # A peer relayed records from `start` on while this read was waiting.
            return
        if records:
            self._next_offset += len(records)
            self._sink.apply_records(records, self._next_offset)
            # Records come in bursts: after a delay, one call reads several.
            await self.sleep(self._choose_read_delay())

    def skip_to(self, position: int) -> None:
        """Skip records that a peer has relayed.

        Args:
            position: Offset of the next record to read; ignored if it is not later than
                the present one.
        """
        if self._next_offset is None or position > self._next_offset:
            self._next_offset = position

    def _report_store_lost(self, reason: str) -> None:
        if self._store_lost:
            return
        self._store_lost = True
        _log.warning("store lost", extra={"topic": self._topic, "reason": reason})
        self._sink.handle_store_lost(reason)

    def _report_store_regained(self) -> None:
        self._backoff = INITIAL_BACKOFF_SECONDS
        if not self._store_lost:
            return
        self._store_lost = False
        _log.info("store regained", extra={"topic": self._topic})
        self._sink.handle_store_regained()
