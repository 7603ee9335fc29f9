"""Tests of the reports that engines give when they are queried."""

from figstep.core.clock import Millis
from figstep.gateway.effects import OpenAttempt, ReadReport
from figstep.gateway.events import EngineReported, EntriesCounted, StoreLost, Ticked
from figstep.gateway.reports import QUERY_INTERVAL, RESTART_QUERY_MARGIN
from tests.gateway.worlds import EntryHarness, start_with_backup


def test_while_the_store_is_away_engines_are_queried_for_departures() -> None:
    """Guards against streams lost with engines whose notice could not be read.

    The store is away and an engine is reclaimed. Its registration can't show this, but
    its own report does, and its stream resumes from the backup.
    """
    harness, opened = start_with_backup()
    harness.handle(Ticked())
    assert harness.find_effects(ReadReport) == []
    harness.handle(StoreLost())
    harness.handle(Ticked())
    assert harness.find_effect(ReadReport).target == opened.target
    harness.handle(EngineReported(opened.target, leaving=False))
    assert harness.effects == []
    harness.handle(Ticked())
    assert harness.find_effects(ReadReport) == []
    harness.handle(EngineReported(opened.target, leaving=True))
    assert harness.find_effect(OpenAttempt).target == opened.backup


def restart() -> EntryHarness:
    """Return an entry that has just replaced one that was killed."""
    harness = EntryHarness()
    harness.state.budget.started = harness.clock.now()
    harness.state.budget.first_start = False
    return harness


def test_prompts_avoid_memory_held_by_copies_of_killed_entries() -> None:
    """Guards against prompts that wait four seconds for their first token.

    All entries are killed while they copy runs to a new engine, which keeps these
    copies for seconds. The restarted entries know of none of them: the engine looks
    empty, and prompts sent there would wait until it drops the copies.
    """
    harness = restart()
    harness.register("e-1", "e-2")
    harness.handle(Ticked())
    assert {effect.target for effect in harness.find_effects(ReadReport)} == {
        "e-1",
        "e-2",
    }
    harness.handle(EngineReported("e-1", leaving=False, memory=32_000))
    harness.handle(EngineReported("e-2", leaving=False, memory=0))
    for _ in range(2):
        harness.receive_plan()
        assert harness.find_effect(OpenAttempt).target == "e-2"
    harness.receive_plan()
    assert harness.find_effects(OpenAttempt) == []


def query_engines(harness: EntryHarness) -> None:
    """Advance the clock by the query interval so that the engines are queried."""
    harness.clock.advance(QUERY_INTERVAL)
    harness.handle(Ticked())
    assert harness.find_effect(ReadReport).target == "e-1"


def test_what_an_engine_reports_is_compared_with_what_was_counted_before() -> None:
    """Guards against runs of this process that count twice and block prompts."""
    harness = restart()
    harness.register("e-1")
    engine = harness.state.targets.targets["e-1"]
    query_engines(harness)
    harness.handle(EngineReported("e-1", leaving=False, memory=8_000))
    assert engine.unclaimed == 8_000
    assert harness.open_plan().target == "e-1"
    query_engines(harness)
    # The report is as old as the previous query: it does not include the plan.
    harness.handle(EngineReported("e-1", leaving=False, memory=8_000))
    assert engine.unclaimed == 8_000
    query_engines(harness)
    harness.handle(EngineReported("e-1", leaving=False, memory=11_000))
    assert engine.unclaimed == 11_000 - engine.claimed_memory
    query_engines(harness)
    harness.handle(EngineReported("e-1", leaving=False, memory=3_000))
    assert engine.unclaimed == 0


def test_the_first_answer_in_an_outage_counts_no_run_twice() -> None:
    """Guards against prompts refused, and copies dropped, as the store goes away.

    Busy engines are queried for the first time then. The memory that they report is
    what this entry already counts for them.
    """
    harness, opened = start_with_backup()
    engine = harness.state.targets.targets[opened.target]
    harness.handle(StoreLost())
    harness.handle(Ticked())
    report = EngineReported(opened.target, leaving=False, memory=3_040)
    harness.handle(report)
    assert engine.unclaimed == 0


def test_engines_are_queried_for_memory_only_until_copies_are_dropped() -> None:
    harness = restart()
    harness.register("e-1")
    query_engines(harness)
    harness.handle(EngineReported("e-1", leaving=False, memory=8_000))
    assert harness.state.targets.targets["e-1"].unclaimed == 8_000
    harness.clock.advance(Millis(5_000 + RESTART_QUERY_MARGIN))
    harness.handle(Ticked())
    assert harness.find_effects(ReadReport) == []
    assert harness.state.targets.targets["e-1"].unclaimed == 0


def test_a_large_fleet_does_not_query_all_engines() -> None:
    harness = restart()
    harness.register("e-1")
    harness.handle(EntriesCounted(61))
    harness.handle(Ticked())
    assert harness.find_effects(ReadReport) == []


def test_a_system_that_starts_for_the_first_time_queries_no_engine() -> None:
    harness = EntryHarness()
    harness.register("e-1")
    harness.clock.advance(QUERY_INTERVAL)
    harness.handle(Ticked())
    assert harness.find_effects(ReadReport) == []
