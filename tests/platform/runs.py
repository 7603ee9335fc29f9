"""Records of the requests that stand-ins for targets ran.

All times are in seconds of the clock that ``read_clock`` returns, which all processes
of a machine share.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

LOOP_CHECK_INTERVAL = 0.05
"""Interval of the timer that detects stalls of an event loop, in seconds."""

LOOP_STALL_THRESHOLD = 0.2
"""Delay of that timer which counts as a stall, in seconds."""

DEFAULT_PRIORITY = 5
"""Priority of a request that names none."""


@dataclass(slots=True)
class Run:
    """One request that a target began to run.

    Attributes:
        generation: Name of the generation; a run that resumes from a copy has the
            name of the run that was copied.
        ended: Time at which the run ended; None while it runs.
        customer: Customer named in the request that the target received.
        forged: System-only headers that reached the target with the caller's value.
        body: Body of the answer; empty for a stream.
        framing: How its answer told where the body ends.
        events: Number of events that were sent.
        after: Number of events before the first that it sent.
        tokens: Tokens of its prompt and of all events up to the last that it sent.
        stopped: Whether the run was ordered to stop, as it was moved.
        expired: Whether the target ended the run as its deadline had passed.
    """

    request: str
    target: str
    generation: str
    began: float
    ended: float | None = None
    whole: bool = False
    status: int = 200
    customer: str = ""
    forged: tuple[str, ...] = ()
    body: bytes = b""
    crashed: bool = False
    broken_off: bool = False
    version: str = "v1"
    framing: str = ""
    events: int = 0
    stopped: bool = False
    expired: bool = False
    after: int = 0
    tokens: int = 0
    priority: int = DEFAULT_PRIORITY


def read_clock() -> float:
    """Return the monotonic time that all records use, in seconds."""
    return time.monotonic()


async def watch_loop(note: Callable[[float, float], None]) -> None:
    """Call ``note`` with each span in which the event loop was blocked."""
    while True:
        due = read_clock() + LOOP_CHECK_INTERVAL
        await asyncio.sleep(LOOP_CHECK_INTERVAL)
        woke_at = read_clock()
        if woke_at - due > LOOP_STALL_THRESHOLD:
            note(due, woke_at)
