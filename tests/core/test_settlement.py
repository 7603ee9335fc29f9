"""Tests of claims: who dispatches an order, who waits and what callers are told."""

import uuid

import pytest

from figstep.core.claims import CLAIM_WINDOW, read_key_time
from figstep.core.clock import Millis
from figstep.core.effects import (
    AppendRecords,
    Complete,
    OpenAttempt,
    Refuse,
    ReplayAnswer,
)
from figstep.core.events import (
    AppendConfirmed,
    AppendUncertain,
    AttemptLost,
    CallerGone,
    ClaimTimer,
    Loss,
    OutcomeTimer,
    RequestArrived,
    ServiceAnswered,
    StreamUnavailable,
    TimerFired,
)
from figstep.core.ownership import MAX_DISPATCH_AGE
from figstep.core.problems import Ran
from figstep.core.records import CLAIMS
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork
from tests.core.entries import Entry, Log, build_ready_entry, make_inventory


def test_an_order_is_dispatched_only_after_its_claim_was_read_back() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    assert entry.find_effects(OpenAttempt) == []
    log.append_from(entry)
    log.deliver_to(entry)
    assert entry.find_effect(OpenAttempt).once


def test_the_same_order_through_two_entries_runs_once() -> None:
    """Guards against an order that runs twice when its caller sends it twice.

    A balancer spreads the requests over two entries and both append a claim. By the
    log's order the first one owns the identity; the other waits and gives its caller
    the recorded answer.
    """
    first, second, log = build_ready_entry("n1", 1), build_ready_entry("n2", 2), Log()
    first.order("a")
    log.append_from(first)
    second.order("b")
    log.append_from(second)
    log.deliver_to(second)
    assert second.find_effects(OpenAttempt) == []
    log.deliver_to(first)
    attempt = first.find_effect(OpenAttempt).attempt
    first.feed(ServiceAnswered(attempt, 201, "text/plain", b"booked"))
    log.append_from(first)
    log.deliver_to(second, 2)
    assert second.find_effect(ReplayAnswer).body == b"booked"
    assert second.state.requests == {}


def test_a_duplicate_at_the_same_entry_joins_the_running_one() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    attempt = entry.find_effect(OpenAttempt).attempt
    entry.order("r2")
    assert entry.effects[-1:] != [] and entry.find_effects(AppendRecords) == []
    entry.feed(ServiceAnswered(attempt, 200, "text/plain", b"done"))
    assert entry.find_effect(ReplayAnswer).request == "r2"
    entry.order("r3")
    assert entry.find_effect(ReplayAnswer).request == "r3"


def test_another_body_under_the_same_key_is_refused() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    entry.order("r2", digest="other")
    assert entry.find_effect(Refuse).problem.status == 422


@pytest.mark.parametrize("loss", [Loss.CONNECT_FAILED, Loss.REFUSED])
def test_an_order_that_did_not_run_is_sent_to_another_target(loss: Loss) -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    opened = entry.find_effect(OpenAttempt)
    entry.feed(AttemptLost(opened.attempt, loss))
    assert entry.find_effect(OpenAttempt).target != opened.target


@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.TRUNCATED, Loss.FAILED])
def test_an_order_that_may_have_run_is_never_sent_again(loss: Loss) -> None:
    """Guards against a second run of an order whose connection broke.

    The connection breaks after the order's bytes were sent. Whether it ran, such as
    whether a pallet is on its way, is unknown; the caller is told so, and a duplicate
    through any entry gets the same answer.
    """
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    entry.feed(AttemptLost(entry.find_effect(OpenAttempt).attempt, loss))
    problem = entry.find_effect(Refuse).problem
    assert problem.code == "outcome_unknown" and problem.ran is not Ran.NO
    log.append_from(entry)
    other = build_ready_entry("n2", 2)
    log.deliver_to(other)
    other.order("r2")
    assert other.find_effect(Refuse).problem.code == "outcome_unknown"


def test_a_lost_append_is_settled_by_reading() -> None:
    """Guards against a second claim for an append whose answer was lost.

    The entry waits a short time until it reads its own record back and then continues
    as usual; no second record is appended.
    """
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    entry.feed(AppendUncertain(entry.find_effect(AppendRecords).key))
    assert entry.find_effects(Refuse) == []
    assert entry.find_effects(AppendRecords) == []
    log.deliver_to(entry)
    assert entry.find_effects(OpenAttempt)


