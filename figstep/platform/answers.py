"""Headers and reports in which targets describe their own state."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import aiohttp
import logbook
import orjson
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from figstep.core.clock import Millis
from figstep.errors import FrameError
from figstep.gateway.edges import AnswerHead
from figstep.gateway.events import EngineReported, Loss
from figstep.gateway.targets import ReportedRun
from figstep.platform import names

_log = logbook.Logger("figstep.answers")

MAX_RATE = 1e9
"""Largest rate that a target may name, in requests or rejections a second; a larger one
counts as this."""

MAX_PAUSE_SECONDS = 86_400.0
"""Longest pause that a target may ask for, in seconds; a longer one counts as this."""


class RefusedError(Exception):
    """An answer proves that the request did not run.

    Attributes:
        loss: REFUSED if the target did not run the request, MISDIRECTED if another
            target answered.
        retry_after: Time in milliseconds for which the target wants no requests; None
            if it named none.
        whole: Whether the answer ended.
    """

    def __init__(self, loss: Loss, retry_after: Millis | None) -> None:
        super().__init__(loss.value)
        self.loss = loss
        self.retry_after = retry_after
        self.whole = True


@dataclass(frozen=True, slots=True)
class TargetSignals:
    """State of a target according to one of its answers.

    Attributes:
        leaving: Whether the target accepts no new requests.
        rate: Requests a second that the target accepts from all entries together; None
            if the answer names no valid rate.
        rejections: Rejections a second that the target bears; None if the answer names
            no valid number.
        ends_rate: Whether the answer ends any rate that the target named before.
        ends_brittleness: Whether the answer ends any number of rejections that the
            target named before.
    """

    leaving: bool = False
    rate: float | None = None
    rejections: float | None = None
    ends_rate: bool = False
    ends_brittleness: bool = False


def read_target_signals(response: aiohttp.ClientResponse) -> TargetSignals:
    """Return what the headers of an answer report about its target.

    A number that is not valid is logged and ignored.
    """
    if response.status == 421:
        # Another target has the address, and its headers describe that target.
        return TargetSignals()
    # Only a signed answer, as targets give to requests, ends what it does not name.
    signed = names.SIGNATURE in response.headers
    return TargetSignals(
        leaving=names.LEAVING in response.headers,
        rate=_read_number(response, names.RATE),
        rejections=_read_number(response, names.BRITTLE),
        ends_rate=signed and names.RATE not in response.headers,
        ends_brittleness=signed and names.BRITTLE not in response.headers,
    )


def _read_number(response: aiohttp.ClientResponse, name: str) -> float | None:
    text = response.headers.get(name)
    if text is None:
        return None
    try:
        return parse_rate(text)
    except ValueError as error:
        _log.info("header ignored", extra={"header": name, "error": str(error)})
        return None


def check_answer(response: aiohttp.ClientResponse, request_id: str | None) -> None:
    """Check that an answer belongs to a request and does not state "not run".

    The id is not checked if ``request_id`` is None: the caller gave none.

    Raises:
        RefusedError: If the answer proves that the request did not run.
        FrameError: If the answer names another request or none.
    """
    if response.status == 421:
        raise RefusedError(Loss.MISDIRECTED, None)
    if names.NOT_RUN in response.headers:
        raise RefusedError(Loss.REFUSED, read_retry_after(response))
    echoed = response.headers.get(names.REQUEST_ID)
    if request_id is not None and echoed != request_id:
        raise FrameError(f"received the answer to {echoed!r} for {request_id!r}")


def rejects_query(response: aiohttp.ClientResponse) -> bool:
    """Return whether the expected target rejects a query, which it states as not run.

    Status 421 comes from another target, and no gateway before a target states that a
    request was not run.
    """
    return response.status != 421 and names.NOT_RUN in response.headers


def read_retry_after(response: aiohttp.ClientResponse) -> Millis | None:
    """Return the time of a Retry-After header; None if it is missing or invalid."""
    text = response.headers.get(names.RETRY_AFTER)
    if text is None:
        return None
    try:
        return parse_retry_after(text)
    except ValueError as error:
        _log.info("invalid Retry-After", extra={"error": str(error)})
        return None


def read_head(response: aiohttp.ClientResponse) -> AnswerHead:
    """Return the status of an answer and the headers that are sent to the caller."""
    headers = []
    for name, value in response.headers.items():
        if name.lower() not in names.CONNECTION_HEADERS:
            headers.append((name, value))
    return AnswerHead(response.status, tuple(headers))


def parse_rate(text: str) -> float:
    """Return the rate that a target accepts, in requests a second.

    It is ``MAX_RATE`` at most.

    Raises:
        ValueError: If the text is not a finite number of at least zero.
    """
    return min(_parse_number(text), MAX_RATE)


def parse_retry_after(text: str) -> Millis:
    """Return the milliseconds of a Retry-After header, which is given in seconds.

    They are those of ``MAX_PAUSE_SECONDS`` at most.

    Raises:
        ValueError: If the text is not a finite number of at least zero.
    """
    seconds = min(_parse_number(text), MAX_PAUSE_SECONDS)
    return Millis(round(seconds * 1_000))


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{text[:40]!r} is not a number of zero or more")
    return number


class _Report(BaseModel):
    model_config = ConfigDict(extra="ignore")

    state: str = "ready"
    # Set once the engine knows when it ends; only the presence of a value is used.
    leaves_ms: float | None = None
    kv_used: int | None = None  # tokens in memory that cannot be evicted
    born: int = 0  # start of the engine, in ms since the Unix epoch
    runs: Any = None  # rows of id, tokens, events and priority


def parse_report(target: str, body: bytes) -> EngineReported:
    """Return the state in an engine's report, which is JSON.

    Raises:
        ValueError: If the report is not valid.
    """
    report = _Report.model_validate(orjson.loads(body))
    ending = report.leaves_ms is not None
    leaving = ending or report.state != "ready"
    runs = tuple(_read_runs(report.runs))
    return EngineReported(target, leaving, report.kv_used, ending, report.born, runs)


class _RunRow(NamedTuple):
    id: str
    tokens: int
    events: int
    priority: int


_RUN_ROW = TypeAdapter(_RunRow)


def _read_runs(rows: object) -> Iterator[ReportedRun]:
    """Yield the runs in a report; rows of another form are left out."""
    if not isinstance(rows, list):
        return
    for row in rows:
        try:
            read = _RUN_ROW.validate_python(row)
        except ValidationError:
            continue
        yield ReportedRun(read.id, read.tokens, read.events)
