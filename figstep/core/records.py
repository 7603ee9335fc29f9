"""Records of the platform's log, and the names of its streams."""

from dataclasses import dataclass
from typing import Any

CONFIGURATION = "configuration"
"""Name of the stream of edits and snapshots of the document."""
CLAIMS = "claims"
"""Name of the stream of claims on non-idempotent requests and of their outcomes."""
LEASES = "leases"
"""Name of the stream of leases for sending orders."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Record of a stream.

    Attributes:
        offset: Position in the stream, from 0. It names a record within one era only.
        time: Time at which the log service accepted the record, in milliseconds since
            the epoch.
        data: Content of the record, a JSON object.
        era: How often the log had come back from an older copy when the record was
            read.
    """

    offset: int
    time: int
    data: dict[str, Any]
    era: int = 0
