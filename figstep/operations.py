"""What an operator can do, one function each; the command line wraps these."""

import asyncio
from pathlib import Path
from typing import Any

from figstep.core.configuration import judge_record
from figstep.core.inventory import Inventory
from figstep.core.records import CONFIGURATION, LogRecord
from figstep.errors import PublishRefusedError
from figstep.inventory import parse_inventory
from figstep.net.configuration import parse_record
from figstep.net.log import HttpLog, LogClient
from figstep.settings import load_yaml

RECORD_VERSION = 1


def check_inventory(path: Path) -> Inventory:
    """Validate an inventory file.

    Raises:
        SettingsError: If the file cannot be read.
        InventoryError: If the document is not valid.
    """
    return parse_inventory(load_yaml(path))


async def read_history(log: LogClient) -> list[LogRecord]:
    """Return every record of the configuration stream that is still kept."""
    records: list[LogRecord] = []
    start = 0
    while True:
        batch = await log.read(CONFIGURATION, start)
        if not batch:
            return records
        records += batch
        start = batch[-1].offset + 1


async def find_accepted(log: LogClient) -> LogRecord | None:
    """Return the record in force, by the same fold as every entry's."""
    accepted: LogRecord | None = None
    for record in await read_history(log):
        offset = -1 if accepted is None else accepted.offset
        if judge_record(offset, parse_record(record)):
            continue
        accepted = record
    return accepted


async def publish_document(
    log: LogClient, document: dict[str, Any], author: str, reason: str
) -> int:
    """Append a document and return its offset once the fold accepts it.

    Raises:
        LogUnavailableError: The log gave no answer; nothing is certain.
        PublishRefusedError: Another edit won, or the document is not valid.
    """
    parse_inventory(document)
    accepted = await find_accepted(log)
    record = {
        "version": RECORD_VERSION,
        "base": -1 if accepted is None else accepted.offset,
        "author": author,
        "reason": reason,
        "document": document,
    }
    offset = await log.append(CONFIGURATION, [record])
    winner = await find_accepted(log)
    if winner is None or winner.offset != offset:
        raise PublishRefusedError(
            f"record {offset} was refused: another edit won"
            f" ({winner.offset if winner else 'none'}); show it, make your change"
            " again and publish"
        )
    return offset


def publish_file(path: Path, log_url: str, author: str, reason: str) -> int:
    """Publish an inventory file through the log service."""
    document = load_yaml(path)

    async def run() -> int:
        log = HttpLog(log_url)
        try:
            return await publish_document(log, document, author, reason)
        finally:
            await log.close()

    return asyncio.run(run())
