"""Tests of which entries read the store, and of what is known while none can."""

from dataclasses import replace

import pytest

from figstep.core.clock import Millis
from figstep.gateway import domains, peers, sources
from figstep.gateway.effects import Announce, FetchRecords, ReadReport
from figstep.gateway.events import (
    EngineReported,
    PeerHeard,
    StoreLost,
    Ticked,
)
from figstep.gateway.targets import Incarnation, Standing
from tests.gateway.worlds import EntryHarness, build_fleet, build_large_fleet_entry


def test_records_missing_from_the_store_are_fetched_from_a_peer() -> None:
    """Guards against a revoked key that one entry still accepts."""
    harness = EntryHarness()
    harness.handle(PeerHeard("entry-2", address="10.0.0.2:7200", configuration=2))
    harness.handle(Ticked())
    assert harness.find_effects(FetchRecords) == []
    harness.clock.advance(sources.CATCH_UP_DELAY)
    harness.handle(Ticked())
    assert harness.find_effect(FetchRecords).address == "10.0.0.2:7200"


def test_an_entry_with_newer_records_queries_no_peer() -> None:
    harness = EntryHarness()
    harness.handle(PeerHeard("entry-2", address="10.0.0.2:7200", configuration=1))
    for _ in range(3):
        harness.clock.advance(Millis(500))
        harness.handle(PeerHeard("entry-2", configuration=1))
        harness.handle(Ticked())
        assert harness.find_effects(FetchRecords) == []


def test_few_entries_of_a_large_fleet_read_the_store() -> None:
    harness = build_large_fleet_entry()
    now = harness.clock.now()
    assert not sources.reads_store(harness.state, now)
    harness.state.node = "entry-0"
    assert sources.reads_store(harness.state, now)


def test_another_entry_reads_when_the_readers_fall_silent() -> None:
    """Guards against a failure domain whose readers all ended at once."""
    harness = build_large_fleet_entry()
    harness.state.node = "entry-0-03-next"
    assert not sources.reads_store(harness.state, harness.clock.now())
    harness.clock.advance(sources.READER_TIMEOUT)
    for number in range(4, 18):
        harness.handle(PeerHeard(f"entry-0-{number:02}", failure_domain="muc-a"))
    assert sources.reads_store(harness.state, harness.clock.now())


def test_an_entry_whose_store_is_away_keeps_reading() -> None:
    harness = build_large_fleet_entry()
    harness.handle(StoreLost())
    assert sources.reads_store(harness.state, harness.clock.now())


def test_an_entry_keeps_reading_while_the_readers_are_rejected_too() -> None:
    harness = build_large_fleet_entry()
    harness.handle(StoreLost())
    receive_reader_reports(harness, 18, receives_records=False)
    assert sources.reads_store(harness.state, harness.clock.now())


def receive_reader_reports(
    harness: EntryHarness, count: int, receives_records: bool
) -> None:
    """Let the first entries of the failure domain report that they read the store."""
    for number in range(count):
        name = f"entry-0-{number:02}"
        harness.handle(
            PeerHeard(
                name,
                failure_domain="muc-a",
                receives_records=receives_records,
                reading=True,
            )
        )


def test_few_entries_try_to_read_while_the_store_is_away() -> None:
    """Guards against a fleet in which all entries try a store that is unavailable."""
    harness = build_large_fleet_entry()
    receive_reader_reports(
        harness, sources.MAX_UNHEALTHY_READERS - 1, receives_records=False
    )
    harness.state.node = "entry-0-05-next"
    assert sources.reads_store(harness.state, harness.clock.now())
    receive_reader_reports(
        harness, sources.MAX_UNHEALTHY_READERS, receives_records=False
    )
    assert not sources.reads_store(harness.state, harness.clock.now())


