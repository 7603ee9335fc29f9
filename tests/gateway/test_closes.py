"""Tests of what engines keep of complete runs, and of how far closes are believed."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.core.problems import Ran
from figstep.gateway.closes import (
    BRIEF_RETENTION,
    DELIMITED_STREAMS,
    LONG_RETENTION,
    MIN_CHECKED_CLOSES,
)
from figstep.gateway.effects import (
    BreakStream,
    FinishStream,
    KeptRun,
    OpenAttempt,
    ReadReport,
    Refuse,
)
from figstep.gateway.events import (
    AttemptLost,
    ConfigurationRead,
    EngineReported,
    Loss,
    PromptListed,
    RestBegun,
    StreamEnded,
    TargetRegistered,
    Ticked,
)
from figstep.gateway.prompts import Prompt
from figstep.gateway.routes import EnginePool, Service
from figstep.gateway.targets import CloseCount, Incarnation, Registration, ReportedRun
from figstep.gateway.token_counts import (
    MAX_LIST_READS,
    MIN_EXACT_LISTS,
    SELDOM,
)
from tests.gateway.worlds import (
    ENGINES,
    EntryHarness,
    build_table,
    start_with_backup,
)

RETENTION = Millis(4_000)
"""Time for which the engines keep complete runs."""

PROMPT = Prompt("m", 302, 2_000, parts=(("a1", 102), ("b2", 200)))


def report_runs(
    harness: EntryHarness, target: str, *rows: tuple[str, int, int]
) -> None:
    """Let an engine report runs by id, tokens in memory and events."""
    runs = tuple(ReportedRun(*row) for row in rows)
    harness.handle(EngineReported(target, leaving=False, runs=runs))


def list_prompt(harness: EntryHarness, target: str, missing: int | None = 0) -> None:
    """Let an engine list a prompt that it runs."""
    harness.handle(PromptListed(Incarnation(target, 1), missing))


def learn_counts(harness: EntryHarness) -> None:
    """Let engines show that events are full, that lists are exact, and the first id."""
    report_runs(harness, "e-1", ("r-other", 1_004, 1))
    report_runs(harness, "e-1", ("r-other", 1_000 + 4 * 40, 40))
    for _ in range(MIN_EXACT_LISTS):
        list_prompt(harness, "e-1")
    opened = open_stream(harness)
    harness.send_pieces(opened.attempt, 1, 1)
    harness.handle(StreamEnded(opened.attempt, confirmed=True))
    harness.state.closes[ENGINES].delimited = 0


def start_entry(retention: Millis = RETENTION, is_exact: bool = True) -> EntryHarness:
    """Return an entry with two engines that keep complete runs.

    Args:
        retention: Longest time for which they do.
        is_exact: Whether it has seen that their lists state a number of events.
    """
    harness = EntryHarness()
    pool = EnginePool(64, 34_000, moves=True, event_tokens=4, run_retention=retention)
    table = build_table(2)
    services = {**table.services, ENGINES: Service(ENGINES, engine=pool)}
    harness.handle(ConfigurationRead(replace(table, services=services)))
    harness.register("e-1", "e-2")
    if is_exact:
        learn_counts(harness)
    return harness


def open_stream(harness: EntryHarness, path: str = "/plan/a") -> OpenAttempt:
    harness.receive_request(path, PROMPT)
    return harness.find_effect(OpenAttempt)


def test_a_run_is_kept_under_the_last_part_of_its_prompt() -> None:
    """Guards against streams whose engine has nothing to state at their end."""
    opened = open_stream(start_entry())
    assert opened.keep == KeptRun("m", "b2", 200, LONG_RETENTION)


def count_reads(harness: EntryHarness, streams: int, missing: int | None) -> int:
    """Return for how many streams a list is read, which lacks tokens of a prompt."""
    count = 0
    for _ in range(streams):
        opened = open_stream(harness)
        assert opened.keep is not None
        count += opened.keep.listed
        if opened.keep.listed:
            list_prompt(harness, opened.target, missing)
        harness.send_pieces(opened.attempt, 1, 1)
        harness.handle(StreamEnded(opened.attempt, confirmed=True))
    return count


def test_lists_are_read_until_they_are_known_to_be_exact() -> None:
    """Guards against a list for each stream, each of which delays the engine."""
    harness = start_entry(is_exact=False)
    assert count_reads(harness, 32, missing=0) == MIN_EXACT_LISTS


@pytest.mark.parametrize("missing", [None, 7])
def test_lists_that_show_no_exact_count_are_read_seldom(missing: int | None) -> None:
    """Guards against a list for each stream, and against none any more."""
    harness = start_entry(is_exact=False)
    assert count_reads(harness, 32, missing) == MAX_LIST_READS + 1
    assert count_reads(harness, 64, 0) == 64 // SELDOM


@pytest.mark.parametrize("loss", [Loss.REFUSED, Loss.UNREACHED])
def test_streams_that_no_engine_runs_use_up_no_lists(loss: Loss) -> None:
    """Guards against whole streams lost for good after a start beside full engines."""
    harness = start_entry(is_exact=False)
    for _ in range(2 * MAX_LIST_READS):
        harness.receive_request("/plan/a", PROMPT)
        while opened := harness.find_effects(OpenAttempt):
            harness.handle(AttemptLost(opened[0].attempt, loss))
        harness.clock.advance(Millis(1_000))
        harness.handle(Ticked())
    harness.clock.advance(Millis(20_000))
    harness.handle(Ticked())
    assert count_reads(harness, 1, missing=0) == 1


def test_lists_of_prompts_of_whole_blocks_show_nothing() -> None:
    """Guards against lists in blocks that seem exact, as a prompt fills its blocks."""
    harness = start_entry(is_exact=False)
    prompt = Prompt("m", 304, 2_000, parts=(("a1", 100), ("b2", 204)))
    harness.receive_request("/plan/a", prompt)
    keep = harness.find_effect(OpenAttempt).keep
    assert keep is not None and not keep.listed


def test_another_software_version_has_shown_no_exact_list() -> None:
    """Guards against a part as the whole after an update to lists in blocks."""
    harness = start_entry()
    info = Registration("e-9", ENGINES, "e-9:80", "muc-a", 64, born=7, version="v2")
    harness.handle(TargetRegistered(info))
    for name in ("e-1", "e-2"):
        harness.depart(name)
    harness.clock.advance(Millis(60_000))
    harness.handle(Ticked())
    opened = open_stream(harness)
    assert opened.target == "e-9"
    assert opened.keep is not None and opened.keep.listed
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=12))
    assert not harness.find_effects(FinishStream)


def test_engines_that_keep_no_runs_are_not_asked_to() -> None:
    """Guards against queries that older engines take for requests."""
    assert open_stream(start_entry(Millis(0))).keep is None


def test_engines_whose_streams_were_delimited_are_asked_to_keep_the_next_run() -> None:
    """Guards against an end that nothing states where open ends are rare."""
    harness = start_entry()
    for _ in range(3 * DELIMITED_STREAMS):
        opened = open_stream(harness)
        harness.open_stream(opened.attempt, delimited=True)
        assert opened.keep is not None


def test_runs_are_kept_briefly_while_streams_are_delimited() -> None:
    """Guards against memory or an order for each stream that states its own end."""
    harness = start_entry()
    for _ in range(DELIMITED_STREAMS):
        opened = open_stream(harness)
        assert opened.keep == KeptRun("m", "b2", 200, LONG_RETENTION, released=True)
        harness.open_stream(opened.attempt, delimited=True)
    opened = open_stream(harness)
    assert opened.keep == KeptRun("m", "b2", 200, BRIEF_RETENTION, released=False)
    harness.open_stream(opened.attempt, delimited=False)
    assert open_stream(harness).keep == KeptRun("m", "b2", 200, LONG_RETENTION)


@pytest.mark.parametrize("retention", [Millis(200), Millis(4_000)])
def test_a_run_is_not_kept_longer_than_its_caller_waits(retention: Millis) -> None:
    """Guards against memory that the runs of an entry which was killed take on."""
    keep = open_stream(start_entry(retention)).keep
    assert keep is not None
    assert keep.duration == min(retention, LONG_RETENTION)
    assert keep.duration <= 2_000


@pytest.mark.parametrize("kept", [9, 12])
def test_a_run_that_its_engine_keeps_is_complete(kept: int) -> None:
    """Guards against whole streams that are asked for once more, or broken off."""
    harness = start_entry()
    opened = open_stream(harness)
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=kept))
    assert harness.find_effects(FinishStream)


@pytest.mark.parametrize("kept", [2, 8, 9, 12])
def test_a_kept_run_states_no_end_until_events_are_known_to_be_full(
    kept: int,
) -> None:
    """Guards against a truncated answer of a kept run whose events hold few tokens."""
    harness = start_entry(is_exact=False)
    opened = open_stream(harness)
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=kept))
    assert not harness.find_effects(FinishStream)
    assert harness.find_effects(BreakStream)


def end_with_full_count(harness: EntryHarness) -> bool:
    """Return whether a stream ends as whole whose events fill what is kept."""
    opened = open_stream(harness)
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=12))
    return bool(harness.find_effects(FinishStream))


def test_a_short_event_ends_what_lists_of_its_engine_state() -> None:
    """Guards against an upper bound of tokens that is taken for a count of events."""
    harness = start_entry()
    report_runs(harness, "e-1", ("r-3", 500, 10))
    report_runs(harness, "e-1", ("r-3", 500 + 4 * 50 - 1, 60))
    assert not any(end_with_full_count(harness) for _ in range(8))
    # Another engine shows that its own events are full.
    report_runs(harness, "e-2", ("r-4", 500, 10))
    report_runs(harness, "e-2", ("r-4", 500 + 4 * 50, 60))
    ends = {end_with_full_count(harness) for _ in range(8)}
    assert ends == {True, False}
    # One that starts again has shown nothing.
    harness.depart("e-2")
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=2)
    harness.handle(TargetRegistered(info))
    assert not end_with_full_count(harness)


def test_a_short_event_leaves_what_other_engines_have_shown() -> None:
    """Guards against whole streams of all engines lost for the events of one."""
    harness = start_entry()
    for name in ("e-1", "e-2"):
        report_runs(harness, name, ("r-3", 500, 10))
        report_runs(harness, name, ("r-3", 500 + 4 * 50, 60))
    harness.register("e-3")
    report_runs(harness, "e-3", ("r-5", 500, 10))
    report_runs(harness, "e-3", ("r-5", 520, 30))
    harness.depart("e-3")
    assert all(end_with_full_count(harness) for _ in range(8))


def test_a_new_largest_number_of_tokens_ends_what_reports_have_shown() -> None:
    """Guards against a part as the whole after a change of the configuration."""
    harness = start_entry()
    pool = EnginePool(64, 34_000, moves=True, event_tokens=8, run_retention=RETENTION)
    table = build_table(3)
    services = {**table.services, ENGINES: Service(ENGINES, engine=pool)}
    harness.handle(ConfigurationRead(replace(table, services=services)))
    opened = open_stream(harness)
    harness.send_pieces(opened.attempt, 1, 3)
    # Six events of four tokens.
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=24))
    assert not harness.find_effects(FinishStream)


def test_a_report_of_an_earlier_incarnation_shows_nothing_of_this_one() -> None:
    """Guards against counts of a process that an engine's address had before."""
    harness = start_entry()
    for row in (("r-3", 500, 10), ("r-3", 520, 30)):
        runs = (ReportedRun(*row),)
        report = EngineReported("e-1", leaving=False, born=9, runs=runs)
        harness.handle(report)
    assert all(end_with_full_count(harness) for _ in range(8))


