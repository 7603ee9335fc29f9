"""What the edges hold of a request: its body, and its answer so far."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.problems import Problem, Ran
from figstep.core.specs import RequestSpec

REPLAYED_HEADER = "Idempotent-Replayed"


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class FrameSink(ABC):
    """Where events go as they arrive."""

    @abstractmethod
    def write(self, frames: list[bytes]) -> Problem | None:
        """Take events; returns why the caller can take no more, or None."""


class NullSink(FrameSink):
    """Takes the events of a caller that is away; the target keeps them."""

    def write(self, frames: list[bytes]) -> Problem | None:
        """Drop the events."""
        return None


@dataclass(slots=True)
class Exchange:
    """One caller's request and its answer.

    Attributes:
        spec: The request as the reducer sees it.
        method: HTTP method towards the target.
        path: Path towards the target, with its query.
        headers: Headers to hand on.
        body: Body to hand on.
        max_bytes: Most bytes that ``frames`` may hold.
        frames: Events that nobody has taken yet.
        frames_bytes: Size of ``frames``.
        sink: Takes events as they arrive, instead of ``frames``.
        completed: Whether the answer is whole.
        problem: Final problem, if the answer ended with one.
        answer: Answer of a plain service.
        received_at: When it came in (monotonic).
    """

    spec: RequestSpec
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    max_bytes: int = 1 << 23
    frames: list[bytes] = field(default_factory=list)
    frames_bytes: int = 0
    sink: FrameSink | None = None
    completed: bool = False
    problem: Problem | None = None
    answer: ServiceAnswer | None = None
    received_at: Millis = Millis(0)
    _waiter: asyncio.Future[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self.completed or self.problem is not None

    def deliver(self, frames: list[bytes]) -> bool:
        """Take the next events.

        Returns:
            False once the caller can take no more; ``problem`` says why.
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
        self.frames_bytes += sum(map(len, frames))
        if self.frames_bytes > self.max_bytes:
            return _build_too_long_problem()
        if self.spec.stream:
            self._notify()
        return None

    def discard(self) -> None:
        """Forget the events that nobody has taken."""
        self.frames.clear()
        self.frames_bytes = 0

    def end(self, problem: Problem | None) -> None:
        """Mark the answer as whole, or as ended by ``problem``."""
        if self.ended:
            return
        self.problem = problem
        self.completed = problem is None
        self._notify()

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Return when there are frames to take or the answer ended."""
        while not self.frames and not self.ended:
            await self._wait_change()

    async def wait_end(self) -> None:
        """Return when the answer ended."""
        while not self.ended:
            await self._wait_change()

    async def _wait_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def pop_frames(self) -> list[bytes]:
        """Return the frames gathered since the last call."""
        frames, self.frames, self.frames_bytes = self.frames, [], 0
        return frames


def _build_too_long_problem() -> Problem:
    return Problem(
        502,
        "answer_too_long",
        "the answer outgrew what is gathered for one caller; set stream to true"
        " or bound it with max_tokens",
        ran=Ran.YES,
    )
