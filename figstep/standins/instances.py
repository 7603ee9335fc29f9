"""Stand-in of the platform's instance list.

``GET /instances`` answers ``{"instances": [...]}``; ``PUT /instances/NAME``
sets one and ``DELETE`` drops it. Each has ``name``, ``kind`` ("entry" or
"target"), ``address``, ``failure_domain``, ``state`` ("live" or "leaving"),
``incarnation``, and ``peers`` where it is an entry. ``lag_ms`` in a ``PUT`` of
``/standin/faults`` delays what callers see; ``available`` false refuses them.
"""

import asyncio
from functools import partial
from typing import Any

import orjson
from aiohttp import web

from figstep.standins.http import answer_json


class InstanceList:
    """Live and leaving instances by name."""

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, Any]] = {}
        self.available = True
        self.lag_ms = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/instances", self._list)
        app.router.add_put("/instances/{name}", self._put)
        app.router.add_delete("/instances/{name}", self._delete)
        app.router.add_put("/standin/faults", self._set_faults)
        return app

    def list_entry(self, name: str, address: str, peers: str) -> None:
        """List an entry as live.

        Args:
            name: Its name.
            address: Its base URL for callers.
            peers: Where it listens for peers, as "host:port".
        """
        self.instances[name] = {
            "name": name,
            "kind": "entry",
            "address": address,
            "peers": peers,
            "state": "live",
        }

    async def _list(self, request: web.Request) -> web.Response:
        if not self.available:
            raise web.HTTPServiceUnavailable(text="the instance list is down")
        return answer_json({"instances": list(self.instances.values())})

    async def _put(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        document = orjson.loads(await request.read())
        loop = asyncio.get_running_loop()
        change = partial(self.instances.__setitem__, name, {**document, "name": name})
        loop.call_later(self.lag_ms / 1000, change)
        return answer_json({})

    async def _delete(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        change = partial(self.instances.pop, request.match_info["name"], None)
        loop.call_later(self.lag_ms / 1000, change)
        return answer_json({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = orjson.loads(await request.read())
        self.available = bool(changes.get("available", self.available))
        self.lag_ms = int(changes.get("lag_ms", self.lag_ms))
        return answer_json({"available": self.available, "lag_ms": self.lag_ms})
