"""Tests of choosing a target and of the limits on its load."""

import random
from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.configuration import apply_inventory, set_policy
from figstep.core.effects import OpenAttempt, Refuse
from figstep.core.events import (
    LoadReported,
    QueueTimer,
    RequestArrived,
    TimerFired,
    TokensArrived,
)
from figstep.core.inventory import EngineInfo, Inventory, Rules
from figstep.core.pacing import Footprint, GapRegression, Pace
from figstep.core.policies import POLICIES, Figstep
from figstep.core.reducer import reduce
from figstep.core.routing import choose_subset, has_capacity, has_loaded
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import State, TargetState
from figstep.core.targets import estimate_others_running, record_loss
from tests.core.entries import Entry, make_inventory

INFO = EngineInfo("e1", "", "muc-a", ("m",), memory_tokens=1_000, max_running=8)


def make_state(*speeds: float, policy: str = "figstep") -> State:
    engines = tuple(
        replace(INFO, name=f"e{number}", speed=speed)
        for number, speed in enumerate(speeds, 1)
    )
    state = State("n1", rng=random.Random(1))
    apply_inventory(state, Inventory(engines=engines, rules=Rules(routing=policy)))
    return state


def start(state: State, name: str, prompt: int = 10, now: int = 1_000) -> str:
    """Let a request arrive and return its target, or "" if it does not start."""
    spec = RequestSpec(name, "c", GenerationWork("m", prompt), digest=name)
    for effect in reduce(state, RequestArrived(spec), Millis(now)):
        if isinstance(effect, OpenAttempt):
            return effect.target
    return ""


def make_footprint(held: int, mean: float = 0.0) -> Footprint:
    return Footprint(held, mean, 0.0, 1, Millis(0))


@pytest.mark.parametrize(
    ("running", "held", "others", "added", "room"),
    [
        (0, 0, 0, 5_000, True),  # an empty target accepts any request
        (1, 500, 0, 400, True),
        (1, 500, 0, 600, False),
        (4, 400, 4, 10, False),  # its batch is full
        (1, 100, 2, 100, True),
        (1, 100, 2, 900, False),
    ],
)
def test_memory_and_batch_bound_what_a_target_is_given(
    running: int, held: int, others: float, added: int, room: bool
) -> None:
    target = TargetState(INFO, pace=Pace(running=running, held=held))
    footprint = make_footprint(added)
    assert has_capacity(Figstep(), target, footprint, others) is room


def test_faster_target_is_filled_until_its_gap_is_no_better() -> None:
    state = make_state(1.0, 4.0)
    set_policy(state, Figstep(memory=False))
    targets = [start(state, f"r{number}") for number in range(10)]
    assert targets[0] == "e2"
    assert targets.count("e2") > targets.count("e1")


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_leaving_target_is_given_nothing(name: str) -> None:
    state = make_state(1.0, 1.0, 1.0, policy=name)
    state.targets["e2"].leaving = True
    assert "e2" not in [start(state, f"r{number}") for number in range(9)]


def test_requests_are_queued_while_targets_are_full() -> None:
    state = make_state(1.0)
    assert start(state, "first", prompt=900) == "e1"
    assert start(state, "second", prompt=900) == ""
    assert len(state.queue) == 1


def test_request_that_cannot_start_in_time_is_refused_at_once() -> None:
    """Guards against a caller that waits until its deadline for a refusal.

    The queue already holds more work than can start before the deadline. The caller
    learns on arrival that nothing ran and when to retry.
    """
    state = make_state(1.0)
    start(state, "running", prompt=900)
    for number in range(1, 31):
        spec = RequestSpec("x", "c", GenerationWork("m"))
        state.queue.charge(spec, 10.0, 1.0, Millis(number * 1_000))
    now = Millis(30_000)
    refusals: list[Refuse] = []
    for number in range(10):
        spec = RequestSpec(f"r{number}", "c", GenerationWork("m", 900), digest="d")
        effects = reduce(state, RequestArrived(spec), now)
        refusals += [e for e in effects if isinstance(e, Refuse)]
    assert refusals
    waits = [r.problem.retry_after or 0 for r in refusals]
    assert all(r.problem.ran.value == "no" for r in refusals)
    assert min(waits) >= 1_000
    assert len(set(waits)) == len(waits)  # spread, so that callers don't retry at once


def test_lost_attempts_make_a_target_avoided_for_a_growing_time() -> None:
    target = TargetState(INFO)
    pauses = []
    for _ in range(8):
        record_loss(target, Millis(0))
        pauses.append(target.pace.avoid_until)
    assert pauses == sorted(pauses)
    assert pauses[0] == 500
    assert pauses[-1] == 8_000


