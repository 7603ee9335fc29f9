"""Structured logs: one JSON object a line, by logbook."""

import sys
from typing import Any, TextIO

import logbook
import logbook.compat
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
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS).decode()


def install_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send every log record to ``stream`` (standard error if None).

    Libraries that use the standard library's logging are included.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()
    logbook.compat.redirect_logging()
