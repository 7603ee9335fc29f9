"""Client of the platform's store, which keeps records in keyed topics."""

import asyncio
import base64
from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
import orjson

from figstep.core.positions import Position
from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.net.connectors import ResetAwareConnector
from figstep.net.reading import read_body
from figstep.net.sessions import send_once

ERA_HEADER = "Store-Era"
"""Header of all answers that holds the number of the store's era."""

CONFIGURATION_TOPIC = "keyed.op"
REGISTRATION_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"

OFFSETS_BYTES = 16
"""Length of the two offsets at the begin of the answer to a read, in bytes."""

END_BYTES = 8
"""Length of the first of these offsets, which is the end of the topic, in bytes."""

LENGTH_BYTES = 4
"""Length of the field before each record that holds the record's length, in bytes."""

LONG_POLL_SECONDS = 25.0
"""How long the store waits for a new record before it answers a read, in seconds (long
polling). The store allows 30 s. TCP keep-alive probes detect dead connections, but not
an answer that the store has lost."""

SHORT_POLL_SECONDS = 2.0
"""How long the store waits for a new record before it answers a read of the entry that
reads often, in seconds. The others learn of records that they miss from the positions
that entries announce."""

MAX_ERA = (1 << 63) - 1
"""Largest number of an era that messages between entries hold."""

MAX_ERA_DIGITS = 19
"""Most digits of such a number."""

MAX_ANSWER_BYTES = 8_388_608
"""Largest answer of the store, in bytes; it limits pages and reads to some MB."""

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call in seconds, beyond the time that the store waits for a record."""


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
        end: Position from which to read on; records that are not in the snapshot have
            this position or a later one.
    """

    records: tuple[KeyedRecord, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records of a topic that follow each other.

    Attributes:
        records: The records, oldest first.
        era: Era of the store in which they have their offsets.
    """

    records: list[KeyedRecord]
    era: int


@dataclass(frozen=True, slots=True)
class _StoreAnswer:
    """Body of an answer, and the era that it names."""

    body: bytes
    era: int


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
    ) -> RecordBatch:
        """Return a topic's records from offset ``start`` on.

        If there is none, the store waits up to ``wait`` seconds for one. The list is
        empty if none is written within this time.

        Raises:
            LogTruncatedError: If records from ``start`` on were deleted, or if the
                store has no such offset.
            LogUnavailableError: If the store gave no answer.
        """

    @abstractmethod
    async def read_log(self, topic: str) -> list[bytes]:
        """Return all records that a topic without keys still holds, oldest first.

        Raises:
            LogUnavailableError: If the store gave no answer.
        """

    @abstractmethod
    async def append(self, topic: str, records: list[bytes]) -> None:
        """Append records to a topic, all or none of them.

        A record of a keyed topic begins with the length of its key in one byte, and the
        key.

        Raises:
            LogUnavailableError: If the store gave no answer; the records may have been
                appended.
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
            LogUnavailableError: If the store gave no answer, or if it came back from an
                older copy between two pages.
        """
        records: dict[str, KeyedRecord] = {}
        end: Position | None = None
        after = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            answer = await self._call("/figstep/log-newest", query, 0.0)
            page = orjson.loads(answer.body)
            for item in page["items"]:
                value = base64.b64decode(item["value"])
                records[item["key"]] = KeyedRecord(item["key"], value or None)
            if end is None:
                # Records may change between two pages. The follower reads on from
                # the end in the first page, so it gets these changes again.
                end = Position(answer.era, page["end"])
            if answer.era != end.era:
                raise LogUnavailableError(
                    f"pages of eras {end.era} and {answer.era} are no snapshot"
                )
            if not page["has_more"] or not page["items"]:
                return Snapshot(tuple(records.values()), end)
            after = page["items"][-1]["key"]

    async def read_records(
        self, topic: str, start: int, wait: float = LONG_POLL_SECONDS
    ) -> RecordBatch:
        """Return a topic's records from offset ``start`` on.

        Raises:
            LogTruncatedError: If records from ``start`` on were deleted, or if the
                store has no such offset.
            LogUnavailableError: If the store gave no answer.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "wait_ms": str(round(wait * 1000)),
        }
        answer = await self._call("/figstep/log-read", query, wait)
        return RecordBatch(decode_records(answer.body), answer.era)

    async def read_log(self, topic: str) -> list[bytes]:
        """Return all records that a topic without keys still holds, oldest first.

        Raises:
            LogUnavailableError: If the store gave no answer.
        """
        contents: list[bytes] = []
        position = 0
        while True:
            query = {"topic": topic, "part": "0", "from": str(position)}
            query["wait_ms"] = "0"
            try:
                answer = await self._call("/figstep/log-read", query, 0.0)
            except LogTruncatedError as error:
                if error.earliest <= position:
                    return contents
                position = error.earliest
                continue
            read = split_records(answer.body)
            contents += read
            position += len(read)
            if not read or position >= int.from_bytes(answer.body[:END_BYTES]):
                return contents

    async def append(self, topic: str, records: list[bytes]) -> None:
        """Append records to a topic, all or none of them.

        Raises:
            LogUnavailableError: If the store gave no answer; the records may have been
                appended.
        """
        body = b"".join(
            len(record).to_bytes(LENGTH_BYTES) + record for record in records
        )
        query = {"topic": topic, "part": "0"}
        await self._call("/figstep/log-append", query, 0.0, body)

    async def _call(
        self, path: str, query: dict[str, str], wait: float, data: bytes | None = None
    ) -> _StoreAnswer:
        if self._session is None:
            self._session = _open_session()
        method = "GET" if data is None else "POST"
        try:
            async with (
                asyncio.timeout(wait + CALL_TIMEOUT_SECONDS),
                self._session.request(
                    method, self._base_url + path, params=query, data=data
                ) as response,
            ):
                body = await read_body(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise LogUnavailableError(f"{path}: {type(error).__name__}") from error
        if response.status == 410:
            raise LogTruncatedError(int(orjson.loads(body).get("first", 0)))
        if response.status != 200:
            raise LogUnavailableError(f"{path}: answered {response.status}")
        return _StoreAnswer(body, parse_era(response.headers.get(ERA_HEADER)))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


def _open_session() -> aiohttp.ClientSession:
    # A connection on which an answer was lost delivers nothing more; aiohttp closes it
    # when a call on it times out.
    # If aiohttp repeated a read that waits, as its connection broke, an outage would go
    # unnoticed until the next record.
    connector = ResetAwareConnector(bounded=True, limit=8)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
    )