def test_a_stream_without_a_prompt_leaves_the_notice_of_its_engine() -> None:
    """Guards against a departure that no entry learns, as a report is not read."""
    harness = start_entry()
    harness.receive_request("/question/a")
    opened = harness.find_effect(OpenAttempt)
    request = next(iter(harness.state.requests.values()))
    runs = (ReportedRun(request.spec.id, 100, 5),)
    harness.handle(EngineReported(opened.target, leaving=True, runs=runs))
    target = harness.state.targets.find(opened.target)
    assert target is not None and not target.accepts_work


def test_a_query_for_events_shows_no_unclaimed_memory() -> None:
    """Guards against engines that seem full in an outage of the store."""
    harness = start_entry(is_exact=False)
    target = harness.state.targets.find("e-1")
    assert target is not None
    target.peer_calls, target.peer_memory = 5, 20_000
    harness.state.budget.first_start = True
    harness.state.store_unreachable = True
    harness.clock.advance(Millis(300))
    harness.handle(Ticked())
    assert ReadReport("e-1") in harness.find_effects(ReadReport)
    harness.handle(EngineReported("e-1", leaving=False, memory=20_000))
    assert target.unclaimed == 0


@pytest.mark.parametrize(
    "rows",
    [
        [("r-3", 500, 0), ("r-3", 520, 30)],
        [("r-3", 500, 10), ("r-3", 480, 30)],
        [("r-3", 500, 10), ("r-3", 900, 30)],
        [("r-3", 500, 10), ("r-3", 500, 10)],
        [("r-3", 500, 10), ("r-4", 520, 30)],
    ],
    ids=["prompt", "preempted", "read again", "no event", "other run"],
)
def test_reports_that_show_no_events_end_nothing(
    rows: list[tuple[str, int, int]],
) -> None:
    """Guards against whole streams lost for a preemption beside them."""
    harness = start_entry()
    for row in rows:
        report_runs(harness, "e-1", row)
    assert all(end_with_full_count(harness) for _ in range(8))


