"""Tests of requests that were at crashed targets by chance."""

from dataclasses import dataclass, field

import pytest

from figstep.core.clock import Millis
from figstep.core.crashes import Suspicion, name_part
from figstep.gateway.crashes import WRITING_DURATION
from figstep.gateway.culprits import (
    CAUTION_DURATION,
    PROBATION_SPACING,
    REQUEST_TRIAL_DELAY,
    TRIAL_SPACING,
)
from figstep.gateway.effects import OpenAttempt, Refuse
from figstep.gateway.events import (
    AnswerArrived,
    AttemptLost,
    CallerGone,
    Loss,
    PeerHeard,
    StreamEnded,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import Registration
from tests.gateway.test_crashes import (
    DOMAINS,
    KILLER,
    MAX_LATE_RUNS,
    RESTART_DELAY,
    RETRY_DELAY,
    CrashEvidence,
    Replay,
    rejects_request,
    retry_repeatedly,
)
from tests.gateway.worlds import BOOKINGS, EntryHarness, exchange_messages

POPULAR = "popular"
"""Digest of a call that is sent often."""

STEP = 20
"""Milliseconds between two messages of each entry."""

RUN_TIME = 60
"""Milliseconds from the start of a run to its answer, or to the crash of its target."""


@dataclass
class Calls:
    """Calls with one digest, at entries of a replay.

    Attributes:
        deadly: Whether they crash the targets that run them.
        sent: Entry and number of each call.
        answered: Entry and number of each call that was answered.
        started: Start of each open attempt, by node and number.
    """

    replay: Replay
    path: str = "/order/a"
    deadly: bool = False
    sent: list[tuple[str, int]] = field(default_factory=list)
    answered: list[tuple[str, int]] = field(default_factory=list)
    started: dict[tuple[str, int], Millis] = field(default_factory=dict)

    def send(self, *entries: int) -> None:
        """Send the call to entries, which are given by their indices."""
        for index in entries:
            harness = self.replay.fleet[index]
            number = harness.receive_request(self.path, digest=POPULAR)
            self.sent.append((harness.state.node, number))

    def run(self, millis: int) -> None:
        """Advance the clock, end runs that are due, and exchange messages."""
        for _ in range(millis // STEP):
            self.replay.wait(STEP)
            for harness in self.replay.fleet:
                self._end_due(harness)

    def _end_due(self, harness: EntryHarness) -> None:
        now = self.replay.clock.now()
        node = harness.state.node
        for attempt in list(harness.state.attempts.values()):
            if attempt.number not in harness.state.attempts:
                continue
            began = self.started.setdefault((node, attempt.number), now)
            if now - began < RUN_TIME:
                continue
            if self.deadly:
                self._crash(harness, attempt.number, attempt.target.name)
            else:
                self.answered.append((node, attempt.request))
                harness.handle(AnswerArrived(attempt.number, 200))

    def _crash(self, harness: EntryHarness, attempt: int, name: str) -> None:
        replay = self.replay
        if name in replay.registrations and name not in replay.down:
            now = replay.clock.now()
            replay.runs.append((now, name))
            replay.down[name] = Millis(now + RESTART_DELAY)
        replay.lose_attempt(harness, attempt)

    def kill_target(self, entry: int) -> None:
        """Kill the target of the call that an entry just sent, for another reason."""
        harness = self.replay.fleet[entry]
        [attempt] = harness.state.attempts.values()
        name = attempt.target.name
        self.replay.down[name] = Millis(self.replay.clock.now() + RESTART_DELAY)
        self.replay.lose_attempt(harness, attempt.number)
        exchange_messages(self.replay.fleet)


def leave_all(harness: EntryHarness) -> None:
    """Let the callers of an entry leave before their calls have run again."""
    for number in list(harness.state.requests):
        harness.handle(CallerGone(number))


def serve_and_kill_twice(
    replay: Replay, path: str = "/order/a", served_by: tuple[int, ...] = (0, 4)
) -> Calls:
    """Answer the call at some entries, then kill two targets that run it."""
    calls = Calls(replay, path)
    calls.send(*served_by)
    calls.run(2 * RUN_TIME)
    assert len(calls.answered) == len(served_by)
    replay.wait(RETRY_DELAY)
    for entry in (1, 2):
        calls.send(entry)
        calls.kill_target(entry)
        leave_all(replay.fleet[entry])
        replay.wait(RETRY_DELAY)
    calls.sent.clear()
    calls.answered.clear()
    return calls


@pytest.mark.parametrize("path", ["/order/a", "/lookup/a"])
def test_a_call_beside_two_kills_is_served_if_it_was_before(path: str) -> None:
    """Guards against refusing a frequent call for targets that others killed."""
    replay = Replay(8)
    calls = Calls(replay, path)
    calls.send(0, 4)
    calls.run(2 * RUN_TIME)
    for entry in (1, 2):
        replay.wait(RETRY_DELAY)
        calls.send(entry)
        calls.kill_target(entry)
        leave_all(replay.fleet[entry])
    calls.sent.clear()
    calls.answered.clear()
    for _ in range(4):
        calls.send(*range(8))
        calls.run(PROBATION_SPACING * 8)
    assert sorted(calls.answered) == sorted(calls.sent)
    assert not replay.fleet[0].state.crashes.is_suspected(POPULAR)


def test_an_entry_that_never_served_the_call_learns_that_others_did() -> None:
    """Guards against refusals by the entries that a frequent call seldom reaches."""
    replay = Replay(8)
    serve_and_kill_twice(replay, served_by=(0,))
    for harness in replay.fleet:
        assert not rejects_request(harness, POPULAR)


def test_a_call_that_was_never_answered_is_refused_after_two_kills() -> None:
    replay = Replay(8)
    serve_and_kill_twice(replay, served_by=())
    assert rejects_request(replay.fleet[5], POPULAR)


@pytest.mark.parametrize(
    ("size", "evidence"),
    [(73, CrashEvidence.PROBE), *((8, evidence) for evidence in CrashEvidence)],
)
def test_a_call_that_becomes_deadly_is_kept_away(
    size: int, evidence: CrashEvidence
) -> None:
    """Guards against a call that crashes engine after engine as it was answered."""
    replay = Replay(size, evidence)
    calls = Calls(replay, "/lookup/a")
    calls.send(*range(8))
    calls.run(2 * RUN_TIME)
    assert len(calls.answered) == 8
    calls.deadly = True
    for number in range(8):
        calls.send(number % 8)
        calls.run(20 * RUN_TIME)
        replay.wait(RETRY_DELAY - 20 * RUN_TIME)
    assert len(replay.runs) <= 4
    assert replay.count_late_runs() <= MAX_LATE_RUNS
    assert rejects_request(replay.fleet[5], POPULAR)


def test_a_crowd_with_a_call_that_becomes_deadly_crashes_few_targets() -> None:
    """Guards against entries that all try at once a call that may be deadly."""
    replay = Replay(8)
    calls = serve_and_kill_twice(replay, "/lookup/a")
    calls.deadly = True
    for _ in range(40):
        calls.send(*range(8))
        calls.run(100)
    assert len(replay.runs) <= 4
    assert replay.count_late_runs() == 0
    assert rejects_request(replay.fleet[5], POPULAR)


def test_entries_of_a_large_fleet_try_a_call_one_after_another() -> None:
    """Guards against a large fleet whose entries try a call at once."""
    replay = Replay(73)
    calls = serve_and_kill_twice(replay, "/lookup/a")
    calls.deadly = True
    for _ in range(20):
        calls.send(*range(73))
        calls.run(100)
    assert 1 <= len(replay.runs) <= 4
    assert all(rejects_request(harness, POPULAR) for harness in replay.fleet[::9])


def test_a_refused_call_is_tried_again_by_one_after_another() -> None:
    """Guards against a call that nobody may send again, so that nothing clears it."""
    replay = Replay(8)
    retry_repeatedly(replay, 2)
    replay.wait(REQUEST_TRIAL_DELAY + 8 * TRIAL_SPACING)
    replay.fleet[5].receive_request("/lookup/a", digest=KILLER)
    opened = replay.fleet[5].find_effect(OpenAttempt)
    assert rejects_request(replay.fleet[5])
    replay.clock.advance(RUN_TIME)
    replay.fleet[5].handle(AnswerArrived(opened.attempt, 200))
    exchange_messages(replay.fleet)
    assert not any(rejects_request(harness) for harness in replay.fleet)


def test_a_deadly_request_is_tried_a_few_times_only() -> None:
    """Guards against a deadly request that is tried minute after minute."""
    replay = Replay(8)
    for number in range(100):
        replay.send(replay.fleet[number % 8])
        replay.wait(RETRY_DELAY)
    assert len(replay.runs) <= 4
    assert replay.count_late_runs() <= MAX_LATE_RUNS


def test_an_answer_before_the_end_of_its_target_is_found_clears_a_read() -> None:
    """Guards against a read that is suspected although it has run meanwhile."""
    replay = Replay(8, CrashEvidence.LAPSE)
    harness = replay.fleet[0]
    harness.receive_request("/lookup/a", digest=POPULAR)
    opened = harness.find_effect(OpenAttempt)
    replay.lose_attempt(harness, opened.attempt)
    again = harness.find_effect(OpenAttempt)
    replay.clock.advance(RUN_TIME)
    harness.handle(AnswerArrived(again.attempt, 200))
    replay.down[opened.target] = Millis(replay.clock.now() + RESTART_DELAY)
    replay.wait(RETRY_DELAY)
    assert not harness.state.crashes.is_suspected(POPULAR)


def test_an_answer_before_the_report_of_a_crash_clears_a_read_everywhere() -> None:
    """Guards against a read that is suspected as its answer came before the report."""
    replay = Replay(8, domains=DOMAINS[:1])
    first, second = replay.fleet[:2]
    first.receive_request("/order/a", digest=POPULAR)
    lost = first.find_effect(OpenAttempt)
    replay.lose_attempt(first, lost.attempt)
    replay.clock.advance(RUN_TIME)
    second.receive_request("/order/a", digest=POPULAR)
    again = second.find_effect(OpenAttempt)
    if again.target == lost.target:
        # Send it to another target, which happens by chance in three cases of four.
        other = next(name for name in replay.registrations if name != lost.target)
        attempt = second.state.attempts[again.attempt]
        attempt.target = second.state.targets.targets[other]
    second.handle(AnswerArrived(again.attempt, 200))
    assert first.state.crashes.is_suspected(POPULAR)
    for _ in range(2):
        exchange_messages(replay.fleet)
    assert not any(
        harness.state.crashes.is_suspected(POPULAR) for harness in replay.fleet
    )


def test_calls_that_are_reset_at_the_address_of_a_crashed_target_are_no_suspects() -> (
    None
):
    """Guards against suspecting calls that came after the crash that others saw."""
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS, slots=6)
    harness.receive_request("/order/a", digest="running")
    running = harness.find_effect(OpenAttempt)
    crashed_at = harness.clock.now()
    harness.clock.advance(RUN_TIME)
    harness.receive_request("/order/a", digest="late")
    late = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    harness.clock.advance(RUN_TIME)
    lost = AttemptLost(running.attempt, Loss.BROKEN, ended=crashed_at)
    harness.handle(lost)
    harness.clock.advance(RUN_TIME)
    info = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=9)
    harness.handle(TargetRegistered(info))
    assert harness.state.crashes.is_suspected("running")
    assert not harness.state.crashes.is_suspected("late")


