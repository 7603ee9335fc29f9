"""Structured logging through logbook, as one JSON object per line."""

import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import logbook.compat
import orjson

MAX_LINES_PER_SECOND = 400
"""Maximum number of log lines per second. An entry at its share of the peak load writes
some tens of lines per second. Without a limit, a flood of refused requests would use up
the processor for writing log lines."""


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Log handler that writes each record as a JSON object on its own line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return a record as one line of JSON, without the line end."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode()


class BoundedLinesHandler(JsonLinesHandler):
    """Log handler that limits the lines per second and never blocks on its output.

    If the process that reads the logs stops reading, a blocking write would stall
    this process and all of its callers. A line that meets a full pipe stays pending,
    whole or in part. Later lines are dropped and counted until the pipe has accepted
    the pending line, as are lines over the limit. The next line that is not dropped
    carries the count as ``lines_left_out``.

    Attributes:
        dropped_lines: Number of lines dropped since the last one that was not.
    """

    def __init__(
        self,
        descriptor: int,
        level: str,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(sys.stdout, level=level)
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._second = -1
        self._written = 0
        self._unwritten = b""

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record or keep it pending; drop and count it over the limit.

        A record is also dropped while an earlier line is pending.
        """
        second = int(self._read_clock())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= MAX_LINES_PER_SECOND or not self._flush_unwritten():
            self.dropped_lines += 1
            return
        self._written += 1
        if self.dropped_lines:
            record.extra["lines_left_out"] = self.dropped_lines
        line = self.format(record).encode() + b"\n"
        self.dropped_lines = 0
        self._unwritten = line
        self._flush_unwritten()

    def _flush_unwritten(self) -> bool:
        """Write the pending bytes of a line; discard them if the pipe is closed.

        Returns:
            False if the pipe is full and bytes are still pending, True otherwise.
        """
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reading end is closed, so this error cannot be logged either.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


def install_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Write all log records to a stream, including those of the ``logging`` module.

    ``level`` is the name of the lowest level that is written, in any case. If
    ``stream`` is None, records go to standard error.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()
    logbook.compat.redirect_logging()


def install_bounded_logs(level: str = "INFO") -> None:
    """Write log records to standard output, rate-limited and without blocking.

    Records of the ``logging`` module are included. ``level`` is the name of the lowest
    level that is written, in any case.
    """
    handler = BoundedLinesHandler(sys.stdout.fileno(), level.upper())
    handler.push_application()
    logbook.compat.redirect_logging()