def test_lists_of_whole_blocks_state_no_end() -> None:
    """Guards against a part as the whole, as its missing tokens are not listed."""
    harness = start_entry()
    list_prompt(harness, "e-1", missing=7)
    assert not end_with_full_count(harness)
    # A prompt may be as long as whole blocks.
    list_prompt(harness, "e-1")
    assert not end_with_full_count(harness)
    for _ in range(3):
        list_prompt(harness, "e-2")
    assert end_with_full_count(harness)


@pytest.mark.parametrize("tokens", [302 + 4 * 40, 302 + 4 * 40 - 1])
def test_one_report_of_a_run_shows_its_events_if_its_prompt_is_known(
    tokens: int,
) -> None:
    """Guards against whole streams lost until an engine has reported a run twice."""
    harness = start_entry(is_exact=False)
    opened = open_stream(harness)
    list_prompt(harness, opened.target)
    request = next(iter(harness.state.requests.values()))
    report_runs(harness, opened.target, (request.spec.id, tokens, 40))
    assert end_with_full_count(harness) == (tokens == 302 + 4 * 40)


def test_a_restarted_engine_has_shown_no_short_event() -> None:
    """Guards against whole streams lost for what an earlier incarnation showed."""
    harness = start_entry()
    harness.depart("e-2")
    report_runs(harness, "e-1", ("r-3", 500, 10))
    report_runs(harness, "e-1", ("r-3", 510, 20))
    info = Registration("e-1", ENGINES, "e-1:80", "muc-a", 64, born=2)
    harness.handle(TargetRegistered(info))
    report_runs(harness, "e-1", ("r-3", 500, 10))
    report_runs(harness, "e-1", ("r-3", 700, 60))
    assert end_with_full_count(harness)


