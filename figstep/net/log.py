"""Client of the platform's log service, and an in-memory implementation."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import replace
from typing import Any

import aiohttp
import orjson
from multidict import CIMultiDictProxy

from figstep.core.records import LogRecord
from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.net.connectors import ResetAwareConnector
from figstep.net.reading import read_body

ERA_HEADER = "Log-Era"
"""Header of all answers: how often the log came back from an older copy."""

READ_LIMIT = 500
"""Default maximum number of records that one read returns."""

MAX_ANSWER_BYTES = 67_108_864
"""Largest answer of the log service, in bytes."""

_MALFORMED = (ValueError, KeyError, TypeError)
"""Errors of decoding an answer that is cut short or not an answer of the service."""


class LogClient(ABC):
    """Client of append-only streams of records with offsets.

    A log that comes back from an older copy has lost its newest records and gives
    their offsets to other records.

    Attributes:
        era: How often the log came back from an older copy, by the newest answer.
    """

    era: int

    @abstractmethod
    async def append(self, stream: str, records: list[dict[str, Any]]) -> int:
        """Append records and return the offset of the first.

        Raises:
            LogUnavailableError: If there is no answer or an answer other than success;
                the append may have taken effect.
        """

    @abstractmethod
    async def read(
        self, stream: str, start: int, wait: int = 0, limit: int = READ_LIMIT
    ) -> list[LogRecord]:
        """Return the records from offset ``start`` on, in order.

        If there are none yet, the read waits up to ``wait`` milliseconds for one. The
        result is empty if none is appended during the wait.

        Raises:
            LogUnavailableError: If there is no answer, an answer other than success,
                or one of an older era.
            LogTruncatedError: If the record at ``start`` has expired, or if ``start``
                is beyond the end of the stream.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the resources of the client."""


class MemoryLog(LogClient):
    """Log in memory, for tests. The time of all records is 0.

    Attributes:
        earliest: Offset of the first record that has not expired, by stream.
        available: Whether calls succeed; if not, they raise LogUnavailableError.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[LogRecord]] = {}
        self.earliest: dict[str, int] = {}
        self.available = True
        self.era = 0
        self._changed = asyncio.Event()

    def revert(self, lost: int) -> None:
        """Come back from a copy that lacks the newest records of each stream.

        Args:
            lost: Number of records that each stream loses.
        """
        self.era += 1
        for records in self.streams.values():
            del records[max(0, len(records) - lost) :]
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def append(self, stream: str, records: list[dict[str, Any]]) -> int:
        """Append records and return the offset of the first."""
        self._check_available()
        stored = self.streams.setdefault(stream, [])
        first = len(stored)
        for number, data in enumerate(records):
            stored.append(LogRecord(first + number, 0, data))
        self._wake_readers()
        return first

    async def read(
        self, stream: str, start: int, wait: int = 0, limit: int = READ_LIMIT
    ) -> list[LogRecord]:
        """Return records from offset ``start`` on."""
        self._check_available()
        earliest = self.earliest.get(stream, 0)
        if start < earliest:
            raise LogTruncatedError(earliest)
        stored = self.streams.get(stream, [])
        if start > len(stored):
            raise LogTruncatedError(earliest)
        if start == len(stored) and wait:
            try:
                await asyncio.wait_for(self._changed.wait(), wait / 1000)
            except TimeoutError:
                return []
            stored = self.streams.get(stream, [])
        return [replace(r, era=self.era) for r in stored[start : start + limit]]

    async def close(self) -> None:
        """Do nothing; there are no resources to release."""

    def _check_available(self) -> None:
        if not self.available:
            raise LogUnavailableError("the log is down; try again later")


class HttpLog(LogClient):
    """Client of the platform's log service over HTTP.

    An append times out after ``timeout`` seconds, a read after ``timeout`` seconds and
    the time that it waits for records.
    """

    def __init__(self, base_url: str, timeout: float = 5.0) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None
        self.era = 0

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=ResetAwareConnector())
        return self._session

    async def append(self, stream: str, records: list[dict[str, Any]]) -> int:
        """Append records and return the offset of the first."""
        url = f"{self._base_url}/streams/{stream}/records"
        body = orjson.dumps({"records": records})
        timeout = aiohttp.ClientTimeout(total=self._timeout)
        try:
            async with self._open_session().post(
                url, data=body, timeout=timeout
            ) as response:
                self._record_era(response.headers)
                if response.status != 200:
                    raise LogUnavailableError(
                        f"log service answered {response.status}; read back before"
                        " appending again"
                    )
                answer = orjson.loads(await read_body(response, MAX_ANSWER_BYTES))
            return int(answer["offset"])
        except (aiohttp.ClientError, TimeoutError, *_MALFORMED) as error:
            raise LogUnavailableError(
                f"no answer from the log service ({error!r}); read back before"
                " appending again"
            ) from error

    async def read(
        self, stream: str, start: int, wait: int = 0, limit: int = READ_LIMIT
    ) -> list[LogRecord]:
        """Return records from offset ``start`` on."""
        url = f"{self._base_url}/streams/{stream}/records"
        params = {"from": str(start), "wait_ms": str(wait), "limit": str(limit)}
        timeout = aiohttp.ClientTimeout(total=self._timeout + wait / 1000)
        try:
            async with self._open_session().get(
                url, params=params, timeout=timeout
            ) as response:
                era = self._record_era(response.headers)
                body = await read_body(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailableError(
                f"no answer from the log service ({error!r}); try again later"
            ) from error
        if era < self.era:
            raise LogUnavailableError(
                f"answer of era {era}, but the log is in era {self.era}; read again"
            )
        try:
            return _decode_read(response.status, body, era)
        except _MALFORMED as error:
            raise LogUnavailableError(
                f"malformed answer from the log service ({error!r}); try again later"
            ) from error

    def _record_era(self, headers: CIMultiDictProxy[str]) -> int:
        """Record and return the era of an answer; it is the known one if none is named.

        Raises:
            LogUnavailableError: If the header is no number.
        """
        named = headers.get(ERA_HEADER)
        if named is None:
            return self.era
        if not (named.isascii() and named.isdigit()):
            raise LogUnavailableError(f"{ERA_HEADER} is {named[:40]!r}, not a number")
        self.era = max(self.era, int(named))
        return int(named)

    async def close(self) -> None:
        """Close the connections to the service."""
        if self._session is not None:
            await self._session.close()


def _decode_read(status: int, body: bytes, era: int) -> list[LogRecord]:
    if status == 410:
        raise LogTruncatedError(int(orjson.loads(body)["earliest"]))
    if status != 200:
        raise LogUnavailableError(f"log service answered {status}; try again later")
    records = orjson.loads(body)["records"]
    return [LogRecord(r["offset"], r["time"], r["data"], era) for r in records]
