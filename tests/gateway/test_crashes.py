"""Tests of requests that crash their targets, in fleets that share suspicions."""

from dataclasses import dataclass, field, replace
from enum import Enum

import pytest

from figstep.core.clock import Millis
from figstep.core.crashes import SUSPICION_DELAY, Suspicion, name_part
from figstep.core.positions import Position
from figstep.gateway import peers
from figstep.gateway.crashes import (
    LEARNING_TIME,
    LOST_RETENTION,
    MIN_RESTART_TIME,
    SHORT_ANSWER_RETENTION,
    WRITING_DURATION,
)
from figstep.gateway.culprits import REFUSED_RETRY_AFTER, SETTLING_RETRY_AFTER
from figstep.gateway.effects import (
    CheckTarget,
    Note,
    OpenAttempt,
    ProbeTarget,
    Refuse,
)
from figstep.gateway.events import (
    AnswerArrived,
    AttemptLost,
    CallerGone,
    ConfigurationRead,
    EntriesCounted,
    Loss,
    PeerHeard,
    StreamEnded,
    TargetChecked,
    TargetDeparted,
    TargetDown,
    TargetLeaving,
    TargetRegistered,
    TargetsListed,
    Ticked,
)
from figstep.gateway.news import LoadUpdates
from figstep.gateway.prompts import Prompt
from figstep.gateway.targets import Incarnation, Registration
from tests.gateway.worlds import (
    BOOKINGS,
    ENGINES,
    LOOKUP,
    EntryHarness,
    build_fleet,
    build_table,
    exchange_messages,
    start_with_backup,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a")
"""Failure domains of the entries and targets."""

KILLER = "killer"
"""Digest of the request that crashes its targets."""

RETRY_DELAY = 3_600
"""Milliseconds after which a caller sends the same request again."""

RESTART_DELAY = 3_000
"""Milliseconds for which a crashed target is down."""

PROPAGATION_DELAY = 3_000
"""Milliseconds after the third crash from which runs count as late."""

MAX_LATE_RUNS = 3
"""Number of late runs of the request that are tolerated."""


class CrashEvidence(Enum):
    """Observation that tells an entry that a target has crashed."""

    PROBE = "nobody listens at its address"
    LAPSE = "its registration goes"
    NEW_INCARNATION = "it starts again under its id"
    NEW_ID = "another id starts at its address"


@dataclass
class Replay:
    """A fleet with four targets of a service, and a read that crashes them.

    Attributes:
        size: Number of entries.
        evidence: Observation that tells the entries that a target has crashed.
        loss: Loss of the attempt that crashes a target.
        domains: Failure domains of the entries and targets.
        runs: Time and target of each run of the read.
        registrations: Newest registration of each target.
        down: Targets that are down, with the time at which they restart.
    """

    size: int = 8
    evidence: CrashEvidence = CrashEvidence.PROBE
    loss: Loss = Loss.BROKEN
    domains: tuple[str, ...] = DOMAINS
    runs: list[tuple[Millis, str]] = field(default_factory=list)
    registrations: dict[str, Registration] = field(default_factory=dict)
    down: dict[str, Millis] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.fleet = build_fleet(self.size, self.domains)
        self.clock = self.fleet[0].clock
        for number in range(4):
            domain = self.domains[number % len(self.domains)]
            name = f"b-{number}"
            self.register(Registration(name, BOOKINGS, f"{name}:80", domain, 6, born=1))
        exchange_messages(self.fleet)

    def register(self, info: Registration) -> None:
        """Start a target and register it at all entries."""
        self.registrations[info.target] = info
        for harness in self.fleet:
            harness.handle(TargetRegistered(info))

    def wait(self, millis: int) -> None:
        """Advance the clock by ``millis``; targets restart when due."""
        until = Millis(self.clock.now() + millis)
        for name, back in sorted(self.down.items(), key=lambda item: item[1]):
            if back > until:
                continue
            del self.down[name]
            self.clock.advance(max(0, back - self.clock.now()))
            self._restart(name)
        self.clock.advance(until - self.clock.now())
        for harness in self.fleet:
            harness.handle(Ticked())
        exchange_messages(self.fleet)

    def _restart(self, name: str) -> None:
        info = self.registrations.pop(name)
        born = self.clock.now()
        new = info.target
        if self.evidence is not CrashEvidence.NEW_INCARNATION:
            new = f"b-{born}-{info.failure_domain}"
        if self.evidence is CrashEvidence.LAPSE:
            for harness in self.fleet:
                harness.handle(TargetDeparted(name))
        self.register(
            Registration(new, BOOKINGS, info.address, info.failure_domain, 6, born=born)
        )

    def send(
        self, harness: EntryHarness, digest: str = KILLER, path: str = "/lookup/a"
    ) -> None:
        """Send a request that crashes targets, and follow all of its attempts."""
        harness.receive_request(path, digest=digest)
        opened = harness.find_effects(OpenAttempt)
        while opened:
            opened = self.crash_target(harness, opened[0])

    def crash_target(
        self, harness: EntryHarness, opened: OpenAttempt
    ) -> list[OpenAttempt]:
        """Crash the target of an attempt; return the attempts opened next."""
        name = opened.target
        if name not in self.registrations:
            harness.handle(AttemptLost(opened.attempt, Loss.MISDIRECTED))
            return harness.find_effects(OpenAttempt)
        if name in self.down:
            down = self.evidence is CrashEvidence.PROBE
            harness.handle(AttemptLost(opened.attempt, Loss.UNREACHED, down=down))
            return harness.find_effects(OpenAttempt)
        self.clock.advance(60)
        self.runs.append((self.clock.now(), name))
        self.down[name] = Millis(self.clock.now() + RESTART_DELAY)
        self.lose_attempt(harness, opened.attempt)
        return harness.find_effects(OpenAttempt)

    def lose_attempt(self, harness: EntryHarness, attempt: int) -> None:
        """Lose an attempt to a crash; only the effects of the loss are kept."""
        harness.handle(AttemptLost(attempt, self.loss))
        effects = list(harness.effects)
        for probe in harness.find_effects(ProbeTarget):
            if self.evidence is CrashEvidence.PROBE:
                info = self.registrations[probe.target]
                harness.handle(TargetDown(info.incarnation))
        harness.effects = effects

    def count_late_runs(self) -> int:
        """Return the number of runs begun after all entries knew of the third crash."""
        if len(self.runs) < 3:
            return 0
        known = self.runs[2][0] + PROPAGATION_DELAY
        return sum(at - 60 > known for at, _ in self.runs)


def was_rejected(harness: EntryHarness) -> bool:
    """Return whether the last request was refused because it crashes targets."""
    return any(
        effect.problem.code == "crashes_targets"
        for effect in harness.find_effects(Refuse)
    )


def rejects_request(harness: EntryHarness, digest: str = KILLER) -> bool:
    """Return whether an entry refuses a read because it crashes targets."""
    harness.receive_request("/lookup/a", digest=digest)
    return was_rejected(harness)


def retry_repeatedly(replay: Replay, times: int = 6) -> None:
    """Let the caller retry at one entry after another."""
    for number in range(times):
        replay.send(replay.fleet[number % len(replay.fleet)])
        replay.wait(RETRY_DELAY)


@pytest.mark.parametrize("size", [8, 73])
@pytest.mark.parametrize("evidence", list(CrashEvidence))
@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.GARBLED, Loss.SILENT, Loss.FAILED])
def test_a_read_that_crashes_its_targets_is_kept_away(
    size: int, evidence: CrashEvidence, loss: Loss
) -> None:
    """Guards against a read that crashes one target after another."""
    replay = Replay(size, evidence, loss)
    retry_repeatedly(replay)
    assert replay.count_late_runs() <= MAX_LATE_RUNS
    assert len(replay.runs) <= 4
    assert rejects_request(replay.fleet[5])


