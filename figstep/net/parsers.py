"""Parser of requests that bounds what a connection sends beside bodies."""

from collections.abc import Callable, Sequence
from typing import Protocol

from aiohttp import EMPTY_PAYLOAD, StreamReader
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong

from figstep.core.clock import Clock
from figstep.errors import RefusedError
from figstep.net.allowances import FramingAllowance
from figstep.net.refusals import build_status_problem

PIECE_BYTES = 4_096
"""Bytes that are parsed at once. What has been counted is checked after each piece."""

SMALL_PIECE_BYTES = 1_024
"""Bytes that are parsed at once of a body that comes in small chunks, each of which
takes as long as a large one."""

MAX_WAITING_REQUESTS = 2
"""Requests of a connection that may wait behind the one that is served. Further ones
are not parsed meanwhile."""

Parsed = tuple[RawRequestMessage, StreamReader]


class RequestParser(Protocol):
    """Parser of requests, as aiohttp's connections use it."""

    def feed_data(self, data: bytes) -> tuple[Sequence[Parsed], bool, bytes]:
        """Parse bytes; return requests, whether to upgrade, and bytes behind that."""

    def pause_reading(self) -> None:
        """Hold the rest, as the body being read has no room."""

    def message_consumed(self) -> None:
        """Note that a request that was returned is being served."""

    def set_upgraded(self, upgraded: bool) -> None:
        """Set whether the connection has changed to another protocol."""


class RefusedHeadError(HttpProcessingError):
    """A connection is refused for what it sends outside of bodies.

    Attributes:
        code: HTTP status of the refusal.
    """

    def __init__(self, status: int) -> None:
        super().__init__(code=status, message="")