@pytest.mark.parametrize("kept", [-200, 0, 13])
def test_a_run_that_its_engine_does_not_keep_is_not_complete(kept: int) -> None:
    """Guards against a part as the whole, also where an earlier run is listed."""
    harness = start_entry()
    opened = open_stream(harness)
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=kept))
    assert not harness.find_effects(FinishStream)
    assert harness.find_effects(BreakStream)


@pytest.mark.parametrize("early", [0, 5])
@pytest.mark.parametrize(("kept", "events"), [(1, 3), (1, 10), (8, 10)])
def test_fewer_kept_tokens_than_events_are_those_of_another_run(
    kept: int, events: int, early: int
) -> None:
    """Guards against a shorter run of the same prompt that seems to state the end."""
    harness = start_entry()
    opened = open_stream(harness)
    harness.open_stream(opened.attempt, delimited=False)
    harness.state.closes[ENGINES].count = CloseCount(10, early)
    harness.send_pieces(opened.attempt, 1, events)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=kept))
    assert not harness.find_effects(FinishStream)


@pytest.mark.parametrize("kept", [None, 0, 12])
def test_a_continuation_that_its_engine_does_not_keep_states_no_end(
    kept: int | None,
) -> None:
    """Guards against a run that is cut twice and taken for whole."""
    harness = start_entry()
    opened = open_stream(harness, "/question/a")
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=0))
    asked = harness.find_effect(OpenAttempt)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True, kept=kept))
    assert bool(harness.find_effects(FinishStream)) is (kept == 12)