def test_failed_readers_are_divided_among_failure_domains() -> None:
    """Guards against store requests in an outage that grow with the failure domains."""
    harness = build_large_fleet_entry()
    for domain in ("muc-b", "nue-a", "aug-a"):
        receive_domain_report(harness, domain)
    receive_reader_reports(harness, 1, receives_records=False)
    harness.state.node = "entry-0-00-next"
    assert sources.reads_store(harness.state, harness.clock.now())
    receive_reader_reports(harness, 2, receives_records=False)
    harness.state.node = "entry-0-01-next"
    assert not sources.reads_store(harness.state, harness.clock.now())


def test_entries_about_to_fail_reading_are_counted() -> None:
    """Guards against a fleet that tries the store all at once as it is lost."""
    harness = build_large_fleet_entry()
    for domain in ("muc-b", "nue-a", "aug-a"):
        receive_domain_report(harness, domain)
    receive_reader_reports(harness, 1, receives_records=False)
    harness.handle(
        PeerHeard("entry-0-01", failure_domain="muc-a", receives_records=False)
    )
    harness.state.node = "entry-0-01-next"
    assert not sources.reads_store(harness.state, harness.clock.now())


def receive_domain_report(harness: EntryHarness, name: str, **fields: bool) -> None:
    """Let another failure domain report its loads."""
    node = f"entry-{name}"
    harness.handle(
        PeerHeard(node, failure_domain=name, far=True, **fields)  # type: ignore[arg-type]
    )


def test_one_entry_of_each_of_many_failure_domains_reads_the_store() -> None:
    """Guards against store requests that grow with the number of failure domains."""
    harness = build_large_fleet_entry()
    harness.state.node = "entry-0-00-next"
    assert sources.reads_store(harness.state, harness.clock.now())
    receive_domain_report(harness, "muc-b")
    receive_domain_report(harness, "nue-a")
    assert not sources.reads_store(harness.state, harness.clock.now())


def test_an_entry_that_knows_no_reader_considers_the_store_away() -> None:
    """Guards against registrations lapsed in an outage that look like departures."""
    harness = build_large_fleet_entry()
    receive_reader_reports(harness, 6, receives_records=True)
    harness.handle(Ticked())
    assert not harness.state.store_unreachable
    receive_reader_reports(harness, 6, receives_records=False)
    harness.handle(Ticked())
    assert harness.state.store_unreachable
    receive_domain_report(harness, "muc-b", reading=True)
    harness.handle(Ticked())
    assert not harness.state.store_unreachable


def run_fleet(fleet: list[EntryHarness], millis: int) -> None:
    """Advance the clock and let each entry send its messages and handle a tick."""
    fleet[0].clock.advance(millis)
    now = fleet[0].clock.now()
    for harness in fleet:
        own = peers.describe_entry(harness.state, now)
        domain = domains.describe_domain(harness.state, now)
        represents_domain = domains.is_domain_representative(harness.state, now)
        for other in fleet:
            if other is harness:
                continue
            if other.state.failure_domain == harness.state.failure_domain:
                other.handle(own)
            elif represents_domain:
                other.handle(domain)
    for harness in fleet:
        harness.handle(Ticked())


@pytest.mark.parametrize("domains", [("muc-a",), ("muc-a", "muc-b", "nue-a", "aug-a")])
def test_a_large_fleet_finds_that_the_store_is_away(domains: tuple[str, ...]) -> None:
    """Guards against readers that consider the store up because of each other."""
    fleet = build_fleet(24, domains)
    for _ in range(10):
        run_fleet(fleet, 200)
    assert not any(harness.state.store_unreachable for harness in fleet)
    for _ in range(10):
        for harness in fleet:
            if sources.reads_store(harness.state, harness.clock.now()):
                harness.handle(StoreLost())
        run_fleet(fleet, 200)
    assert all(harness.state.store_unreachable for harness in fleet)


def test_one_reader_that_is_answered_is_enough_for_all() -> None:
    """Guards against an outage considered total when the store rejects some entries."""
    fleet = build_fleet(24, ("muc-a", "muc-b", "nue-a", "aug-a"))
    for _ in range(10):
        run_fleet(fleet, 200)
    for _ in range(10):
        for harness in fleet[1:]:
            if sources.reads_store(harness.state, harness.clock.now()):
                harness.handle(StoreLost())
        run_fleet(fleet, 200)
    assert not any(harness.state.store_unreachable for harness in fleet)


