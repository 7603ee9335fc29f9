"""Edits that the log lost when it came back from an older copy.

The document in force stays in force while the log is read anew, up to the record of its
edit or an edit that the log stored later. If the log holds neither, one entry appends
the document again, as an edit of what the log holds.
"""

from typing import Any

from figstep.core.clock import SECOND, Millis
from figstep.core.effects import AppendRecords, Count, Effect, Note, WakeAt
from figstep.core.events import Checkpoint, RestoreEditTimer
from figstep.core.records import CONFIGURATION
from figstep.core.state import State

EDIT = "edit"
"""Kind of a record that holds an edit of the document."""

MIN_RESTORE_DELAY = Millis(300)
"""Shortest delay before a lost edit is appended again, in milliseconds."""
MAX_RESTORE_DELAY = Millis(5 * SECOND)
"""Longest delay before a lost edit is appended again, in milliseconds.

Within it one entry of a large fleet appends the edit and most others read it before
they would append it too.
"""
RESTORE_APPEND_KEY = -3
"""Key of all appends of lost edits, which are repeated until one is read."""


def begin_era(state: State, era: int) -> list[Effect]:
    """Fold the stream from its begin, and keep the document in force meanwhile."""
    fold = state.configuration
    if fold.kept is None:
        fold.kept = fold.current
    fold.era = era
    fold.position = -1
    fold.current = None
    fold.stalled = ""
    fold.snapshot_position = -1
    fold.snapshot_made = None
    # Offsets of an era before say nothing of what is in force.
    state.configuration_offset = -1
    kept = "" if fold.kept is None else fold.kept.edit
    message = "configuration read in another era of the log"
    return [Count("configuration.eras"), Note(message, {"era": era, "kept": kept})]


def supersedes(accepted: Checkpoint, kept: Checkpoint) -> bool:
    """Return whether an accepted edit is the kept one or was stored later."""
    return accepted.edit == kept.edit or accepted.time > kept.time


def handle_caught_up(state: State, now: Millis) -> list[Effect]:
    """Schedule that the kept document is appended if the log does not hold it."""
    if state.configuration.kept is None:
        return []
    delay = state.rng.randrange(MIN_RESTORE_DELAY, MAX_RESTORE_DELAY)
    return [WakeAt(RestoreEditTimer(), Millis(now + delay))]


def restore_edit(state: State, now: Millis) -> list[Effect]:
    """Append the kept document unless the log was seen to hold it or a later one.

    It is appended again after a while, as the append may have been lost. Of several
    edits from the same base the first one is accepted.
    """
    fold = state.configuration
    if fold.kept is None or fold.stalled:
        return []
    record = _build_edit(fold.kept, fold.current)
    return [
        AppendRecords(CONFIGURATION, RESTORE_APPEND_KEY, [record]),
        Count("configuration.restored"),
        Note("edit appended again: the log has lost it", {"edit": fold.kept.edit}),
        WakeAt(RestoreEditTimer(), Millis(now + MAX_RESTORE_DELAY)),
    ]


def _build_edit(kept: Checkpoint, current: Checkpoint | None) -> dict[str, Any]:
    return {
        "kind": EDIT,
        "edit": kept.edit,
        "base": -1 if current is None else current.accepted,
        "base_edit": "" if current is None else current.edit,
        "author": kept.author,
        "reason": kept.reason,
        "validation": kept.validation,
        "document": kept.document,
    }