def test_entries_of_a_large_fleet_keep_a_read_away() -> None:
    """Guards against crashes that only one failure domain learns of."""
    replay = Replay(300)
    retry_repeatedly(replay, 3)
    assert len(replay.runs) == 2
    assert all(rejects_request(harness) for harness in replay.fleet[::37])


@pytest.mark.parametrize("loss", [Loss.REFUSED, Loss.UNREACHED])
def test_a_request_that_did_not_run_is_not_suspected(loss: Loss) -> None:
    """Guards against requests suspected for targets that never started them."""
    replay = Replay(loss=loss)
    retry_repeatedly(replay)
    assert not rejects_request(replay.fleet[5])
    assert not replay.fleet[5].state.crashes.is_suspected(KILLER)


@pytest.mark.parametrize("loss", [Loss.BROKEN, Loss.GARBLED, Loss.SILENT, Loss.FAILED])
def test_losses_at_targets_that_live_refuse_nobody(loss: Loss) -> None:
    """Guards against reads refused for resets, garbled answers or failures."""
    replay = Replay(loss=loss)
    for number in range(6):
        harness = replay.fleet[number]
        harness.receive_request("/lookup/a", digest=KILLER)
        while opened := harness.find_effects(OpenAttempt):
            harness.handle(AttemptLost(opened[0].attempt, loss))
        replay.clock.advance(100)
        for name in replay.registrations:
            answer_from(harness, name)
        replay.wait(RETRY_DELAY)
    for name in list(replay.registrations):
        for harness in replay.fleet:
            harness.handle(TargetDeparted(name))
    assert not replay.fleet[0].state.crashes.is_suspected(KILLER)


def answer_from(harness: EntryHarness, name: str) -> None:
    """Send requests to an entry until the named target has answered one."""
    for _ in range(20):
        harness.receive_request("/lookup/other")
        opened = harness.find_effect(OpenAttempt)
        harness.handle(AnswerArrived(opened.attempt, 200))
        if opened.target == name:
            return


