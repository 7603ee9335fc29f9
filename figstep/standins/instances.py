"""Stand-in of the platform's instance list.

``GET /instances`` answers ``{"instances": [...]}``; ``PUT /instances/NAME``
sets one and ``DELETE`` drops it.
"""

from typing import Any

import orjson
from aiohttp import web

from figstep.standins.http import answer_json


class InstanceList:
    """Live and leaving instances by name."""

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, Any]] = {}

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/instances", self._list)
        app.router.add_put("/instances/{name}", self._put)
        app.router.add_delete("/instances/{name}", self._delete)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        return answer_json({"instances": list(self.instances.values())})

    async def _put(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        document = orjson.loads(await request.read())
        self.instances[name] = {**document, "name": name}
        return answer_json({})

    async def _delete(self, request: web.Request) -> web.Response:
        self.instances.pop(request.match_info["name"], None)
        return answer_json({})
