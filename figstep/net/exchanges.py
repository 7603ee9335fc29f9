"""State of a request at the edges: its body and its answer so far."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.problems import Problem, Ran
from figstep.core.specs import RequestSpec
from figstep.net.buffers import ExchangeBuffer, RequestBody

REPLAYED_HEADER = "Idempotent-Replayed"
"""Header of an answer that was recorded for an earlier request with the same key."""


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class FrameSink(ABC):
    """Receiver of the events of a generation as they arrive."""

    @abstractmethod
    def write(self, frames: list[bytes]) -> Problem | None:
        """Write events; return a problem if the caller accepts no more, else None."""


class NullSink(FrameSink):
    """Discards events while the caller is disconnected; the target keeps them."""

    def write(self, frames: list[bytes]) -> Problem | None:
        """Discard the events."""
        return None


@dataclass(slots=True)
class Exchange:
    """One caller's request and its answer.

    Attributes:
        spec: The request as the reducer represents it.
        method: HTTP method of the request to the target.
        path: Path of the request to the target, with its query.
        headers: Headers to forward.
        body: Body to forward.
        max_bytes: Maximum size of ``frames``, in bytes; an answer that exceeds it ends
            with a problem.
        frames: Events collected and not yet read.
        buffer: What is buffered for the request; None if there is no budget.
        sink: Receives events as they arrive, instead of ``frames``; None until the
            stream to the caller has begun, and for answers that are not streamed.
        problem: Final problem, or None if the answer has not ended with one.
    """

    spec: RequestSpec
    method: str
    path: str
    headers: dict[str, str]
    body: RequestBody
    max_bytes: int = 1 << 23
    frames: list[bytes] = field(default_factory=list)
    frames_bytes: int = 0
    buffer: ExchangeBuffer | None = None
    sink: FrameSink | None = None
    completed: bool = False
    problem: Problem | None = None
    answer: ServiceAnswer | None = None
    received_at: Millis = Millis(0)
    _waiter: asyncio.Future[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the answer has ended, completely or with a problem."""
        return self.completed or self.problem is not None

    def deliver(self, frames: list[bytes]) -> bool:
        """Pass the next events to the sink, or collect them without one.

        Returns:
            False if the caller accepts no more events; ``problem`` holds the
            reason.
        """
        if self.sink is not None:
            problem = self.sink.write(frames)
        else:
            problem = self._collect(frames)
        if problem is None:
            return True
        self.end(problem)
        return False

    def _collect(self, frames: list[bytes]) -> Problem | None:
        self.frames += frames
        size = sum(map(len, frames))
        self.frames_bytes += size
        if self.buffer is not None:
            self.buffer.add(size)
            if not self.buffer.make_room():
                return _build_no_room_problem()
        if self.frames_bytes > self.max_bytes:
            return _build_too_long_problem()
        if self.spec.stream:
            self._notify()
        return None

    def discard(self) -> None:
        """Discard the collected events."""
        self.frames.clear()
        self.frames_bytes = 0
        if self.buffer is not None:
            self.buffer.drop()

    def end(self, problem: Problem | None) -> None:
        """Mark the answer as complete, or as ended by ``problem``."""
        if self.ended:
            return
        self.problem = problem
        self.completed = problem is None
        self._notify()

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until frames are collected or the answer has ended."""
        while not self.frames and not self.ended:
            await self._wait_change()

    async def wait_end(self) -> None:
        """Wait until the answer has ended."""
        while not self.ended:
            await self._wait_change()

    async def _wait_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def pop_frames(self) -> list[bytes]:
        """Remove and return the frames collected since the last call."""
        frames, self.frames, self.frames_bytes = self.frames, [], 0
        return frames


def _build_no_room_problem() -> Problem:
    return Problem(
        502,
        "answer_not_buffered",
        "this entry had no room for the answer; set stream to true",
        ran=Ran.YES,
    )


def _build_too_long_problem() -> Problem:
    return Problem(
        502,
        "answer_too_long",
        "the answer outgrew what is gathered for one caller; set stream to true"
        " or bound it with max_tokens",
        ran=Ran.YES,
    )