def start_at_target(
    replay: Replay, target: str, count: int, path: str = "/lookup/a"
) -> list[tuple[EntryHarness, OpenAttempt]]:
    """Start ``count`` requests at a target, each at some entry.

    Requests that are sent to another target are answered and not returned.
    """
    found: list[tuple[EntryHarness, OpenAttempt]] = []
    number = 0
    while len(found) < count:
        harness = replay.fleet[number % len(replay.fleet)]
        harness.receive_request(path, digest=f"good-{number}")
        number += 1
        opened = harness.find_effect(OpenAttempt)
        if opened.target == target:
            found.append((harness, opened))
        else:
            harness.handle(AnswerArrived(opened.attempt, 200))
    return found


@pytest.mark.parametrize("size", [8, 73])
def test_a_read_beside_the_killer_at_two_crashes_is_served(size: int) -> None:
    """Guards against refusing a read that shared two crashed targets with another."""
    replay = Replay(size)
    first, second = replay.fleet[:2]
    first.receive_request("/lookup/a", digest=KILLER)
    killer = first.find_effect(OpenAttempt)
    [(second, good)] = start_at_target(replay, killer.target, 1)
    digest = second.state.requests[good.number].spec.digest
    for _ in range(2):
        [next_killer] = replay.crash_target(first, killer) or [None]
        replay.lose_attempt(second, good.attempt)
        again = second.find_effects(OpenAttempt)
        exchange_messages(replay.fleet)
        if next_killer is None:
            break
        killer = next_killer
        [good] = again
        if good.target != killer.target:
            # Send it to the same target, which happens by chance in one case of three.
            attempt = second.state.attempts[good.attempt]
            attempt.target = second.state.targets.targets[killer.target]
    replay.wait(RETRY_DELAY)
    harness = replay.fleet[3]
    harness.receive_request("/lookup/a", digest=digest)
    assert harness.find_effects(OpenAttempt)
    harness.handle(AnswerArrived(harness.find_effect(OpenAttempt).attempt, 200))
    retry_repeatedly(replay, 4)
    assert rejects_request(replay.fleet[3])
    assert replay.count_late_runs() <= MAX_LATE_RUNS


@pytest.mark.parametrize(
    ("size", "domains"),
    [
        (8, ("muc-a", "nue-a")),
        (8, ("muc-a",)),
        (73, ("muc-a", "nue-a")),
        (300, ("muc-a", "nue-a")),
    ],
)
def test_nobody_is_refused_after_a_failure_domain_is_lost(
    size: int, domains: tuple[str, ...]
) -> None:
    """Guards against refusing requests that ran in a failure domain that was lost."""
    replay = Replay(size, domains=domains)
    lost = [
        name
        for name, info in replay.registrations.items()
        if info.failure_domain == "muc-a"
    ]
    running: list[tuple[EntryHarness, OpenAttempt]] = []
    for number in range(80):
        harness = replay.fleet[number % len(replay.fleet)]
        harness.receive_request("/lookup/a", digest=f"good-{number}")
        running.append((harness, harness.find_effect(OpenAttempt)))
    assert sum(opened.target in lost for _, opened in running) >= 40
    # Retried requests may reach the next target just before it goes down.
    for name in lost:
        replay.down[name] = Millis(replay.clock.now() + RESTART_DELAY)
        for harness, opened in list(running):
            if opened.target != name:
                continue
            running.remove((harness, opened))
            replay.lose_attempt(harness, opened.attempt)
            running += [(harness, again) for again in harness.find_effects(OpenAttempt)]
        replay.clock.advance(30)
        exchange_messages(replay.fleet)
    for harness, opened in running[::2]:
        harness.handle(AnswerArrived(opened.attempt, 200))
    replay.wait(RETRY_DELAY)
    for number in range(80):
        harness = replay.fleet[(number + 1) % len(replay.fleet)]
        assert not rejects_request(harness, f"good-{number}")


def test_a_queued_request_is_refused_once_its_crashes_are_reported() -> None:
    """Guards against starting a queued request that is known to crash targets."""
    harness = EntryHarness()
    harness.register("e-1", slots=1)
    harness.receive_request("/question/a", Prompt("m", 100, 50, 50))
    running = harness.find_effect(OpenAttempt)
    harness.receive_request("/question/a", Prompt("m", 100, 50, 50), digest=KILLER)
    assert harness.find_effects(OpenAttempt) == []
    for number in range(2):
        suspicion = Suspicion(KILLER, f"e-{number + 7}@1")
        harness.state.crashes.record_suspicion(suspicion, harness.clock.now())
    harness.handle(AnswerArrived(running.attempt, 200))
    harness.handle(Ticked())
    assert harness.find_effects(OpenAttempt) == []
    assert was_rejected(harness)
    assert harness.find_effect(Refuse).problem.status == 503


def test_a_request_is_not_retried_once_peers_report_its_crashes() -> None:
    """Guards against a crashing request that is retried by two entries at once."""
    replay = Replay()
    first, second = replay.fleet[:2]
    first.receive_request("/lookup/a", digest=KILLER)
    first_opened = first.find_effect(OpenAttempt)
    second.receive_request("/lookup/a", digest=KILLER)
    second_opened = second.find_effect(OpenAttempt)
    if second_opened.target == first_opened.target:
        attempt = second.state.attempts[second_opened.attempt]
        other = next(
            name for name in replay.registrations if name != first_opened.target
        )
        attempt.target = second.state.targets.targets[other]
    replay.lose_attempt(first, first_opened.attempt)
    exchange_messages(replay.fleet)
    replay.lose_attempt(second, second_opened.attempt)
    exchange_messages(replay.fleet)
    assert first.state.crashes.is_refused(KILLER, replay.clock.now())
    sent = first.state.requests[first_opened.number].current
    assert sent is not None
    first.handle(AttemptLost(sent.number, Loss.REFUSED))
    assert first.find_effects(OpenAttempt) == []
    assert was_rejected(first)


