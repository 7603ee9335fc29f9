"""Tests of quarantining requests that crash targets, and of clearing others."""

import pytest

from figstep.core import quarantine
from figstep.core.clock import Millis
from figstep.core.crashes import Suspicion
from figstep.core.effects import OpenAttempt, Refuse
from figstep.core.events import (
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    CallerGone,
    LoadReported,
    Loss,
    QueueTimer,
    RequestArrived,
    RetryTimer,
    TimerFired,
)
from figstep.core.quarantine import Quarantine
from figstep.core.retries import MAX_RESUMES
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.suspects import blocks_target
from figstep.core.targets import MAX_AVOIDANCE
from tests.core.entries import Entry, make_inventory
from tests.core.test_recovery import lose_for_good


def list_suspected(entry: Entry) -> set[str]:
    """Return the digests of requests that were in flight where a target died."""
    return set(entry.state.quarantine.crashes.list_suspected())


def record_crash(entry: Entry, digest: str, death: str) -> None:
    """Record a request as in flight at a target that died at another entry."""
    entry.state.quarantine.crashes.record_suspicion(Suspicion(digest, death), entry.now)


def answer_attempt(entry: Entry, request: str) -> None:
    """Report that the target of a request's attempt has answered."""
    entry.feed(AttemptAnswered(entry.find_attempt(request)))


def test_a_request_is_refused_after_it_killed_two_targets() -> None:
    """Guards against a request that crashes engine after engine as it is retried.

    The second crash, at which it is the only suspect, proves it; the third try is
    refused before it reaches a target.
    """
    entry = Entry(inventory=make_inventory(engines=3))
    entry.start("r1", digest="killer", stream=False)
    answer_attempt(entry, "r1")
    lose_for_good(entry, "r1")
    answer_attempt(entry, "r1")
    lose_for_good(entry, "r1")
    assert entry.find_effect(Refuse).problem.code == "request_quarantined"
    assert entry.find_effects(OpenAttempt) == []
    spec = RequestSpec("r2", "demo", GenerationWork("m"), digest="killer")
    entry.feed(RequestArrived(spec))
    problem = entry.find_effect(Refuse).problem
    assert problem.retry_after == entry.state.quarantine.until["killer"] - entry.now


def test_a_request_that_was_answered_before_takes_more_deaths() -> None:
    """Guards against quarantining a frequent request for engines that others killed."""
    entry = Entry(inventory=make_inventory(engines=3))
    entry.start("r1", digest="frequent", stream=False)
    entry.deliver(entry.find_attempt("r1"), 1)
    entry.feed(AttemptEnded(entry.find_attempt("r1")))
    for number in range(4):
        assert not entry.state.quarantine.until
        name = f"again-{number}"
        entry.start(name, digest="frequent", stream=False)
        answer_attempt(entry, name)
        lose_for_good(entry, name)
        entry.feed(CallerGone(name))
    assert list(entry.state.quarantine.until) == ["frequent"]


def test_neighbours_of_a_killer_go_on_and_are_cleared() -> None:
    """Guards against quarantining an innocent request that shared an engine.

    A crashing and an innocent request run at the engine that dies. Both become suspects
    and are retried on different targets. The crash there proves the first one; the
    innocent one completes and is cleared.
    """
    entry = Entry(inventory=make_inventory(engines=3))
    entry.start("bad", digest="killer", stream=False)
    target = entry.state.requests["bad"].target
    name, number = "good", 0
    entry.start(name, digest=name, stream=False)
    while entry.state.requests[name].target != target:
        number += 1
        name = f"good{number}"
        entry.start(name, digest=name, stream=False)
    answer_attempt(entry, "bad")
    answer_attempt(entry, name)
    lose_for_good(entry, "bad")
    lose_for_good(entry, name)
    assert list_suspected(entry) == {"killer", name}
    assert entry.state.requests["bad"].target != entry.state.requests[name].target
    answer_attempt(entry, "bad")
    lose_for_good(entry, "bad")
    assert list(entry.state.quarantine.until) == ["killer"]
    entry.deliver(entry.find_attempt(name), 1)
    entry.feed(AttemptEnded(entry.find_attempt(name)))
    assert name not in list_suspected(entry)


def test_suspects_keep_away_from_each_other() -> None:
    entry = Entry(inventory=make_inventory(engines=1))
    for digest in ("a", "b"):
        record_crash(entry, digest, "e9#1")
    entry.start("r1", digest="a")
    spec = RequestSpec("r2", "demo", GenerationWork("m"), digest="b")
    entry.feed(RequestArrived(spec))
    assert blocks_target(entry.state, entry.state.requests["r2"], "e1")
    assert entry.find_effects(OpenAttempt) == []
    entry.deliver(entry.find_attempt("r1"), 1)
    entry.feed(AttemptEnded(entry.find_attempt("r1")))
    entry.feed(TimerFired(QueueTimer()))
    assert entry.find_effect(OpenAttempt).request == "r2"


def test_two_suspects_at_the_same_crashes_are_not_proved() -> None:
    entry = Entry(inventory=make_inventory(engines=1))
    entry.start("r1", digest="a", stream=False)
    entry.start("r2", digest="b", stream=False)
    for digest in ("a", "b"):
        record_crash(entry, digest, "e9#1")
    answer_attempt(entry, "r1")
    answer_attempt(entry, "r2")
    lose_for_good(entry, "r1")
    assert entry.state.quarantine.until == {}