def test_a_claim_read_back_too_late_is_released_and_not_dispatched() -> None:
    """Guards against dispatching an order that was reported as "not run".

    The outcome of an append is uncertain and the record is not read back before the
    deadline, so the caller is refused with "not run". When the record appears later,
    the claim is released.
    """
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    entry.feed(AppendUncertain(entry.find_effect(AppendRecords).key))
    entry.feed(TimerFired(ClaimTimer("r1")), after=1_000)
    assert entry.find_effect(Refuse).problem.ran is Ran.NO
    log.deliver_to(entry)
    assert entry.find_effects(OpenAttempt) == []
    assert entry.find_effect(AppendRecords).records[0]["kind"] == "release"
    log.append_from(entry)
    other = build_ready_entry("n2", 2)
    log.deliver_to(other)
    other.order("r2")
    log.append_from(other)
    log.deliver_to(other, 2)
    assert other.find_effects(OpenAttempt)


def test_orders_are_refused_at_once_while_the_log_is_down() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    entry.feed(StreamUnavailable(CLAIMS))
    problem = entry.find_effect(Refuse).problem
    assert problem.ran is Ran.NO and problem.retry_after
    entry.order("r2", key="other")
    assert entry.find_effect(Refuse).problem.ran is Ran.NO
    assert log.records == []
    assert entry.start("r3")


def test_an_entry_that_starts_reads_the_claims_before_it_dispatches() -> None:
    entry = Entry()
    entry.order("r1")
    assert entry.find_effect(Refuse).problem.code == "claims_unavailable"


def test_a_paused_owner_does_not_dispatch_an_old_claim() -> None:
    """Guards against an order dispatched under a claim that has expired.

    An owner is frozen between claim and dispatch and resumes much later. Its identity
    may have expired and belong to another claim by then.
    """
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    entry.now = Millis(entry.now + MAX_DISPATCH_AGE + 1)
    log.deliver_to(entry)
    assert entry.find_effects(OpenAttempt) == []
    assert entry.find_effect(Refuse).problem.ran is Ran.NO
    assert entry.find_effect(AppendRecords).records[0]["kind"] == "release"


def test_a_dead_owners_claim_stays_unknown() -> None:
    """Guards against guessing whether an owner that died had dispatched its order."""
    dead, other, log = build_ready_entry("n1", 1), build_ready_entry("n2", 2), Log()
    dead.order("r1")
    log.append_from(dead)
    log.deliver_to(other)
    other.order("r2")
    assert other.find_effects(AppendRecords) == []
    other.feed(TimerFired(ClaimTimer("r2")), after=10_000)
    problem = other.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("first_still_running", Ran.UNKNOWN)


def test_an_order_continues_when_its_caller_has_left() -> None:
    """Guards against cancelling an order because its caller timed out.

    The caller's own timeout closes its connection while the order runs. It then sends
    the same key again and gets the first order's answer.
    """
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    attempt = entry.find_effect(OpenAttempt).attempt
    entry.feed(CallerGone("r1"))
    entry.order("r2")
    entry.feed(ServiceAnswered(attempt, 200, "", b"x"))
    assert entry.find_effect(ReplayAnswer).request == "r2"


def test_a_key_from_before_the_window_is_refused() -> None:
    """Guards against running an order again after its record has expired.

    Whether the first one ran is no longer known. A key that carries its time shows
    this; the request is refused and not run.
    """
    entry, log = build_ready_entry(), Log()
    time = log.time - CLAIM_WINDOW - 1
    key = str(uuid.UUID(int=(time << 80) | (7 << 76) | (2 << 62)))
    assert read_key_time(key) == time
    entry.order("r1", key=key)
    log.append_from(entry)
    log.deliver_to(entry)
    assert entry.find_effects(OpenAttempt) == []
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("key_expired", Ran.UNKNOWN)


def test_the_same_body_is_one_order_within_its_window_only() -> None:
    inventory = make_inventory(window=Millis(5_000))
    entry, log = Entry(inventory=inventory), Log()
    entry.catch_up()
    for request, pause, opened in (("r1", 0, 1), ("r2", 1_000, 0), ("r3", 6_000, 1)):
        entry.now = Millis(entry.now + pause)
        log.time += pause
        entry.order(request, key=None)
        read = len(log.records)
        log.append_from(entry)
        log.deliver_to(entry, read)
        assert len(entry.find_effects(OpenAttempt)) == opened, request


def test_an_order_without_key_or_window_is_claimed_for_itself() -> None:
    entry = build_ready_entry()
    entry.order("r1", key=None)
    first = entry.find_effect(AppendRecords).records[0]["name"]
    entry.order("r2", key=None)
    assert entry.find_effect(AppendRecords).records[0]["name"] != first


