"""Tests of the summary of requests from the logs of entries."""

from pathlib import Path
from typing import Any

import orjson
import pytest
from typer.testing import CliRunner

from figstep.account import (
    LatencyLimits,
    Outcome,
    RequestTrace,
    Row,
    classify_request,
    read_traces,
    summarize_traces,
)
from figstep.cli import app

OPENED = {"message": "attempt opened", "target": "e-1", "waited_ms": 0}
ORDERED = {"message": "copy ordered", "from": "e-1", "to": "e-2"}
MADE = {"message": "copy made", "from": "e-1", "to": "e-2"}
FAILED = {"message": "copy failed", "from": "e-1", "to": "e-2"}
GOES_ON = {"message": "attempt opened", "target": "e-2", "goes_on_from": "e-1"}
LOST = {
    "message": "attempt lost",
    "target": "e-1",
    "standing": "leaving",
    "loss": "broken",
}


def end(outcome: str, **fields: Any) -> dict[str, Any]:
    return {"message": "request ended", "outcome": outcome, "route": "plan", **fields}


@pytest.mark.parametrize(
    ("lines", "outcome", "cause"),
    [
        ([OPENED, end("whole stream", first_ms=400)], Outcome.ON_TIME, ""),
        (
            [{**OPENED, "waited_ms": 1_500}, end("whole stream", first_ms=2_000)],
            Outcome.LATE,
            "waited for room",
        ),
        (
            [OPENED, end("whole stream", first_ms=2_000)],
            Outcome.LATE,
            "its prompt was read late",
        ),
        (
            [OPENED, end("whole stream", longest_pause_ms=500)],
            Outcome.LATE,
            "its engine paused",
        ),
        (
            [
                OPENED,
                {"message": "stream goes on elsewhere", "pause_ms": 300},
                end("whole stream", longest_pause_ms=300),
            ],
            Outcome.LATE,
            "went on elsewhere late",
        ),
        ([end("refused", reason="no_room")], Outcome.REFUSED, "no_room"),
        (
            [{"message": "request turned away", "reason": "no_route"}],
            Outcome.REFUSED,
            "no_route",
        ),
        ([OPENED, end("caller gone")], Outcome.CALLER_GONE, ""),
        ([OPENED], Outcome.OPEN, "its entry ended, or the log does"),
        (
            [OPENED, LOST, end("broken")],
            Outcome.BROKEN,
            "no copy was ordered before its engine left",
        ),
        (
            [OPENED, ORDERED, LOST, end("broken")],
            Outcome.BROKEN,
            "its copy was not made before its engine left",
        ),
        (
            [OPENED, ORDERED, FAILED, LOST, end("broken")],
            Outcome.BROKEN,
            "no engine took its copy",
        ),
        (
            [OPENED, ORDERED, MADE, LOST, end("broken")],
            Outcome.BROKEN,
            "its copy was not used before its engine left",
        ),
        (
            [OPENED, ORDERED, MADE, GOES_ON, LOST, end("broken")],
            Outcome.BROKEN,
            "its copy's holder did not go on in time",
        ),
        (
            [OPENED, {**LOST, "standing": "ready"}, end("broken")],
            Outcome.BROKEN,
            "its target was lost without notice: broken",
        ),
    ],
)
def test_a_request_is_classified_by_its_log_lines(
    lines: list[dict[str, Any]], outcome: Outcome, cause: str
) -> None:
    assert classify_request(RequestTrace(lines), LatencyLimits()) == (outcome, cause)


def test_a_resumed_request_whose_new_engine_leaves_lacked_a_copy() -> None:
    lines = [OPENED, ORDERED, MADE, GOES_ON, {**LOST, "target": "e-2"}, end("broken")]
    cause = "no copy was ordered before its engine left"
    assert classify_request(RequestTrace(lines), LatencyLimits()) == (
        Outcome.BROKEN,
        cause,
    )


def write_line(request: str, document: dict[str, Any], prefix: str = "") -> str:
    return prefix + orjson.dumps({**document, "request": request}).decode()


def test_lines_with_a_prefix_are_read_and_others_skipped() -> None:
    lines = [
        write_line("r-1", OPENED, "   1.25 entry muc-a-1 "),
        "Traceback (most recent call last):",
        "{not json",
        '{"message":"started"}',
        "[1]",
        write_line("r-1", end("answered")),
    ]
    traces = read_traces(lines)
    assert list(traces) == ["r-1"]
    assert len(traces["r-1"].lines) == 2


def test_requests_are_counted_by_route_outcome_and_cause() -> None:
    lines = []
    for number in range(3):
        lines.append(write_line(f"r-{number}", OPENED))
        lines.append(write_line(f"r-{number}", end("whole stream", events=10)))
    lines.append(write_line("r-9", end("refused", reason="no_room")))
    rows = summarize_traces(read_traces(lines), LatencyLimits())
    assert rows == [
        Row("plan", Outcome.ON_TIME, "", 3, 30),
        Row("plan", Outcome.REFUSED, "no_room", 1, 0),
    ]


def test_the_command_prints_a_table(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text(write_line("r-1", end("refused", reason="no_room")) + "\n")
    result = CliRunner().invoke(app, ["account", str(log)])
    assert result.exit_code == 0
    assert "no_room" in result.output
