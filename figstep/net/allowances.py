"""Bound of the bytes that a peer sends beside the content of messages."""

from dataclasses import dataclass

from figstep.core.clock import Millis


@dataclass(slots=True)
class FramingAllowance:
    """Counts the bytes of a connection that bring no message further.

    Heads, empty lines, trailers, chunk extensions and leading zeros of chunk lengths
    count alike. The count begins anew with each progress: a complete head, content of
    a body, or the end of a message.

    Attributes:
        limit: Largest count, in bytes.
        used: Bytes counted since the last progress.
        begun_at: When the first of them came that belongs to no empty line, in
            milliseconds; None if none has come.
    """

    limit: int
    used: int = 0
    begun_at: Millis | None = None

    def count(self, size: int, now: Millis, empty_lines: bool = False) -> None:
        """Count bytes that brought no progress.

        Args:
            size: Number of bytes.
            now: The time in milliseconds.
            empty_lines: Whether they are only ends of lines.
        """
        self.used += size
        if size and not empty_lines and self.begun_at is None:
            self.begun_at = now

    def reset(self) -> None:
        """Begin anew, as the connection has made progress."""
        self.used = 0
        self.begun_at = None

    @property
    def is_used_up(self) -> bool:
        """Whether more bytes have come than the limit allows."""
        return self.used > self.limit

    def is_late(self, now: Millis, timeout: Millis) -> bool:
        """Return whether what has begun is not complete after ``timeout``."""
        return self.begun_at is not None and now - self.begun_at >= timeout
