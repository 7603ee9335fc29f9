"""Tests of folding the configuration stream into the document in force."""

from dataclasses import replace
from typing import Any

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from figstep.core.clock import Millis
from figstep.core.configuration import encode_snapshot
from figstep.core.effects import AppendRecords, Effect, ReadConfigurationFrom
from figstep.core.events import (
    Checkpoint,
    CheckpointOffered,
    ConfigurationRead,
    SnapshotRead,
    SnapshotTimer,
    TimerFired,
)
from figstep.core.inventory import DrainMark, EvacuationMark, Inventory, ServiceInfo
from figstep.core.reducer import reduce
from figstep.core.state import State

NOW = Millis(0)


def build_edit(offset: int, base: int, **changes: Any) -> ConfigurationRead:
    read = ConfigurationRead(offset, base, "ann", "why", Inventory(), edit=f"e{offset}")
    return replace(read, **changes)


def build_checkpoint(accepted: int, position: int) -> Checkpoint:
    return Checkpoint(accepted, position, f"e{accepted}", "ann", "", 1, {}, Inventory())


def feed(state: State, *events: Any) -> list[Effect]:
    effects: list[Effect] = []
    for event in events:
        effects += reduce(state, event, NOW)
    return effects


def test_racing_edits_accept_exactly_one() -> None:
    """Guards against two concurrent edits that are both accepted.

    Two operators publish from the same document. Both records are in the log; the first
    by offset comes into force, and every node refuses the second and names the first.
    """
    state = State("a")
    effects = feed(state, build_edit(0, -1), build_edit(1, 0), build_edit(2, 0))
    assert state.configuration_offset == 1
    assert "1 by ann is in force" in str(effects[-1])


def test_invalid_document_keeps_the_old_one() -> None:
    state = State("a")
    bad = build_edit(1, 0, inventory=None, problems=("engines.0.speed: wrong",))
    feed(state, build_edit(0, -1), bad, build_edit(2, 0))
    assert state.configuration_offset == 2


def test_unknown_validation_version_stalls_until_a_checkpoint() -> None:
    """Guards against an older program that diverges from newer nodes.

    The program reads an edit made for newer validation rules and cannot know whether
    the others accepted it. It keeps its document and evaluates no later edit either,
    since those depend on that one. A later checkpoint resolves the stall.
    """
    state = State("a")
    unknown = build_edit(1, 0, inventory=None, known=False, validation=2)
    feed(state, build_edit(0, -1), unknown, build_edit(2, 0), build_edit(3, 1))
    assert state.configuration_offset == 0
    assert "validation version 2" in state.configuration.stalled
    effects = feed(state, CheckpointOffered(build_checkpoint(3, 3)))
    assert ReadConfigurationFrom(4) in effects
    assert state.configuration_offset == 3
    assert state.configuration.stalled == ""


def test_start_after_truncation_needs_a_snapshot_that_joins_on() -> None:
    """Guards against a new node that takes a stale edit for the first document.

    The beginning of the log is truncated, and an edit based on no document must not be
    accepted. The snapshot stands for offset 4 at position 5, so the node reads again
    from 6 and evaluates the edit between the snapshot's position and its record.
    """
    state = State("a")
    feed(state, build_edit(6, 4), build_edit(7, -1))
    assert state.configuration_offset == -1
    effects = feed(state, SnapshotRead(8, build_checkpoint(4, 5)))
    assert ReadConfigurationFrom(6) in effects
    assert state.configuration_offset == 4
    feed(state, build_edit(6, 4), build_edit(7, -1))
    feed(state, SnapshotRead(8, build_checkpoint(4, 5)), build_edit(9, 6))
    assert state.configuration_offset == 9


def test_equal_snapshots_change_nothing() -> None:
    state = State("a")
    snapshot = build_checkpoint(0, 0)
    feed(state, build_edit(0, -1), SnapshotRead(1, snapshot), SnapshotRead(2, snapshot))
    assert state.configuration_offset == 0
    feed(state, build_edit(3, 0))
    assert state.configuration_offset == 3


def test_older_checkpoint_from_a_peer_is_ignored() -> None:
    state = State("a")
    feed(state, build_edit(0, -1), build_edit(1, 0))
    feed(state, CheckpointOffered(build_checkpoint(0, 0)))
    assert state.configuration_offset == 1
    feed(state, CheckpointOffered(build_checkpoint(0, 9)))
    assert (state.configuration_offset, state.configuration.position) == (1, 1)


def test_snapshot_is_appended_only_when_due() -> None:
    state = State("a", retention=Millis(300))
    feed(state, build_edit(0, -1))
    timer = TimerFired(SnapshotTimer())
    appended = [e for e in feed(state, timer) if isinstance(e, AppendRecords)]
    assert appended[0].records[0]["position"] == 0
    feed(state, SnapshotRead(1, build_checkpoint(0, 0)))
    assert not any(isinstance(e, AppendRecords) for e in feed(state, timer))
    effects = reduce(state, timer, Millis(100))
    assert any(isinstance(e, AppendRecords) for e in effects)


def test_draining_is_set_and_cleared_by_the_document() -> None:
    state = State("a")
    service = ServiceInfo("booking-1", "booking", "http://h", "ie-a")
    plain = Inventory(services=(service,))
    drained = replace(plain, draining=(DrainMark("booking-1"),))
    feed(state, build_edit(0, -1, inventory=drained))
    assert state.targets["booking-1"].draining
    feed(state, build_edit(1, 0, inventory=plain))
    assert not state.targets["booking-1"].draining


