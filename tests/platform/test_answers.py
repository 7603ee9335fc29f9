"""Tests of the headers and reports in which targets describe their state."""

from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from figstep.gateway.events import EngineReported
from figstep.platform.answers import (
    TargetSignals,
    parse_rate,
    parse_report,
    parse_retry_after,
    read_target_signals,
)


@pytest.mark.parametrize(
    ("body", "leaving", "memory", "ending"),
    [
        (b'{"phase":"both","queued":1}', False, None, False),
        (b'{"state":"ready","leaves_ms":null,"kv_used":0}', False, 0, False),
        (b'{"state":"ready","leaves_ms":1400,"kv_used":4100}', True, 4100, True),
        (b'{"state":"draining"}', True, None, False),
    ],
)
def test_a_report_contains_leaving_state_and_memory(
    body: bytes, leaving: bool, memory: int | None, ending: bool
) -> None:
    report = parse_report("e-1", body)
    assert report == EngineReported("e-1", leaving, memory, ending)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"leaves_ms":"soon"}', b'{"kv_used":[]}']
)
def test_an_invalid_report_is_refused(body: bytes) -> None:
    with pytest.raises(ValueError, match=r".+"):
        parse_report("e-1", body)


@pytest.mark.parametrize(
    ("text", "rate"), [("1.9", 1.9), ("0", 0.0), ("25", 25.0), (" 0.5 ", 0.5)]
)
def test_a_rate_is_a_decimal_number(text: str, rate: float) -> None:
    assert parse_rate(text) == rate


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf"])
def test_an_invalid_rate_is_refused(text: str) -> None:
    """Guards against an invalid rate that stops all requests or removes the limit."""
    with pytest.raises(ValueError, match=r".+"):
        parse_rate(text)


@pytest.mark.parametrize(
    ("text", "pause"), [("2", 2_000), ("0.25", 250), ("0", 0), ("120", 120_000)]
)
def test_retry_after_is_in_seconds(text: str, pause: int) -> None:
    assert parse_retry_after(text) == pause


@pytest.mark.parametrize("text", ["1e308", "1e300", "86401", "9" * 300])
def test_a_pause_without_measure_is_a_day(text: str) -> None:
    """Guards against a refusal that is lost as its pause exceeds all numbers."""
    assert parse_retry_after(text) == 86_400_000


@pytest.mark.parametrize("text", ["", "nan", "inf", "-3", "Thu, 03 Dec 2026"])
def test_an_invalid_retry_after_is_refused(text: str) -> None:
    """Guards against an answer that is lost because its Retry-After is invalid."""
    with pytest.raises(ValueError, match=r".+"):
        parse_retry_after(text)


@pytest.mark.parametrize(
    ("status", "headers", "signals"),
    [
        (200, {"server-limit": "1.9"}, TargetSignals(rate=1.9)),
        (503, {"Server-Limit": "0", "Server-Leaving": "1"}, TargetSignals(True, 0.0)),
        (
            500,
            {"Server-Stamp": "s"},
            TargetSignals(ends_rate=True, ends_brittleness=True),
        ),
        (200, {"Server-Brittle": "4"}, TargetSignals(rejections=4.0)),
        (503, {"Server-Brittle": "0"}, TargetSignals(rejections=0.0)),
        (200, {"Server-Limit": "1e308"}, TargetSignals(rate=1e9)),
        (200, {"Server-Brittle": "9" * 300}, TargetSignals(rejections=1e9)),
        (200, {"Server-Leaving": "1"}, TargetSignals(leaving=True)),
        (200, {}, TargetSignals()),
        (
            200,
            {"Server-Limit": "few", "Server-Stamp": "s"},
            TargetSignals(ends_brittleness=True),
        ),
        (
            200,
            {"Server-Brittle": "few", "Server-Stamp": "s"},
            TargetSignals(ends_rate=True),
        ),
        (421, {"Server-Limit": "1", "Server-Leaving": "1"}, TargetSignals()),
    ],
)
def test_target_signals_of_an_answer(
    status: int, headers: dict[str, str], signals: TargetSignals
) -> None:
    """Guards against headers that are missed, misread, or applied to another target."""
    response = SimpleNamespace(status=status, headers=CIMultiDict(headers))
    assert read_target_signals(response) == signals  # type: ignore[arg-type]


def test_a_report_contains_the_start_of_the_engine() -> None:
    """Guards against a restart that no report shows."""
    report = parse_report("e-1", b'{"state":"ready","born":1764860400123}')
    assert report.born == 1_764_860_400_123
