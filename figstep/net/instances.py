"""Client of the platform's instance list."""

from collections.abc import Callable

import aiohttp
import orjson
from mode import Service

from figstep.core.events import Event, InstanceInfo, InstancesListed
from figstep.net.connectors import ResetAwareConnector
from figstep.net.reading import read_body

MIN_POLL_SECONDS = 1.0
"""Minimum interval between two reads of the list by one entry, in seconds."""

MAX_FLEET_POLLS_PER_SECOND = 8
"""Maximum number of reads of the list per second by all entries together.

The list is read whole and grows with the fleet: at 370 entries and 670 targets one
read a second by each entry would be some 100 KB/s. An entry that reads that a target
is leaving announces this to the others at once, so fewer reads delay such news little.
"""

MAX_LIST_BYTES = 16_777_216
"""Largest instance list, in bytes; one of a thousand instances has some 100 KB."""

TIMEOUT_SECONDS = 5.0
"""Timeout of one read of the list, in seconds."""


class InstanceEdge(Service):
    """Polls the instance list and dispatches each valid one as ``InstancesListed``."""

    def __init__(
        self,
        base_url: str,
        dispatch: Callable[[Event], None],
        count_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        super().__init__()
        self._count_entries = count_entries
        self._url = base_url.rstrip("/") + "/instances"
        self._dispatch = dispatch

    @Service.task
    async def _poll(self) -> None:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=ResetAwareConnector(), timeout=timeout
        ) as session:
            while not self.should_stop:
                try:
                    async with session.get(self._url) as response:
                        body = await read_body(response, MAX_LIST_BYTES)
                    document = orjson.loads(body)
                    self._dispatch(parse_instances(document))
                except (aiohttp.ClientError, TimeoutError, OSError):
                    self.log.info("instance list not read; will retry")
                except (ValueError, KeyError, TypeError):
                    self.log.warning("instance list is malformed; will retry")
                await self.sleep(compute_poll_interval(self._count_entries()))


def compute_poll_interval(entries: int) -> float:
    """Return the time between two reads by each of ``entries`` readers, in seconds."""
    return max(MIN_POLL_SECONDS, entries / MAX_FLEET_POLLS_PER_SECOND)


def parse_instances(document: dict[str, list[dict[str, str]]]) -> InstancesListed:
    """Convert the decoded instance list into an event.

    Raises:
        KeyError: If the list or an instance lacks a required member.
        ValueError: If an incarnation is not a number.
        TypeError: If a value has the wrong type.
    """
    instances = []
    for item in document["instances"]:
        instances.append(
            InstanceInfo(
                name=item["name"],
                kind=item.get("kind", "target"),
                address=item.get("address", ""),
                failure_domain=item.get("failure_domain", ""),
                leaving=item.get("state") == "leaving",
                incarnation=int(item.get("incarnation", 0)),
                peers=item.get("peers", ""),
            )
        )
    return InstancesListed(tuple(instances))
