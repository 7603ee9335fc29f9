"""Tests of the table of streams and the software versions that began them."""

from figstep.core.clock import Millis
from figstep.gateway.starts import (
    MAX_STARTS,
    START_ANNOUNCE_DURATION,
    START_RETENTION,
    StartTable,
    StreamStart,
    hash_stream,
)

NOW = Millis(100_000)
START = StreamStart(7, "v1")


def test_a_start_is_forgotten_once_no_caller_waits_for_it() -> None:
    table = StartTable()
    table.record_own(START, "engines", NOW)
    table.remove_expired(Millis(NOW + START_RETENTION - 1))
    assert table.find_version(7) == "v1"
    table.remove_expired(Millis(NOW + START_RETENTION))
    assert table.find_version(7) is None


def test_the_oldest_starts_make_room_for_new_ones() -> None:
    """Guards against memory that grows with every stream of a busy fleet."""
    table = StartTable()
    for stream in range(MAX_STARTS + 2):
        table.record_announced(StreamStart(stream, "v1"), NOW)
    assert table.find_version(1) is None
    assert table.find_version(2) == "v1"


def test_starts_of_an_announced_service_are_announced_for_a_time() -> None:
    table = StartTable()
    table.record_own(START, "engines", NOW)
    assert table.list_announced({}, NOW) == ()
    assert table.list_announced({"engines": NOW}, NOW) == (START,)
    late = Millis(NOW + START_ANNOUNCE_DURATION)
    assert table.list_announced({"engines": NOW}, late) == ()


def test_earlier_starts_are_announced_as_a_second_version_appears() -> None:
    """Guards against streams from before a release that nobody else knows of."""
    table = StartTable()
    table.record_own(START, "engines", NOW)
    later = Millis(NOW + 30_000)
    assert table.list_announced({"engines": later}, later) == (START,)


def test_what_a_peer_announced_is_not_passed_on() -> None:
    table = StartTable()
    table.record_announced(START, NOW)
    assert table.list_announced({"engines": NOW}, NOW) == ()
    assert table.list_own() == ()


def test_another_request_has_another_hash() -> None:
    """Guards against a caller that learns of the stream of another customer."""
    own = hash_stream("id-1", "digest")
    assert own == hash_stream("id-1", "digest")
    assert own not in (hash_stream("id-1", "other"), hash_stream("id-2", "digest"))