def test_an_evacuation_drains_all_targets_of_its_failure_domain() -> None:
    """Guards against targets that an evacuated failure domain gains later."""
    state = State("a")
    first = ServiceInfo("booking-1", "booking", "http://h", "ie-a")
    other = ServiceInfo("booking-2", "booking", "http://h", "ie-b")
    later = ServiceInfo("booking-3", "booking", "http://h", "ie-a")
    marks = (EvacuationMark("ie-a"),)
    feed(state, build_edit(0, -1, inventory=Inventory(services=(first, other))))
    evacuated = Inventory(services=(first, other, later), evacuated=marks)
    feed(state, build_edit(1, 0, inventory=evacuated))
    drained = {name for name, target in state.targets.items() if target.draining}
    assert drained == {"booking-1", "booking-3"}


class FoldMachine(RuleBasedStateMachine):
    """Nodes that read one log late, with lost answers and after truncation."""

    NODES = 3

    def __init__(self) -> None:
        super().__init__()
        self.records: list[ConfigurationRead | SnapshotRead] = []
        self.earliest = 0
        self.reference = State("reference")
        self.history: list[int] = [-1]
        self.nodes = [State(f"n{number}") for number in range(self.NODES)]
        self.next = [0] * self.NODES
        self.accepted_offsets: list[list[int]] = [[-1] for _ in range(self.NODES)]

    def append(self, record: ConfigurationRead | SnapshotRead) -> None:
        self.records.append(record)
        reduce(self.reference, record, NOW)
        if self.reference.configuration_offset != self.history[-1]:
            self.history.append(self.reference.configuration_offset)

    def deliver(self, number: int, event: Any) -> None:
        node = self.nodes[number]
        for effect in reduce(node, event, NOW):
            if isinstance(effect, ReadConfigurationFrom):
                self.next[number] = effect.offset
        if node.configuration_offset != self.accepted_offsets[number][-1]:
            self.accepted_offsets[number].append(node.configuration_offset)

    @rule(back=strategies.integers(0, 2), valid=strategies.booleans())
    def publish(self, back: int, valid: bool) -> None:
        """Publish an edit based on the document in force, or on an older one."""
        base = self.history[max(0, len(self.history) - 1 - back)]
        offset = len(self.records)
        edit = build_edit(offset, base, inventory=Inventory() if valid else None)
        self.append(edit)

    @rule(number=strategies.integers(0, NODES - 1))
    def snapshot(self, number: int) -> None:
        """Let a node, which may lag, append a snapshot."""
        fold = self.nodes[number].configuration
        if fold.current is None:
            return
        record = encode_snapshot(fold.current, fold.position)
        checkpoint = replace(fold.current, position=record["position"])
        self.append(SnapshotRead(len(self.records), checkpoint))

    @rule(number=strategies.integers(0, NODES - 1), count=strategies.integers(1, 4))
    def read(self, number: int, count: int) -> None:
        """Let a node read on; truncated records are skipped."""
        for _ in range(count):
            offset = max(self.next[number], self.earliest)
            if offset >= len(self.records):
                return
            self.next[number] = offset + 1
            self.deliver(number, self.records[offset])

    @rule(number=strategies.integers(0, NODES - 1))
    def read_again(self, number: int) -> None:
        """Let a node read records again, as after a lost answer."""
        self.next[number] = max(self.earliest, self.next[number] - 2)

    @rule(keep=strategies.integers(0, 3))
    def truncate(self, keep: int) -> None:
        """Drop the oldest records of the log and keep the newest ``keep``."""
        self.earliest = max(self.earliest, len(self.records) - keep)

    @rule(
        provider=strategies.integers(0, NODES - 1), recipient=strategies.integers(0, 2)
    )
    def offer(self, provider: int, recipient: int) -> None:
        """Let a node offer its checkpoint, perhaps an old one, to another."""
        fold = self.nodes[provider].configuration
        if fold.current is None:
            return
        checkpoint = replace(fold.current, position=fold.position)
        self.deliver(recipient, CheckpointOffered(checkpoint))

    @rule(number=strategies.integers(0, NODES - 1))
    def restart(self, number: int) -> None:
        """Replace a node with one that has an empty state."""
        self.nodes[number] = State(f"n{number}")
        self.next[number] = 0
        self.accepted_offsets[number] = [-1]

    @precondition(lambda self: self.reference.configuration.current is not None)
    @rule(number=strategies.integers(0, NODES - 1))
    def settle(self, number: int) -> None:
        """Check that a node reaches the reference document after a fitting snapshot."""
        fold = self.reference.configuration
        assert fold.current is not None
        checkpoint = replace(fold.current, position=fold.position)
        self.append(SnapshotRead(len(self.records), checkpoint))
        while max(self.next[number], self.earliest) < len(self.records):
            self.read(number, 1)
        node = self.nodes[number]
        assert node.configuration_offset == self.reference.configuration_offset

    @invariant()
    def accepted_sequence_is_the_same_and_never_goes_back(self) -> None:
        for accepted_offsets in self.accepted_offsets:
            assert accepted_offsets == sorted(set(accepted_offsets))
            assert set(accepted_offsets) <= set(self.history)


TestFold = FoldMachine.TestCase
TestFold.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