def test_an_answer_after_a_reset_shows_that_the_target_had_not_ended() -> None:
    """Guards against a deadly call that an earlier reset of its target excuses."""
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS, slots=6)
    for digest in ("reset", "answered", KILLER):
        harness.clock.advance(RUN_TIME)
        harness.receive_request("/order/a", digest=digest)
        opened = harness.find_effect(OpenAttempt)
        if digest == "answered":
            harness.handle(AnswerArrived(opened.attempt, 200))
        else:
            harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    harness.depart("b-1")
    assert harness.state.crashes.is_suspected(KILLER)
    assert not harness.state.crashes.is_suspected("reset")


def test_a_document_that_was_written_on_is_not_refused_at_three_crashes() -> None:
    """Guards against refusing a document before others report the guilty parts."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    parts = (("first", 100), ("document", 100), ("own", 100))
    harness.receive_request("/question/a", Prompt("m", 300, 50, 50, parts))
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 1, 2)
    harness.clock.advance(WRITING_DURATION)
    harness.send_pieces(opened.attempt, 3, 4)
    harness.handle(StreamEnded(opened.attempt))
    for number in range(3):
        harness.clock.advance(CAUTION_DURATION)
        told = Suspicion(name_part("document"), f"e-{number + 7}@1")
        harness.handle(PeerHeard("entry-2", suspicions=(told,)))
    parts = (("first", 100), ("document", 100), ("new", 100))
    harness.receive_request("/question/a", Prompt("m", 300, 50, 50, parts))
    assert harness.find_effects(Refuse) == []
    for _ in range(4):
        harness.clock.advance(CAUTION_DURATION)
        harness.handle(Ticked())
    assert len(harness.state.attempts) == 1