def test_an_entry_that_does_not_read_does_not_vouch_for_the_store() -> None:
    """Guards against lapsed registrations that look like departures after an outage."""
    harness = build_large_fleet_entry()
    receive_reader_reports(harness, 1, receives_records=False)
    harness.handle(PeerHeard("entry-0-09", failure_domain="muc-a"))
    harness.clock.advance(1_000)
    harness.handle(StoreLost())
    assert not sources.was_store_available(harness.state)


def test_one_entry_per_domain_queries_an_engine_while_the_store_is_away() -> None:
    """Guards against queries of all entries to all engines."""
    queries = 0
    for number in range(18):
        harness = build_large_fleet_entry()
        harness.state.node = f"entry-0-{number:02}"
        harness.state.peers.pop(harness.state.node)
        harness.register("e-1")
        harness.open_plan()
        harness.handle(StoreLost())
        harness.handle(Ticked())
        queries += len(harness.find_effects(ReadReport))
    assert queries == 1


def test_an_engines_leaving_report_reaches_the_other_entries() -> None:
    """Guards against streams lost with an engine whose notice only one entry knew."""
    querying = build_large_fleet_entry()
    querying.register("e-1", "e-2")
    querying.handle(EngineReported("e-1", leaving=True))
    assert querying.find_effects(Announce)
    message = peers.describe_entry(querying.state, querying.clock.now())
    other = build_large_fleet_entry()
    other.register("e-1", "e-2")
    opened = other.open_plan()
    leaving = (Incarnation(opened.target, 1),)
    other.handle(replace(message, node="entry-9", leaving=leaving))
    found = other.state.targets.find(opened.target)
    assert found is not None
    assert found.standing is Standing.LEAVING


def test_an_old_registration_does_not_bring_a_leaving_engine_back() -> None:
    """Guards against prompts sent to a leaving engine that a peer's old copy lists."""
    harness = EntryHarness()
    harness.register("e-1", "e-2")
    harness.handle(EngineReported("e-1", leaving=True))
    harness.register("e-1")
    found = harness.state.targets.find("e-1")
    assert found is not None
    assert found.standing is Standing.LEAVING


def test_a_new_configuration_is_not_fetched_by_all_entries_at_once() -> None:
    """Guards against a revoked key accepted for seconds after a burst of queries.

    Of 17 entries that learn of a new configuration from the same peer, at most four
    fetch its records at the first opportunity.
    """
    queries = 0
    for number in range(17):
        harness = build_large_fleet_entry()
        harness.state.rng.seed(number)
        harness.state.node = f"entry-1-{number:02}"
        newer_peer = PeerHeard(
            "entry-0-05",
            address="10.0.0.5:7200",
            configuration=2,
            failure_domain="muc-a",
        )
        harness.handle(newer_peer)
        harness.handle(Ticked())
        harness.clock.advance(sources.RELAY_DELAY)
        harness.handle(Ticked())
        queries += len(harness.find_effects(FetchRecords))
    assert queries <= 4


def test_one_entry_of_a_fleet_reads_often() -> None:
    """Guards against calls to the store that grow with the number of entries."""
    fleet = build_fleet(3, ["muc-a"])
    now = fleet[0].clock.now()
    for harness in fleet:
        for other in fleet:
            if other is not harness:
                harness.handle(PeerHeard(other.state.node, answered=True))
    assert [sources.is_first_reader(one.state, now) for one in fleet] == [
        True,
        False,
        False,
    ]
    fleet[0].handle(StoreLost())
    fleet[1].handle(PeerHeard(fleet[0].state.node, answered=False))
    assert not sources.is_first_reader(fleet[0].state, now)
    assert sources.is_first_reader(fleet[1].state, now)
