"""Tests of leases: one holder at a time, and fencing of paused holders."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figstep.core import leases
from figstep.core.clock import Millis
from figstep.core.leases import TERM, LeaseRecord, LeaseTable, fold_lease
from figstep.core.records import LEASES, LogRecord

LEASE = "orders.muc-a"


def make_record(holder: str, release: bool = False) -> LeaseRecord:
    return LeaseRecord(LEASE, holder, "s", f"{holder}.r", release=release)


@pytest.mark.parametrize(
    ("history", "holder", "fencing"),
    [
        ([("a", 0)], "a", 0),
        ([("a", 0), ("b", TERM - 1)], "a", 0),
        ([("a", 0), ("b", TERM)], "b", 1),
        ([("a", 0), ("a", TERM - 1), ("b", TERM + 1)], "a", 0),
        ([("a", 0), ("a", TERM)], "a", 1),
        ([("a", 0), ("-a", 5), ("b", 6)], "b", 2),
        ([("a", 0), ("-b", 5), ("b", 6)], "a", 0),
        ([("a", 100), ("a", 50), ("b", TERM + 60)], "a", 0),
    ],
)
def test_every_reader_names_the_same_holder(
    history: list[tuple[str, int]], holder: str, fencing: int
) -> None:
    table: dict[str, leases.Lease] = {}
    for offset, (name, time) in enumerate(history):
        record = make_record(name.strip("-"), release=name.startswith("-"))
        fold_lease(table, record, LogRecord(offset, time, {}), Millis(0))
    assert (table[LEASE].holder, table[LEASE].fencing) == (holder, fencing)


def test_fencing_numbers_grow_when_offsets_go_back() -> None:
    """Guards against orders that engines refuse after the log came back from a copy."""
    table = LeaseTable(session="s")
    numbers = []
    for era, offset in ((0, 7), (1, 2), (1, 3), (2, 0)):
        leases.forget_leases(table)
        record = make_record("a")
        position = LogRecord(offset, 0, record.to_json(), era)
        fold_lease(table.leases, record, position, Millis(0))
        numbers.append(table.leases[LEASE].fencing)
    assert numbers == sorted(set(numbers))


def test_a_lease_that_the_log_may_have_lost_is_given_up() -> None:
    """Guards against a holder that acts while another node acquires its lease."""
    table = LeaseTable(session="s")
    record = leases.request_lease(table, LEASE, "a", Millis(0))
    position = LogRecord(0, 0, record.to_json())
    leases.apply_record(table, "a", position, Millis(0))
    assert leases.find_holding(table, LEASE, Millis(1))
    leases.forget_leases(table)
    leases.apply_record(table, "a", replace(position, era=1), Millis(1))
    assert leases.find_holding(table, LEASE, Millis(1)) is None


def test_a_record_that_is_no_lease_changes_nothing() -> None:
    table = LeaseTable(session="s")
    leases.apply_record(table, "a", LogRecord(0, 0, {"lease": LEASE}), Millis(0))
    assert table.leases == {}


def test_a_renewal_read_back_after_the_release_holds_nothing() -> None:
    """Guards against two entries that give orders to the same engines.

    An entry renews its lease and then releases it; the log holds both records. It reads
    the renewal back first and must not hold the lease again, because another entry may
    have read the release and acquired the lease.
    """
    machine = LeaseMachine()
    machine.append(lost=False, node="b", release=False)
    machine.append(lost=False, node="a", release=False)
    machine.read_records(count=1, node="a")
    machine.read_records(count=1, node="a")
    machine.append(lost=False, node="a", release=False)
    machine.append(lost=False, node="b", release=False)
    for _ in range(4):
        machine.read_records(count=1, node="a")
    machine.read_records(count=3, node="b")
    machine.append(lost=False, node="b", release=True)
    machine.read_records(count=1, node="a")
    machine.read_records(count=1, node="b")
    machine.append(lost=False, node="a", release=False)
    machine.read_records(count=1, node="a")
    machine.at_most_one_node_acts()


class LeaseMachine(RuleBasedStateMachine):
    """Three nodes, a list as the log, one clock and an engine that checks fencing.

    Nodes append records whose answers may be lost, so that only reading back counts.
    They read and act late, as after a pause. Orders arrive at the engine in any order.
    """

    NODES = ("a", "b", "c")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.log: list[LogRecord] = []
        self.era = 0
        self.tables = {node: LeaseTable(session=node) for node in self.NODES}
        self.read = dict.fromkeys(self.NODES, 0)
        self.orders: list[tuple[int, str]] = []
        self.highest = -1
        self.holders: dict[int, str] = {}

    @rule(millis=st.sampled_from((1, TERM // 2, TERM - 1, TERM)))
    def advance(self, millis: int) -> None:
        self.now += millis

    @rule(node=st.sampled_from(NODES), release=st.booleans(), lost=st.booleans())
    def append(self, node: str, release: bool, lost: bool) -> None:
        table = self.tables[node]
        if release and LEASE not in table.holdings:
            return
        record = leases.request_lease(table, LEASE, node, Millis(self.now), release)
        if not lost:
            data = record.to_json()
            self.log.append(LogRecord(len(self.log), self.now, data, self.era))

    @rule(node=st.sampled_from(NODES), count=st.integers(1, 5))
    def read_records(self, node: str, count: int) -> None:
        for record in self.log[self.read[node] :][:count]:
            leases.apply_record(self.tables[node], node, record, Millis(self.now))
            self.read[node] += 1

    @rule(node=st.sampled_from(NODES))
    def decide_order(self, node: str) -> None:
        table = self.tables[node]
        holding = leases.find_holding(table, LEASE, Millis(self.now))
        if holding is not None:
            self.orders.append((holding.fencing, node))

    @rule(pick=st.integers(0, 10))
    def deliver_order(self, pick: int) -> None:
        if not self.orders:
            return
        fencing, node = self.orders.pop(pick % len(self.orders))
        if fencing < self.highest:
            return
        self.highest = fencing
        assert self.holders.setdefault(fencing, node) == node

    @invariant()
    def at_most_one_node_acts(self) -> None:
        acting = []
        for node, table in self.tables.items():
            if leases.find_holding(table, LEASE, Millis(self.now)):
                acting.append(node)
        assert len(acting) <= 1, f"{acting} act on {LEASES} at {self.now}"


LeaseMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)
TestLeaseMachine = LeaseMachine.TestCase


class RevertedLeaseMachine(LeaseMachine):
    """A log that also comes back from older copies, which nodes notice as they read."""

    def __init__(self) -> None:
        super().__init__()
        self.known_eras = dict.fromkeys(self.NODES, 0)

    @rule(lost=st.integers(1, 3))
    def revert(self, lost: int) -> None:
        self.era += 1
        kept = self.log[: max(0, len(self.log) - lost)]
        self.log = [replace(record, era=self.era) for record in kept]

    @rule(node=st.sampled_from(LeaseMachine.NODES), count=st.integers(1, 5))
    def read_records(self, node: str, count: int) -> None:
        if self.known_eras[node] != self.era:
            self.known_eras[node] = self.era
            self.read[node] = 0
            leases.forget_leases(self.tables[node])
        super().read_records(node, count)

    @invariant()
    def at_most_one_node_acts(self) -> None:
        """Check the nodes that know the era; fencing is for the others."""
        acting = []
        for node, table in self.tables.items():
            if self.known_eras[node] != self.era:
                continue
            if leases.find_holding(table, LEASE, Millis(self.now)):
                acting.append(node)
        assert len(acting) <= 1, f"{acting} act on {LEASES} at {self.now}"


RevertedLeaseMachine.TestCase.settings = LeaseMachine.TestCase.settings
TestRevertedLeaseMachine = RevertedLeaseMachine.TestCase
