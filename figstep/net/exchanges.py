"""What the edges hold of a request: its body, and its answer so far."""

import asyncio
from dataclasses import dataclass, field

from figstep.core.problems import Problem
from figstep.core.specs import RequestSpec

REPLAYED = "Idempotent-Replayed"


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Exchange:
    """One caller's request and its answer.

    Attributes:
        spec: The request as the reducer sees it.
        method: HTTP method towards the target.
        path: Path towards the target, with its query.
        headers: Headers to hand on.
        body: Body to hand on.
        frames: Events that the caller's handler has not yet taken.
        completed: Whether the answer is whole.
        problem: Final problem, if the answer ended with one.
        answer: Answer of a plain service.
    """

    spec: RequestSpec
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    frames: list[bytes] = field(default_factory=list)
    completed: bool = False
    problem: Problem | None = None
    answer: ServiceAnswer | None = None
    _waiter: asyncio.Future[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self.completed or self.problem is not None

    def notify(self) -> None:
        """Wake the caller's handler."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Return when there are frames to take or the answer ended."""
        if self.frames or self.ended:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def wait_end(self) -> None:
        """Return when the answer ended."""
        while not self.ended:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._waiter = None

    def take_frames(self) -> list[bytes]:
        """Return the frames gathered since the last call."""
        frames, self.frames = self.frames, []
        return frames
