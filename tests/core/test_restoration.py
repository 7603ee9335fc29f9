"""Tests of claims that the log lost when it came back from an older copy."""

from typing import Any

from figstep.core.effects import AppendRecords, OpenAttempt, Refuse, ReplayAnswer
from figstep.core.events import (
    EraTimer,
    RequestArrived,
    RestoreTimer,
    ServiceAnswered,
    TimerFired,
)
from figstep.core.restoration import MAX_RESTORE_DELAY, SETTLING_TIME
from figstep.core.specs import RequestSpec, ServiceWork
from tests.core.entries import Entry, Log, build_ready_entry


def list_kinds(entry: Entry) -> list[Any]:
    """Return the kinds of the records that an entry's last event appended."""
    appended = entry.find_effects(AppendRecords)
    return [record["kind"] for effect in appended for record in effect.records]


def run_order(entry: Entry, log: Log, request: str = "r1") -> None:
    """Let an entry claim and dispatch an order, and read both records."""
    entry.order(request)
    log.append_from(entry)
    log.read_to_end(entry)


def answer_order(entry: Entry, log: Log, request: str = "r1") -> None:
    """Answer a dispatched order and let the entry append the outcome."""
    attempt = entry.find_attempt(request)
    entry.feed(ServiceAnswered(attempt, 200, "text/plain", b"ok"))
    log.append_from(entry)


def settle(entry: Entry) -> None:
    entry.feed(TimerFired(EraTimer()), after=SETTLING_TIME)


def test_an_order_whose_claim_was_lost_runs_once() -> None:
    """Guards against an order that an entry runs again that starts after the return."""
    log, owner = Log(), build_ready_entry()
    run_order(owner, log)
    log.revert(1, owner)
    late = Entry("n2", 2)
    log.read_to_end(late)
    late.order("r2")
    log.append_from(late)
    log.read_to_end(late)
    settle(late)
    assert not late.find_effects(OpenAttempt)


def test_an_order_claimed_before_its_owner_read_of_the_return_is_given_up() -> None:
    """Guards against a new claim that stands before the restored one in the log."""
    log, owner, late = Log(), build_ready_entry(), Entry("n2", 2)
    run_order(owner, log)
    log.revert(1)
    log.read_to_end(late)
    late.order("r2")
    log.append_from(late)
    log.read_to_end(late)
    assert not late.find_effects(OpenAttempt)
    log.restart(owner)
    log.read_to_end(late)
    settle(late)
    assert not late.find_effects(OpenAttempt)
    answer_order(owner, log)
    log.deliver_to(late)
    assert late.find_effect(ReplayAnswer).body == b"ok"


def test_a_held_order_runs_once_its_era_is_settled() -> None:
    log, entry = Log(), Entry()
    log.revert(0)
    log.read_to_end(entry)
    run_order(entry, log)
    assert not entry.find_effects(OpenAttempt)
    settle(entry)
    assert entry.find_effect(OpenAttempt).request == "r1"


def test_a_claim_that_was_lost_before_it_was_read_back_is_made_again() -> None:
    """Guards against an order that waits in vain for its lost claim."""
    log, entry = Log(), build_ready_entry()
    entry.order("r1")
    log.append_from(entry)
    log.revert(1, entry)
    log.read_to_end(entry)
    settle(entry)
    assert entry.find_effect(OpenAttempt).request == "r1"


def test_another_entry_restores_what_an_ended_owner_claimed() -> None:
    """Guards against a lost claim whose owner has ended."""
    log, owner, reader = Log(), build_ready_entry(), build_ready_entry("n2", 2)
    run_order(owner, log)
    answer_order(owner, log)
    log.read_to_end(reader)
    log.revert(2, reader)
    log.read_to_end(reader)
    reader.feed(TimerFired(RestoreTimer()), after=MAX_RESTORE_DELAY)
    assert list_kinds(reader) == ["claim", "outcome"]
    log.append_from(reader)
    log.read_to_end(reader)
    reader.feed(TimerFired(RestoreTimer()), after=MAX_RESTORE_DELAY)
    assert list_kinds(reader) == []


def test_an_outcome_that_was_lost_is_restored() -> None:
    """Guards against duplicates that are told that it is unknown whether theirs ran."""
    log, owner = Log(), build_ready_entry()
    run_order(owner, log)
    answer_order(owner, log)
    log.revert(1, owner)
    log.read_to_end(owner)
    owner.feed(TimerFired(RestoreTimer()), after=MAX_RESTORE_DELAY)
    log.append_from(owner)
    late = Entry("n2", 2)
    log.read_to_end(late)
    late.order("r2")
    assert late.find_effect(ReplayAnswer).body == b"ok"


def test_a_restored_claim_follows_the_release_of_an_earlier_one() -> None:
    """Guards against a restored claim that is refused for one that was released."""
    log, owner = Log(), build_ready_entry()
    run_order(owner, log)
    log.add({**log.records[0].data, "kind": "release"})
    log.deliver_to(owner)
    owner.claims.own.clear()
    log.time += 1
    run_order(owner, log, "r2")
    log.revert(2, owner)
    late = Entry("n2", 2)
    log.read_to_end(late)
    identity, owning = next(iter(late.claims.owners.items()))
    assert owning.record == owner.claims.owners[identity].record


def test_a_duplicate_with_another_body_gets_no_answer_of_the_restored_order() -> None:
    """Guards against an answer to an order that its caller did not send."""
    log, owner = Log(), build_ready_entry()
    run_order(owner, log)
    log.revert(1)
    first, second = Entry("n2", 2), Entry("n3", 3)
    for entry, request in ((first, "r2"), (second, "r3")):
        log.read_to_end(entry)
        call = ServiceWork("shop", "POST", "/orders")
        spec = RequestSpec(
            request, "demo", call, stream=False, idempotency_key="k", digest="other"
        )
        entry.feed(RequestArrived(spec))
        log.append_from(entry)
    log.read_to_end(second)
    log.restart(owner)
    log.deliver_to(second)
    assert second.find_effects(Refuse)[0].problem.code == "key_reused"
