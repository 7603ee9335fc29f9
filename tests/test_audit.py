"""Tests of the audit trail of the configuration."""

from figstep.audit import read_trail
from figstep.core.records import LogRecord


def build_record(offset: int, **data: object) -> LogRecord:
    record = {"edit": f"e{offset}", "validation": 1, "document": {}, **data}
    return LogRecord(offset, 0, record)


def test_trail_after_truncation_starts_from_the_snapshot() -> None:
    """The log deleted its oldest records.

    Edits before the position of the first remaining snapshot have no known verdict.
    Edits after that position have one, also those stored before the snapshot itself.
    """
    records = [
        build_record(4, base=2),
        build_record(5, base=4),
        build_record(6, kind="snapshot", accepted=4, position=4),
        build_record(7, base=4),
        build_record(8, base=5),
    ]
    trail = read_trail(records)
    assert [(e.offset, e.verdict) for e in trail.entries] == [
        (4, "unknown"),
        (5, "accepted"),
        (7, "refused"),
        (8, "accepted"),
    ]
    assert trail.current is not None
    assert trail.current.accepted == 8


def test_damaged_records_are_refused_by_name() -> None:
    records = [
        LogRecord(0, 0, {"unheard": "of"}),
        LogRecord(1, 0, {"base": "x", "validation": 0, "document": []}),
        build_record(2, base=-1),
    ]
    trail = read_trail(records)
    assert [e.verdict for e in trail.entries] == ["refused", "refused", "accepted"]
    assert "document" in trail.entries[1].why


def test_changes_apply_to_the_document_that_they_were_made_from() -> None:
    changes = [{"path": ["rules", "deadline_ms"], "after": 5}]
    wrong = [{"path": ["rules", {"item": "x"}], "after": 5}]
    records = [
        build_record(0, base=-1),
        LogRecord(1, 0, {"base": 0, "validation": 1, "changes": changes}),
        LogRecord(2, 0, {"base": 0, "validation": 1, "changes": changes}),
        LogRecord(3, 0, {"base": 1, "validation": 1, "changes": wrong}),
    ]
    trail = read_trail(records)
    assert trail.current is not None
    assert trail.current.document == {"rules": {"deadline_ms": 5}}
    assert [entry.rule for entry in trail.entries] == ["", "", "base", "validation"]
