"""Tests of computing and applying the differences between documents."""

from typing import Any

import pytest
from hypothesis import given, settings, strategies

from figstep.core.changes import (
    apply_changes,
    decode_changes,
    diff_documents,
    encode_changes,
)
from figstep.errors import ChangeError


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


_values = strategies.integers(0, 3) | strategies.lists(strategies.integers(0, 3))
_things = strategies.dictionaries(strategies.sampled_from("xyz"), _values, max_size=3)


@strategies.composite
def _documents(draw: Any) -> dict[str, Any]:
    document: dict[str, Any] = dict(draw(_things))
    named = draw(strategies.dictionaries(strategies.sampled_from("abc"), _things))
    document["things"] = [{**thing, "name": name} for name, thing in named.items()]
    return document


@settings(derandomize=True, deadline=None)
@given(before=_documents(), after=_documents())
def test_applied_differences_give_the_other_document(
    before: dict[str, Any], after: dict[str, Any]
) -> None:
    changes = decode_changes(encode_changes(diff_documents(before, after)))
    assert diff_documents(apply_changes(before, changes), after) == []


@pytest.mark.parametrize(
    "encoded",
    [
        [{"path": ["a", "b"], "after": 1}],
        [{"path": ["a", {"item": "x"}], "after": 1}],
        [{"path": [], "after": 1}],
        [{"path": [3], "after": 1}],
        [{"after": 1}],
        [7],
        7,
    ],
)
def test_changes_that_do_not_fit_are_refused(encoded: Any) -> None:
    with pytest.raises(ChangeError):
        apply_changes({"a": 1}, decode_changes(encoded))
