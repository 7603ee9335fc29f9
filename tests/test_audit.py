"""The audit trail and its field-level differences."""

import pytest

from figstep.audit import diff_documents, read_trail
from figstep.core.records import LogRecord


@pytest.mark.parametrize(
    ("before", "after", "lines"),
    [
        ({}, {"a": 1}, ["+ a: 1"]),
        ({"a": {"b": 1}}, {"a": {}}, ["- a.b: 1"]),
        ({"a": [1]}, {"a": [2]}, ["~ a: [1] -> [2]"]),
        (
            {"engines": [{"name": "x", "speed": 1}, {"name": "y"}]},
            {"engines": [{"name": "y"}, {"name": "x", "speed": 2}]},
            ["~ engines[x].speed: 1 -> 2"],
        ),
        ({}, {"draining": [{"target": "x"}]}, ["+ draining[x]: {'target': 'x'}"]),
        ({"a": False}, {"a": True}, ["~ a: False -> True"]),
    ],
)
def test_differences_by_field(before: object, after: object, lines: list[str]) -> None:
    assert [str(change) for change in diff_documents(before, after)] == lines


def build_record(offset: int, **data: object) -> LogRecord:
    record = {"edit": f"e{offset}", "validation": 1, "document": {}, **data}
    return LogRecord(offset, 0, record)


def test_trail_after_truncation_starts_from_the_snapshot() -> None:
    """The log dropped its beginning.

    Edits before the first kept snapshot cannot be judged any more; those after
    its position are, also the ones that came before its record.
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
