"""Benchmark of the stall of a stream whose connection breaks or goes silent.

Run as ``python -m benchmarks.recovery --runs 10``. One entry and three engines
with gaps of 10, 20 and 40 ms behind proxies all run in this process.
"""

import argparse
import asyncio
import time
from statistics import median
from urllib.parse import urlsplit

import aiohttp

from figstep.demo import KEY, MODEL, Deployment, run_deployment
from figstep.net.log import HttpLog
from figstep.operations import publish_document
from figstep.standins.proxy import TcpProxy

TOKENS = 200
"""Number of tokens of each answer."""

FAULT_AFTER_TOKENS = 100
"""Number of received tokens after which the fault is injected."""

HEADERS = {"Authorization": f"Bearer {KEY}"}


async def relay_engines(deployment: Deployment) -> list[TcpProxy]:
    """Start a proxy in front of each engine and publish the proxies' addresses.

    Returns when the changed document is in force on the first entry.
    """
    proxies = []
    for item in deployment.document["engines"]:
        parts = urlsplit(item["address"])
        proxy = TcpProxy(str(parts.hostname), int(parts.port or 0))
        await proxy.start()
        proxies.append(proxy)
        item["address"] = proxy.url
    log = HttpLog(deployment.entries[0].settings.platform.log)
    offset = await publish_document(log, deployment.document, "bench", "proxies")
    await log.close()
    while deployment.entries[0].entry_state.configuration_offset < offset:
        await asyncio.sleep(0.01)
    return proxies


async def stream_once(url: str, proxies: list[TcpProxy], fault: str) -> float:
    """Stream an answer and inject a fault after ``FAULT_AFTER_TOKENS`` tokens.

    ``fault`` is "cut", "frozen" or "none".

    Returns:
        The longest gap between two tokens in milliseconds, including the wait from the
        response headers to the first token.

    Raises:
        RuntimeError: If not exactly ``TOKENS`` tokens were received.
    """
    body = {
        "model": MODEL,
        "prompt": "menu",
        "stream": True,
        "standin_length": TOKENS,
    }
    longest, received = 0.0, 0
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        async with session.post(url + "/v1/completions", json=body) as response:
            previous = time.perf_counter()
            async for line in response.content:
                if not line.startswith(b"id: "):
                    continue
                now = time.perf_counter()
                longest = max(longest, (now - previous) * 1000)
                previous = now
                received += 1
                if received == FAULT_AFTER_TOKENS:
                    inject_fault(proxies, fault)
    if received != TOKENS:
        raise RuntimeError(
            f"{received} of {TOKENS} tokens came; look at the entry's log"
        )
    return longest


def inject_fault(proxies: list[TcpProxy], fault: str) -> None:
    """Inject a fault into the open connections of all proxies.

    ``fault`` is "cut", "frozen" or "none".
    """
    for proxy in proxies:
        match fault:
            case "cut":
                proxy.cut()
            case "frozen":
                proxy.freeze()
            case _:
                continue


async def measure(runs: int) -> None:
    """Print the median and maximum longest gap of ``runs`` streams for each fault."""
    async with run_deployment(entries=1) as deployment:
        proxies = await relay_engines(deployment)
        url = deployment.entries[0].callers.address
        for fault in ("none", "cut", "frozen"):
            gaps = [await stream_once(url, proxies, fault) for _ in range(runs)]
            print(
                f"{fault}: longest gap of a stream: median {median(gaps):.0f} ms,"
                f" most {max(gaps):.0f} ms, {runs} runs"
            )
        for proxy in proxies:
            await proxy.stop()


def main() -> None:
    """Parse the arguments and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10)
    asyncio.run(measure(parser.parse_args().runs))


if __name__ == "__main__":
    main()