class BoundedParser:
    """Feeds a parser with pieces, and refuses a connection that makes no progress.

    After a refusal or an error it parses nothing more and holds nothing.

    Attributes:
        allowance: What has come since the last progress.
        body: Body of the last request whose head was complete; None if it has none.
        stopped: Whether the connection was refused, or what came is no HTTP.
        dropped: Bytes that came after that.
    """

    def __init__(
        self,
        parser: RequestParser,
        limit: int,
        clock: Clock,
        notice: Callable[[], None],
    ) -> None:
        """Begin with nothing.

        Args:
            parser: Parser of the connection.
            limit: Bytes that may come without progress.
            clock: Clock of the time that a head takes.
            notice: Called when fewer requests wait to be served.
        """
        self.allowance = FramingAllowance(limit)
        self.body: StreamReader | None = None
        self.stopped = False
        self.dropped = 0
        self._parser: RequestParser | None = parser
        self._clock = clock
        self._held = b""
        self._position = 0
        self._paused = False
        self._waiting = 0
        self._waiting_bytes = 0
        self._in_small_chunks = False
        self._notice = notice
        self._error: HttpProcessingError | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes that have come and are not parsed."""
        return len(self._held) - self._position

    @property
    def occupied_bytes(self) -> int:
        """Bytes of heads that are not complete or wait, and of what is unparsed.

        While a body has no room, what is unparsed counts as a part of it.
        """
        # The bytes are one object, which is freed when all of it is parsed.
        held = 0 if self._paused else len(self._held)
        return held + self.allowance.used + self._waiting_bytes

    @property
    def ended(self) -> bool:
        """Whether it has stopped, and has told why."""
        return self.stopped and self._error is None

    @property
    def reads_body(self) -> bool:
        """Whether a request's head is complete, and its body is not."""
        return self.body is not None and not self.body.is_eof()

    @property
    def may_go_on(self) -> bool:
        """Whether ``feed_data`` has something to do without further bytes."""
        if self._error is not None:
            return True
        full = self._waiting >= MAX_WAITING_REQUESTS
        return self.held_bytes > 0 and not self._paused and not full

    def feed_data(self, data: bytes) -> tuple[Sequence[Parsed], bool, bytes]:
        """Parse bytes, and what is held of earlier ones.

        The rest is held after a piece that is mostly no content, while a body has no
        room, and while requests wait; ``b""`` goes on with it. All is held at first of
        a body in small chunks.

        Returns:
            The requests whose heads are complete; further values are those of aiohttp's
            parser for a connection that keeps its protocol.

        Raises:
            HttpProcessingError: If what came is no request inside the limits. Where a
                body is being read, the error is that of the body instead.
        """
        if self._error is not None:
            error, self._error = self._error, None
            raise error
        found: list[Parsed] = []
        if self.stopped:
            self.dropped += len(data)
            return found, False, b""
        if data:
            self._held = self._held[self._position :] + data
            self._position = 0
            if self._in_small_chunks:
                return found, False, b""
        else:
            self._paused = False
            self._feed(b"", found)
        while self.may_go_on and not self.stopped:
            size = SMALL_PIECE_BYTES if self._in_small_chunks else PIECE_BYTES
            piece = self._held[self._position : self._position + size]
            self._position += len(piece)
            mostly_framing = self._feed(piece, found) > len(piece) // 2
            self._in_small_chunks = mostly_framing and self.reads_body
            if mostly_framing and len(piece) == size:
                break
        if not self.held_bytes:
            self._held = b""
            self._position = 0
        if self._error is not None and not found:
            error, self._error = self._error, None
            raise error
        return found, False, b""

    def _feed(self, piece: bytes, found: list[Parsed]) -> int:
        """Parse a piece; return how many of its bytes are no content."""
        assert self._parser is not None
        body = self.body
        read_before = self.reads_body
        content = 0 if body is None else -body.total_raw_bytes
        try:
            requests, upgraded, rest = self._parser.feed_data(piece)
        except HttpProcessingError as error:
            self._stop(error)
            return 0
        if body is not None:
            content += body.total_raw_bytes
        for request in requests:
            found.append(request)
            self._waiting += 1
            # A request without a body has one empty reader in common with others.
            self.body = None if request[1] is EMPTY_PAYLOAD else request[1]
            content += 0 if self.body is None else self.body.total_raw_bytes
        if upgraded:
            # No request is upgraded here, and what follows is another request.
            self._parser.set_upgraded(False)
            self._held = rest + self._held[self._position :]
            self._position = 0
        if requests:
            self._waiting_bytes += self.allowance.used + len(piece) - content
        if requests or content or read_before != self.reads_body:
            self.allowance.reset()
        else:
            empty_lines = not self.reads_body and not piece.strip(b"\r\n")
            self.allowance.count(len(piece), self._clock.now(), empty_lines)
            if self.allowance.is_used_up:
                begun = self.reads_body or self.allowance.begun_at is not None
                self._stop(RefusedHeadError(431 if begun else 400))
        return len(piece) - content

    def _stop(self, error: HttpProcessingError) -> None:
        self.stopped = True
        self.dropped += self.held_bytes
        self._held = b""
        self._position = 0
        self._parser = None
        self.allowance.reset()
        # The error and its traceback hold what the parser has read.
        status = find_status(error)
        if self.body is not None and self.reads_body:
            # It does not end, as it would then be taken for a complete one.
            self.body.set_exception(RefusedError(build_status_problem(status)))
            return
        self._error = RefusedHeadError(status)

    def end_body(self) -> None:
        """End a refused body, whose request must have been answered."""
        if self.body is not None and self.reads_body:
            self.body.feed_eof()

    def pause_reading(self) -> None:
        """Hold what comes, as the body that is read has no room."""
        self._paused = True
        if self._parser is not None:
            self._parser.pause_reading()

    def message_consumed(self) -> None:
        """Note that a request that was returned is being served."""
        self._waiting = max(0, self._waiting - 1)
        if not self._waiting:
            self._waiting_bytes = 0
        self._notice()
        if self._parser is not None:
            self._parser.message_consumed()

    def set_upgraded(self, upgraded: bool) -> None:
        """Do nothing, as no connection changes its protocol."""


def find_status(error: HttpProcessingError) -> int:
    """Return the HTTP status with which a request is refused for an error."""
    if isinstance(error, LineTooLong):
        return 431
    return error.code if isinstance(error, RefusedHeadError) else 400
