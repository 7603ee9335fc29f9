"""Stand-in for the platform's weight store, which holds the weights of models.

The store limits the rate of calls. ``GET /weights/MODEL/VERSION`` answers
``MODEL@VERSION`` in place of weights, or 429 with ``Retry-After`` in whole seconds,
at least 1, if the limit of the current window is reached.
"""

import math
import time
from collections.abc import Callable

from aiohttp import web


class WeightStore:
    """Answers at most ``limit`` calls in a sliding window.

    Attributes:
        window: Length of the window, in seconds.
        served: Model and version of each answered call, in order.
        refused: Number of calls rejected with 429.
    """

    def __init__(
        self,
        limit: int = 4,
        window: float = 1.0,
        read_seconds: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit = limit
        self.window = window
        self.served: list[tuple[str, str]] = []
        self.refused = 0
        self._read_seconds = read_seconds
        self._answered_at: list[float] = []

    def build_app(self) -> web.Application:
        """Return the HTTP application of the weight store."""
        app = web.Application()
        app.router.add_get("/weights/{model}/{version}", self._read)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        now = self._read_seconds()
        self._answered_at = [at for at in self._answered_at if at > now - self.window]
        if len(self._answered_at) >= self.limit:
            self.refused += 1
            wait = self._answered_at[0] + self.window - now
            headers = {"Retry-After": str(max(1, math.ceil(wait)))}
            return web.Response(status=429, headers=headers)
        self._answered_at.append(now)
        model, version = request.match_info["model"], request.match_info["version"]
        self.served.append((model, version))
        return web.Response(body=f"{model}@{version}".encode())
