"""Tests of recognizing whether an answer's last event is a final one."""

import pytest

from figstep.core.finishes import is_unfinished


@pytest.mark.parametrize(
    ("data", "unfinished"),
    [
        (b'{"choices":[{"text":"a","finish_reason":null}]}', True),
        (b'{"choices":[{"delta":{"content":"a"}}]}', True),
        (b'{"choices":[{"text":"a","finish_reason":"stop"}]}', False),
        (b'{"choices":[{"text":"a","finish_reason":"length"}]}', False),
        (b'{"choices":[],"usage":{"total_tokens":3}}', False),
        (b'{"error":{"message":"out of memory"}}', True),
        (b"not JSON", False),
        (b"[1]", False),
    ],
)
def test_is_unfinished(data: bytes, unfinished: bool) -> None:
    assert is_unfinished(b"id: g:3\ndata: " + data + b"\n\n") is unfinished