def test_an_empty_continuation_after_a_crash_that_is_kept_states_the_end() -> None:
    """Guards against whole streams lost with an engine that crashes at their end."""
    harness = start_entry()
    opened = open_stream(harness, "/question/a")
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = harness.find_effect(OpenAttempt)
    harness.handle(StreamEnded(resumed.attempt, confirmed=False, empty=True, kept=12))
    assert harness.find_effects(FinishStream)


def take_up(engines: int) -> tuple[EntryHarness, OpenAttempt]:
    """Let a stream be taken up after its sixth event, and its engine not list it."""
    harness = start_entry()
    for number in range(engines, 2):
        harness.depart(f"e-{number + 1}")
    harness.receive_request("/question/a", PROMPT, after=6)
    opened = harness.find_effect(OpenAttempt)
    harness.open_stream(opened.attempt, delimited=False)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, empty=True, kept=0))
    asked = harness.find_effect(OpenAttempt)
    assert (asked.target, asked.after) == (opened.target, 6)
    harness.open_stream(asked.attempt, delimited=False)
    return harness, asked


@pytest.mark.parametrize("engines", [1, 2])
def test_an_empty_stream_that_was_taken_up_is_asked_for_anew(engines: int) -> None:
    """Guards against 502 for a whole stream, as what stated its end was released."""
    harness, asked = take_up(engines)
    target = harness.state.targets.find(asked.target)
    assert target is not None
    assert target.failures == 0
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True, kept=24))
    assert harness.find_effects(FinishStream)


@pytest.mark.parametrize("kept", [None, 0])
def test_an_empty_stream_that_was_taken_up_is_asked_for_anew_once(
    kept: int | None,
) -> None:
    """Guards against runs without end at an engine that closes each one early."""
    harness, asked = take_up(engines=1)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True, kept=kept))
    assert not harness.find_effects(OpenAttempt)
    problem = harness.find_effect(Refuse).problem
    assert (problem.status, problem.ran) == (502, Ran.UNKNOWN)


def test_an_empty_stream_that_nothing_states_twice_goes_on_at_another_engine() -> None:
    """Guards against 502 as an engine closes each continuation early."""
    harness, asked = take_up(engines=2)
    harness.handle(StreamEnded(asked.attempt, confirmed=False, empty=True, kept=0))
    assert harness.find_effect(OpenAttempt).target != asked.target


def test_nobody_is_asked_anew_after_the_deadline() -> None:
    """Guards against runs whose answers no caller waits for."""
    harness = start_entry()
    harness.receive_request("/question/a", PROMPT, after=6)
    opened = harness.find_effect(OpenAttempt)
    harness.clock.advance(opened.deadline - harness.clock.now())
    harness.handle(StreamEnded(opened.attempt, confirmed=False, empty=True, kept=0))
    assert not harness.find_effects(OpenAttempt)
    assert harness.find_effects(Refuse)


