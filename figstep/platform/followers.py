"""Followers of the store's topics.

A follower reads the newest record of each key first, then each new record. When the
store comes back from an older copy, it reads the topic anew: from then on the offsets
that it knows belong to other records.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import logbook
from mode import Service

from figstep.core.positions import Position
from figstep.errors import LogTruncatedError, LogUnavailableError
from figstep.platform.store import (
    LONG_POLL_SECONDS,
    KeyedRecord,
    RecordBatch,
    Store,
)

_log = logbook.Logger("figstep.store")

IDLE_POLL_SECONDS = 0.25
"""Interval in seconds at which an entry that relies on other readers of the store
checks whether it has to read the store itself."""

FIRST_READ_POLL_SECONDS = 0.02
"""Interval in seconds at which is checked whether to wait after the first read."""

INITIAL_BACKOFF_SECONDS = 0.1
"""Backoff after the first failed read, in seconds; each further failure doubles it."""

MAX_BACKOFF_SECONDS = 1.0
"""Longest backoff after failed reads, in seconds. A configuration has to be in force
within two seconds after the store has recovered."""


@dataclass(frozen=True, slots=True)
class TopicSink:
    """Callbacks that receive the records of a followed topic.

    Attributes:
        apply_snapshot: Called with the newest record of each key, and the position of
            the next record.
        apply_records: Called with new records in order, and the position after the
            last.
        handle_store_lost: Called with the reason when the store stops answering.
        handle_store_regained: Called when the store answers again, or when other
            entries read the topic for this one.
        handle_era: Called with the number of an era of the store that is newer than
            those known so far.
    """

    apply_snapshot: Callable[[tuple[KeyedRecord, ...], Position], None]
    apply_records: Callable[[list[KeyedRecord], Position], None]
    handle_store_lost: Callable[[str], None]
    handle_store_regained: Callable[[], None]
    handle_era: Callable[[int], None] = lambda era: None


class TopicFollower(Service):
    """Reads the newest record of each key of a topic, then each new record."""

    def __init__(
        self,
        store: Store,
        topic: str,
        sink: TopicSink,
        should_read: Callable[[], bool] = lambda: True,
        choose_read_delay: Callable[[], float] = lambda: 0.0,
        waits_after_first_read: Callable[[float], bool] = lambda seconds: False,
        choose_wait: Callable[[], float] = lambda: LONG_POLL_SECONDS,
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
            waits_after_first_read: Returns whether to wait still, that many seconds
                after the first read. An entry finds out meanwhile whether other
                entries read for it.
            choose_wait: Returns how long the store waits for a new record, in seconds.
        """
        super().__init__()
        self._waits_after_first_read = waits_after_first_read
        self._first_read_at: float | None = None
        self._choose_read_delay = choose_read_delay
        self._choose_wait = choose_wait
        self._should_read = should_read
        self._store = store
        self._topic = topic
        self._sink = sink
        self._next: Position | None = None
        self._era = 0
        self._waiting_read: asyncio.Task[RecordBatch] | None = None
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._store_lost = False

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self._next is not None and not self._should_read():
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
                    self._next = None
            except (LogUnavailableError, ValueError, KeyError) as error:
                self._report_store_lost(str(error))
                await self._back_off()
            except Exception:
                # If the follower ended here, this entry would keep its old
                # configuration and send requests to departed targets forever.
                _log.exception("records not taken in", extra={"topic": self._topic})
                self._next = None
                await self._back_off()

    async def _back_off(self) -> None:
        await self.sleep(self._backoff)
        self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2)

    async def _read_next(self) -> None:
        if self._next is None or self._next.era < self._era:
            await self._read_snapshot()
            return
        start = self._next
        batch = await self._read_batch(start)
        if batch is None:
            return
        self._check_era(batch.era)
        self._report_store_regained()
        if self._next != start or batch.era > start.era:
            # A peer relayed records from `start` on while this read was waiting, or the
            # store came back meanwhile from a copy with other records there.
            return
        if batch.records:
            self._next = start.advance(len(batch.records))
            self._sink.apply_records(batch.records, self._next)
            # Records come in bursts: after a delay, one call reads several.
            await self.sleep(self._choose_read_delay())

    async def _read_snapshot(self) -> None:
        snapshot = await self._store.read_newest(self._topic)
        self._check_era(snapshot.end.era)
        self._report_store_regained()
        self._next = snapshot.end
        self._sink.apply_snapshot(snapshot.records, snapshot.end)
        if self._first_read_at is None:
            await self._wait_after_first_read()

    async def _wait_after_first_read(self) -> None:
        loop = asyncio.get_running_loop()
        self._first_read_at = loop.time()
        while self._waits_after_first_read(loop.time() - self._first_read_at):
            await self.sleep(FIRST_READ_POLL_SECONDS)

    async def _read_batch(self, start: Position) -> RecordBatch | None:
        """Read records; return None if the read was given up for a newer era."""
        # Whether the store is back must not be learned from the next record only, which
        # may be long in coming.
        wait = 0.0 if self._store_lost else self._choose_wait()
        read = asyncio.create_task(
            self._store.read_records(self._topic, start.offset, wait)
        )
        self._waiting_read = read
        try:
            return await read
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return None
        finally:
            self._waiting_read = None

    def _check_era(self, era: int) -> None:
        """Take note of the era of an answer.

        Raises:
            LogUnavailableError: If a newer era is known: the answer was delayed.
        """
        if era < self._era:
            raise LogUnavailableError(f"answer of era {era}, era {self._era} is known")
        if era > self._era:
            self.notice_era(era)
            self._sink.handle_era(era)

    def notice_era(self, era: int) -> None:
        """Take note that the store is in an era; one that is not newer is ignored.

        A read that waits for records of an earlier era might never be answered.
        """
        if era <= self._era:
            return
        self._era = era
        if self._next is None:
            return
        _log.info(
            "store came back from an older copy",
            extra={
                "topic": self._topic,
                "era": era,
                "era_before": self._next.era,
                "position_before": self._next.offset,
            },
        )
        if self._waiting_read is not None:
            self._waiting_read.cancel()

    def skip_to(self, position: Position) -> None:
        """Skip records that a peer has relayed.

        Args:
            position: Position of the next record to read; ignored if it is not later
                than the present one.
        """
        if self._next is None or position > self._next:
            self._next = position

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
