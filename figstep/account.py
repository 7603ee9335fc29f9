"""Summary of requests from the logs of entries: outcome and cause of each.

Each log line holds one JSON object. Text before the object, such as a time or the name
of an instance, is ignored.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import orjson

NO_TARGET_LOST = "no target was lost"


class Outcome(Enum):
    """Outcome of a request."""

    ON_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    BROKEN = "broken"
    CALLER_GONE = "caller gone"
    OPEN = "open at the end"


@dataclass(frozen=True, slots=True)
class LatencyLimits:
    """Times above which an answer counts as late.

    Attributes:
        first: Maximum time to the first event, in milliseconds.
        pause: Maximum pause between two events, in milliseconds.
    """

    first: int = 1_800
    pause: int = 180


@dataclass(slots=True)
class RequestTrace:
    """Parsed log lines of one request, in the order in which they were written."""

    lines: list[dict[str, Any]] = field(default_factory=list)

    def find_last(self, message: str) -> dict[str, Any] | None:
        """Return the last line with the given message, or None."""
        found = [line for line in self.lines if line["message"] == message]
        return found[-1] if found else None

    def find_first(self, message: str) -> dict[str, Any] | None:
        """Return the first line with the given message, or None."""
        found = [line for line in self.lines if line["message"] == message]
        return found[0] if found else None


@dataclass(frozen=True, slots=True)
class Row:
    """Number of requests of a route with the same outcome and cause.

    Attributes:
        route: Route of the requests; "" if no line names it.
        cause: Cause of the outcome as far as it is logged; "" if none is logged
            and for outcomes that need none.
        events: Number of events that were delivered for these requests.
    """

    route: str
    outcome: Outcome
    cause: str
    requests: int
    events: int


def read_traces(lines: Iterable[str]) -> dict[str, RequestTrace]:
    """Return the log lines of each request by its id.

    Lines without a JSON object, a message or a request id are skipped.
    """
    traces: dict[str, RequestTrace] = defaultdict(RequestTrace)
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            # The log may also contain lines of other programs.
            continue
        if not isinstance(document, dict) or "message" not in document:
            continue
        request = document.get("request")
        if isinstance(request, str):
            traces[request].lines.append(document)
    return dict(traces)


def summarize_traces(
    traces: dict[str, RequestTrace], limits: LatencyLimits
) -> list[Row]:
    """Count requests by route, outcome and cause.

    Returns:
        Rows sorted by route, then alphabetically by the text of the outcome, then by
        descending number of requests.
    """
    counts: Counter[tuple[str, Outcome, str]] = Counter()
    events: Counter[tuple[str, Outcome, str]] = Counter()
    for trace in traces.values():
        end = trace.find_last("request ended")
        outcome, cause = classify_request(trace, limits)
        route = "" if end is None else str(end.get("route", ""))
        key = (route, outcome, cause)
        counts[key] += 1
        events[key] += 0 if end is None else int(end.get("events", 0))
    rows = [Row(*key, count, events[key]) for key, count in counts.items()]
    rows.sort(key=lambda row: (row.route, row.outcome.value, -row.requests))
    return rows


def classify_request(trace: RequestTrace, limits: LatencyLimits) -> tuple[Outcome, str]:
    """Return the outcome of a request and its cause, or "" for no logged cause."""
    end = trace.find_last("request ended")
    if end is None:
        turned_away = trace.find_last("request turned away")
        if turned_away is not None:
            return Outcome.REFUSED, str(turned_away.get("reason", ""))
        return Outcome.OPEN, "its entry ended, or the log does"
    match end.get("outcome"):
        case "whole stream" | "answered":
            return _classify_answer(trace, end, limits)
        case "refused":
            return Outcome.REFUSED, str(end.get("reason", ""))
        case "caller gone":
            return Outcome.CALLER_GONE, ""
        case _:
            return Outcome.BROKEN, _explain_loss(trace, end)


def _classify_answer(
    trace: RequestTrace, end: dict[str, Any], limits: LatencyLimits
) -> tuple[Outcome, str]:
    if end.get("first_ms", 0) > limits.first:
        return Outcome.LATE, _explain_late_start(trace, limits)
    if end.get("longest_pause_ms", 0) > limits.pause:
        return Outcome.LATE, _explain_pause(trace, limits)
    return Outcome.ON_TIME, ""


def _explain_late_start(trace: RequestTrace, limits: LatencyLimits) -> str:
    opened = trace.find_first("attempt opened")
    if opened is not None and opened.get("waited_ms", 0) > limits.first / 2:
        return "waited for room"
    return "its prompt was read late"


def _explain_pause(trace: RequestTrace, limits: LatencyLimits) -> str:
    for line in trace.lines:
        if line["message"] != "stream goes on elsewhere":
            continue
        if line.get("pause_ms", 0) > limits.pause:
            return "went on elsewhere late"
    return "its engine paused"


def _explain_loss(trace: RequestTrace, end: dict[str, Any]) -> str:
    lost = trace.find_last("attempt lost")
    if lost is None:
        return str(end.get("reason", NO_TARGET_LOST))
    if lost.get("standing") == "ready":
        return f"its target was lost without notice: {lost.get('loss')}"
    if trace.find_last("repeat denied by the fleet's budget") is not None:
        return "the retry budget denied to go on"
    return _explain_lost_in_notice(trace, lost)


def _explain_lost_in_notice(trace: RequestTrace, lost: dict[str, Any]) -> str:
    last = None
    for line in trace.lines:
        if line["message"] in ("copy ordered", "copy made", "copy failed"):
            last = line
        if line["message"] == "attempt opened" and line.get("goes_on_from"):
            last = line
    if last is None:
        return "no copy was ordered before its engine left"
    match last["message"]:
        case "copy ordered":
            return "its copy was not made before its engine left"
        case "copy failed":
            return "no engine took its copy"
        case "copy made":
            return "its copy was not used before its engine left"
        case _ if last.get("target") == lost.get("target"):
            return "no copy was ordered before its engine left"
        case _:
            return "its copy's holder did not go on in time"


def format_rows(rows: list[Row]) -> str:
    """Return the rows as a text table."""
    width = max([len(row.cause) for row in rows], default=0)
    lines = [f"{'route':12} {'outcome':16} {'cause':{width}} requests events"]
    for row in rows:
        lines.append(
            f"{row.route[:12]:12} {row.outcome.value:16} {row.cause:{width}} "
            f"{row.requests:8} {row.events:6}"
        )
    return "\n".join(lines)
