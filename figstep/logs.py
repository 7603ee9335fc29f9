"""Structured logs: one JSON object a line, by logbook."""

import sys
from typing import Any, TextIO

import logbook
import orjson


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
        return orjson.dumps(line, default=str).decode()


def install_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send every log record to ``stream`` (standard error if None)."""
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()