def test_a_run_is_not_repeated_once_its_crashes_are_known() -> None:
    """Guards against a route with many attempts that crashes as many targets."""
    replay = Replay()
    route = replace(LOOKUP, attempts=4)
    for harness in replay.fleet:
        harness.handle(ConfigurationRead(build_table(2, [route])))
    replay.send(replay.fleet[0])
    # The repeat after the second crash is sent before that crash is known.
    assert len(replay.runs) <= 3


def test_an_entry_that_starts_again_learns_what_is_refused() -> None:
    """Guards against a restarted entry that forwards a crashing request."""
    replay = Replay(73)
    retry_repeatedly(replay, 2)
    replay.wait(20_000)
    fresh = EntryHarness(clock=replay.clock)
    fresh.state.node = "entry-new"
    fresh.state.failure_domain = replay.fleet[0].state.failure_domain
    fresh.handle(EntriesCounted(74))
    for info in replay.registrations.values():
        fresh.handle(TargetRegistered(info))
    fresh.handle(peers.describe_entry(replay.fleet[0].state, replay.clock.now()))
    assert rejects_request(fresh)


def test_entries_that_were_cut_off_learn_what_is_refused() -> None:
    """Guards against crashes that are reported only while they are recent."""
    replay = Replay(8)
    connected, isolated = replay.fleet[:4], replay.fleet[4:]
    replay.fleet = connected
    retry_repeatedly(replay, 2)
    replay.wait(4_000)
    replay.fleet = connected + isolated
    exchange_messages(replay.fleet)
    assert all(rejects_request(harness) for harness in isolated)


def test_a_caller_that_comes_again_at_once_is_refused() -> None:
    """Guards against crashes caused by retries before all entries are informed."""
    replay = Replay(8)
    replay.send(replay.fleet[0])
    exchange_messages(replay.fleet)
    for harness in replay.fleet:
        replay.send(harness)
        assert was_rejected(harness)
    assert len(replay.runs) == 2


def test_a_new_refusal_has_a_short_retry_time() -> None:
    """Guards against refusing an innocent read for long before peers can clear it."""
    replay = Replay(8)
    replay.send(replay.fleet[0])
    exchange_messages(replay.fleet)
    harness = replay.fleet[1]
    replay.send(harness)
    assert harness.find_effect(Refuse).problem.retry_after == SETTLING_RETRY_AFTER
    replay.wait(RETRY_DELAY)
    replay.send(harness)
    assert harness.find_effect(Refuse).problem.retry_after == REFUSED_RETRY_AFTER


def test_an_answer_clears_a_read_everywhere() -> None:
    """Guards against a read that stays suspected although it has completed."""
    replay = Replay(8)
    first, second = replay.fleet[:2]
    first.receive_request("/lookup/a", digest="good")
    replay.lose_attempt(first, first.find_effect(OpenAttempt).attempt)
    again = first.find_effect(OpenAttempt)
    exchange_messages(replay.fleet)
    assert second.state.crashes.is_suspected("good")
    replay.clock.advance(20)
    first.handle(AnswerArrived(again.attempt, 200))
    assert any(note.message == "request cleared" for note in first.find_effects(Note))
    exchange_messages(replay.fleet)
    assert not second.state.crashes.is_suspected("good")


def test_a_stream_that_had_begun_is_not_suspected() -> None:
    """Guards against streams suspected for a crash that another request caused."""
    harness, opened = start_with_backup()
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    harness.handle(TargetDown(Incarnation(opened.target, 1)))
    digest = f"digest-{opened.number}"
    assert not harness.state.crashes.is_suspected(digest)


def test_a_request_cut_off_by_a_leaving_target_is_not_suspected() -> None:
    """Guards against requests suspected because their target shut down."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS)
    harness.receive_request("/lookup/a", digest="good")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(TargetLeaving(Incarnation(opened.target, 1)))
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    harness.handle(TargetDown(Incarnation(opened.target, 1)))
    assert not harness.state.crashes.is_suspected("good")


def lose_read() -> tuple[EntryHarness, str]:
    """Return an entry that has lost a read at the returned target, and probed that."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS)
    harness.receive_request("/order/a", digest="good")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert harness.find_effects(ProbeTarget) == [ProbeTarget(opened.target)]
    return harness, opened.target


