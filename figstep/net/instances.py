"""Client of the platform's instance list."""

from collections.abc import Callable

import aiohttp
import orjson
from mode import Service

from figstep.core.events import Event, InstanceInfo, InstancesListed

POLL_SECONDS = 1.0
TIMEOUT_SECONDS = 5.0


class InstanceEdge(Service):
    """Polls the instance list."""

    def __init__(self, base_url: str, dispatch: Callable[[Event], None]) -> None:
        super().__init__()
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
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                    self.log.info("instance list not read; trying again")
                await self.sleep(POLL_SECONDS)


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
