"""Records of the platform's log."""

from dataclasses import dataclass
from typing import Any

CONFIGURATION = "configuration"
CLAIMS = "claims"
LEASES = "leases"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a stream.

    Attributes:
        offset: Position in the stream, from 0.
        time: When the service took it, in milliseconds since the epoch.
        data: The record itself, a JSON object.
    """

    offset: int
    time: int
    data: dict[str, Any]