@pytest.mark.parametrize(
    ("own", "service", "believed"),
    [
        (CloseCount(), CloseCount(), True),
        (CloseCount(1, 1), CloseCount(100, 1), False),
        (CloseCount(MIN_CHECKED_CLOSES, 1), CloseCount(100, 50), True),
        (CloseCount(MIN_CHECKED_CLOSES - 1, 1), CloseCount(100, 1), False),
        (CloseCount(3, 0), CloseCount(10, 1), False),
        (CloseCount(MIN_CHECKED_CLOSES, 0), CloseCount(40, 20), True),
    ],
)
def test_an_engine_that_has_closed_streams_early_is_not_believed(
    own: CloseCount, service: CloseCount, believed: bool
) -> None:
    """Guards against parts as the whole where engines are known to close early."""
    harness = start_entry(Millis(0))
    opened = open_stream(harness)
    target = harness.state.targets.find(opened.target)
    assert target is not None
    harness.open_stream(opened.attempt, delimited=False)
    target.closes = own
    harness.state.closes[ENGINES].count = service
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    assert bool(harness.find_effects(FinishStream)) is believed


def test_events_after_a_close_count_against_its_engine() -> None:
    """Guards against an engine that closes each stream early and is believed again."""
    harness = start_entry(Millis(0))
    opened = open_stream(harness, "/question/a")
    target = harness.state.targets.find(opened.target)
    assert target is not None
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    asked = harness.find_effect(OpenAttempt)
    harness.send_pieces(asked.attempt, 4, 5)
    assert target.closes == CloseCount(1, 1)
    assert harness.state.closes[ENGINES].count == CloseCount(1, 1)


def test_a_standby_that_began_an_event_contradicts_the_close_of_its_source() -> None:
    """Guards against a part as the whole, as the standby is cut inside an event."""
    harness, opened = start_with_backup()
    standby: list[OpenAttempt] = []
    while not standby:
        harness.clock.advance(30)
        harness.handle(Ticked())
        standby = harness.find_effects(OpenAttempt)
    harness.handle(RestBegun(standby[0].attempt))
    harness.handle(StreamEnded(opened.attempt, confirmed=False))
    harness.handle(AttemptLost(standby[0].attempt, Loss.BROKEN))
    assert not harness.find_effects(FinishStream)
    assert harness.find_effects(BreakStream)


@pytest.mark.parametrize(
    ("early", "lists_none", "listed", "believed"),
    [
        (0, False, False, False),
        (0, False, True, False),
        (0, True, False, True),
        (0, True, True, False),
        (1, False, False, False),
        (1, True, False, False),
    ],
)
def test_a_close_counts_without_a_list_only_where_engines_keep_no_runs(
    early: int, lists_none: bool, listed: bool, believed: bool
) -> None:
    """Guards against a part as the whole where the list of an engine is lost."""
    harness = start_entry()
    pool = EnginePool(64, 34_000, event_tokens=4, run_retention=RETENTION)
    table = build_table(3)
    services = {**table.services, ENGINES: Service(ENGINES, engine=pool)}
    harness.handle(ConfigurationRead(replace(table, services=services)))
    opened = open_stream(harness)
    harness.open_stream(opened.attempt, delimited=False)
    harness.state.closes[ENGINES].count = CloseCount(10, 5 * early)
    harness.state.closes[ENGINES].listed = listed
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, lists_none=lists_none))
    assert bool(harness.find_effects(FinishStream)) is believed
    assert bool(harness.find_effects(BreakStream)) is not believed


def test_a_shorter_run_states_no_end_though_another_target_refused() -> None:
    """Guards against a part as the whole, as the run was sent twice before it ran."""
    harness = start_entry()
    refused = open_stream(harness)
    harness.handle(AttemptLost(refused.attempt, Loss.REFUSED))
    opened = harness.find_effect(OpenAttempt)
    assert opened.target != refused.target
    harness.send_pieces(opened.attempt, 1, 10)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=8))
    assert not harness.find_effects(FinishStream)


