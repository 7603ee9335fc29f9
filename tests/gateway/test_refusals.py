"""Tests of refused requests that are retried."""

from figstep.core.clock import Millis
from figstep.gateway.refusals import (
    REFUSAL_ANNOUNCE_DURATION,
    REFUSAL_RETENTION,
    Refusal,
    RefusalTable,
)

NOW = Millis(100_000)


def test_a_retry_keeps_the_time_of_its_first_try() -> None:
    table = RefusalTable()
    table.record_own("digest", Millis(NOW - 700), NOW)
    assert table.pop_first_arrival("digest") == NOW - 700


def test_a_request_sent_after_its_retry_is_a_new_one() -> None:
    """Guards against a caller whose later requests all count as retries."""
    table = RefusalTable()
    table.record_own("digest", NOW, NOW)
    table.pop_first_arrival("digest")
    assert table.pop_first_arrival("digest") is None


def test_a_retry_at_another_entry_is_recognized() -> None:
    """Guards against retries that displace callers that can still meet an objective."""
    table = RefusalTable()
    table.record_own("digest", Millis(NOW - 700), NOW)
    sent = table.list_announced(Millis(NOW + 100))
    assert sent == (Refusal("digest", Millis(800)),)
    other = RefusalTable()
    other.record_announced(sent[0], Millis(NOW + 100))
    assert other.list_announced(NOW) == ()
    assert other.pop_first_arrival("digest") == NOW - 700


def test_refusals_are_sent_briefly_and_expire() -> None:
    table = RefusalTable()
    table.record_own("digest", NOW, NOW)
    assert table.list_announced(Millis(NOW + REFUSAL_ANNOUNCE_DURATION)) == ()
    table.remove_expired(Millis(NOW + REFUSAL_RETENTION))
    assert table.pop_first_arrival("digest") is None
