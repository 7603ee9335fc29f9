"""Edge that reads the configuration stream."""

from collections.abc import Callable
from typing import Any

from mode import Service

from figstep.core.events import ConfigurationRead, Event
from figstep.core.inventory import Inventory
from figstep.errors import InventoryError, LogTruncatedError, LogUnavailableError
from figstep.inventory import parse_inventory
from figstep.net.log import CONFIGURATION, LogClient, LogRecord

POLL_WAIT = 10_000
RETRY_SECONDS = 0.5


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


class ConfigurationEdge(Service):
    """Long-polls the configuration stream from the first record on."""

    def __init__(self, log: LogClient, dispatch: Callable[[Event], None]) -> None:
        super().__init__()
        self._log = log
        self._dispatch = dispatch
        self._next = 0

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                records = await self._log.read(CONFIGURATION, self._next, POLL_WAIT)
            except LogTruncatedError as error:
                self._next = error.earliest
                continue
            except LogUnavailableError:
                await self.sleep(RETRY_SECONDS)
                continue
            for record in records:
                self._dispatch(parse_record(record))
                self._next = record.offset + 1
