"""Refusals and failures of requests, as reported to callers."""

from dataclasses import dataclass
from enum import Enum

from figstep.core.clock import Millis


class Ran(Enum):
    """Whether a request ran on a target, as far as it is known."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class Problem:
    """Refusal or failure of a request.

    Attributes:
        code: Stable machine-readable kind of the problem, in snake case.
        detail: What was wrong, and the remedy.
        retry_after: Delay after which a retry may succeed, in milliseconds; None if
            a retry does not help.
    """

    status: int
    code: str
    detail: str
    ran: Ran = Ran.NO
    retry_after: Millis | None = None
