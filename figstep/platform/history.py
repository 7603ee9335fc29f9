"""Versions of targets and starts of streams, as entries write them to the store.

The newest record of each version is kept for good. Records of starts are deleted by the
store some time after they were written.
"""

import asyncio
import hashlib
import time
from collections.abc import Callable
from typing import Any

import logbook
import orjson
from mode import Service
from pydantic import BaseModel, ConfigDict, ValidationError

from figstep.core.clock import Millis
from figstep.errors import LogUnavailableError
from figstep.gateway.edges import HistoryPort
from figstep.gateway.effects import WriteHistory
from figstep.gateway.events import (
    Event,
    HistoryRead,
    HistoryWritten,
    VersionsRead,
    VersionsUnread,
)
from figstep.gateway.starts import START_RETENTION, RecordedVersion, StreamStart
from figstep.platform.store import Store

_log = logbook.Logger("figstep.store")

VERSION_TOPIC = "keyed.figstep-versions"
START_TOPIC = "figstep-starts"

INITIAL_BACKOFF_SECONDS = 0.2
"""Backoff after the first failed read, in seconds; each further failure doubles it."""

MAX_BACKOFF_SECONDS = 2.0
"""Longest backoff after failed reads, in seconds."""

KEY_BYTES = 16
"""Length of the hash that is the key of a version's record, in bytes; names of services
and versions together may be longer than a key can be."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _VersionDocument(_Model):
    service: str
    version: str
    left: int | None = None  # when the last target left, as a Unix time in ms


class _StartsDocument(_Model):
    at: int  # when the record was written, as a Unix time in ms
    starts: dict[str, list[int]]  # hashes of streams, by version


class HistoryLog(Service, HistoryPort):
    """Reads the recorded history as the process starts, and writes to it on order."""

    def __init__(self, store: Store, dispatch: Callable[[Event], None]) -> None:
        """Prepare the service.

        Args:
            store: Store that holds the history.
            dispatch: Called with HistoryRead once, with HistoryWritten after each
                write, and with VersionsRead or VersionsUnread after each further read.
        """
        super().__init__()
        self._store = store
        self._dispatch = dispatch
        self._write_task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None

    @Service.task
    async def _read(self) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while not self.should_stop:
            try:
                self._dispatch(await self._read_history())
                return
            except (LogUnavailableError, ValueError, KeyError) as error:
                _log.info("cannot read history", extra={"error": str(error)[:200]})
                await self.sleep(backoff)
                backoff = min(MAX_BACKOFF_SECONDS, 2 * backoff)

    async def _read_versions(self) -> tuple[RecordedVersion, ...]:
        snapshot = await self._store.read_newest(VERSION_TOPIC)
        now = _read_unix_time()
        versions = []
        for record in snapshot.records:
            if record.value is not None:
                versions += parse_version(record.value, now)
        return tuple(versions)

    async def _read_history(self) -> HistoryRead:
        versions = await self._read_versions()
        if not versions:
            return HistoryRead((), ())
        now = _read_unix_time()
        starts: list[StreamStart] = []
        for content in await self._store.read_log(START_TOPIC):
            starts += parse_starts(content, now)
        return HistoryRead(versions, tuple(starts))

    async def on_stop(self) -> None:
        """Cancel a write and a read in progress."""
        for task in (self._write_task, self._read_task):
            if task is not None:
                task.cancel()

    def write_history(self, effect: WriteHistory) -> None:
        """Write versions and starts; HistoryWritten is dispatched at the end."""
        coroutine = self._write(effect)
        self._write_task = asyncio.get_running_loop().create_task(coroutine)

    def read_versions(self) -> None:
        """Read the versions; VersionsRead or VersionsUnread is dispatched at the end.

        All versions are read that were confirmed as written before the call.
        """
        self._read_task = asyncio.get_running_loop().create_task(self._read_again())

    async def _read_again(self) -> None:
        try:
            versions = await self._read_versions()
        except (LogUnavailableError, ValueError, KeyError) as error:
            _log.info("versions not read", extra={"error": str(error)[:200]})
            self._dispatch(VersionsUnread())
            return
        except Exception:
            # Callers wait for the end of each read.
            _log.exception("versions not taken in")
            self._dispatch(VersionsUnread())
            return
        self._dispatch(VersionsRead(versions))

    async def _write(self, effect: WriteHistory) -> None:
        now = _read_unix_time()
        acknowledged = True
        try:
            if effect.versions:
                records = [encode_version(version, now) for version in effect.versions]
                await self._store.append(VERSION_TOPIC, records)
            if effect.starts:
                record = encode_starts(effect.starts, now)
                await self._store.append(START_TOPIC, [record])
        except LogUnavailableError as error:
            _log.info("history not written", extra={"error": str(error)[:200]})
            acknowledged = False
        self._dispatch(HistoryWritten(effect.versions, effect.starts, acknowledged))


def _read_unix_time() -> int:
    return time.time_ns() // 1_000_000


def encode_version(version: RecordedVersion, now: int) -> bytes:
    """Return the keyed record of a version; without a value if it has expired.

    ``now`` is the Unix time in milliseconds.
    """
    names = f"{version.service}\0{version.version}".encode()
    key = hashlib.blake2b(names, digest_size=KEY_BYTES).hexdigest().encode()
    value = b""
    if not version.expired:
        left = None if version.age is None else now - version.age
        document = _VersionDocument(
            service=version.service, version=version.version, left=left
        )
        value = orjson.dumps(document.model_dump())
    return bytes([len(key)]) + key + value


def parse_version(value: bytes, now: int) -> list[RecordedVersion]:
    """Return the version that a record holds; none if the record is not valid.

    ``now`` is the Unix time in milliseconds. A time in the future counts as now, as the
    clocks of entries differ.
    """
    try:
        document = _VersionDocument.model_validate(orjson.loads(value))
    except (orjson.JSONDecodeError, ValidationError):
        _log.warning("record of a version is not valid")
        return []
    age = None if document.left is None else Millis(max(0, now - document.left))
    return [RecordedVersion(document.service, document.version, age)]


def encode_starts(starts: tuple[StreamStart, ...], now: int) -> bytes:
    """Return the record of some starts; ``now`` is the Unix time in milliseconds."""
    streams: dict[str, list[int]] = {}
    for start in starts:
        streams.setdefault(start.version, []).append(start.stream)
    return orjson.dumps({"at": now, "starts": streams})


def parse_starts(content: bytes, now: int) -> list[StreamStart]:
    """Return the starts in a record; none if it is too old or not valid.

    ``now`` is the Unix time in milliseconds.
    """
    try:
        parsed: Any = orjson.loads(content)
        document = _StartsDocument.model_validate(parsed)
    except (orjson.JSONDecodeError, ValidationError):
        _log.warning("record of starts is not valid")
        return []
    if now - document.at >= START_RETENTION:
        return []
    return [
        StreamStart(stream, version)
        for version, streams in document.starts.items()
        for stream in streams
    ]
