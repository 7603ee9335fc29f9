"""Runs that engines keep in their memory once they are complete.

A run that is sent with a time to keep it stays listed under the last part of its
prompt, with the tokens that it has generated, if it has come to its end. Of a run that
was cut, at most the prompt is listed.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
import logbook
import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from figstep.core.clock import Clock, Millis
from figstep.gateway.effects import KeptRun
from figstep.gateway.targets import Target
from figstep.net.reading import BodyTooLongError, SharedRoom, read_body
from figstep.platform import names

_log = logbook.Logger("figstep.targets")

LIST_TIMEOUT_SECONDS = 0.25
"""Timeout of a query of what an engine keeps, in seconds; its caller's stream waits."""

LIST_TRIES = 3
"""Maximum number of queries: two while a run is not listed, as a list may be a moment
old, and a further one for an answer that is lost or is no list."""

PROMPT_TRIES = 2
"""Maximum number of queries while a prompt runs, as a list may be a moment old."""

LIST_PAUSE_SECONDS = 0.1
"""Pause between these queries, in seconds."""

RELEASE_TIMEOUT_SECONDS = 0.5
"""Timeout of an order to keep a run no longer, in seconds. Without it the engine does
so by itself after the time that the run was sent with."""

MAX_LIST_BYTES = 4_194_304
"""Largest list of what an engine keeps, in bytes."""


NO_LIST_STATUSES = (404, 405, 501)
"""Statuses with which an engine that keeps no runs answers a query of what it keeps."""


@dataclass(frozen=True, slots=True)
class Statement:
    """What an engine states of a run that it was asked to keep if it is complete.

    Attributes:
        kept: Number of generated tokens that it keeps of the run, 0 or less if at most
            the prompt; None if no answer was read in time.
        lists_none: Whether it answered each query, but with no list: it keeps no runs.
    """

    kept: int | None = None
    lists_none: bool = False


class _NoListError(ValueError):
    """An engine answered a query of what it keeps with no list."""


class _List(BaseModel):
    model_config = ConfigDict(extra="ignore")

    held: list[tuple[str, str, int, str]]  # "", id of a part, tokens, model


async def query_kept(
    session: aiohttp.ClientSession,
    clock: Clock,
    target: Target,
    run: KeptRun,
    until: Millis,
    room: SharedRoom,
) -> Statement:
    """Query an engine for what it keeps of a run that has ended.

    Args:
        session: Session of the queries.
        clock: Clock of ``until``.
        target: The engine.
        run: What it was asked to keep.
        until: Monotonic time in milliseconds from which it may keep a complete run no
            longer.
        room: Room for the answers.
    """
    kept = None
    lists_none = True
    for number in range(LIST_TRIES):
        if number:
            await asyncio.sleep(LIST_PAUSE_SECONDS)
        try:
            found = await _read_kept(session, target, run, room)
            lists_none = False
        except _NoListError as error:
            # A list may be cut, and a proxy may answer for an engine.
            _log_failure(target, error)
            found = None
        if found is not None and found > 0:
            return Statement(found)
        if clock.now() >= until and not lists_none:
            break
        if found is None:
            continue
        if kept is not None:
            break
        kept = found
    return Statement(kept, lists_none)


async def query_prompt(
    session: aiohttp.ClientSession, target: Target, run: KeptRun, room: SharedRoom
) -> int | None:
    """Query an engine for the last part of a prompt that it runs.

    Returns:
        The number of its tokens that the list lacks; None if the part is not listed, or
        with more than its tokens, or if no list was read.
    """
    for number in range(PROMPT_TRIES):
        if number:
            await asyncio.sleep(LIST_PAUSE_SECONDS)
        try:
            kept = await _read_kept(session, target, run, room)
        except _NoListError as error:
            _log_failure(target, error)
            return None
        if kept is not None and -run.tokens < kept <= 0:
            return -kept
    return None


async def _read_kept(
    session: aiohttp.ClientSession, target: Target, run: KeptRun, room: SharedRoom
) -> int | None:
    """Read once what an engine keeps of a run; None if the answer is lost.

    Raises:
        _NoListError: If it answers with no list.
    """
    url = f"http://{target.info.address}/figstep/kv-list"
    try:
        async with (
            asyncio.timeout(LIST_TIMEOUT_SECONDS),
            session.get(url, headers={names.EXPECTED_TARGET: target.name}) as response,
        ):
            if response.status in NO_LIST_STATUSES:
                raise _NoListError(f"answered {response.status}")
            if response.status != 200:
                raise aiohttp.ClientError(f"answered {response.status}")
            body = await read_body(response, MAX_LIST_BYTES, room=room)
    except (aiohttp.ClientError, BodyTooLongError, OSError, TimeoutError) as error:
        _log_failure(target, error)
        return None
    try:
        listed = _List.model_validate(orjson.loads(body))
    except (ValidationError, ValueError) as error:
        raise _NoListError(f"answered no list: {error}") from error
    for _, part, tokens, model in listed.held:
        if (part, model) == (run.part, run.model):
            return tokens - run.tokens
    return -run.tokens


def _log_failure(target: Target, error: Exception) -> None:
    fields = {"target": target.name, "error": f"{type(error).__name__}: {error}"[:300]}
    _log.info("cannot read what an engine keeps", extra=fields)


async def release(session: aiohttp.ClientSession, target: Target, part: str) -> None:
    """Order an engine to keep a run no longer; a failure is only logged."""
    url = f"http://{target.info.address}/figstep/kv-pin/{part}"
    headers = {names.EXPECTED_TARGET: target.name}
    try:
        async with (
            asyncio.timeout(RELEASE_TIMEOUT_SECONDS),
            session.delete(url, headers=headers),
        ):
            return
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        fields = {"target": target.name, "error": f"{type(error).__name__}: {error}"}
        _log.info("run not released", extra=fields)