@pytest.mark.parametrize(
    ("kept", "whole"), [(8, False), (16, False), (48, False), (49, True), (52, True)]
)
def test_a_run_that_goes_on_is_kept_with_its_own_tokens_at_least(
    kept: int, whole: bool
) -> None:
    """Guards against a part as the whole, as a shorter run of its prompt is listed."""
    harness = start_entry()
    opened = open_stream(harness, "/question/a")
    harness.send_pieces(opened.attempt, 1, 3)
    harness.handle(AttemptLost(opened.attempt, Loss.BROKEN))
    resumed = harness.find_effect(OpenAttempt)
    harness.send_pieces(resumed.attempt, 2, 13)
    harness.handle(StreamEnded(resumed.attempt, confirmed=False, kept=kept))
    assert bool(harness.find_effects(FinishStream)) is whole


@pytest.mark.parametrize(
    ("kept", "whole"),
    [(24, False), (36, False), (37, True), (40, True), (41, False), (90, False)],
)
def test_a_stream_that_is_taken_up_is_complete_by_no_longer_run(
    kept: int, whole: bool
) -> None:
    """Guards against a part as the whole, as a longer run of its prompt is listed."""
    harness = start_entry()
    harness.receive_request("/question/a", PROMPT, after=6)
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 7, 10)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=kept))
    assert bool(harness.find_effects(FinishStream)) is whole


def test_a_stream_that_is_taken_up_is_not_counted_by_an_unknown_first_id() -> None:
    """Guards against a part as the whole, as ids may begin at another number."""
    harness = start_entry(is_exact=False)
    report_runs(harness, "e-1", ("r-other", 1_004, 1))
    report_runs(harness, "e-1", ("r-other", 1_000 + 4 * 40, 40))
    list_prompt(harness, "e-1")
    harness.receive_request("/question/a", PROMPT, after=6)
    opened = harness.find_effect(OpenAttempt)
    harness.send_pieces(opened.attempt, 7, 10)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=40))
    assert not harness.find_effects(FinishStream)


def test_the_list_of_a_shorter_run_shows_no_good_close() -> None:
    """Guards against early closes that count as good, as another run is listed."""
    harness = start_entry()
    opened = open_stream(harness)
    target = harness.state.targets.find(opened.target)
    assert target is not None
    harness.send_pieces(opened.attempt, 1, 10)
    harness.handle(StreamEnded(opened.attempt, confirmed=False, kept=3))
    assert target.closes == CloseCount()
    assert harness.state.closes[ENGINES].count == CloseCount()


def count_queries(harness: EntryHarness, seconds: int) -> int:
    """Return how often engines are queried for their state in some seconds."""
    count = 0
    for _ in range(seconds * 10):
        harness.clock.advance(Millis(100))
        harness.handle(Ticked())
        count += len(harness.find_effects(ReadReport))
    return count


def test_queries_that_show_no_events_become_fewer() -> None:
    """Guards against frequent queries without end, and against none for good."""
    harness = start_entry(is_exact=False)
    opened = open_stream(harness, "/plan/a")
    harness.open_stream(opened.attempt, delimited=False)
    harness.state.budget.first_start = True
    assert 4 <= count_queries(harness, 2) <= 8
    assert count_queries(harness, 20) <= 10
    assert 1 <= count_queries(harness, 26) <= 4


@pytest.mark.parametrize("delimited", [0, DELIMITED_STREAMS])
def test_engines_of_delimited_streams_are_not_each_queried(delimited: int) -> None:
    """Guards against a price for engines whose streams state their own end."""
    harness = start_entry()
    opened = open_stream(harness)
    harness.open_stream(opened.attempt, delimited=False)
    harness.state.budget.first_start = True
    target = harness.state.targets.find(opened.target)
    assert target is not None
    target.full_events = 0
    harness.state.closes[ENGINES].delimited = delimited
    assert (count_queries(harness, 2) > 0) is (not delimited)