def count_probes(harness: EntryHarness, millis: int) -> int:
    """Return how many probes begin within some time in which nothing else happens."""
    probes = 0
    for _ in range(millis // 10):
        harness.clock.advance(Millis(10))
        harness.handle(Ticked())
        probes += len(harness.find_effects(ProbeTarget))
    return probes


def test_a_target_is_probed_again_until_it_is_known_to_have_ended() -> None:
    """Guards against an end that one early probe does not find."""
    harness, lost_at = lose_read()
    assert count_probes(harness, 190) == 0
    assert count_probes(harness, 10) == 1
    assert count_probes(harness, 400) == 1
    harness.handle(TargetDown(Incarnation(lost_at, 1)))
    assert harness.state.crashes.is_suspected("good")
    assert count_probes(harness, 10_000) == 0


def test_a_target_that_goes_on_is_probed_a_few_times_only() -> None:
    """Guards against probes without end of a target that breaks off one answer."""
    harness, _lost_at = lose_read()
    assert 3 <= count_probes(harness, 60_000) <= 6


def test_a_target_that_answers_is_probed_no_more() -> None:
    """Guards against probes of targets that are known to live."""
    harness, lost_at = lose_read()
    harness.clock.advance(Millis(10))
    answer_from(harness, lost_at)
    assert count_probes(harness, 10_000) == 0


@pytest.mark.parametrize("refused", [False, True])
def test_a_refused_check_shows_that_a_target_ended(refused: bool) -> None:
    """Guards against ends that are found only once a request is sent there."""
    harness, lost_at = lose_read()
    harness.clock.advance(Millis(1))
    check_refused(harness, lost_at, harness.clock.now(), refused)
    assert harness.state.crashes.is_suspected("good") is refused


def check_refused(
    harness: EntryHarness, name: str, opened: Millis, refused: bool = True
) -> None:
    """Let a check of the first incarnation of a target fail."""
    refusing = Incarnation(name, 1) if refused else None
    harness.handle(TargetChecked(name, opened, False, None, refusing))


class LateResult(Enum):
    """What refuses a connection while the entry is cut off, and is known later."""

    CHECK = "check"
    PROBE = "probe"


@pytest.mark.parametrize("result", list(LateResult))
def test_a_refusal_during_a_cut_shows_no_end(result: LateResult) -> None:
    """Guards against suspecting what an entry lost as it was cut off."""
    harness, lost_at = lose_read()
    [other] = {"b-1", "b-2"} - {lost_at}
    harness.reachable = False
    harness.clock.advance(Millis(10))
    for name in (lost_at, other):
        check_refused(harness, name, harness.clock.now(), refused=False)
    assert harness.state.is_cut_off
    harness.clock.advance(Millis(500))
    opened = harness.clock.now()
    harness.clock.advance(Millis(2))
    harness.handle(TargetChecked(other, harness.clock.now(), True, None))
    harness.clock.advance(Millis(1))
    if result is LateResult.CHECK:
        check_refused(harness, lost_at, opened)
    else:
        harness.handle(TargetDown(Incarnation(lost_at, 1), opened))
    harness.clock.advance(Millis(5))
    harness.handle(TargetChecked(other, harness.clock.now(), True, None))
    assert not harness.state.crashes.is_suspected("good")


def test_a_refused_check_of_an_earlier_incarnation_shows_no_end() -> None:
    """Guards against an end recorded for a process that started meanwhile."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS)
    opened = harness.clock.now()
    harness.clock.advance(Millis(3))
    info = Registration("b-1", BOOKINGS, "b-1:9999", "muc-a", 6, born=5_000)
    harness.handle(TargetRegistered(info))
    harness.handle(TargetChecked("b-2", harness.clock.now(), True, None))
    check_refused(harness, "b-1", opened)
    target = harness.state.targets.find("b-1")
    assert target is not None
    assert target.ended_at is None


def test_a_target_that_rejects_connections_has_not_crashed() -> None:
    """Guards against reads refused for targets that have too many connections."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", "b-3", service=BOOKINGS)
    harness.receive_request("/lookup/a", digest="good")
    first = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(first.attempt, Loss.BROKEN))
    harness.handle(TargetDown(Incarnation(first.target, 1)))
    assert harness.state.crashes.is_suspected("good")
    harness.clock.advance(MIN_RESTART_TIME - 1)
    for name in {"b-1", "b-2", "b-3"} - {first.target}:
        harness.depart(name)
    answer_from(harness, first.target)
    assert not harness.state.crashes.is_suspected("good")


