"""Peak memory of an entry process whose callers, or targets, read slowly.

``python -m benchmarks.slow_readers KIND CLIENTS`` starts an entry of 136 MiB and
clients that request answers of 2 MB. KIND is "silent" (the clients do not read), "slow"
(they read 80 kB/s) or "bodies" (a target does not read their bodies of 1 MB). Another
client sends calls that are answered with 2 MB or a few bytes and reads them at once.
The result is printed as one line of JSON. SLOW_SECONDS in the environment is the time
for which the load lasts.
"""

import asyncio
import os
import socket
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web

from tests.platform.standins import (
    KEY,
    ROUTE_HOST,
    FakeStore,
    FakeTarget,
    build_configuration,
    write_settings,
)
from tests.ports import HOST, find_free_port

MEMORY_MB = 136
ANSWER = bytes(2_000_000)
BODY = bytes(1_000_000)
SLOW_RATE = 80_000
"""Bytes a second that a slow client reads."""
UNREAD_SECONDS = 5.0
"""Time after which a target cuts off an answer that stays unread, in seconds."""
DURATION_SECONDS = float(os.environ.get("SLOW_SECONDS", "45"))


def set_handler(target: FakeTarget) -> None:
    """Let a target answer with 2 MB, or a few bytes at a small path."""

    async def answer(request: web.Request) -> web.StreamResponse:
        if request.path.endswith("/small"):
            return web.Response(body=b"answer", headers=target.sign(request))
        response = web.StreamResponse(headers=target.sign(request))
        response.content_length = len(ANSWER)
        await response.prepare(request)
        for start in range(0, len(ANSWER), 50_000):
            try:
                async with asyncio.timeout(UNREAD_SECONDS):
                    await response.write(ANSWER[start : start + 50_000])
                    await request.writer.drain()
            except TimeoutError:
                assert request.transport is not None
                request.transport.abort()
                raise
        return response

    target.handler = answer


