"""Operator commands as functions; the command line interface calls these."""

import asyncio
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import orjson

from figstep.audit import (
    HistoryEntry,
    Trail,
    TrailReader,
)
from figstep.core.changes import (
    FieldChange,
    apply_changes,
    diff_documents,
    encode_changes,
)
from figstep.core.events import InstanceInfo
from figstep.core.inventory import Inventory
from figstep.core.lost_edits import EDIT
from figstep.core.records import CONFIGURATION, LogRecord
from figstep.errors import (
    InstancesUnavailableError,
    LogTruncatedError,
    LogUnavailableError,
    NotInForceError,
    PublishRefusedError,
    PublishUncertainError,
    UnknownTargetError,
)
from figstep.inventory import VALIDATION, parse_inventory
from figstep.net.instances import parse_instances
from figstep.net.log import HttpLog, LogClient
from figstep.settings import load_yaml

T = TypeVar("T")

# Maximum time to look for an appended edit in the log.
READ_BACK_TIMEOUT_SECONDS = 30.0
# Interval between two reads of the log while looking for an appended edit.
READ_BACK_INTERVAL_SECONDS = 0.5
# Interval between two rounds of status queries while waiting for an edit.
STATUS_POLL_INTERVAL_SECONDS = 0.1
# Maximum time for one query of an entry's status or of the instance list, in seconds.
STATUS_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of one entry of the instance list.

    Attributes:
        address: Base URL of the entry.
        status: Document from ``GET /status``, or None if the entry gave no valid
            answer.
    """

    name: str
    address: str
    status: dict[str, Any] | None

    @property
    def offset(self) -> int | None:
        """Offset of the document in force on this entry.

        It is -1 if no document is in force, and None if the entry did not answer.
        """
        return None if self.status is None else self.status["configuration_offset"]


def check_inventory(path: Path) -> Inventory:
    """Validate an inventory file.

    Raises:
        SettingsError: If the file cannot be read or is not YAML.
        InventoryError: If the document is not valid.
    """
    return parse_inventory(load_yaml(path))


async def read_records(log: LogClient) -> list[LogRecord]:
    """Return all records of the configuration stream that the log still holds.

    Raises:
        LogUnavailableError: The log could not be read.
    """
    records: list[LogRecord] = []
    start, era = 0, log.era
    while True:
        try:
            batch = await log.read(CONFIGURATION, start)
        except LogTruncatedError as error:
            records, start, era = [], error.earliest, log.era
            continue
        if era != log.era:
            records, start, era = [], 0, log.era
            continue
        if not batch:
            return records
        records += batch
        start = batch[-1].offset + 1


async def follow_trail(log: LogClient, reader: TrailReader) -> TrailReader:
    """Read the configuration stream to its end, from the reader's position.

    Returns:
        The reader, or a new one if the log deleted records that were not read yet.

    Raises:
        LogUnavailableError: The log could not be read.
    """
    start = reader.next
    while True:
        try:
            batch = await log.read(CONFIGURATION, start)
        except LogTruncatedError as error:
            # Records were deleted, or the log came back from a copy that lacks them.
            reader, start = TrailReader(log.era), error.earliest
            continue
        if reader.era != log.era:
            reader, start = TrailReader(log.era), 0
            continue
        if not batch:
            return reader
        reader.add(batch)
        start = reader.next


async def read_history(log: LogClient) -> Trail:
    """Return the audit trail and the document in force.

    Raises:
        LogUnavailableError: The log could not be read.
    """
    return (await follow_trail(log, TrailReader(log.era))).trail


async def publish_document(
    log: LogClient,
    document: dict[str, Any],
    author: str,
    reason: str,
    read_back_timeout: float = READ_BACK_TIMEOUT_SECONDS,
) -> int:
    """Append a document to the log and return its offset once it is accepted.

    The appended edit is looked for in the log for at most ``read_back_timeout``
    seconds.

    Raises:
        InventoryError: The document is not valid; nothing was appended.
        LogUnavailableError: The log could not be read; nothing was appended.
        PublishRefusedError: The edit is refused, for example because another edit
            was accepted first, or this program cannot evaluate the log.
        PublishUncertainError: The edit was not found in the log before the deadline;
            the append is not repeated.
    """
    parse_inventory(document)
    reader = await follow_trail(log, TrailReader(log.era))
    edit = Edit(document, author, reason)
    return await append_edit(log, reader, edit, read_back_timeout)


@dataclass(frozen=True, slots=True)
class Edit:
    """A document to be published, with its author and reason."""

    document: dict[str, Any]
    author: str
    reason: str


async def append_edit(
    log: LogClient, reader: TrailReader, edit: Edit, read_back_timeout: float
) -> int:
    """Append an edit that is based on the reader's trail and return its offset.

    The reader must have read the configuration stream to its end. The appended edit is
    looked for in the log for at most ``read_back_timeout`` seconds.

    Raises:
        PublishRefusedError: The edit is refused, for example because another edit
            was accepted first, or this program cannot evaluate the log.
        PublishUncertainError: The edit was not found in the log before the deadline;
            the append is not repeated.
    """
    trail = reader.trail
    if trail.stalled:
        raise PublishRefusedError(
            f"the log cannot be judged by this program: {trail.stalled}"
        )
    name = uuid.uuid4().hex
    record = {
        "kind": EDIT,
        "edit": name,
        "base": -1 if trail.current is None else trail.current.accepted,
        "base_edit": "" if trail.current is None else trail.current.edit,
        "author": edit.author,
        "reason": edit.reason,
        "validation": VALIDATION,
        **_encode_content(trail, edit.document),
    }
    try:
        await log.append(CONFIGURATION, [record])
    except LogUnavailableError:
        # The append may have taken effect although its answer was lost. Repeating
        # the append would add a second edit to the audit trail, which would be
        # reported as refused although the first one was accepted. So the log is
        # read instead.
        pass
    entry = await _read_back(log, reader, name, read_back_timeout)
    if entry.verdict != "accepted":
        raise PublishRefusedError(f"record {entry.offset} was refused: {entry.why}")
    return entry.offset


def _encode_content(trail: Trail, document: dict[str, Any]) -> dict[str, Any]:
    """Return the changes against the document in force, or the whole document.

    Every entry reads each record. With some thousands of customers, sending the
    whole document with each edit would exceed an entry's budget for control traffic.
    """
    if trail.current is None:
        return {"document": document}
    changes = diff_documents(trail.current.document, document)
    if diff_documents(apply_changes(trail.current.document, changes), document):
        return {"document": document}
    return {"changes": encode_changes(changes)}


async def _read_back(
    log: LogClient, reader: TrailReader, name: str, seconds: float
) -> HistoryEntry:
    deadline = time.monotonic() + seconds
    while True:
        try:
            reader = await follow_trail(log, reader)
        except LogUnavailableError:
            pass  # The log may become available again before the deadline.
        for entry in reader.trail.entries:
            if entry.edit == name:
                return entry
        if time.monotonic() >= deadline:
            raise PublishUncertainError(
                f"edit {name} got no answer and is not in the log so far; look for"
                " it with figstep history before publishing again. Should it arrive"
                " late, its base lets only one of both be accepted"
            )
        await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)


async def drain_target(
    log: LogClient, target: str, author: str, reason: str, drain: bool = True
) -> int:
    """Publish the document in force with a target added to or removed from draining.

    The drain ends if ``drain`` is False.

    Returns:
        Offset of the accepted edit.

    Raises:
        UnknownTargetError: The document in force has no such target.
        InventoryError: The changed document is not valid; nothing was appended.
        LogUnavailableError: The log could not be read; nothing was appended.
        PublishRefusedError: The edit is refused, for example because another edit
            was accepted first, or this program cannot evaluate the log.
        PublishUncertainError: The edit was not found in the log before the deadline.
    """
    reader, document = await _read_document(log)
    targets = [*document.get("engines", []), *document.get("services", [])]
    if target not in {item["name"] for item in targets}:
        raise UnknownTargetError(
            f"no target {target!r} in the accepted document; see figstep show"
        )
    mark = {"target": target, "reason": reason} if drain else None
    _replace_mark(document, "draining", "target", target, mark)
    return await _append_document(log, reader, document, author, reason)


async def evacuate_domain(
    log: LogClient, domain: str, author: str, reason: str, evacuate: bool = True
) -> int:
    """Publish the document in force with a domain added to or removed from evacuated.

    The evacuation ends if ``evacuate`` is False.

    Returns:
        Offset of the accepted edit.

    Raises:
        UnknownTargetError: The document in force has no such failure domain.
        InventoryError: The changed document is not valid; nothing was appended.
        LogUnavailableError: The log could not be read; nothing was appended.
        PublishRefusedError: The edit is refused, for example because another edit
            was accepted first, or this program cannot evaluate the log.
        PublishUncertainError: The edit was not found in the log before the deadline.
    """
    reader, document = await _read_document(log)
    if domain not in {item["name"] for item in document.get("failure_domains", [])}:
        raise UnknownTargetError(
            f"no failure domain {domain!r} in the accepted document; see figstep show"
        )
    mark = {"failure_domain": domain, "reason": reason} if evacuate else None
    _replace_mark(document, "evacuated", "failure_domain", domain, mark)
    return await _append_document(log, reader, document, author, reason)


async def _read_document(log: LogClient) -> tuple[TrailReader, dict[str, Any]]:
    reader = await follow_trail(log, TrailReader(log.era))
    current = reader.trail.current
    return reader, {} if current is None else deepcopy(current.document)


def _replace_mark(
    document: dict[str, Any],
    marks: str,
    field: str,
    name: str,
    mark: dict[str, str] | None,
) -> None:
    kept = [other for other in document.get(marks, []) if other[field] != name]
    if mark is not None:
        kept.append(mark)
    document[marks] = kept


async def _append_document(
    log: LogClient,
    reader: TrailReader,
    document: dict[str, Any],
    author: str,
    reason: str,
) -> int:
    parse_inventory(document)
    edit = Edit(document, author, reason)
    return await append_edit(log, reader, edit, READ_BACK_TIMEOUT_SECONDS)


async def compare_document(
    log: LogClient, document: dict[str, Any]
) -> list[FieldChange]:
    """Return the changes from the document in force to ``document``.

    Raises:
        InventoryError: The document is not valid.
        LogUnavailableError: The log could not be read.
    """
    parse_inventory(document)
    trail = await read_history(log)
    current = {} if trail.current is None else trail.current.document
    return diff_documents(current, document)


async def read_entries(
    session: aiohttp.ClientSession, instances_url: str
) -> list[InstanceInfo]:
    """Return the entries of the platform's instance list that are not leaving.

    Raises:
        InstancesUnavailableError: The list gave no valid answer.
    """
    url = instances_url.rstrip("/") + "/instances"
    try:
        async with session.get(url, timeout=STATUS_TIMEOUT) as response:
            listed = parse_instances(orjson.loads(await response.read()))
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
        raise InstancesUnavailableError(
            f"no answer from the instance list ({error!r}); check --instances"
        ) from error
    entries = []
    for instance in listed.instances:
        if instance.kind == "entry" and not instance.leaving:
            entries.append(instance)
    return entries


async def read_status(instances_url: str) -> list[EntryStatus]:
    """Query the status of every listed entry that is not leaving.

    Raises:
        InstancesUnavailableError: The instance list gave no valid answer.
    """
    async with aiohttp.ClientSession() as session:
        entries = await read_entries(session, instances_url)
        return await _query_entries(session, entries)


async def _query_entries(
    session: aiohttp.ClientSession, entries: list[InstanceInfo]
) -> list[EntryStatus]:
    return list(await asyncio.gather(*(_query_entry(session, e) for e in entries)))


async def _query_entry(
    session: aiohttp.ClientSession, entry: InstanceInfo
) -> EntryStatus:
    try:
        async with session.get(
            entry.address + "/status", timeout=STATUS_TIMEOUT
        ) as response:
            status = orjson.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        status = None
    return EntryStatus(entry.name, entry.address, status)


async def wait_in_force(
    instances_url: str, offset: int, seconds: float, required_entries: int | None = None
) -> int:
    """Wait until an edit is in force on the required number of live entries.

    The wait lasts at most ``seconds``. ``required_entries`` is the number of entries
    that must show the offset of the edit or a later one; if it is None or 0, all listed
    entries that are not leaving must show it.

    Returns:
        Number of entries that show the offset or a later one.

    Raises:
        NotInForceError: The time ran out; the message names each entry that shows
            an earlier offset or did not answer.
        InstancesUnavailableError: The instance list gave no valid answer.
    """
    deadline = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
        while True:
            entries = await read_entries(session, instances_url)
            statuses = await _query_entries(session, entries)
            lagging = [s for s in statuses if s.offset is None or s.offset < offset]
            shown = len(statuses) - len(lagging)
            if statuses and shown >= (required_entries or len(statuses)):
                return shown
            if time.monotonic() >= deadline:
                raise NotInForceError(_describe_lag(offset, shown, lagging, seconds))
            await asyncio.sleep(STATUS_POLL_INTERVAL_SECONDS)


def _describe_lag(
    offset: int, shown: int, lagging: list[EntryStatus], seconds: float
) -> str:
    parts = []
    for entry in lagging:
        if entry.status is None:
            parts.append(f"{entry.name}: no answer")
            continue
        stalled = entry.status.get("configuration_stalled", "")
        parts.append(f"{entry.name}: at {entry.offset} {stalled}".rstrip())
    return (
        f"accepted at offset {offset}, but in force on {shown} of"
        f" {shown + len(lagging)} after {seconds:g} s ({'; '.join(parts)});"
        " it stays accepted: watch figstep status"
    )


@asynccontextmanager
async def open_log(url: str) -> AsyncIterator[LogClient]:
    """Open a client of the log service and close it afterwards."""
    log = HttpLog(url)
    try:
        yield log
    finally:
        await log.close()


def run_with_log(url: str, operation: Callable[[LogClient], Awaitable[T]]) -> T:
    """Run an operation on the log service in a new event loop; return its result."""

    async def run() -> T:
        async with open_log(url) as log:
            return await operation(log)

    return asyncio.run(run())


def load_document(path: Path) -> dict[str, Any]:
    """Read an inventory file and validate it.

    Raises:
        SettingsError: If the file cannot be read or is not YAML.
        InventoryError: If the document is not valid.
    """
    document: dict[str, Any] = load_yaml(path)
    parse_inventory(document)
    return document
