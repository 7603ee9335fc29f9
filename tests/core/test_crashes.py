"""Tests of finding the requests that crash targets among those running beside them."""

from figstep.core.clock import Millis
from figstep.core.crashes import (
    CRASH_RETENTION,
    MAX_ANNOUNCED_SUSPICIONS,
    SUSPICION_ANNOUNCE_DURATION,
    SUSPICION_DELAY,
    CrashTable,
    Suspicion,
)

NOW = Millis(2_000_000)


def record_crash(
    table: CrashTable, incarnation: str, *digests: str, at: int = NOW
) -> None:
    """Record requests that were in flight at a target as it crashed."""
    for digest in digests:
        table.record_suspicion(Suspicion(digest, incarnation), Millis(at))


def list_refused(table: CrashTable, *digests: str, at: int = NOW) -> list[str]:
    return [digest for digest in digests if table.is_refused(digest, Millis(at))]


def test_a_request_is_refused_after_two_crashes_from_any_reporter() -> None:
    table = CrashTable()
    assert table.record_suspicion(Suspicion("killer", "b-1@1"), NOW)
    assert not table.record_suspicion(Suspicion("killer", "b-1@1", Millis(5)), NOW)
    assert not table.is_refused("killer", NOW)
    record_crash(table, "b-2@1", "killer")
    assert list_refused(table, "killer", "other") == ["killer"]


def test_a_neighbour_at_one_crash_is_not_refused() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "killer", "good")
    record_crash(table, "b-2@1", "killer")
    assert list_refused(table, "killer", "good") == ["killer"]


def test_a_neighbour_at_two_crashes_is_not_refused() -> None:
    """Guards against refusing a read retried where the crashing request went next."""
    table = CrashTable()
    for number in range(4):
        record_crash(table, f"b-{number}@1", "killer")
    record_crash(table, "b-2@1", "good")
    record_crash(table, "b-3@1", "good")
    assert list_refused(table, "killer", "good") == ["killer"]


def test_two_that_were_at_the_same_crashes_are_told_apart_by_the_next() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "killer", "good")
    record_crash(table, "b-2@1", "killer", "good")
    assert list_refused(table, "killer", "good") == []
    record_crash(table, "b-3@1", "killer")
    assert list_refused(table, "killer", "good") == ["killer"]


def test_an_answer_distinguishes_two_at_the_same_crashes() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "killer", "good")
    record_crash(table, "b-2@1", "killer", "good")
    assert table.clear("good", NOW, NOW)
    assert list_refused(table, "killer", "good") == ["killer"]


def test_two_killers_at_once_are_both_refused() -> None:
    """Guards against crashing requests that hide each other."""
    table = CrashTable()
    for number in range(4):
        record_crash(
            table, f"b-{number}@1", f"killer {number % 2}", at=NOW + 50 * number
        )
    assert list_refused(table, "killer 0", "killer 1", at=NOW + 200) == [
        "killer 0",
        "killer 1",
    ]


def test_more_crashes_are_required_where_targets_crash_often() -> None:
    """Guards against refusing a request that met two of many crash-looping targets."""
    table = CrashTable()
    for number in range(6):
        record_crash(table, f"b-{number}@1", f"beside {number}", at=NOW + 200 * number)
    record_crash(table, "b-0@1", "good")
    record_crash(table, "b-4@1", "good")
    assert list_refused(table, "good", at=NOW + 2_000) == []
    for number in range(6, 8):
        record_crash(table, f"b-{number}@1", "good", at=NOW + 200 * number)
    assert list_refused(table, "good", at=NOW + 2_000) == ["good"]


def test_crashes_count_whose_suspects_have_all_run() -> None:
    """Guards against suspecting the last uncleared request of a lost failure domain."""
    table = CrashTable()
    for number in range(3):
        record_crash(table, f"b-{number}@1", f"beside {number}")
        table.clear(f"beside {number}", NOW, NOW)
    record_crash(table, "b-0@1", "good")
    record_crash(table, "b-1@1", "good")
    assert list_refused(table, "good") == []


def test_a_completed_run_clears_earlier_suspicions() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "good")
    assert table.clear("good", Millis(NOW + 10), Millis(NOW + 10))
    assert not table.clear("good", Millis(NOW + 20), Millis(NOW + 20))
    # Reported late by an entry that did not know of the answer.
    late = Suspicion("good", "b-2@1", Millis(30))
    assert not table.record_suspicion(late, Millis(NOW + 40))
    record_crash(table, "b-3@1", "good", at=NOW + 50)
    assert list_refused(table, "good", at=NOW + 50) == []


def test_a_live_target_has_not_crashed() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "good")
    record_crash(table, "b-2@1", "good")
    table.discard_crash("b-2@1")
    assert list_refused(table, "good") == []
    assert table.count("good") == 1


def test_crashes_expire() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "killer")
    record_crash(table, "b-2@1", "killer")
    later = Millis(NOW + CRASH_RETENTION)
    assert not table.is_refused("killer", later)
    table.remove_expired(later)
    assert not table.is_suspected("killer")
    assert table.list_suspicions(later) == ()


def test_suspicions_that_prove_a_request_are_sent_first() -> None:
    """Guards against decisive crashes crowded out of messages as a domain is lost."""
    table = CrashTable()
    record_crash(table, "b-1@1", "killer")
    record_crash(table, "b-2@1", "killer")
    for number in range(2 * MAX_ANNOUNCED_SUSPICIONS):
        record_crash(table, f"e-{number % 9}@1", f"good {number}", at=NOW + 100)
    sent = table.list_suspicions(Millis(NOW + 200))
    assert len(sent) == MAX_ANNOUNCED_SUSPICIONS
    incarnations = {
        suspicion.life for suspicion in sent if suspicion.digest == "killer"
    }
    assert incarnations == {"b-1@1", "b-2@1"}


def test_a_single_crash_is_sent_briefly_and_two_are_sent_on() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "killer", "good")
    record_crash(table, "b-2@1", "killer")
    sent = table.list_suspicions(Millis(NOW + SUSPICION_ANNOUNCE_DURATION))
    assert {suspicion.digest for suspicion in sent} == {"killer"}
    assert sent[0].age == SUSPICION_ANNOUNCE_DURATION


def test_clearances_are_sent_for_a_limited_time() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "good")
    assert table.list_clearances(NOW) == ()
    table.clear("good", NOW, NOW)
    [sent] = table.list_clearances(Millis(NOW + 30))
    assert (sent.digest, sent.age) == ("good", 30)
    assert table.list_clearances(Millis(NOW + SUSPICION_ANNOUNCE_DURATION)) == ()


def test_suspicions_settle() -> None:
    table = CrashTable()
    record_crash(table, "b-1@1", "killer")
    record_crash(table, "b-2@1", "killer", at=NOW + 100)
    assert not table.is_settled("killer", Millis(NOW + SUSPICION_DELAY))
    assert table.is_settled("killer", Millis(NOW + 100 + SUSPICION_DELAY))
