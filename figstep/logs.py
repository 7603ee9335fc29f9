"""Structured logs: one JSON object a line, by logbook."""

import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import logbook.compat
import orjson

MAX_LINES_PER_SECOND = 400
"""Lines a second. An entry at its share of the peak writes some tens; a flood
of refusals would else spend its processor on writing about them."""


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as a JSON object on its own line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as one line."""
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
    """Writes a bounded number of lines a second, and never waits for a reader.

    A reader that stops reading would hold up the process at its next line, and
    with it every caller. Lines that find no room are counted, and the count is
    written with the next line that does.

    Attributes:
        dropped_lines: Lines left out since the last one written.
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
        """Write a record, or count it as left out."""
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
        """Write what is left of a line; False while the reader takes none."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


def install_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send every log record to ``stream`` (standard error if None).

    Libraries that use the standard library's logging are included.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()
    logbook.compat.redirect_logging()


def install_bounded_logs(level: str = "INFO") -> None:
    """Send log records to standard output, bounded, without ever waiting."""
    handler = BoundedLinesHandler(sys.stdout.fileno(), level.upper())
    handler.push_application()
    logbook.compat.redirect_logging()
