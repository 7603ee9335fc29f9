"""Tests of splitting the bytes of a target into runs of events."""

import pytest

from figstep.errors import FrameError
from figstep.net.frames import MAX_FRAME_BYTES, EventSplitter, FrameSplitter


def test_events_cut_anywhere_come_out_whole_and_in_order() -> None:
    stream = b"".join(b"id: g:%d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    stream += b": comment\n\ndata: [DONE]\n\n"
    for cut in range(1, len(stream)):
        splitter = FrameSplitter()
        runs = [*splitter.feed(stream[:cut]), *splitter.feed(stream[cut:])]
        frames = [frame for run in runs for frame in run.frames]
        assert b"".join(frames) == stream[: stream.index(b": comment")]
        assert splitter.ended


def test_a_run_holds_consecutive_events_of_one_generation() -> None:
    ids = ["g:1", "g:2", "g:4", "h:5", "h:6"]
    stream = b"".join(f"id: {name}\ndata: x\n\n".encode() for name in ids)
    runs = FrameSplitter().feed(stream)
    found = [(run.generation, run.first, len(run.frames)) for run in runs]
    assert found == [("g", 1, 2), ("g", 4, 1), ("h", 5, 2)]


@pytest.mark.parametrize("name", [b"g:x", b"g", b"", b"\xff\xfe:1"])
def test_an_id_without_an_index_is_a_typed_error(name: bytes) -> None:
    """Guards against a request that hangs because a target writes other ids.

    Without indexes the order of the events cannot be checked, so they must not be
    forwarded. The error ends the attempt as lost.
    """
    with pytest.raises(FrameError, match="look at the target"):
        FrameSplitter().feed(b"id: " + name + b"\ndata: x\n\n")


def test_an_event_that_never_ends_is_a_typed_error() -> None:
    with pytest.raises(FrameError):
        FrameSplitter().feed(b"x" * (MAX_FRAME_BYTES + 1))


def test_numbered_events_pass_byte_for_byte_however_they_are_cut() -> None:
    raw = b"weights: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    for size in (1, 2, 7, 64):
        splitter = EventSplitter()
        events = []
        for at in range(0, len(raw), size):
            events += splitter.feed(raw[at : at + size])
        assert [event.index for event in events] == [1, 2]
        assert b"".join(event.data for event in events) + splitter.incomplete == raw


def test_an_event_without_a_number_is_refused() -> None:
    with pytest.raises(FrameError):
        EventSplitter().feed(b"data: a\n\n")
