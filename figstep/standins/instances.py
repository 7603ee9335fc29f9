"""Stand-in for the platform's instance list.

``GET /instances`` answers ``{"instances": [...]}``, ``PUT /instances/NAME``
adds or replaces an instance and ``DELETE /instances/NAME`` removes it. An
instance has ``name``, ``kind`` ("entry" or "target"), ``address``,
``failure_domain``, ``state`` ("live" or "leaving"), ``incarnation`` and, for an
entry, ``peers``; the stand-in does not check them. ``PUT /standin/faults`` sets
``lag_ms``, the delay in milliseconds until a change takes effect, and
``available``; while it is false, the list answers 503.
"""

import asyncio
from functools import partial
from typing import Any

import orjson
from aiohttp import web

from figstep.standins.http import answer_json


class InstanceList:
    """Instance list in memory.

    Attributes:
        instances: Documents of the live and leaving instances, by name.
        available: Whether the list can be read; it answers 503 otherwise.
        lag_ms: Delay until a change received over HTTP takes effect, in
            milliseconds.
    """

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, Any]] = {}
        self.available = True
        self.lag_ms = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application of the instance list."""
        app = web.Application()
        app.router.add_get("/instances", self._list)
        app.router.add_put("/instances/{name}", self._put)
        app.router.add_delete("/instances/{name}", self._delete)
        app.router.add_put("/standin/faults", self._set_faults)
        return app

    def list_entry(self, name: str, address: str, peers: str) -> None:
        """Add an entry as live, without the delay ``lag_ms``.

        ``address`` is the base URL for callers, and ``peers`` is the "host:port" on
        which the entry listens for peers.
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
