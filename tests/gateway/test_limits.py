"""Tests of the rate limits that targets report in their answers."""

from collections.abc import Sequence

import pytest

from figstep.core.clock import Millis
from figstep.gateway import limits, peers
from figstep.gateway.effects import Announce, CopyRun, Note, OpenAttempt, Refuse
from figstep.gateway.events import (
    AnswerArrived,
    AttemptLost,
    Loss,
    RateNamed,
    RunCopied,
    TargetDeparted,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.news import LoadUpdates
from figstep.gateway.targets import Registration
from tests.gateway.worlds import (
    BOOKINGS,
    EntryHarness,
    build_copy,
    build_fleet,
    exchange_messages,
    start_with_backup,
)

DOMAINS = ("muc-a", "muc-b", "nue-a", "aug-a", "rgb-a", "wue-a")
RATE = 1.9
"""Requests a second that the target names."""

WINDOW = Millis(4_000)
"""Length of the window in which requests are counted, in milliseconds."""

MAX_IN_WINDOW = 1.5 * RATE * WINDOW / 1_000 + 5
"""Requests that a target can handle in a window, 1.5 times its rate and 5 more."""

MIN_IN_WINDOW = RATE * WINDOW / 1_000 / 2
"""Requests that a target should get in a window while callers wait for it."""

SETTLING_DURATION = 3_000
"""Milliseconds after which a newly reported rate binds."""


def report_rate(harness: EntryHarness, rate: float | None, target: str = "b-1") -> None:
    """Let an answer to a request sent now report a rate."""
    harness.handle(RateNamed(target, rate, harness.clock.now()))


def build_harness(*names: str) -> EntryHarness:
    """Return an entry with plain targets."""
    harness = EntryHarness()
    harness.register(*names, service=BOOKINGS, slots=6)
    return harness


def build_limited_fleet(size: int, domains: Sequence[str]) -> list[EntryHarness]:
    """Return entries that know each other and one target."""
    fleet = build_fleet(size, domains)
    for harness in fleet:
        harness.register("b-1", service=BOOKINGS, slots=6)
    exchange_messages(fleet)
    return fleet


def run_fleet(
    fleet: list[EntryHarness], seconds: int, calls_per_second: int, rate: float | None
) -> list[Millis]:
    """Send calls to all entries and return when they were sent on.

    Args:
        fleet: The entries.
        seconds: Duration of the run.
        calls_per_second: Calls a second to each entry.
        rate: Rate that each answer reports, None for no limit.
    """
    sent: list[Millis] = []
    clock = fleet[0].clock
    for _ in range(seconds * calls_per_second):
        for harness in fleet:
            harness.receive_request("/order/a")
            sent += answer_opened(harness, rate)
            harness.handle(Ticked())
            sent += answer_opened(harness, rate)
        clock.advance(1_000 // calls_per_second)
        exchange_messages(fleet)
    return sent


def answer_opened(harness: EntryHarness, rate: float | None) -> list[Millis]:
    """Answer the attempts just opened; return the present time once for each."""
    now = harness.clock.now()
    opened = harness.find_effects(OpenAttempt)
    for attempt in opened:
        report_rate(harness, rate)
        harness.handle(AnswerArrived(attempt.attempt, 200))
    return [now] * len(opened)


def count_busiest(sent: list[Millis], since: int) -> int:
    """Return the largest number of requests in a window that ends after ``since``."""
    counts = [0]
    for end in sent:
        if end >= since:
            counts.append(sum(end - WINDOW < at <= end for at in sent))
    return max(counts)


@pytest.mark.parametrize(
    ("size", "domains"),
    [(8, DOMAINS[:1]), (8, DOMAINS[:4]), (24, DOMAINS), (73, DOMAINS[:4])],
)
def test_a_fleet_keeps_to_the_rate_that_a_target_names(
    size: int, domains: Sequence[str]
) -> None:
    """Guards against entries that each send a limited target its whole rate."""
    fleet = build_limited_fleet(size, domains)
    sent = run_fleet(fleet, 1, 1, None)
    named_at = fleet[0].clock.now()
    for harness in fleet:
        report_rate(harness, RATE)
    sent += run_fleet(fleet, 17, 2, RATE)
    busiest = count_busiest(sent, named_at + SETTLING_DURATION)
    assert MIN_IN_WINDOW <= busiest <= MAX_IN_WINDOW


@pytest.mark.parametrize("seed", range(5))
def test_a_rate_counts_what_came_before_it_was_named(seed: int) -> None:
    """Guards against a rate granted on top of the load that caused the limit."""
    fleet = build_limited_fleet(8, DOMAINS[:4])
    for number, harness in enumerate(fleet):
        harness.state.rng.seed(seed * 100 + number)
    sent = run_fleet(fleet, 12, 1, None)
    named_at = fleet[0].clock.now()
    sent += run_fleet(fleet, 17, 1, RATE)
    assert count_busiest(sent, named_at + SETTLING_DURATION) <= MAX_IN_WINDOW


@pytest.mark.parametrize("size", [8, 73])
def test_a_rate_reported_to_one_entry_reaches_the_others(size: int) -> None:
    """Guards against entries that learn of a rate only from the target itself."""
    fleet = build_limited_fleet(size, DOMAINS[:4])
    report_rate(fleet[0], RATE)
    exchange_messages(fleet)
    exchange_messages(fleet)
    known = [harness.state.targets.targets["b-1"].limit for harness in fleet]
    assert [limit.rate for limit in known if limit is not None] == [RATE] * size


def test_load_goes_to_targets_that_name_no_rate() -> None:
    """Guards against calls that wait for a limited target although others are free."""
    harness = build_harness("b-1", "b-2")
    report_rate(harness, 0.5)
    chosen = []
    for _ in range(10):
        harness.receive_request("/order/a")
        chosen.append(harness.find_effect(OpenAttempt).target)
    assert chosen.count("b-1") <= 2


def test_a_call_is_refused_at_once_if_no_target_accepts_it_in_time() -> None:
    """Guards against callers that wait in vain when all targets are limited."""
    harness = build_harness("b-1")
    for _ in range(40):
        harness.receive_request("/order/a")
    report_rate(harness, RATE)
    harness.clock.advance(10)
    harness.receive_request("/order/a")
    problem = harness.find_effect(Refuse).problem
    assert problem.status == 503
    assert problem.retry_after is not None


def test_a_target_below_its_rate_still_gets_calls() -> None:
    """Guards against a service that stops when all of its targets report rates."""
    harness = build_harness("b-1")
    report_rate(harness, 25.0)
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_a_rate_limit_ends_with_an_answer_that_names_no_rate() -> None:
    """Guards against a target that stays limited long after a short overload."""
    harness = build_harness("b-1")
    report_rate(harness, 0.5)
    harness.clock.advance(1)
    report_rate(harness, None)
    assert harness.find_effect(Announce)
    for _ in range(10):
        harness.receive_request("/order/a")
        assert harness.find_effect(OpenAttempt)


def test_an_answer_to_an_earlier_request_does_not_end_a_rate_limit() -> None:
    """Guards against answers that arrive in another order than they were requested."""
    harness = build_harness("b-1")
    requested_at = harness.clock.now()
    harness.clock.advance(30)
    report_rate(harness, 0.5)
    harness.clock.advance(1)
    harness.handle(RateNamed("b-1", None, requested_at))
    limit = harness.state.targets.targets["b-1"].limit
    assert limit is not None
    assert limit.rate == 0.5


def test_an_older_report_of_a_peer_does_not_restore_a_rate_limit() -> None:
    """Guards against a peer that does not know yet that a limit has ended."""
    first, second = build_limited_fleet(2, DOMAINS[:1])
    report_rate(first, 0.5)
    first.clock.advance(50)
    exchange_messages([first, second])
    report_rate(second, None)
    first.clock.advance(50)
    exchange_messages([first, second])
    known = [harness.state.targets.targets["b-1"].limit for harness in (first, second)]
    assert [limit.rate for limit in known if limit is not None] == [None, None]


@pytest.mark.parametrize("rate", [0.0, 0.05, 0.2, 1.9])
def test_an_unused_share_passes_to_entries_with_callers(rate: float) -> None:
    """Guards against a limit that never ends because its share lies at idle entries.

    Only an answer without a rate ends the limit, so an entry that has callers must get
    to send a request.
    """
    fleet = build_limited_fleet(8, DOMAINS[:1])
    for harness in fleet:
        report_rate(harness, rate)
    busy = fleet[3]
    for _ in range(400):
        busy.clock.advance(500)
        exchange_messages(fleet)
        busy.receive_request("/order/a")
        if busy.find_effects(OpenAttempt):
            return
    pytest.fail("the busy entry never got a turn")


def test_a_restarted_target_has_no_rate_limit() -> None:
    """Guards against a restarted target limited by its predecessor's rate."""
    harness = build_harness("b-1")
    for _ in range(60):
        harness.receive_request("/order/a")
    report_rate(harness, 0.5)
    message = peers.describe_entry(harness.state, harness.clock.now())
    info = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=2)
    harness.handle(TargetRegistered(info))
    other = build_harness("b-1")
    other.handle(TargetRegistered(info))
    other.handle(message)
    for one in (harness, other):
        one.receive_request("/order/a")
        assert one.find_effect(OpenAttempt).target == "b-1"


def test_a_run_is_not_copied_to_an_engine_with_a_rate_of_zero() -> None:
    """Guards against a copy from which its holder must not be told to resume."""
    harness = EntryHarness()
    harness.register("e-1", "e-2", "e-3")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    others = sorted({"e-1", "e-2", "e-3"} - {opened.target})
    report_rate(harness, 0.0, others[0])
    limit = harness.state.targets.targets[others[0]].limit
    assert limit is not None
    limit.opens_at = Millis(harness.clock.now() + 60_000)
    harness.handle(TargetDeparted(opened.target))
    assert harness.find_effect(CopyRun).holder == others[1]


def test_a_rate_limited_engine_copies_no_runs_in_advance() -> None:
    """Guards against copy orders that exceed an engine's rate."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    report_rate(harness, 1.0, opened.target)
    harness.send_pieces(opened.attempt, 1, 9)
    for _ in range(5):
        harness.clock.advance(100)
        assert not [e for e in harness.handle(Ticked()) if isinstance(e, CopyRun)]
    harness.handle(TargetDeparted(opened.target))
    assert harness.find_effect(CopyRun).source == opened.target


def test_a_run_resumes_at_its_holder_once_that_accepts_it() -> None:
    """Guards against a limited holder that gets all runs of a leaving engine."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    opened = harness.open_plan()
    harness.send_pieces(opened.attempt, 1, 9)
    harness.handle(TargetDeparted(opened.target))
    order = harness.find_effect(CopyRun)
    report_rate(harness, 5.0, order.holder)
    limit = harness.state.targets.targets[order.holder].limit
    assert limit is not None
    limit.opens_at = Millis(harness.clock.now() + 300)
    harness.handle(RunCopied(order.number, build_copy(opened.target, order.holder)))
    assert not harness.find_effects(OpenAttempt)
    harness.clock.advance(320)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target == order.holder


def test_a_copy_at_a_holder_with_a_rate_of_zero_is_not_used() -> None:
    """Guards against a broken run that is forced on a limited target."""
    harness, opened = start_with_backup()
    report_rate(harness, 0.0, opened.backup)
    limit = harness.state.targets.targets[opened.backup].limit
    assert limit is not None
    limit.opens_at = Millis(harness.clock.now() + 60_000)
    harness.handle(TargetDeparted(opened.target))
    assert not harness.find_effects(OpenAttempt)


def test_changed_ages_alone_send_no_message() -> None:
    """Guards against continuous messages while any target reports a rate."""
    harness = build_harness("b-1")
    report_rate(harness, 1.5)
    news = LoadUpdates()
    first = peers.describe_entry(harness.state, harness.clock.now())
    news.select(first, harness.clock.now())
    harness.clock.advance(200)
    second = peers.describe_entry(harness.state, harness.clock.now())
    assert first != second
    assert not news.has_urgent_changes(second)


def test_a_named_rate_is_logged_once_for_each_change() -> None:
    """Guards against a rate that is never logged, and against a log line per answer."""
    harness = build_harness("b-1")
    message = []
    for rate in (1.5, 1.5, 2.0, None, None):
        report_rate(harness, rate)
        message += [note.fields["rate"] for note in harness.find_effects(Note)]
    assert message == [1.5, 2.0, None]


def test_a_rate_of_an_unknown_target_is_ignored() -> None:
    """Guards against an answer that arrives after its target was removed."""
    harness = EntryHarness()
    assert harness.handle(RateNamed("b-9", 1.5, harness.clock.now())) == []


@pytest.mark.parametrize("rate", [0.0, 0.1, 0.24, 0.25, 1.0, 1.1, 2.5, 40.0])
def test_the_shares_of_a_rate_never_exceed_it(rate: float) -> None:
    """Guards against rounded shares whose sum exceeds a fractional rate."""
    window, requests = limits.split_rate(rate)
    assert requests >= 1
    assert requests <= max(1.0, rate * window / 1_000)


def refuse_call(
    harness: EntryHarness, retry_after: Millis | None, loss: Loss = Loss.REFUSED
) -> None:
    """Send a call and let its target refuse it, perhaps with a pause."""
    harness.receive_request("/order/a")
    attempt = harness.find_effect(OpenAttempt).attempt
    harness.handle(AttemptLost(attempt, loss, retry_after))


@pytest.mark.parametrize("loss", [Loss.REFUSED, Loss.FAILED])
def test_a_target_that_wants_a_pause_gets_nothing_meanwhile(loss: Loss) -> None:
    """Guards against a full target that an entry tries again with each call."""
    harness = build_harness("b-1")
    refuse_call(harness, Millis(2_000), loss)
    harness.register("b-2", service=BOOKINGS, slots=6)
    for _ in range(8):
        harness.receive_request("/order/a")
        assert harness.find_effect(OpenAttempt).target == "b-2"
    harness.clock.advance(2_000)
    harness.depart("b-2")
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_a_refusal_without_a_pause_causes_none() -> None:
    """Guards against targets that are avoided although they have capacity again."""
    harness = build_harness("b-1")
    refuse_call(harness, None)
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    """Guards against refusals that arrive in another order than they were sent."""
    harness = build_harness("b-1")
    attempts = []
    for _ in range(2):
        harness.receive_request("/order/a")
        attempts.append(harness.find_effect(OpenAttempt).attempt)
    harness.handle(AttemptLost(attempts[0], Loss.REFUSED, Millis(2_000)))
    harness.handle(AttemptLost(attempts[1], Loss.REFUSED, Millis(100)))
    harness.clock.advance(500)
    harness.receive_request("/order/a")
    assert not harness.find_effects(OpenAttempt)


def test_a_call_waits_out_a_short_pause() -> None:
    """Guards against callers refused for a pause that ends before their wait does."""
    harness = build_harness("b-1")
    refuse_call(harness, Millis(100))
    harness.receive_request("/order/a")
    assert not harness.find_effects(Refuse)
    harness.clock.advance(110)
    harness.handle(Ticked())
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_a_restarted_target_has_no_pause() -> None:
    """Guards against a restarted target avoided for its predecessor's pause."""
    harness = build_harness("b-1")
    refuse_call(harness, Millis(60_000))
    info = Registration("b-1", BOOKINGS, "b-1:80", "muc-a", 6, born=2)
    harness.handle(TargetRegistered(info))
    harness.receive_request("/order/a")
    assert harness.find_effect(OpenAttempt).target == "b-1"


def test_a_rate_that_begins_anew_counts_what_was_sent_meanwhile() -> None:
    """Guards against a new window each time that a target names its rate again."""
    harness = build_harness("b-1")
    report_rate(harness, 1.0)
    sent = []
    for rate in (1.0, None, 1.0, None, 1.0):
        harness.clock.advance(100)
        report_rate(harness, rate)
        for _ in range(4):
            harness.receive_request("/order/a")
            sent += [rate] * len(harness.find_effects(OpenAttempt))
    assert sent.count(1.0) <= limits.split_rate(1.0)[1]


def test_a_rate_outlives_a_lapse_of_its_target() -> None:
    """Guards against a target that gets all calls once its registration is back."""
    harness = build_harness("b-1")
    report_rate(harness, 0.5)
    harness.depart("b-1")
    for _ in range(80):
        harness.clock.advance(500)
        harness.handle(Ticked())
    harness.register("b-1", service=BOOKINGS, slots=6)
    limit = harness.state.targets.targets["b-1"].limit
    assert limit is not None
    assert limit.rate == 0.5