def parse_era(value: str | None) -> int:
    """Return the era that an answer's header names; 0 if it has none.

    Raises:
        LogUnavailableError: If the header is no number, or one above ``MAX_ERA``.
    """
    if value is None:
        return 0
    is_number = value.isascii() and value.isdigit() and len(value) <= MAX_ERA_DIGITS
    if not is_number or int(value) > MAX_ERA:
        raise LogUnavailableError(f"{ERA_HEADER} is {value[:40]!r}, not a number")
    return int(value)


def decode_records(raw: bytes) -> list[KeyedRecord]:
    """Return the records in the answer to a read.

    The answer begins with two offsets of 8 bytes. Each record follows as its length in
    4 bytes, big-endian, and its content: the length of the key in one byte, the key,
    and the value. An empty value means that the record deletes the key.

    Raises:
        ValueError: If the answer is cut short.
    """
    return [_decode_record(content) for content in split_records(raw)]


def split_records(raw: bytes) -> list[bytes]:
    """Return the contents of the records in the answer to a read.

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
        records.append(raw[begin:end])
        position = end
    if position != len(raw):
        raise ValueError(f"answer of {len(raw)} bytes is cut short in a record")
    return records


def _decode_record(content: bytes) -> KeyedRecord:
    key_end = 1 + content[0] if content else 0
    key = content[1:key_end].decode(errors="replace")
    return KeyedRecord(key, content[key_end:] or None)
