"""Conversion of records of the configuration stream into events."""

import time
from dataclasses import replace
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from figstep.core.changes import apply_changes, decode_changes
from figstep.core.clock import Millis
from figstep.core.configuration import SNAPSHOT
from figstep.core.events import Checkpoint, ConfigurationRead, SnapshotRead
from figstep.core.inventory import Inventory
from figstep.core.records import LogRecord
from figstep.errors import ChangeError, InventoryError
from figstep.inventory import VALIDATION, parse_version
from figstep.settings import describe_errors


class _Record(BaseModel):
    # Members that a newer program adds are ignored: only the validation
    # version decides whether this program can validate a record.
    model_config = ConfigDict(extra="ignore", frozen=True)

    edit: str = ""
    author: str = ""
    reason: str = ""
    validation: int = Field(ge=1)


class _EditRecord(_Record):
    base: int = Field(ge=-1)
    base_edit: str = ""
    document: dict[str, Any] | None = None
    changes: list[dict[str, Any]] | None = None

    @model_validator(mode="after")
    def _check_content(self) -> "_EditRecord":
        if (self.document is None) == (self.changes is None):
            raise ValueError("an edit holds either a document or changes")
        return self


class _SnapshotRecord(_Record):
    document: dict[str, Any]
    accepted: int = Field(ge=0)
    position: int = Field(ge=0)
    time: int = 0
    era: int = 0


def parse_record(
    record: LogRecord, current: Checkpoint | None
) -> ConfigurationRead | SnapshotRead:
    """Convert a log record into an event.

    An invalid record, including an invalid snapshot, becomes a ``ConfigurationRead``
    that holds its problems. The changes of an edit apply to ``current``, the document
    in force before the record, or None for none.
    """
    try:
        if record.data.get("kind") == SNAPSHOT:
            return _parse_snapshot(record)
        return _parse_edit(record, current)
    except ValidationError as error:
        return ConfigurationRead(
            offset=record.offset,
            base=_read_base(record.data),
            author=str(record.data.get("author", "")),
            reason=str(record.data.get("reason", "")),
            inventory=None,
            problems=tuple(describe_errors(error)),
            edit=str(record.data.get("edit", "")),
        )


def _read_base(data: dict[str, Any]) -> int:
    base = data.get("base")
    return base if isinstance(base, int) else -1


def _parse_edit(record: LogRecord, current: Checkpoint | None) -> ConfigurationRead:
    model = _EditRecord.model_validate(record.data)
    document: dict[str, Any] = {}
    inventory: Inventory | None = None
    problems: tuple[str, ...] = ()
    try:
        document = _build_document(model, current)
        inventory = parse_version(document, model.validation)
    except (InventoryError, ChangeError) as error:
        problems = (str(error),)
    return ConfigurationRead(
        offset=record.offset,
        base=model.base,
        author=model.author,
        reason=model.reason,
        inventory=inventory,
        problems=problems,
        edit=model.edit,
        base_edit=model.base_edit,
        time=record.time,
        validation=model.validation,
        document=document,
        known=model.validation <= VALIDATION,
    )


def _build_document(model: _EditRecord, current: Checkpoint | None) -> dict[str, Any]:
    """Return the whole document of an edit.

    The base of an edit that holds a whole document is not checked here, but by
    ``figstep.core.configuration``.

    Raises:
        ChangeError: If the edit holds changes that are malformed, do not fit the
            document in force or are to another document.
    """
    if model.document is not None:
        return model.document
    if current is None or current.accepted != model.base:
        raise ChangeError(f"the changes are to the document of offset {model.base}")
    return apply_changes(current.document, decode_changes(model.changes))


def _parse_snapshot(record: LogRecord) -> SnapshotRead:
    # The record may be older than the era in which it is read.
    checkpoint = replace(parse_checkpoint(record.data), era=record.era)
    age = max(0, time.time_ns() // 1_000_000 - record.time)
    return SnapshotRead(record.offset, checkpoint, Millis(age))


def parse_checkpoint(data: dict[str, Any]) -> Checkpoint:
    """Convert a decoded snapshot record into a checkpoint.

    The inventory of the checkpoint is None if its document is invalid or this program
    does not know its validation version.

    Raises:
        ValidationError: If the data is not a snapshot record.
    """
    model = _SnapshotRecord.model_validate(data)
    try:
        inventory = parse_version(model.document, model.validation)
    except InventoryError:
        inventory = None
    return Checkpoint(
        accepted=model.accepted,
        position=model.position,
        edit=model.edit,
        author=model.author,
        reason=model.reason,
        validation=model.validation,
        document=model.document,
        inventory=inventory,
        time=model.time,
        era=model.era,
    )