def test_a_target_that_ends_much_later_has_not_crashed() -> None:
    """Guards against reads suspected for an unrelated later end of their target."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS)
    harness.receive_request("/lookup/a", digest="good")
    opened = harness.find_effect(OpenAttempt)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    harness.clock.advance(LOST_RETENTION)
    harness.handle(TargetDeparted(opened.target))
    assert not harness.state.crashes.is_suspected("good")


def test_a_caller_that_leaves_is_suspected_like_others() -> None:
    """Guards against a crashing request whose caller left before the crash is known."""
    harness = EntryHarness()
    harness.register("b-1", "b-2", service=BOOKINGS)
    number = harness.receive_request("/lookup/a", digest=KILLER)
    opened = harness.find_effect(OpenAttempt)
    harness.handle(CallerGone(number))
    harness.handle(TargetDeparted(opened.target))
    assert harness.state.crashes.is_suspected(KILLER)


def test_a_prompt_that_crashes_engines_is_kept_away() -> None:
    """Guards against a prompt that crashes one engine after another."""
    harness = EntryHarness()
    for number in range(4):
        info = Registration(
            f"e-{number}", ENGINES, f"e-{number}:80", DOMAINS[number], 64, born=1
        )
        harness.handle(TargetRegistered(info))
    runs = 0
    for _ in range(4):
        harness.receive_request("/question/a", Prompt("m", 500, 50, 50), digest=KILLER)
        while opened := harness.find_effects(OpenAttempt):
            runs += 1
            harness.handle(AttemptLost(opened[0].attempt, Loss.BROKEN))
            effects = harness.effects
            harness.handle(TargetDown(Incarnation(opened[0].target, 1)))
            harness.effects = effects
        harness.clock.advance(RETRY_DELAY)
    assert runs == 2


def test_prompts_with_one_path_and_body_are_not_refused_for_each_other() -> None:
    """Guards against prompts that are taken for the request that crashes engines."""
    harness = EntryHarness()
    for number in range(3):
        harness.state.crashes.record_suspicion(
            Suspicion(f"{KILLER} guilty", f"e-{number}@1"), harness.clock.now()
        )
    harness.clock.advance(Millis(5_000))
    for name in ("guilty", "sound"):
        prompt = Prompt("m", 400, 2_000, 200, (("first", 200), (name, 200)))
        harness.receive_request("/plan/a", prompt, digest=KILLER)
        assert was_rejected(harness) == (name == "guilty")


def test_old_suspicions_are_left_out_of_partial_messages() -> None:
    """Guards against old crashes repeated in each message of a large fleet."""
    replay = Replay(73)
    retry_repeatedly(replay, 2)
    replay.wait(RETRY_DELAY)
    news = LoadUpdates()
    now = replay.clock.now()
    own = peers.describe_entry(replay.fleet[0].state, now)
    assert news.select(own, now).suspicions == own.suspicions != ()
    assert news.select(own, Millis(now + 1)).suspicions == ()


GUILTY_PARTS = (("first", 100), ("guilty", 100), ("own", 100))


def start_prompt(harness: EntryHarness) -> OpenAttempt:
    """Start a prompt with a part that is suspected."""
    prompt = Prompt("m", 300, 50, 50, GUILTY_PARTS)
    harness.receive_request("/question/a", prompt)
    return harness.find_effect(OpenAttempt)


def answer_shortly() -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry with a whole short answer to a prompt with a suspected part."""
    harness = EntryHarness()
    harness.register("e-1")
    now = harness.clock.now()
    suspicion = Suspicion(name_part("guilty"), "e-9@1", Millis(10))
    harness.state.crashes.record_suspicion(suspicion, now)
    opened = start_prompt(harness)
    harness.clock.advance(100)
    harness.send_pieces(opened.attempt, 1, 2)
    harness.handle(StreamEnded(opened.attempt))
    return harness, opened


def test_a_short_answer_clears_its_parts_once_its_engine_lives_on() -> None:
    """Guards against a part that is cleared just before it crashes its engine."""
    harness, opened = answer_shortly()
    assert harness.state.crashes.is_suspected(name_part("guilty"))
    harness.clock.advance(WRITING_DURATION)
    harness.handle(Ticked())
    checked = {one.target for one in harness.find_effects(CheckTarget)}
    assert opened.target in checked
    assert not harness.state.crashes.is_suspected(name_part("guilty"))
    assert harness.state.short_answers == []


def test_a_short_answer_whose_engine_has_ended_makes_its_parts_suspects() -> None:
    harness, opened = answer_shortly()
    harness.reachable = False
    harness.clock.advance(WRITING_DURATION)
    harness.handle(Ticked())
    asked = harness.clock.now()
    harness.handle(TargetChecked(opened.target, asked, reached=False))
    assert name_part("guilty") in harness.state.targets.targets[opened.target].lost


@pytest.mark.parametrize("lives", [False, None])
def test_an_accepted_connection_clears_no_parts(lives: bool | None) -> None:
    """Guards against a crashed engine whose address lives on and clears its parts."""
    harness, opened = answer_shortly()
    harness.reachable = False
    harness.clock.advance(WRITING_DURATION)
    harness.handle(Ticked())
    asked = harness.clock.now()
    harness.handle(TargetChecked(opened.target, asked, True, lives))
    assert harness.state.crashes.is_suspected(name_part("guilty"))


def start_unsuspected() -> tuple[EntryHarness, OpenAttempt]:
    """Return an entry with engines that knows of no crash, and an open prompt."""
    harness = EntryHarness(reachable=False)
    harness.register("e-1")
    return harness, start_prompt(harness)


def crash_with_part(harness: EntryHarness, count: int) -> bool:
    """Report crashes with the part, a second apart; return whether it is refused."""
    for number in range(count):
        harness.clock.advance(1_000)
        for subject in (f"digest {number}", name_part("guilty")):
            told = Suspicion(subject, f"e-{number + 10}@1")
            harness.handle(PeerHeard("entry-2", suspicions=(told,)))
    harness.clock.advance(SUSPICION_DELAY)
    harness.receive_request("/question/a", Prompt("m", 300, 50, 50, GUILTY_PARTS))
    return was_rejected(harness)


