"""Tests of edits that the log lost when it came back from an older copy."""

import random
from dataclasses import replace
from typing import Any

import pytest

from figstep.core.clock import Millis
from figstep.core.configuration import build_checkpoint
from figstep.core.effects import AppendRecords, Effect
from figstep.core.events import (
    CheckpointOffered,
    ConfigurationRead,
    RestoreEditTimer,
    SnapshotRead,
    StreamCaughtUp,
    StreamRestarted,
    TimerFired,
)
from figstep.core.inventory import Inventory, ServiceInfo
from figstep.core.records import CONFIGURATION
from figstep.core.reducer import reduce
from figstep.core.state import State

NOW = Millis(0)


def build_edit(offset: int, name: str, base: int, time: int) -> ConfigurationRead:
    """Return an edit whose document has one service, with the name of the edit."""
    inventory = Inventory(services=(ServiceInfo(name, "shop", "http://x", "muc-a"),))
    return ConfigurationRead(
        offset, base, "ann", "why", inventory, edit=name, document={}, time=time
    )


def feed(state: State, *events: Any) -> list[Effect]:
    effects: list[Effect] = []
    for event in events:
        effects += reduce(state, event, NOW)
    return effects


def list_appended(effects: list[Effect]) -> list[dict[str, Any]]:
    appended = [effect for effect in effects if isinstance(effect, AppendRecords)]
    return [record for effect in appended for record in effect.records]


def name_document(state: State) -> str:
    """Return the name of the document in force."""
    assert state.inventory is not None
    return state.inventory.services[0].name


HISTORY = [build_edit(n, f"e{n}", n - 1, time=100 + n) for n in range(4)]
"""Edits e0 to e3."""

RESTARTED = StreamRestarted(CONFIGURATION, 1)
CAUGHT_UP = StreamCaughtUp(CONFIGURATION)


@pytest.fixture
def state() -> State:
    """Return an entry that has the last edit in force."""
    state = State("n1", "muc-a", random.Random(1))
    feed(state, *HISTORY, CAUGHT_UP)
    return state


def test_a_lost_document_stays_in_force_and_is_published_again(state: State) -> None:
    """Guards against a dropped key that works again after a return."""
    for event in (RESTARTED, *HISTORY[:2], CAUGHT_UP):
        feed(state, event)
        assert name_document(state) == "e3"
    records = list_appended(feed(state, TimerFired(RestoreEditTimer())))
    assert [(r["edit"], r["base"], r["base_edit"]) for r in records] == [
        ("e3", 1, "e1")
    ]
    feed(state, build_edit(2, "e3", 1, time=200))
    assert (name_document(state), state.configuration_offset) == ("e3", 2)
    assert list_appended(feed(state, TimerFired(RestoreEditTimer()))) == []


def test_a_document_that_the_copy_holds_is_not_published_again(state: State) -> None:
    feed(state, RESTARTED, *HISTORY, CAUGHT_UP)
    assert (name_document(state), state.configuration_offset) == ("e3", 3)
    assert list_appended(feed(state, TimerFired(RestoreEditTimer()))) == []


def test_an_edit_after_the_return_comes_in_force(state: State) -> None:
    """Guards against an edit that is ignored for its low offset."""
    feed(state, RESTARTED, *HISTORY[:2], build_edit(2, "new", 1, time=200), CAUGHT_UP)
    assert (name_document(state), state.configuration_offset) == ("new", 2)
    assert list_appended(feed(state, TimerFired(RestoreEditTimer()))) == []


def test_an_edit_that_names_a_lost_base_is_refused(state: State) -> None:
    """Guards against changes to another document at the same offset."""
    feed(state, RESTARTED, *HISTORY[:2], build_edit(2, "new", 1, time=200), CAUGHT_UP)
    late = replace(build_edit(3, "late", 2, time=201), base_edit="e2")
    assert "made from offset 2 but 2" in str(feed(state, late)[-1])
    assert name_document(state) == "new"
    sound = replace(build_edit(4, "sound", 2, time=202), base_edit="new")
    feed(state, sound)
    assert name_document(state) == "sound"


def test_a_snapshot_in_the_copy_undoes_no_lost_edit(state: State) -> None:
    """Guards against a snapshot of an older document that replaces a kept one."""
    checkpoint = replace(build_checkpoint(HISTORY[1]), era=1)
    feed(state, RESTARTED, SnapshotRead(2, checkpoint))
    assert name_document(state) == "e3"


def test_a_peer_in_an_older_era_changes_nothing(state: State) -> None:
    """Guards against offsets of an older era that are taken for progress."""
    feed(state, RESTARTED, *HISTORY[:2], CAUGHT_UP)
    offered = replace(build_checkpoint(HISTORY[3]), position=9)
    assert feed(state, CheckpointOffered(offered)) == []
    assert state.configuration.position == 1


def test_a_peer_in_a_newer_era_is_followed(state: State) -> None:
    """Guards against an entry without the log that ignores the offsets of a new era."""
    newer = build_checkpoint(build_edit(1, "new", 0, time=200), era=1)
    feed(state, CheckpointOffered(newer))
    assert (name_document(state), state.configuration_offset) == ("new", 1)


def test_two_returns_keep_the_document(state: State) -> None:
    """Guards against a second return that forgets the document in force."""
    feed(state, RESTARTED, *HISTORY[:2], StreamRestarted(CONFIGURATION, 2), HISTORY[0])
    assert name_document(state) == "e3"
    feed(state, CAUGHT_UP)
    [record] = list_appended(feed(state, TimerFired(RestoreEditTimer())))
    assert (record["edit"], record["base"]) == ("e3", 0)