def test_a_large_answer_is_reported_as_run_without_its_body() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    entry.feed(ServiceAnswered(entry.find_effect(OpenAttempt).attempt, 200, "", None))
    entry.order("r2")
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("already_ran", Ran.YES)


def test_unknown_records_are_ignored() -> None:
    entry, log = build_ready_entry(), Log()
    for data in ({}, {"kind": "claim", "id": 1}, {"kind": "x", "id": "a", "name": "b"}):
        log.add(data)
    log.add({"kind": "claim", "id": "a", "name": "b"})
    log.deliver_to(entry)
    assert entry.claims.owners == {}


def test_a_repeated_record_changes_nothing() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.append_from(entry)
    log.deliver_to(entry)
    assert len(entry.find_effects(OpenAttempt)) == 1


def test_a_call_that_no_rule_names_needs_no_claim() -> None:
    entry = build_ready_entry()
    work = ServiceWork("shop", "GET", "/stock")
    entry.feed(RequestArrived(RequestSpec("r1", "demo", work, stream=False)))
    assert entry.find_effects(OpenAttempt)


def test_a_started_generation_is_not_released_when_its_caller_leaves() -> None:
    """Guards against a second run of a generation whose caller left early.

    The caller of a non-idempotent generation leaves before its first token. The bytes
    of the request may have reached the engine, so its identity stays claimed; a
    duplicate that found it free would run a second time.
    """
    entry, log = build_ready_entry(), Log()
    spec = RequestSpec(
        "r1", "demo", GenerationWork("m"), idempotency_key="k", non_idempotent=True
    )
    entry.feed(RequestArrived(spec))
    log.append_from(entry)
    log.deliver_to(entry)
    assert entry.find_effects(OpenAttempt)
    entry.feed(CallerGone("r1"))
    record = entry.find_effect(AppendRecords).records[0]
    assert (record["kind"], record["ran"]) == ("outcome", "unknown")


def test_an_outcome_is_appended_again_until_the_log_has_it() -> None:
    """Guards against duplicates told "unknown" of an order that has an answer.

    The log is down when an order ends. The same record is appended again until the log
    has it; the fold uses the first one.
    """
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    attempt = entry.find_effect(OpenAttempt).attempt
    entry.feed(ServiceAnswered(attempt, 200, "", b"x"))
    first = entry.find_effect(AppendRecords)
    entry.feed(AppendUncertain(first.key))
    assert entry.find_effects(AppendRecords) == []
    entry.feed(TimerFired(OutcomeTimer()), after=1_000)
    again = entry.find_effect(AppendRecords)
    assert again.records == first.records
    entry.feed(AppendConfirmed(again.key, 1))
    assert entry.claims.unconfirmed == {}
    entry.feed(TimerFired(OutcomeTimer()), after=1_000)
    assert entry.find_effects(AppendRecords) == []


def test_an_outcome_that_cannot_be_appended_is_finally_dropped() -> None:
    entry, log = build_ready_entry(), Log()
    entry.order("r1")
    log.append_from(entry)
    log.deliver_to(entry)
    attempt = entry.find_effect(OpenAttempt).attempt
    entry.feed(ServiceAnswered(attempt, 200, "", b"x"))
    entry.feed(AppendUncertain(entry.find_effect(AppendRecords).key))
    entry.feed(TimerFired(OutcomeTimer()), after=60_000)
    assert entry.find_effects(AppendRecords) == []
    assert entry.claims.unconfirmed == {}


def test_a_record_that_the_log_repeats_late_does_not_disturb_its_request() -> None:
    """Guards against an order that gets the outcome of another one.

    An order runs longer than its window and another one claims the identity. Then the
    log repeats the first claim. That claim has lost now, but its order was sent: it
    must get neither the other's outcome nor "not run".
    """
    inventory = make_inventory(window=Millis(5_000))
    entry, log = Entry(inventory=inventory), Log()
    entry.catch_up()
    entry.order("r1", key=None)
    claim = entry.find_effect(AppendRecords).records[0]
    log.append_from(entry)
    log.deliver_to(entry)
    attempt = entry.find_effect(OpenAttempt).attempt
    log.time += 6_000
    log.add({**claim, "id": "another"})
    log.add(claim)
    log.deliver_to(entry, 1)
    assert entry.effects == []
    entry.feed(ServiceAnswered(attempt, 200, "", b"x"))
    assert entry.find_effects(Complete)