@pytest.mark.parametrize("count", [4, 5])
@pytest.mark.parametrize("gone", [False, True], ids=["lost", "caller gone"])
def test_a_part_that_was_written_on_until_a_loss_counts_as_answered(
    gone: bool, count: int
) -> None:
    """Guards against a document refused as its long streams are never whole."""
    harness, opened = start_unsuspected()
    harness.send_pieces(opened.attempt, 1, 1)
    harness.clock.advance(WRITING_DURATION)
    harness.send_pieces(opened.attempt, 2, 2)
    if gone:
        harness.handle(CallerGone(opened.number))
    else:
        harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    assert crash_with_part(harness, count) == (count == 5)


@pytest.mark.parametrize("count", [4, 5])
def test_the_part_of_a_running_stream_counts_as_answered(count: int) -> None:
    """Guards against a document refused though its stream goes on after the crashes."""
    harness, opened = start_unsuspected()
    told = Suspicion(name_part("guilty"), "e-9@1")
    harness.handle(PeerHeard("entry-2", suspicions=(told,)))
    harness.send_pieces(opened.attempt, 1, 1)
    harness.clock.advance(WRITING_DURATION)
    harness.send_pieces(opened.attempt, 2, 2)
    harness.handle(Ticked())
    assert crash_with_part(harness, count) == (count == 5)


class Outlived(Enum):
    """What comes from the engine of a short answer after that."""

    STREAM = "a stream that was asked for later"
    EARLY = "a stream that was asked for too early"
    REFUSAL = "a refusal, which may come from another process at its address"
    END = "its end, and a stream at its address"


@pytest.mark.parametrize("outlived", list(Outlived))
def test_a_short_answer_counts_only_if_its_engine_outlives_it(
    outlived: Outlived,
) -> None:
    """Guards against documents of short answers refused, and deadly ones that count."""
    harness, opened = start_unsuspected()
    harness.send_pieces(opened.attempt, 1, 2)
    harness.handle(StreamEnded(opened.attempt))
    early = outlived is Outlived.EARLY
    harness.clock.advance(WRITING_DURATION - early)
    harness.receive_request("/question/a", Prompt("m", 300, 50, 50))
    later = harness.find_effect(OpenAttempt)
    assert later.target == opened.target
    if outlived is Outlived.END:
        harness.handle(TargetDown(Incarnation(opened.target, 1)))
    if outlived is Outlived.REFUSAL:
        harness.handle(AttemptLost(later.attempt, Loss.REFUSED))
    else:
        harness.send_pieces(later.attempt, 1, 1)
    assert crash_with_part(harness, 3) == (outlived is not Outlived.STREAM)


def test_short_answers_are_forgotten_if_their_engine_is_gone() -> None:
    """Guards against a list of answers that grows with each engine that goes."""
    harness, _opened = answer_shortly()
    harness.reachable = False
    harness.clock.advance(WRITING_DURATION)
    harness.handle(Ticked())
    harness.clock.advance(SHORT_ANSWER_RETENTION)
    harness.handle(Ticked())
    assert harness.state.short_answers == []


def test_an_end_that_another_entry_found_is_no_cut() -> None:
    """Guards against an entry that passes all on as engines end one after another."""
    harness = EntryHarness(reachable=False)
    harness.register("e-1", "e-2", "e-3", "e-4")
    for name in ("e-1", "e-2", "e-3"):
        told = (Suspicion("killer", f"{name}@1"),)
        harness.handle(PeerHeard("entry-2", suspicions=told))
        opened = harness.clock.now()
        harness.clock.advance(2)
        harness.handle(TargetChecked(name, opened, reached=False))
    assert not harness.state.is_cut_off
    assert start_prompt(harness).target == "e-4"


@pytest.mark.parametrize("from_older_copy", [False, True])
def test_a_restart_shows_by_the_order_of_records_if_clocks_were_set_back(
    from_older_copy: bool,
) -> None:
    """Guards against a crash that a clock hides, and one taken from an older record."""
    harness = EntryHarness()
    harness.register("b-1", service=BOOKINGS, slots=6)
    harness.handle(TargetsListed(tuple(list_registrations(harness)), Position(1, 9)))
    harness.receive_request("/lookup/a", digest=KILLER)
    harness.handle(AttemptLost(harness.find_effect(OpenAttempt).attempt, Loss.BROKEN))
    info = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=-60_000)
    if from_older_copy:
        harness.handle(TargetsListed((info,), Position(2, 3)))
    else:
        harness.handle(TargetRegistered(info))
    assert harness.state.crashes.is_suspected(KILLER) is not from_older_copy


def list_registrations(harness: EntryHarness) -> list[Registration]:
    return [target.info for target in harness.state.targets.targets.values()]


