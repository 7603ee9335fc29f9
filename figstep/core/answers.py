"""Decides whether the body of an answer is complete.

An answer by length or in chunks that is cut short fails as it is read. One that ends
with its connection does not: a target that crashes closes it like one that is done. It
is complete only if its target states afterwards that it lives, as silence and accepted
connections show nothing.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NumberedStream:
    """End of a stream of numbered events that has no end marker.

    Attributes:
        delimited: Whether a length or chunks tell where the body ends.
        events: Number of complete events.
        remainder: Number of bytes after the last complete event.
        outlived: Whether the target stated after the end of the body that it lives. It
            matters only if the body is not delimited.
        continues: Whether the events were asked for that follow a known one; there may
            be none.
    """

    delimited: bool
    events: int
    remainder: int
    outlived: bool = True
    continues: bool = False


@dataclass(frozen=True, slots=True)
class MarkedStream:
    """End of a stream whose last event is an end marker.

    Attributes:
        marked: Whether the end marker was received.
    """

    marked: bool


@dataclass(frozen=True, slots=True)
class Body:
    """End of a successful answer that is no stream.

    Attributes:
        delimited: Whether a length or chunks tell where the body ends, or the answer
            has no body by its status or method.
        length: Number of bytes received.
        outlived: Whether the target stated after the end of the body that it lives. It
            matters only if the body is not delimited.
    """

    delimited: bool
    length: int
    outlived: bool = True


def explain_incomplete(end: NumberedStream | MarkedStream | Body) -> str:
    """Return why an answer that was read without an error is incomplete.

    Returns:
        The reason; empty if the answer is complete.
    """
    match end:
        case NumberedStream(remainder=remainder) if remainder:
            return f"it ended inside an event, {remainder} bytes after the last one"
        case NumberedStream(delimited=False, events=0, continues=False):
            return "its connection ended before the first event"
        case NumberedStream(delimited=False, outlived=False):
            return "its target ended with the connection"
        case MarkedStream(marked=False):
            return "it ended before the end marker"
        case Body(delimited=False, length=0):
            return "its connection ended before the body"
        case Body(delimited=False, outlived=False):
            return "its target ended with the connection"
    return ""
