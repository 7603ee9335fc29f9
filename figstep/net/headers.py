"""Validation of callers' headers: deadline, idempotency, resumption and grace."""

from dataclasses import dataclass
from typing import Annotated

from multidict import CIMultiDictProxy
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from figstep.core.generations import parse_generation
from figstep.core.problems import Problem
from figstep.errors import RefusedError
from figstep.settings import Limits, describe_errors

DEADLINE = "X-Deadline-Ms"
GRACE = "X-Resume-Grace-Seconds"
IDEMPOTENCY_KEY = "Idempotency-Key"
NON_IDEMPOTENT = "X-Non-Idempotent"
LAST_EVENT_ID = "Last-Event-ID"

_ASCII = r"^[\x21-\x7e]+$"


class _Headers(BaseModel):
    model_config = ConfigDict(allow_inf_nan=False, hide_input_in_errors=True)

    deadline: Annotated[int | None, Field(alias=DEADLINE, gt=0)] = None
    grace: Annotated[float, Field(alias=GRACE, ge=0)] = 0.0
    idempotency_key: Annotated[
        str | None, Field(alias=IDEMPOTENCY_KEY, max_length=200, pattern=_ASCII)
    ] = None
    non_idempotent: Annotated[bool, Field(alias=NON_IDEMPOTENT)] = False
    last_event: Annotated[
        str | None, Field(alias=LAST_EVENT_ID, max_length=300, pattern=r"^.+:\d{1,9}$")
    ] = None


@dataclass(frozen=True, slots=True)
class LastEvent:
    """Last event that a reconnecting caller received."""

    generation: str
    index: int


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Options that a caller sets by headers.

    Attributes:
        deadline: Longest wait for the first byte, in milliseconds; None for the
            default of the rules.
        grace: Time for which the generation continues without its caller, in seconds,
            at most ``resume_grace_seconds``.
        non_idempotent: Whether the request may run only once.
        last_event: Event after which a reconnecting caller resumes, or None.
    """

    deadline: int | None = None
    grace: float = 0.0
    idempotency_key: str | None = None
    non_idempotent: bool = False
    last_event: LastEvent | None = None


def read_headers(headers: CIMultiDictProxy[str], limits: Limits) -> CallerHeaders:
    """Validate the headers that figstep reads.

    Raises:
        RefusedError: If a header is invalid or repeated, or the deadline is longer than
            ``deadline_ms``; the detail names the header and the remedy.
    """
    given = {}
    for field in _Headers.model_fields.values():
        name = str(field.alias)
        values = headers.getall(name, [])
        if len(values) > 1:
            raise _refuse(f"{name}: given {len(values)} times; send it once")
        if values:
            given[name] = values[0]
    if not given:
        return CallerHeaders()
    try:
        read = _Headers.model_validate(given)
    except ValidationError as error:
        raise _refuse("; ".join(describe_errors(error))) from error
    if read.deadline is not None and read.deadline > limits.deadline_ms:
        raise _refuse(f"{DEADLINE}: write at most {limits.deadline_ms}")
    return CallerHeaders(
        deadline=read.deadline,
        grace=min(read.grace, limits.resume_grace_seconds),
        idempotency_key=read.idempotency_key,
        non_idempotent=read.non_idempotent,
        last_event=_read_last_event(read.last_event),
    )


def _read_last_event(text: str | None) -> LastEvent | None:
    if text is None:
        return None
    generation, _, index = text.rpartition(":")
    if parse_generation(generation) is None:
        raise _refuse(
            f"{LAST_EVENT_ID}: not an event id; send the id of the last event"
            " that you saw, as it came"
        )
    return LastEvent(generation, int(index))


def _refuse(detail: str) -> RefusedError:
    return RefusedError(Problem(400, "invalid_header", detail))
