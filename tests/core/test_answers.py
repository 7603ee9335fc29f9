"""Tests of the decision whether the body of an answer is complete."""

import pytest

from figstep.core.answers import (
    Body,
    MarkedStream,
    NumberedStream,
    explain_incomplete,
)


@pytest.mark.parametrize(
    "end",
    [
        NumberedStream(delimited=False, events=3, remainder=0),
        NumberedStream(delimited=True, events=3, remainder=0),
        NumberedStream(delimited=True, events=0, remainder=0),
        NumberedStream(delimited=True, events=3, remainder=0, outlived=False),
        Body(delimited=True, length=5, outlived=False),
        MarkedStream(marked=True),
        Body(delimited=True, length=0),
        Body(delimited=False, length=5),
    ],
)
def test_complete_answers(end: NumberedStream | MarkedStream | Body) -> None:
    assert explain_incomplete(end) == ""


@pytest.mark.parametrize(
    "end",
    [
        NumberedStream(delimited=False, events=3, remainder=1),
        NumberedStream(delimited=True, events=3, remainder=1),
        NumberedStream(delimited=False, events=0, remainder=0),
        NumberedStream(delimited=False, events=0, remainder=9),
        NumberedStream(delimited=False, events=3, remainder=0, outlived=False),
        Body(delimited=False, length=5, outlived=False),
        MarkedStream(marked=False),
        Body(delimited=False, length=0),
    ],
)
def test_incomplete_answers(end: NumberedStream | MarkedStream | Body) -> None:
    assert explain_incomplete(end)
