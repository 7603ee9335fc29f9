"""Tests of requests that crash their targets."""

from figstep.core.clock import Millis
from figstep.gateway.crashes import REMEMBERED_FOR, CrashTable
from figstep.gateway.effects import Note

NOW = Millis(100_000)


def test_refused_after_two_crashes_told_by_whomever() -> None:
    table = CrashTable()
    table.note_crash("digest", "engine-1@1", "itself", NOW)
    table.note_crash("digest", "engine-1@1", "itself", NOW)
    assert not table.is_refused("digest", NOW)
    table.note_crash("digest", "engine-2@1", "itself", NOW)
    assert table.is_refused("digest", NOW)
    assert not table.is_refused("other", NOW)


def test_a_run_to_the_end_clears_the_suspicion() -> None:
    table = CrashTable()
    table.note_crash("digest", "engine-1@1", "itself", NOW)
    table.clear("digest")
    table.note_crash("digest", "engine-2@1", "itself", NOW)
    assert not table.is_refused("digest", NOW)


def test_crashes_are_forgotten() -> None:
    table = CrashTable()
    table.note_crash("digest", "engine-1@1", "itself", NOW)
    table.note_crash("digest", "engine-2@1", "itself", NOW)
    later = Millis(NOW + REMEMBERED_FOR)
    assert not table.is_refused("digest", later)
    table.forget_old(later)
    assert table.list_recent(9) == []


def test_a_crash_is_logged_once_with_who_told_it() -> None:
    """Guards against suspicions that no log line tells."""
    table = CrashTable()
    [note] = table.note_crash("digest", "engine-1@1", "entry-2", NOW)
    assert isinstance(note, Note)
    assert note.fields["told_by"] == "entry-2"
    assert table.note_crash("digest", "engine-1@1", "itself", NOW) == []
