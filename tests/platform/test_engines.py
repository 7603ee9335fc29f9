"""Tests of what targets say of themselves."""

import pytest

from figstep.platform.engines import parse_report


@pytest.mark.parametrize(
    ("body", "leaving"),
    [
        (b'{"phase":"both","queued":1}', False),
        (b'{"state":"ready","leaves_ms":null}', False),
        (b'{"state":"ready","leaves_ms":1400}', True),
        (b'{"state":"draining"}', True),
    ],
)
def test_a_report_tells_whether_the_engine_leaves(body: bytes, leaving: bool) -> None:
    assert parse_report(body) is leaving


@pytest.mark.parametrize("body", [b"", b"[]", b'{"leaves_ms":"soon"}'])
def test_a_report_that_is_none_is_refused(body: bytes) -> None:
    with pytest.raises(ValueError, match=r".+"):
        parse_report(body)
