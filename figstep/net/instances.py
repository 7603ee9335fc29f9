"""Client of the platform's instance list."""

from collections.abc import Callable

import aiohttp
import orjson
from mode import Service

from figstep.core.events import Event, InstanceInfo, InstancesListed

MIN_POLL_SECONDS = 1.0
MAX_FLEET_POLLS_PER_SECOND = 8
"""Reads a second by all entries together, whatever their number.

The list is read whole and grows with the fleet: at 370 entries and 670 targets
one read a second by each would be some 100 KB/s. Whoever reads of a leaving
target tells the others at once, so the fleet learns as early as before.
"""
TIMEOUT_SECONDS = 5.0


class InstanceEdge(Service):
    """Polls the instance list."""

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
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.should_stop:
                try:
                    async with session.get(self._url) as response:
                        document = orjson.loads(await response.read())
                    self._dispatch(parse_instances(document))
                except (aiohttp.ClientError, TimeoutError, OSError):
                    self.log.info("instance list not read; trying again")
                except (ValueError, KeyError, TypeError):
                    self.log.warning("instance list not understood; trying again")
                await self.sleep(compute_poll_interval(self._count_entries()))


def compute_poll_interval(entries: int) -> float:
    """Return seconds between two reads by one of so many entries."""
    return max(MIN_POLL_SECONDS, entries / MAX_FLEET_POLLS_PER_SECOND)


def parse_instances(document: dict[str, list[dict[str, str]]]) -> InstancesListed:
    """Turn the list's JSON into an event."""
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
