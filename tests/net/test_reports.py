"""Tests of parsing the load reports of engines."""

from typing import Any

import pytest

from figstep.core.events import LoadReported
from figstep.net.reports import parse_report


def test_a_report_without_fields_is_an_idle_engine() -> None:
    assert parse_report("e1", {}) == LoadReported("e1")


@pytest.mark.parametrize(
    "document", [[], None, {"running": "many"}, {"models": 3}, {"memory_used": None}]
)
def test_a_report_of_the_wrong_shape_is_refused(document: Any) -> None:
    with pytest.raises((TypeError, ValueError)):
        parse_report("e1", document)
