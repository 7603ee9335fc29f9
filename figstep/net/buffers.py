"""Applies an entry's byte budget to its connections with callers."""

import asyncio
import sys
from collections.abc import AsyncIterator, Callable, Iterator

import logbook
from aiohttp import web

from figstep.core.buffers import (
    READ_AHEAD_FRACTION,
    BufferAccount,
    BufferBudget,
    derive_limit,
)
from figstep.core.clock import Clock
from figstep.core.problems import Problem, Ran
from figstep.errors import RefusedError

_log = logbook.Logger("figstep.buffers")

PIECE_BYTES = 16_384
"""Number of bytes of an answer that are written at once. What its caller has taken is
known after each piece."""

MAX_COPIED_BYTES = 32_768
"""Largest part of a request's body that is copied to the write buffer at once. A body
is held in parts of this size, so that parts of one fill the gaps that those of another
have left in the memory."""

ROOM_POLL_SECONDS = 0.25
"""Interval in seconds at which a paused answer checks whether other requests have made
room. Bytes taken by its own caller are noticed at once."""


class UnreadAnswerError(Exception):
    """An answer was terminated as its caller has stopped reading."""


class RequestBody:
    """A request's body, held once, in parts of at most ``MAX_COPIED_BYTES``.

    However small the pieces in which it arrives, all parts but the last have the same
    size.
    """

    def __init__(self, data: bytes = b"") -> None:
        self._parts: list[bytes] = []
        self._last = bytearray()
        self.append(data)

    def append(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        rest = memoryview(data)
        while rest:
            room = MAX_COPIED_BYTES - len(self._last)
            self._last += rest[:room]
            rest = rest[room:]
            if len(self._last) == MAX_COPIED_BYTES:
                self._parts.append(bytes(self._last))
                self._last = bytearray()

    def __len__(self) -> int:
        return len(self._parts) * MAX_COPIED_BYTES + len(self._last)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the parts, none of which is empty."""
        yield from self._parts
        if self._last:
            yield bytes(self._last)

    def join(self) -> bytes:
        """Return the whole body, which takes its size in memory once more."""
        return b"".join(self)


class ExchangeBuffer:
    """Account of one request, and the termination of its answer.

    Attributes:
        paused: Whether the answer has ever waited for its caller.
        kept: Whether bytes of the answer are still to be sent after its request ended.
        refresh: Updates what the caller has taken, where that is not told at once.
    """

    def __init__(
        self, table: "BufferTable", account: BufferAccount, abort: Callable[[], None]
    ) -> None:
        self.paused = False
        self.kept = False
        self.refresh: Callable[[], None] | None = None
        self.abort = abort
        self._table = table
        self._account = account
        self._changed = asyncio.Event()

    def reserve(self, size: int) -> None:
        """Set bytes aside for a whole answer of this size, if the budget has room."""
        self._table.budget.reserve_answer(self._account, size)

    def add(self, size: int) -> None:
        """Count bytes of the answer that were read from the target."""
        self._table.budget.add_answer(self._account, size, self._table.clock.now())

    def take(self, size: int) -> None:
        """Count bytes of the answer that the caller's connection has taken."""
        self._table.budget.take_answer(self._account, size, self._table.clock.now())
        self._changed.set()

    def set_unread(self, size: int) -> None:
        """Set the bytes of the answer that the caller has not taken."""
        self._table.budget.set_unread(self._account, size)

    def drop(self) -> None:
        """Stop counting an answer that is not sent to the caller."""
        self._table.budget.drop_answer(self._account)

    def may_read(self) -> bool:
        """Return whether more of the answer may be read from the target now."""
        return self._table.budget.may_read(self._account)

    def make_room(self) -> bool:
        """Return whether more of the answer may be read, if stalled ones are ended."""
        while not self.may_read():
            if not self._table.terminate_stalled():
                return False
        return True

    async def wait_for_room(self) -> None:
        """Wait until more of the answer may be read from the target.

        Raises:
            UnreadAnswerError: If the caller has stopped reading meanwhile; its
                connection is closed then.
        """
        while not self.may_read():
            self.paused = True
            if self._account.is_stalled(self._table.clock.now()):
                self._table.terminate(self._account)
                raise UnreadAnswerError("the caller has stopped reading its answer")
            self._changed.clear()
            try:
                async with asyncio.timeout(ROOM_POLL_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def close(self) -> None:
        """Release all bytes of the request."""
        self._table.close(self._account)

    def cover_body(self, size: int) -> bool:
        """Count so many bytes of the request's body at least; return whether they fit.

        Bytes that were announced are counted from the beginning.
        """
        missing = size - self._account.body
        return missing <= 0 or self._table.budget.grow_body(self._account, missing)


class BufferTable:
    """Buffers of all open requests of an entry.

    Attributes:
        bounded: Whether there is a limit; if not, everything fits.
        budget: The decisions, and what is in use.
        clock: Clock of the callers' progress.
    """

    def __init__(
        self,
        memory_bytes: int | None,
        clock: Clock,
        count: Callable[[str], None],
        read_ahead_fraction: float = READ_AHEAD_FRACTION,
    ) -> None:
        """Begin with nothing buffered.

        Args:
            memory_bytes: Memory above which the process is killed; None for no limit.
            clock: Clock of the callers' progress.
            count: Called with the name of a counter to add one to.
            read_ahead_fraction: Largest fraction of the budget that answers may fill by
                being read ahead of their callers.
        """
        self.bounded = memory_bytes is not None
        self.clock = clock
        self.budget = BufferBudget(sys.maxsize, read_ahead_fraction)
        self._count = count
        self._open: dict[BufferAccount, ExchangeBuffer] = {}
        if memory_bytes is not None:
            self.set_memory(memory_bytes)

    def set_memory(self, memory_bytes: int) -> None:
        """Apply another memory limit; open requests keep what they have."""
        self.budget.limit = derive_limit(memory_bytes)

    def open(self, body_bytes: int, abort: Callable[[], None]) -> ExchangeBuffer:
        """Return the buffer of a request whose body is about to be read.

        Without room, answers are terminated first whose callers have stopped reading.

        Args:
            body_bytes: Announced length of the body; 0 if it is not announced.
            abort: Closes the caller's connection at once.

        Raises:
            RefusedError: If there is no room.
        """
        account = self.budget.open_account(body_bytes, self.clock.now())
        while account is None:
            if not self.terminate_stalled():
                raise self.refuse(body_bytes)
            account = self.budget.open_account(body_bytes, self.clock.now())
        buffer = ExchangeBuffer(self, account, abort)
        self._open[account] = buffer
        return buffer

    def terminate_stalled(self) -> bool:
        """Terminate the answer that is stalled for longest; return whether one was."""
        for account in self.budget.list_stalled(self.clock.now()):
            buffer = self._open.get(account)
            if buffer is not None and buffer.refresh is not None:
                buffer.refresh()
            if account.is_stalled(self.clock.now()):
                self.terminate(account)
                return True
        return False

    def refuse(self, body_bytes: int) -> RefusedError:
        """Count and log a request that finds no room; return the error to raise."""
        retry_after = self.budget.choose_retry_after(self.clock.now())
        self._count("buffers_rejected")
        _log.info(
            "request rejected, buffers full",
            extra={
                "body_bytes": body_bytes,
                "used": self.budget.used,
                "limit": self.budget.limit,
                "requests": len(self.budget),
                "retry_after_ms": retry_after,
            },
        )
        problem = Problem(
            503,
            "buffers_full",
            "this entry can buffer no more now; come back after Retry-After",
            Ran.NO,
            retry_after,
        )
        return RefusedError(problem)

    def terminate(self, account: BufferAccount) -> None:
        """Close the connection of a caller that has stopped reading its answer."""
        buffer = self._open.get(account)
        idle = self.clock.now() - account.progressed_at
        self._count("buffers_terminated")
        _log.warning(
            "answer terminated, caller has stopped reading",
            extra={"unread": account.answer, "idle_ms": idle, "used": self.budget.used},
        )
        self.close(account)
        if buffer is not None:
            buffer.abort()

    def close(self, account: BufferAccount) -> None:
        """Release all bytes of a request."""
        self.budget.close_account(account)
        self._open.pop(account, None)


def build_data(body: RequestBody) -> bytes | AsyncIterator[bytes] | None:
    """Return the form in which aiohttp sends a body to a target.

    A large one is sent in pieces, as aiohttp would copy it whole to the write buffer
    of a target that does not read. Its length has to be stated in a header.
    """
    if len(body) <= MAX_COPIED_BYTES:
        return body.join() or None
    return _send_parts(body)


async def _send_parts(body: RequestBody) -> AsyncIterator[bytes]:
    for part in body:
        yield part


async def read_request_body(
    request: web.Request, buffer: ExchangeBuffer, table: BufferTable, max_bytes: int
) -> RequestBody:
    """Return the body of a request, whose bytes are counted as they arrive.

    Raises:
        RefusedError: If a body outgrows its announced length and the budget.
        HTTPRequestEntityTooLarge: If the body is longer than ``max_bytes``.
    """
    body = RequestBody()
    if not request.can_read_body:
        return body
    async for chunk in request.content.iter_any():
        size = len(body) + len(chunk)
        if size > max_bytes:
            raise web.HTTPRequestEntityTooLarge(max_bytes, size)
        if not buffer.cover_body(size):
            raise table.refuse(size)
        body.append(chunk)
    return body


async def write_answer(
    request: web.Request,
    response: web.StreamResponse,
    body: bytes,
    buffer: ExchangeBuffer,
) -> web.StreamResponse:
    """Write a complete answer in pieces, which show whether its caller reads."""
    buffer.set_unread(0)
    buffer.add(len(body))
    response.content_length = len(body)
    await response.prepare(request)
    # The body stays in memory as a whole until its last piece is written.
    for start in range(0, len(body), PIECE_BYTES):
        await response.write(body[start : start + PIECE_BYTES])
        await request.writer.drain()
        buffer.take(0)
    await response.write_eof()
    return response
