"""Splitting of server-sent events (SSE) without decoding their JSON.

Only line feeds are recognized as line ends.

A target writes ``id: <generation>:<index>`` as the first line of each event, so a
frame is forwarded unchanged. A general SSE decoder costs more per token than the rest
of the path together (docs/DESIGN.md).
"""

from dataclasses import dataclass

from figstep.errors import FrameError

BOUNDARY = b"\n\n"
"""Blank line that ends an event."""

DONE = b"data: [DONE]"
"""Start of the end marker, the last event of a stream."""

ID_PREFIX = b"id: "
"""Start of the first line of an event."""

MAX_FRAME_BYTES = 1_048_576
"""Maximum size of an incomplete event that is buffered, in bytes."""


@dataclass(slots=True)
class FrameRun:
    """Consecutive events of one generation.

    Attributes:
        generation: Generation in the ids of the events.
        first: Index of the first event.
        frames: The events, each with its closing blank line.
    """

    generation: str
    first: int
    frames: list[bytes]


class FrameSplitter:
    """Splits the byte stream of a generation into runs of events.

    Attributes:
        ended: Whether the end marker was received.
    """

    def __init__(self) -> None:
        self.ended = False
        self._incomplete = b""

    def feed(self, chunk: bytes) -> list[FrameRun]:
        """Add bytes and return the runs of events that they complete.

        Comments and events without an id are dropped.

        Raises:
            FrameError: If an id has no index, or an incomplete event exceeds
                ``MAX_FRAME_BYTES``.
        """
        parts = (self._incomplete + chunk).split(BOUNDARY)
        self._incomplete = parts.pop()
        if len(self._incomplete) > MAX_FRAME_BYTES:
            raise FrameError("an event is too long; look at the target's stream")
        runs: list[FrameRun] = []
        for part in parts:
            if part.startswith(DONE):
                self.ended = True
                continue
            if not part.startswith(ID_PREFIX):
                continue
            name, index = _read_id(part)
            self._add_to_runs(runs, name, index, part + BOUNDARY)
        return runs

    def _add_to_runs(
        self, runs: list[FrameRun], generation: str, index: int, frame: bytes
    ) -> None:
        if runs:
            last = runs[-1]
            follows = index == last.first + len(last.frames)
            if last.generation == generation and follows:
                last.frames.append(frame)
                return
        runs.append(FrameRun(generation, index, [frame]))


def _read_id(part: bytes) -> tuple[str, int]:
    name, _, index = part[len(ID_PREFIX) :].partition(b"\n")[0].rpartition(b":")
    try:
        return name.decode(), int(index)
    except ValueError as error:
        raise FrameError(
            f"event id {part[:80]!r} is not GENERATION:INDEX; look at the target"
        ) from error


@dataclass(frozen=True, slots=True)
class NumberedEvent:
    """An event whose id is a plain number.

    Attributes:
        index: Number in the id of the event.
        data: Bytes of the event, with the closing blank line.
    """

    index: int
    data: bytes


class EventSplitter:
    """Splits a stream of numbered events, preserving every byte."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return self._incomplete

    def feed(self, chunk: bytes) -> list[NumberedEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            FrameError: If an event has no number, or an incomplete event exceeds
                ``MAX_FRAME_BYTES``.
        """
        parts = (self._incomplete + chunk).split(BOUNDARY)
        self._incomplete = parts.pop()
        if len(self._incomplete) > MAX_FRAME_BYTES:
            raise FrameError("an event is too long; look at the target's stream")
        return [NumberedEvent(_read_number(part), part + BOUNDARY) for part in parts]


def _read_number(part: bytes) -> int:
    for line in part.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        try:
            return int(line[3:])
        except ValueError:
            break
    raise FrameError(f"event {part[:80]!r} has no number as its id")
