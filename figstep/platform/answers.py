"""What targets' answers say, beside what goes to the caller."""

import math
from dataclasses import dataclass

import aiohttp
import logbook
import orjson
from pydantic import BaseModel, ConfigDict

from figstep.core.clock import Millis
from figstep.errors import FrameError
from figstep.gateway.edges import AnswerHead
from figstep.gateway.events import EngineReported, Loss
from figstep.platform import names

_log = logbook.Logger("figstep.answers")


class RefusedError(Exception):
    """The target says that it did not run the request.

    Attributes:
        loss: Why.
        retry_after: For how long it wants nothing, or None.
    """

    def __init__(self, loss: Loss, retry_after: Millis | None) -> None:
        super().__init__(loss.value)
        self.loss = loss
        self.retry_after = retry_after


@dataclass(frozen=True, slots=True)
class TargetSignals:
    """What an answer says of the target that gave it.

    Attributes:
        leaving: Whether the target leaves.
        rate: Requests a second that it takes from all callers; None if it names
            none.
        ends_rate: Whether it shows that a rate named before holds no more.
    """

    leaving: bool = False
    rate: float | None = None
    ends_rate: bool = False


def read_target_signals(response: aiohttp.ClientResponse) -> TargetSignals:
    """Return what an answer says of its target."""
    if response.status == 421:
        # Another target has the address and speaks of itself.
        return TargetSignals()
    leaving = names.LEAVING in response.headers
    text = response.headers.get(names.RATE)
    if text is None:
        # Only the answer to a request, which is signed, shows that a need is over.
        return TargetSignals(leaving, None, names.SIGNATURE in response.headers)
    try:
        return TargetSignals(leaving, parse_rate(text))
    except ValueError as error:
        _log.info("no rate", extra={"error": str(error)})
        return TargetSignals(leaving)


def check_answer(response: aiohttp.ClientResponse, request_id: str | None) -> None:
    """Check that an answer is that of a request which ran.

    Raises:
        RefusedError: If it proves that nothing ran.
        FrameError: If it belongs to another request.
    """
    if response.status == 421:
        raise RefusedError(Loss.MISDIRECTED, None)
    if names.NOT_RUN in response.headers:
        raise RefusedError(Loss.REFUSED, read_retry_after(response))
    echoed = response.headers.get(names.REQUEST_ID)
    if request_id is not None and echoed != request_id:
        raise FrameError(f"answer to {echoed!r} came for {request_id!r}")


def read_retry_after(response: aiohttp.ClientResponse) -> Millis | None:
    """Return for how long a target wants nothing; None if it doesn't say."""
    text = response.headers.get(names.RETRY_AFTER)
    if text is None:
        return None
    try:
        return parse_retry_after(text)
    except ValueError as error:
        _log.info("no pause", extra={"error": str(error)})
        return None


def read_head(response: aiohttp.ClientResponse) -> AnswerHead:
    """Return what of an answer's head goes to the caller."""
    headers = []
    for name, value in response.headers.items():
        if name.lower() not in names.CONNECTION_HEADERS:
            headers.append((name, value))
    return AnswerHead(response.status, tuple(headers))


def parse_rate(text: str) -> float:
    """Return the requests a second that a target takes.

    Raises:
        ValueError: If it is no number of zero or more.
    """
    return _parse_number(text)


def parse_retry_after(text: str) -> Millis:
    """Return the pause that a target asks for.

    Raises:
        ValueError: If it is no number of seconds of zero or more.
    """
    return Millis(round(_parse_number(text) * 1_000))


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{text[:40]!r} is not a number of zero or more")
    return number


class _Report(BaseModel):
    model_config = ConfigDict(extra="ignore")

    state: str = "ready"
    leaves_ms: float | None = None  # told only once the engine knows its end
    kv_used: int | None = None  # tokens of its memory that can't yield


def parse_report(target: str, body: bytes) -> EngineReported:
    """Return what an engine says of itself.

    Raises:
        ValueError: If the report can't be read.
    """
    report = _Report.model_validate(orjson.loads(body))
    ending = report.leaves_ms is not None
    leaving = ending or report.state != "ready"
    return EngineReported(target, leaving, report.kv_used, ending)
