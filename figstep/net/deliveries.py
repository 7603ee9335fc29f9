"""Streams of events to callers: writing, keep-alives and slow readers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import ClientConnectionResetError
from aiohttp.http import StreamWriter

from figstep.core.problems import Problem, Ran
from figstep.net.buffers import ExchangeBuffer
from figstep.net.exchanges import FrameSink
from figstep.settings import Limits

KEEP_ALIVE = b": keep-alive\n\n"
"""Comment that is sent on an idle stream."""


STALL_SECONDS = 0.25
"""Shortest wait between deliveries that counts as a stall, in seconds.

The whole wait counts, not only the part beyond this bound.
"""


@dataclass(slots=True)
class DeliveryGaps:
    """Waits between deliveries to one caller, in seconds.

    Attributes:
        last: Monotonic time of the last delivery; before the first one, that at which
            the stream began.
        longest: Longest wait so far.
        stalled: Sum of the waits that count as stalls.
    """

    last: float
    longest: float = 0.0
    stalled: float = 0.0

    def add(self, now: float) -> None:
        """Record a delivery."""
        gap = now - self.last
        self.last = now
        if gap > self.longest:
            self.longest = gap
        if gap >= STALL_SECONDS:
            self.stalled += gap


class StreamSink(FrameSink):
    """Writes events to one caller without a switch to another task.

    Attributes:
        finished: Whether nothing more will be written.
    """

    def __init__(
        self,
        writer: StreamWriter,
        transport: asyncio.WriteTransport,
        limits: Limits,
        read_clock: Callable[[], float],
        buffer: ExchangeBuffer | None = None,
    ) -> None:
        self.buffer = buffer
        if buffer is not None:
            buffer.refresh = self.report_unread
        self._reported = 0
        self.finished = False
        self.gaps = DeliveryGaps(read_clock())
        self._read_clock = read_clock
        self._writer = writer
        self._transport = transport
        self._max_bytes = limits.buffer_bytes
        self._idle = False
        self._sent = 0
        self._stalled_since: float | None = None

    @property
    def waiting(self) -> int:
        """Bytes in the write buffer of the connection."""
        return self._transport.get_write_buffer_size()

    def write(self, frames: list[bytes]) -> Problem | None:
        """Write events; return a problem if the reader is too slow, else None."""
        self._idle = False
        self.gaps.add(self._read_clock())
        self._write_now(frames[0] if len(frames) == 1 else b"".join(frames))
        # The whole answer of a reader that stops reading would collect in this
        # buffer; a few thousand such readers exhaust the process's memory. A
        # reader that exceeds the bound is therefore disconnected.
        if self.waiting > self._max_bytes:
            return _build_too_slow_problem()
        if self.buffer is not None:
            self.report_unread()
            if not self.buffer.make_room():
                return _build_too_slow_problem()
        return None

    def report_unread(self) -> None:
        """Count the bytes that the reader has not taken, and note if it took some."""
        if self.buffer is None:
            return
        waiting = self.waiting
        taken = self._writer.output_size - waiting
        if taken > self._reported:
            self._reported = taken
            self.buffer.take(0)
        self.buffer.set_unread(waiting)

    def _write_now(self, data: bytes) -> None:
        # Waiting for the drain would cost a task switch per token; the bound in
        # ``write`` limits the buffer instead. Without a drain the coroutine never
        # suspends.
        writing = self._writer.write(data, drain=False)
        try:
            writing.send(None)
        except StopIteration:
            return
        except ClientConnectionResetError:
            return  # the handler is cancelled as the connection closes
        writing.close()
        raise RuntimeError("the stream writer suspended although drain=False")

    def keep_alive(self) -> bool:
        """Write a comment if nothing was written since the last call.

        None is written after the stream has finished or while bytes are unsent.

        Returns:
            Whether a comment was written.
        """
        was_idle, self._idle = self._idle, True
        if not was_idle or self.finished or self.waiting:
            return False
        self._write_now(KEEP_ALIVE)
        return True

    def abort_if_stalled(self, now: float, stalled_seconds: float) -> bool:
        """Abort the connection if its reader has read nothing for ``stalled_seconds``.

        ``now`` is a monotonic time, in seconds.

        Returns:
            Whether the connection was aborted.
        """
        waiting = self.waiting
        sent = self._writer.output_size - waiting
        if not waiting or sent > self._sent or self._stalled_since is None:
            self._sent = sent
            self._stalled_since = now
            return False
        if now - self._stalled_since < stalled_seconds:
            return False
        self._transport.abort()
        return True


@dataclass(frozen=True, slots=True)
class Sweep:
    """Result of one sweep over the open streams.

    Attributes:
        kept_alive: Number of streams that got a keep-alive comment.
    """

    kept_alive: int
    aborted: int


class StreamTable:
    """Sinks of all callers that read a stream."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._sinks: set[StreamSink] = set()

    def __len__(self) -> int:
        return len(self._sinks)

    def add(self, sink: StreamSink) -> None:
        """Include a sink in the sweeps."""
        self._sinks.add(sink)

    def finish(self, sink: StreamSink) -> None:
        """Mark a sink as finished and remove it if nothing is left to send.

        A sink with unsent bytes stays until a sweep finds its buffer empty.
        """
        sink.finished = True
        if not sink.waiting:
            self._remove(sink)
        elif sink.buffer is not None:
            sink.report_unread()
            sink.buffer.kept = True

    def _remove(self, sink: StreamSink) -> None:
        self._sinks.discard(sink)
        if sink.buffer is not None:
            sink.buffer.close()

    def sweep(self, now: float) -> Sweep:
        """Send keep-alives on idle streams and abort stalled readers.

        One pass over all streams per period costs nothing per token; a timer for
        each stream would have to be rescheduled with every token.

        Args:
            now: Monotonic time, in seconds.
        """
        kept_alive = aborted = 0
        for sink in list(self._sinks):
            if sink.finished and not sink.waiting:
                self._remove(sink)
                continue
            kept_alive += sink.keep_alive()
            aborted += sink.abort_if_stalled(now, self._limits.stalled_seconds)
        return Sweep(kept_alive, aborted)


def _build_too_slow_problem() -> Problem:
    return Problem(
        408,
        "reader_too_slow",
        "the answer was read too slowly and its generation cancelled; read as it"
        " arrives, or send the request again without stream",
        ran=Ran.YES,
    )
