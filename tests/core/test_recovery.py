"""Tests of handling tokens, losses and silence, and of retries and resumes."""

from figstep.core.effects import (
    CancelGeneration,
    CloseAttempt,
    Complete,
    Deliver,
    DiscardDelivered,
    OpenAttempt,
    Refuse,
    ReplacePool,
    ResumeAttempt,
    WakeAt,
)
from figstep.core.events import (
    AttemptAnswered,
    AttemptEnded,
    AttemptLost,
    AttemptTimer,
    CallerReturned,
    Loss,
    QueueTimer,
    RequestTimer,
    RetryTimer,
    TimerFired,
    TokensArrived,
)
from figstep.core.problems import Ran
from figstep.core.retries import MAX_RESUMES
from figstep.core.silence import FIRST_EVENT_LIMIT
from figstep.core.specs import GenerationWork, RequestSpec
from tests.core.entries import Entry


def lose_for_good(entry: Entry, request: str) -> None:
    """Lose an attempt and all of its resumes, as when its target has died."""
    entry.feed(AttemptLost(entry.find_attempt(request), Loss.BROKEN))
    for _ in range(MAX_RESUMES - 1):
        entry.feed(AttemptLost(entry.find_attempt(request), Loss.CONNECT_FAILED))
        entry.feed(TimerFired(RetryTimer(request)), after=5_000)
    entry.feed(AttemptLost(entry.find_attempt(request), Loss.CONNECT_FAILED))


def test_a_broken_stream_resumes_after_the_last_delivered_event() -> None:
    entry = Entry()
    attempt = entry.start()
    entry.deliver(attempt, 1, 3)
    entry.feed(AttemptLost(attempt, Loss.BROKEN))
    resumed = entry.find_effect(ResumeAttempt)
    assert resumed.after == 3
    entry.deliver(resumed.attempt, 2, 4)
    assert entry.find_effect(Deliver).frames == [b"4", b"5"]


def test_events_of_a_closed_attempt_are_dropped() -> None:
    """Guards against events that a caller receives twice after a resume.

    The old connection still has events in its buffer, and the new one delivers the same
    events.
    """
    entry = Entry()
    attempt = entry.start()
    entry.deliver(attempt, 1)
    generation = entry.state.requests["r1"].generation
    entry.feed(AttemptLost(attempt, Loss.TRUNCATED))
    entry.feed(TokensArrived(attempt, generation, 2, [b"2"]))
    assert entry.find_effects(Deliver) == []
    entry.feed(AttemptEnded(attempt))
    assert entry.find_effects(Complete) == []


def test_crossed_events_never_reach_the_caller() -> None:
    entry = Entry()
    first, second = entry.start("r1"), entry.start("r2")
    other = entry.state.attempts[second].generation
    entry.feed(TokensArrived(first, other, 1, [b"1"]))
    assert entry.find_effects(Deliver) == []
    assert entry.find_effect(ResumeAttempt).request == "r1"


def test_a_gap_is_filled_by_a_resume() -> None:
    entry = Entry()
    attempt = entry.start()
    entry.deliver(attempt, 1)
    entry.deliver(attempt, 3)
    assert entry.find_effects(Deliver) == []
    assert entry.find_effect(ResumeAttempt).after == 1


def test_a_whole_answer_is_restarted_unseen_when_its_target_dies() -> None:
    """Guards against failing a non-streamed request that can be restarted.

    An engine dies late in an answer that is collected for the caller. Nothing has
    reached the caller, so the collected events are dropped and the request starts again
    on another target; the caller only waits longer.
    """
    entry = Entry()
    entry.deliver(entry.start(stream=False), 1, 50)
    lost = entry.state.requests["r1"].target
    lose_for_good(entry, "r1")
    assert entry.find_effect(OpenAttempt).target != lost
    assert entry.find_effects(DiscardDelivered)
    entry.deliver(entry.find_attempt("r1"), 1, 2)
    assert entry.find_effect(Deliver).frames == [b"1", b"2"]


def test_a_stream_that_cannot_be_resumed_ends_with_a_problem() -> None:
    entry = Entry()
    entry.deliver(entry.start(), 1)
    lose_for_good(entry, "r1")
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("generation_lost", Ran.YES)
    assert entry.state.requests == {}


def test_not_run_is_reported_when_every_target_refuses() -> None:
    entry = Entry()
    entry.start()
    while "r1" in entry.state.requests:
        request = entry.state.requests["r1"]
        if request.attempt is None:
            entry.feed(TimerFired(RetryTimer("r1")), after=100)
            entry.now += 600
            entry.feed(TimerFired(QueueTimer()))
            continue
        entry.feed(AttemptLost(request.attempt, Loss.REFUSED))
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("no_target", Ran.NO)
    assert problem.retry_after


def test_the_deadline_stops_a_running_attempt_and_does_not_claim_not_run() -> None:
    """Guards against claiming "not run" for a request that a target may have run.

    A target accepted the request and sends no first token before the deadline. The
    caller is refused, the generation is cancelled, and the answer does not say "not
    run".
    """
    entry = Entry()
    attempt = entry.start()
    timers = entry.find_effects(WakeAt)
    deadline = next(wake for wake in timers if wake.timer == RequestTimer("r1"))
    entry.now = deadline.at
    entry.feed(TimerFired(deadline.timer))
    problem = entry.find_effect(Refuse).problem
    assert (problem.ran, problem.status) == (Ran.UNKNOWN, 504)
    assert entry.find_effect(CloseAttempt).attempt == attempt
    assert entry.find_effects(CancelGeneration)


