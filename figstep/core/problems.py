"""Final answers other than success, as a caller sees them."""

from dataclasses import dataclass
from enum import Enum

from figstep.core.clock import Millis


class Ran(Enum):
    """Whether a request ran on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class Problem:
    """A refusal or failure; ``detail`` names the remedy.

    Attributes:
        status: HTTP status.
        code: Stable machine-readable kind, in snake case.
        detail: What was wrong and what to do about it.
        ran: Whether the request ran.
        retry_after: When coming back helps, in milliseconds; None if never.
    """

    status: int
    code: str
    detail: str
    ran: Ran = Ran.NO
    retry_after: Millis | None = None
