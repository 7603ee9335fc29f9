"""Functions shared by the HTTP stand-ins."""

from typing import Any

import orjson
from aiohttp import web


def answer_json(document: Any, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=orjson.dumps(document), status=status, content_type="application/json"
    )


async def start_app(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> tuple[web.AppRunner, str]:
    """Serve ``app`` and return its runner and base URL; port 0 selects a free port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0]
    return runner, f"http://{bound[0]}:{bound[1]}"