def test_an_end_marker_without_an_answer_is_a_loss() -> None:
    entry = Entry()
    attempt = entry.start()
    entry.feed(AttemptEnded(attempt))
    assert entry.find_effects(Complete) == []
    assert entry.find_effects(OpenAttempt)


def test_a_silent_pool_is_replaced_once_a_probe_delivers() -> None:
    """Guards against streams that wait on connections which a middlebox has dropped.

    All connections to one target stay open but deliver nothing. The first stream to be
    probed gets events over a new connection, which shows that the target is healthy.
    The connection pool is replaced and the other silent streams reattach at once.
    """
    entry = Entry()
    first = entry.start("r1")
    target = entry.state.attempts[first].target
    other = entry.start("r2")
    while entry.state.attempts[other].target != target:
        other = entry.start(f"r{other + 10}")
    entry.feed(TimerFired(AttemptTimer(first)), after=FIRST_EVENT_LIMIT)
    probe = entry.find_effect(ResumeAttempt).attempt
    entry.feed(AttemptAnswered(probe))
    assert entry.find_effects(ReplacePool) == []
    entry.now += 1
    entry.deliver(probe, 1)
    assert entry.find_effect(ReplacePool).target == target
    reattached = [effect.request for effect in entry.find_effects(ResumeAttempt)]
    assert len(reattached) >= 1
    assert other not in entry.state.attempts


def test_a_stream_that_goes_silent_early_is_probed_within_its_own_limit() -> None:
    """Guards against a long wait for a stream that dies after its second token.

    Its limit is one second by then; the five times longer limit for a first token must
    not apply any more.
    """
    entry = Entry()
    attempt = entry.start()
    entry.now += 100
    entry.deliver(attempt, 1)
    first = entry.find_effect(WakeAt)
    assert first.timer == AttemptTimer(attempt)
    entry.now += 10
    entry.deliver(attempt, 2)
    assert entry.find_effects(WakeAt) == []
    entry.now = first.at
    entry.feed(TimerFired(first.timer))
    due = entry.find_effect(WakeAt).at
    assert due <= first.at + 10
    entry.now = due
    entry.feed(TimerFired(first.timer))
    assert entry.find_effect(ResumeAttempt).after == 2


def test_a_slow_target_is_not_taken_for_a_silent_one() -> None:
    """Guards against replacing the connection pool of a slow target.

    An engine preempts a generation and sends nothing for long. The probe is answered
    but delivers no events either, so the target is slow: the pool stays and no more
    probes are sent.
    """
    entry = Entry()
    attempt = entry.start()
    entry.feed(TimerFired(AttemptTimer(attempt)), after=FIRST_EVENT_LIMIT)
    probe = entry.find_effect(ResumeAttempt).attempt
    entry.feed(AttemptAnswered(probe))
    for _ in range(5):
        entry.feed(TimerFired(AttemptTimer(probe)), after=FIRST_EVENT_LIMIT)
        assert entry.find_effects(ResumeAttempt) == []
    entry.deliver(probe, 1)
    assert entry.find_effects(ReplacePool) == []


def test_a_returned_caller_whose_generation_is_gone_is_told_so() -> None:
    entry = Entry()
    attempt = entry.start()
    generation = entry.state.attempts[attempt].generation
    spec = RequestSpec("r2", "demo", GenerationWork("m"))
    entry.feed(CallerReturned(spec, generation, 4))
    resumed = entry.find_effect(ResumeAttempt)
    assert resumed.after == 4
    entry.feed(AttemptLost(resumed.attempt, Loss.NOT_FOUND))
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("generation_gone", Ran.YES)


def test_a_caller_is_not_told_gone_by_an_entry_that_does_not_know_the_target() -> None:
    """Guards against 410 of an entry that has not heard of a new engine."""
    entry = Entry()
    attempt = entry.start()
    generation = entry.state.attempts[attempt].generation
    del entry.state.targets[entry.state.attempts[attempt].target]
    spec = RequestSpec("r2", "demo", GenerationWork("m"))
    entry.feed(CallerReturned(spec, generation, 4))
    problem = entry.find_effect(Refuse).problem
    assert (problem.status, problem.code) == (503, "generation_unreachable")
    assert problem.retry_after is not None


def test_a_returned_caller_whose_target_is_out_of_reach_may_come_back() -> None:
    """Guards against 410, and a cancellation, for a generation that may go on."""
    entry = Entry()
    generation = entry.state.attempts[entry.start()].generation
    spec = RequestSpec("r2", "demo", GenerationWork("m"))
    entry.feed(CallerReturned(spec, generation, 4))
    lose_for_good(entry, "r2")
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("generation_unreachable", Ran.YES)
    assert problem.retry_after
    assert entry.find_effects(CancelGeneration) == []


def test_a_returned_caller_that_waited_in_vain_does_not_end_its_generation() -> None:
    """Guards against a cancellation by an entry at which nothing arrived in time."""
    entry = Entry()
    generation = entry.state.attempts[entry.start()].generation
    spec = RequestSpec("r2", "demo", GenerationWork("m"))
    entry.feed(CallerReturned(spec, generation, 4))
    timers = entry.find_effects(WakeAt)
    deadline = next(wake for wake in timers if wake.timer == RequestTimer("r2"))
    entry.now = deadline.at
    entry.feed(TimerFired(deadline.timer))
    problem = entry.find_effect(Refuse).problem
    assert (problem.code, problem.ran) == ("no_answer_in_time", Ran.YES)
    assert entry.find_effects(CancelGeneration) == []