def test_old_report_is_corrected_by_what_was_added_since() -> None:
    """Guards against entries that together overfill a target after the same report.

    Several entries learn of the same free capacity from one late report. Each therefore
    assumes that the others have added as much as it added itself.
    """
    state = make_state(1.0)
    set_policy(state, Figstep(memory=False))
    target = state.targets["e1"]
    start(state, "r1", now=1_000)
    report = LoadReported("e1", running=4, memory_total=1_000, age=Millis(900))
    reduce(state, report, Millis(3_000))
    assert estimate_others_running(target, Millis(3_000)) == 3
    start(state, "r2", now=3_100)
    assert estimate_others_running(target, Millis(3_100)) == 6
    assert estimate_others_running(target, Millis(60_000)) == 0  # too old to be used
    target.peers_in_flight = 5
    assert estimate_others_running(target, Millis(3_100)) == 5


def test_ledger_follows_tokens_and_empties_with_the_last_attempt() -> None:
    state = make_state(1.0)
    start(state, "r1", prompt=100)
    attempt = next(iter(state.attempts.values()))
    for index in range(1, 101):
        event = TokensArrived(attempt.attempt, attempt.generation, index, [b""])
        reduce(state, event, Millis(1_000 + 30 * index))
    pace = state.targets["e1"].pace
    assert 190 <= pace.held <= 200
    assert pace.gaps.predict(1.0) == pytest.approx(30, rel=0.35)


def test_gap_line_learns_slope_and_change_of_speed() -> None:
    line = GapRegression()
    line.start(1.0)
    for _ in range(50):
        for running in (2.0, 10.0, 20.0):
            line.add_sample(running, 10.0 + 2.0 * running)
    assert line.predict(15.0) == pytest.approx(40.0, rel=0.1)
    for _ in range(200):
        line.add_sample(10.0, 300.0)
    assert line.predict(10.0) > 250.0


def test_limit_falls_by_a_share_and_rises_by_little() -> None:
    pace = Pace()
    pace.adapt_limit(200.0, 60.0, 20.0, Millis(5_000))
    lowered = pace.limit
    pace.adapt_limit(200.0, 60.0, 20.0, Millis(5_100))
    assert pace.limit == lowered == pytest.approx(17.0)
    pace.adapt_limit(30.0, 60.0, 17.0, Millis(5_200))
    assert lowered < pace.limit < lowered + 0.1


def test_subset_is_stable_spread_and_differs_between_entries() -> None:
    targets = []
    for number in range(90):
        info = replace(INFO, name=f"e{number}", failure_domain=f"d{number % 9}")
        targets.append(TargetState(info))
    chosen = choose_subset("n1", targets, 18)
    domains = [target.info.failure_domain for target in chosen]
    assert all(domains.count(f"d{number}") == 2 for number in range(9))
    gone = chosen[0]
    others = [target for target in targets if target is not gone]
    again = choose_subset("n1", others, 18)
    kept = {t.info.name for t in again} & {t.info.name for t in chosen}
    assert len(kept) == 17
    different = {t.info.name for t in choose_subset("n2", targets, 18)}
    assert different != {t.info.name for t in chosen}


@pytest.mark.parametrize(
    ("reported", "loaded"),
    [
        ((), True),
        (("m@1",), True),
        (("m@2", "other@1"), True),
        (("other@1",), False),
        (("mm@1", "m+menus"), False),
    ],
)
def test_an_engine_without_the_model_gets_no_request(
    reported: tuple[str, ...], loaded: bool
) -> None:
    """Guards against requests sent to an engine from which a model was unloaded.

    Orders have moved the model, but the inventory still allows it there. The engine
    would refuse each request, and its caller would wait for a second attempt elsewhere.
    """
    engine = EngineInfo("e1", "http://x", "muc-a", ("m", "other"))
    target = TargetState(engine, models=reported)
    assert has_loaded(target, RequestSpec("r", "c", GenerationWork("m"))) is loaded


def test_a_new_incarnation_ends_the_pause_after_losses() -> None:
    """Guards against callers queued while a restarted engine is idle.

    An engine crashes, is avoided for some time, and restarts at once. Its avoidance
    period was meant for the incarnation that ended.
    """
    entry = Entry(inventory=make_inventory(engines=1))
    entry.feed(LoadReported("e1", incarnation=1))
    record_loss(entry.state.targets["e1"], entry.now)
    spec = RequestSpec("r1", "demo", GenerationWork("m"))
    entry.feed(RequestArrived(spec))
    assert entry.find_effects(OpenAttempt) == []
    entry.feed(LoadReported("e1", incarnation=2))
    entry.feed(TimerFired(QueueTimer()))
    assert len(entry.find_effects(OpenAttempt)) == 1
