"""Border of the configuration stream: records in, events out."""

from typing import Any

from figstep.core.events import ConfigurationRead
from figstep.core.inventory import Inventory
from figstep.core.records import LogRecord
from figstep.errors import InventoryError
from figstep.inventory import parse_inventory


def parse_record(record: LogRecord) -> ConfigurationRead:
    """Turn a log record into an event; a bad document becomes problems."""
    data: dict[str, Any] = record.data
    inventory: Inventory | None = None
    problems: tuple[str, ...] = ()
    try:
        inventory = parse_inventory(data.get("document"))
    except InventoryError as error:
        problems = (str(error),)
    return ConfigurationRead(
        offset=record.offset,
        base=int(data.get("base", -1)),
        author=str(data.get("author", "")),
        reason=str(data.get("reason", "")),
        inventory=inventory,
        problems=problems,
    )
