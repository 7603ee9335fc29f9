"""Baseline for benchmarks: a minimal aiohttp proxy that relays POST requests.

``python -m benchmarks.passthrough URL LOOP`` relays to ``URL`` on the event loop
"uvloop" or "asyncio" and prints ``passthrough`` and its own URL.
"""

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web


async def serve(target: str) -> None:
    """Relay POST requests to ``target`` until killed, with one write for each event."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with session.post(target + request.path, data=body) as answer:
            await response.prepare(request)
            remainder = b""
            async for chunk in answer.content.iter_any():
                *frames, remainder = (remainder + chunk).split(b"\n\n")
                for frame in frames:
                    await response.write(frame + b"\n\n")
        return response

    app = web.Application()
    app.router.add_post("/{path:.*}", relay)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(f"passthrough http://{host}:{port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    run = uvloop.run if sys.argv[2] == "uvloop" else asyncio.run
    run(serve(sys.argv[1]))