async def serve_without_reading(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the head of a request and nothing of its body."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(2 * DURATION_SECONDS)
    writer.close()


def build_request(number: int, path: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {ROUTE_HOST}",
        f"Request-Id: r-{number}",
        f"Credential: {KEY}",
        "Deadline-Ms: 5000",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def run_client(kind: str, number: int, port: int, outcomes: Counter[str]) -> None:
    """Send one request as a client of a kind, and count how it ended."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    await loop.sock_connect(connection, (HOST, port))
    with connection, suppress(OSError):
        if kind == "bodies":
            await loop.sock_sendall(connection, build_request(number, "/stuck/a", BODY))
        else:
            await loop.sock_sendall(connection, build_request(number, "/order/a"))
        if kind == "silent":
            await asyncio.sleep(DURATION_SECONDS)
            outcomes["held"] += 1
            return
        received = bytearray()
        while data := await loop.sock_recv(connection, 16_384):
            received += data
            head, found, content = received.partition(b"\r\n\r\n")
            if found and len(content) >= len(ANSWER):
                break
            if found and not head.startswith(b"HTTP/1.1 200"):
                break
            if kind == "slow":
                await asyncio.sleep(len(data) / SLOW_RATE)
        head, _, content = received.partition(b"\r\n\r\n")
        status = head.decode()[9:12] or "none"
        whole = "whole" if len(content) >= len(ANSWER) else "part"
        outcomes[f"{status} {whole}" if status == "200" else status] += 1
        return
    outcomes["reset"] += 1


async def run_reader(port: int, until: float, outcomes: Counter[str]) -> list[float]:
    """Send calls and read their answers at once; return their durations in seconds."""
    durations = []
    number = 0
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < until:
            number += 1
            path = "/order/a" if number % 5 == 0 else "/order/small"
            headers = {
                "Host": ROUTE_HOST,
                "Request-Id": f"good-{number}",
                "Credential": KEY,
                "Deadline-Ms": "5000",
            }
            started = time.monotonic()
            try:
                async with session.post(
                    f"http://{HOST}:{port}{path}", headers=headers
                ) as response:
                    await response.read()
                    outcomes[str(response.status)] += 1
            except aiohttp.ClientError as error:
                outcomes[type(error).__name__] += 1
            durations.append(time.monotonic() - started)
            await asyncio.sleep(0.1)
    return durations


def read_peak(process: int) -> float:
    """Return the peak resident memory of a process, in MiB."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise ValueError("no VmHWM")


async def measure(kind: str, clients: int) -> dict[str, object]:
    """Run one measurement and return its figures."""
    store = FakeStore()
    await store.start()
    routes = [
        ("/order/", "bookings"),
        ("/stuck/", "stuck"),
    ]
    await store.put(
        "keyed.op",
        "config",
        build_configuration(
            routes=[
                {
                    "name": prefix,
                    "prefix": prefix,
                    "host": ROUTE_HOST,
                    "type": "unsafe",
                    "service": service,
                    "timeout_ms": 40_000,
                    "slo_ms": 1_000,
                    "priority": 1,
                }
                for prefix, service in routes
            ],
            services=[{"name": service} for _, service in routes],
            limits={"max_body_bytes": 4_000_000},
        ),
    )
    targets = [FakeTarget(f"i-b{number}", "bookings") for number in range(4)]
    for target in targets:
        set_handler(target)
        await target.start(store)
    stuck = FakeTarget("i-s1", "stuck")
    server = await asyncio.start_server(serve_without_reading, HOST, 0)
    bound = server.sockets[0].getsockname()
    stuck.address = f"{bound[0]}:{bound[1]}"
    await stuck.register(store)
    ports = [find_free_port() for _ in range(3)]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry.toml"
        write_settings(path, ports, store.address)
        with path.open("a") as file:
            file.write(f"\n[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = 4096\n")
        with (Path(folder) / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "figstep.platform",
                stdout=log,
                stderr=log,
                env={**os.environ, "FIGSTEP_CONFIG": str(path)},
            )
        try:
            return await _run_load(kind, clients, ports, process.pid)
        finally:
            process.terminate()
            await process.wait()
            server.close()
            for target in targets:
                await target.kill()
            await store.stop()


async def _run_load(
    kind: str, clients: int, ports: list[int], process: int
) -> dict[str, object]:
    async with aiohttp.ClientSession() as session:
        for _ in range(100):
            with suppress(aiohttp.ClientError):
                async with session.get(
                    f"http://{HOST}:{ports[1]}/figstep/readyz"
                ) as response:
                    if response.status == 200:
                        break
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        idle = read_peak(process)
        outcomes: Counter[str] = Counter()
        good: Counter[str] = Counter()
        until = time.monotonic() + DURATION_SECONDS
        reader = asyncio.create_task(run_reader(ports[0], until, good))
        async with asyncio.TaskGroup() as group:
            for number in range(clients):
                group.create_task(run_client(kind, number, ports[0], outcomes))
                await asyncio.sleep(0.01)
        durations = sorted(await reader)
        async with session.get(f"http://{HOST}:{ports[1]}/metrics") as response:
            lines = (await response.text()).splitlines()
    return {
        "kind": kind,
        "clients": clients,
        "idle_mib": round(idle, 1),
        "peak_mib": round(read_peak(process), 1),
        "clients_ended": outcomes,
        "readers_ended": good,
        "readers_median_ms": round(1000 * durations[len(durations) // 2]),
        "readers_max_ms": round(1000 * durations[-1]),
        "metrics": [
            line
            for line in lines
            if "buffer" in line or "paced" in line
            if not line.startswith("#") and "created" not in line
        ],
    }


if __name__ == "__main__":
    result = asyncio.run(measure(sys.argv[1], int(sys.argv[2])))
    print(orjson.dumps(result).decode())