def test_one_death_is_counted_once() -> None:
    """Guards against counting one crash twice.

    A crash shows first by broken streams and later by a new incarnation. Requests
    started on the new incarnation in between were not part of it.
    """
    entry = Entry(inventory=make_inventory(engines=1))
    entry.feed(LoadReported("e1", incarnation=1))
    entry.start("r1", digest="a")
    answer_attempt(entry, "r1")
    lose_for_good(entry, "r1")
    entry.feed(CallerGone("r1"), after=MAX_AVOIDANCE)
    entry.start("r2", digest="b")
    answer_attempt(entry, "r2")
    entry.feed(LoadReported("e1", incarnation=2))
    assert list_suspected(entry) == {"a"}


def test_a_new_incarnation_alone_makes_suspects() -> None:
    entry = Entry(inventory=make_inventory(engines=1))
    entry.feed(LoadReported("e1", incarnation=1))
    entry.start("r1", digest="a")
    answer_attempt(entry, "r1")
    entry.feed(LoadReported("e1", incarnation=2))
    assert list_suspected(entry) == {"a"}


def test_a_refusing_target_makes_no_suspects() -> None:
    entry = Entry()
    attempt = entry.start("r1", digest="a")
    entry.feed(AttemptLost(attempt, Loss.REFUSED))
    entry.feed(AttemptLost(entry.find_attempt("r1"), Loss.CONNECT_FAILED))
    assert list_suspected(entry) == set()


def test_a_digest_from_a_peer_is_refused_for_a_bounded_time() -> None:
    held = Quarantine({"d": Millis(900)})
    quarantine.quarantine_digest(held, "d", Millis(100), Millis(400))
    assert held.until == {"d": Millis(900)}
    quarantine.quarantine_digest(held, "e", Millis(10**9), Millis(400))
    assert held.until["e"] == 400 + quarantine.QUARANTINE_DURATION


def test_shared_digests_end_everywhere() -> None:
    """Guards against a quarantine that lasts longer with each exchange.

    Two entries repeat to each other which digests they refuse, with a delay of half a
    second that is added at each hop. If an entry adopted every longer time, a digest
    would be refused for half as long again.
    """
    first, second = Quarantine(), Quarantine()
    quarantine.quarantine_digest(first, "d", Millis(60_000), Millis(0))
    for now in range(0, 60_000, 1_000):
        for provider, recipient in ((first, second), (second, first)):
            remaining = Millis(
                provider.until["d"] - now if "d" in provider.until else 0
            )
            if remaining > 0:
                quarantine.quarantine_digest(
                    recipient, "d", remaining, Millis(now + 500)
                )
    assert first.until["d"] == 60_000
    assert second.until["d"] == 60_500


ANSWERED = [Loss.REFUSED, Loss.TRUNCATED, Loss.WRONG_GENERATION]
"""Losses of resumes that somebody at the address of the target has answered."""


def fail_resumes(entry: Entry, request: str, loss: Loss) -> str:
    """Break a request's stream and fail all its resumes; return the target."""
    answer_attempt(entry, request)
    target = entry.state.requests[request].target
    entry.feed(AttemptLost(entry.find_attempt(request), Loss.BROKEN))
    for _ in range(MAX_RESUMES - 1):
        entry.feed(AttemptLost(entry.find_attempt(request), loss))
        entry.feed(TimerFired(RetryTimer(request)), after=200)
    entry.feed(AttemptLost(entry.find_attempt(request), loss))
    return target


@pytest.mark.parametrize("loss", ANSWERED)
def test_a_target_that_answers_resumes_has_not_died(loss: Loss) -> None:
    """Guards against 422 for a request whose targets are only busy, or fail it."""
    entry = Entry(inventory=make_inventory(engines=3))
    for name in ("e1", "e2", "e3"):
        entry.feed(LoadReported(name, incarnation=1))
    entry.start("r1", digest="harmless", stream=False)
    for _ in range(2):
        target = fail_resumes(entry, "r1", loss)
        entry.feed(LoadReported(target, incarnation=1), after=500)
        entry.feed(LoadReported(target, incarnation=2), after=500)
    assert entry.state.quarantine.until == {}
    assert list_suspected(entry) == set()
    assert entry.find_attempt("r1")


@pytest.mark.parametrize("loss", ANSWERED)
def test_a_failed_resume_is_part_of_a_crash_that_shows_later(loss: Loss) -> None:
    """Guards against a killer that is sent on as its targets answer after a restart."""
    entry = Entry(inventory=make_inventory(engines=3))
    for name in ("e1", "e2", "e3"):
        entry.feed(LoadReported(name, incarnation=1))
    entry.start("r1", digest="killer", stream=False)
    targets = []
    for _ in range(2):
        targets.append(fail_resumes(entry, "r1", loss))
        entry.start(f"beside-{len(targets)}", digest="beside")
        entry.feed(LoadReported(targets[-1], incarnation=2), after=500)
    assert len(set(targets)) == 2
    assert list(entry.state.quarantine.until) == ["killer"]
