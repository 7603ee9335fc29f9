"""Border of the configuration stream: records in, events out."""

import time
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from figstep.core.clock import Millis
from figstep.core.configuration import SNAPSHOT
from figstep.core.events import Checkpoint, ConfigurationRead, SnapshotRead
from figstep.core.inventory import Inventory
from figstep.core.records import LogRecord
from figstep.errors import InventoryError
from figstep.inventory import VALIDATION, parse_version
from figstep.settings import describe_errors


class _Record(BaseModel):
    # Members that a newer program adds are ignored: only the validation
    # version decides whether a record can be judged here.
    model_config = ConfigDict(extra="ignore", frozen=True)

    edit: str = ""
    author: str = ""
    reason: str = ""
    validation: int = Field(ge=1)
    document: dict[str, Any]


class _EditRecord(_Record):
    base: int = Field(ge=-1)


class _SnapshotRecord(_Record):
    accepted: int = Field(ge=0)
    position: int = Field(ge=0)


def parse_record(record: LogRecord) -> ConfigurationRead | SnapshotRead:
    """Turn a log record into an event; a bad one becomes problems."""
    try:
        if record.data.get("kind") == SNAPSHOT:
            return _parse_snapshot(record)
        return _parse_edit(record)
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


def _parse_edit(record: LogRecord) -> ConfigurationRead:
    model = _EditRecord.model_validate(record.data)
    inventory: Inventory | None = None
    problems: tuple[str, ...] = ()
    try:
        inventory = parse_version(model.document, model.validation)
    except InventoryError as error:
        problems = (str(error),)
    return ConfigurationRead(
        offset=record.offset,
        base=model.base,
        author=model.author,
        reason=model.reason,
        inventory=inventory,
        problems=problems,
        edit=model.edit,
        validation=model.validation,
        document=model.document,
        known=model.validation == VALIDATION,
    )


def _parse_snapshot(record: LogRecord) -> SnapshotRead:
    checkpoint = parse_checkpoint(record.data)
    age = max(0, time.time_ns() // 1_000_000 - record.time)
    return SnapshotRead(record.offset, checkpoint, Millis(age))


def parse_checkpoint(data: dict[str, Any]) -> Checkpoint:
    """Turn an encoded checkpoint into data; an unreadable document is None.

    Raises:
        ValidationError: If it is not a checkpoint at all.
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
    )