def test_a_new_process_learns_from_an_older_one_what_was_answered() -> None:
    """Guards against new processes that bear deadly parts beside ones that know."""
    older, newer = EntryHarness(), EntryHarness()
    newer.state.node = "entry-2"
    newer.state.budget.started = newer.clock.now()
    newer.state.budget.first_start = False
    newer.handle(Ticked())
    assert not newer.state.crashes.knows_answers
    newer.handle(peers.describe_entry(older.state, older.clock.now()))
    assert newer.state.crashes.knows_answers
    newer.handle(replace(peers.describe_entry(older.state, Millis(0)), closing=True))
    newer.handle(Ticked())
    assert not newer.state.crashes.knows_answers
    newer.clock.advance(LEARNING_TIME)
    newer.handle(Ticked())
    assert newer.state.crashes.knows_answers


def test_processes_that_started_together_teach_each_other_nothing() -> None:
    """Guards against a fleet that takes its restart for knowledge of the past."""
    fleet = [EntryHarness(), EntryHarness()]
    for number, entry in enumerate(fleet):
        entry.state.node = f"entry-{number}"
        entry.state.budget.started = entry.clock.now()
        entry.state.budget.first_start = False
    for entry, other in zip(fleet, reversed(fleet), strict=True):
        entry.handle(peers.describe_entry(other.state, other.clock.now()))
        assert not entry.state.crashes.knows_answers


@pytest.mark.parametrize("found", [False, True])
def test_answers_of_the_past_are_known_where_there_is_no_past(found: bool) -> None:
    """Guards against settings that state a first start at a later one."""
    entry = EntryHarness()
    entry.state.budget.started = entry.clock.now()
    entry.state.history.found = found
    entry.handle(Ticked())
    assert entry.state.crashes.knows_answers is not found


def send_to(harness: EntryHarness, name: str, path: str, digest: str) -> OpenAttempt:
    """Send a request to an entry, which sends it to the named target."""
    harness.receive_request(path, digest=digest)
    return send_on(harness, name)


def send_on(harness: EntryHarness, name: str) -> OpenAttempt:
    """Let the attempt that was just opened be at the named target."""
    opened = harness.find_effect(OpenAttempt)
    attempt = harness.state.attempts[opened.attempt]
    attempt.target = harness.state.targets.targets[name]
    return opened


def end_targets(replay: Replay, *names: str) -> None:
    """End targets on which the first entry has an order each, half a second ago.

    Their addresses go on to accept connections, and reset them.
    """
    first = replay.fleet[0]
    for name in names:
        opened = send_to(first, name, f"/order/{name}", f"order-{name}")
        first.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    exchange_messages(replay.fleet)
    replay.wait(500)


def restart_targets(replay: Replay, *names: str) -> None:
    """Register the targets again, a second later, which shows that they ended."""
    exchange_messages(replay.fleet)
    replay.wait(1_000)
    for name in names:
        born = replay.clock.now()
        replay.register(replace(replay.registrations[name], born=born))
    replay.wait(SUSPICION_DELAY)


@pytest.mark.parametrize("number", [0, 1])
def test_a_read_that_met_only_addresses_of_ended_targets_is_served(number: int) -> None:
    """Guards against a read refused for targets that ended before it was sent.

    It comes to the entry that has lost requests there, or to another one.
    """
    replay = Replay(2, domains=DOMAINS[:1])
    end_targets(replay, "b-0", "b-1")
    harness = replay.fleet[number]
    late = send_to(harness, "b-0", "/lookup/a", "late")
    harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    late = send_on(harness, "b-1")
    harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    restart_targets(replay, "b-0", "b-1")
    assert replay.fleet[0].state.crashes.is_suspected("order-b-0")
    assert not any(rejects_request(entry, "late") for entry in replay.fleet)


@pytest.mark.parametrize("number", [0, 1])
def test_a_read_that_was_at_one_end_and_one_dead_address_is_served(number: int) -> None:
    """Guards against a dead address that counts as the second crash of a read."""
    replay = Replay(2, domains=DOMAINS[:1])
    end_targets(replay, "b-0")
    harness = replay.fleet[number]
    late = send_to(harness, "b-0", "/lookup/a", "late")
    harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    late = send_on(harness, "b-1")
    replay.clock.advance(100)
    harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    restart_targets(replay, "b-0", "b-1")
    assert replay.fleet[0].state.crashes.is_suspected("late")
    assert not any(rejects_request(entry, "late") for entry in replay.fleet)


@pytest.mark.parametrize("is_lost_first", [True, False])
def test_a_read_at_a_dead_address_is_no_suspect_once_the_end_is_found(
    is_lost_first: bool,
) -> None:
    """Guards against a read suspected as its end is dated by when that was found.

    The entry itself had lost an order there before it sent the read. The address keeps
    the read open until the end is found, or for longer.
    """
    replay = Replay(1)
    [harness] = replay.fleet
    end_targets(replay, "b-0")
    late = send_to(harness, "b-0", "/lookup/a", "late")
    if is_lost_first:
        harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    replay.wait(300)
    harness.handle(TargetDown(replay.registrations["b-0"].incarnation))
    replay.wait(100)
    if not is_lost_first:
        harness.handle(AttemptLost(late.attempt, Loss.BROKEN))
    assert harness.state.crashes.is_suspected("order-b-0")
    assert not harness.state.crashes.is_suspected("late")
