"""A replica as a process of its own, so that it can be killed and started again.

Its streams have no length and no chunks: they end with their connection.

Usage: replica.py ID PORT EVENTS INTERVAL_SECONDS
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from stage import encode_answer, read_message

NAME, PORT = sys.argv[1], int(sys.argv[2])
EVENTS, INTERVAL = int(sys.argv[3]), float(sys.argv[4])
BORN = int(time.time() * 1000)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        request = await read_message(reader)
        if request.path == "/figstep/report":
            body = {"phase": "both", "state": "ready", "kv_used": 0, "born": BORN}
            writer.write(encode_answer("200 OK", {}, json.dumps(body).encode()))
            await writer.drain()
            return
        if request.path.startswith("/figstep/"):
            writer.write(encode_answer("503 Service Unavailable", {}, b""))
            await writer.drain()
            return
        if request.get("Expect-Instance", NAME) != NAME:
            writer.write(encode_answer("421 Misdirected Request", {}, b""))
            await writer.drain()
            return
        name = request.get("Request-Id")
        print(f"runs {name}", flush=True)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"Request-Id: {name}", f"Server-Stamp: stamp.{NAME}"]
        lines += ["Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode())
        for index in range(1, EVENTS + 1):
            writer.write(f"id: {index}\ndata: {name} {index}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(INTERVAL)
        print(f"ended {name}", flush=True)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main() -> None:
    server = await asyncio.start_server(serve, "127.0.0.1", PORT)
    print(f"ready {BORN}", flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
