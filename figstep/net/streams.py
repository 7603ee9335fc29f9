"""Services that follow the streams of the log and append to them in batches."""

import asyncio
from collections.abc import Callable
from typing import Any

from mode import Service

from figstep.core.effects import AppendRecords
from figstep.core.events import (
    AppendConfirmed,
    AppendUncertain,
    Event,
    StreamCaughtUp,
    StreamRestarted,
    StreamUnavailable,
)
from figstep.core.records import LogRecord
from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.net.log import READ_LIMIT, LogClient

POLL_TIMEOUT = 10_000
"""Longest wait of a long poll, in milliseconds."""

RETRY_SECONDS = 0.5
"""Pause after a read that failed, in seconds."""


class StreamFollower(Service):
    """Reads one stream by long polls and passes its records on in order.

    Records that the log has deleted are skipped. ``StreamUnavailable`` is dispatched
    after each failed read, and ``StreamCaughtUp`` when the end of the stream is reached
    for the first time and again after failed reads.

    If the log comes back from an older copy, ``StreamRestarted`` is dispatched and the
    stream is read from its begin, as other records may have the offsets that were read
    before.

    After a read that returned records the follower pauses for ``read_delay`` seconds,
    so that records appended meanwhile are returned by one read instead of several.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        handle_records: Callable[[list[LogRecord]], None],
        start: int = 0,
        dispatch: Callable[[Event], None] | None = None,
        limit: int = READ_LIMIT,
        read_delay: float = 0.0,
    ) -> None:
        super().__init__()
        self._read_delay = read_delay
        self._limit = limit
        self._dispatch = dispatch or _ignore_event
        self._caught_up = False
        self._log_client = log
        self._stream = stream
        self._handle_records = handle_records
        self._next = start
        self._era = 0

    def read_from(self, offset: int) -> None:
        """Continue at ``offset``; the records of a running read are discarded."""
        self._next = offset

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            wait = POLL_TIMEOUT if self._caught_up else 0
            start = self._next
            try:
                records = await self._log_client.read(
                    self._stream, start, wait, self._limit
                )
            except LogTruncatedError as error:
                if self._restart_in_new_era():
                    continue
                if error.earliest <= start:
                    await self._report_unavailable()
                    continue
                self._next = max(self._next, error.earliest)
                continue
            except LogUnavailableError:
                await self._report_unavailable()
                continue
            if self._restart_in_new_era():
                continue
            if records and self._next == start:
                self._next = records[-1].offset + 1
                self._handle_records(records)
            if self._next != start + len(records):
                continue
            if not self._caught_up and len(records) < self._limit:
                self._caught_up = True
                self._dispatch(StreamCaughtUp(self._stream))
            if records and self._read_delay:
                await self.sleep(self._read_delay)

    async def _report_unavailable(self) -> None:
        self._caught_up = False
        self._dispatch(StreamUnavailable(self._stream))
        await self.sleep(RETRY_SECONDS)

    def _restart_in_new_era(self) -> bool:
        """Begin at the first record if the log is in another era; return whether so."""
        if self._log_client.era == self._era:
            return False
        self._era = self._log_client.era
        self._next = 0
        self._caught_up = False
        self._dispatch(StreamRestarted(self._stream, self._era))
        return True


def _ignore_event(event: Event) -> None:
    """Ignore an event; the default dispatch of a follower."""


class StreamAppender(Service):
    """Appends records, one batch at a time for each stream.

    Records that are queued while a batch is sent form the next batch.
    """

    def __init__(self, log: LogClient, dispatch: Callable[[Event], None]) -> None:
        super().__init__()
        self._log_client = log
        self._dispatch = dispatch
        self._waiting: dict[str, list[AppendRecords]] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}

    async def on_stop(self) -> None:
        """Cancel all appends that are queued or unanswered."""
        for task in self._senders.values():
            task.cancel()

    @property
    def idle(self) -> bool:
        """Whether no append is pending."""
        return not self._senders

    def append(self, effect: AppendRecords) -> None:
        """Queue an append; it results in ``AppendConfirmed`` or ``AppendUncertain``."""
        self._waiting.setdefault(effect.stream, []).append(effect)
        if effect.stream in self._senders:
            return
        task = asyncio.get_running_loop().create_task(self._send(effect.stream))
        self._senders[effect.stream] = task

    async def _send(self, stream: str) -> None:
        try:
            while batch := self._waiting.pop(stream, None):
                await self._send_batch(stream, batch)
        finally:
            del self._senders[stream]

    async def _send_batch(self, stream: str, batch: list[AppendRecords]) -> None:
        records: list[dict[str, Any]] = []
        for effect in batch:
            records += effect.records
        try:
            offset = await self._log_client.append(stream, records)
        except LogUnavailableError:
            for effect in batch:
                self._dispatch(AppendUncertain(effect.key))
            return
        for effect in batch:
            self._dispatch(AppendConfirmed(effect.key, offset))
            offset += len(effect.records)
