"""Entries of the platform as processes of their own."""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from tests.ports import find_free_port
from tests.processes import ROOT

SETTINGS = """
node = "entry-{number}"
ip = "{ip}"
zone = "{zone}"
region = "bayern"
bootstrap = {first}
port_range = [{peers}, {relays}]
seeds = [{seeds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{ready}"
[provider]
addr = "{store}"
[bounds]
"""
"""Settings file of an entry; the table of bounds is open at its end."""


@dataclass(slots=True)
class Network:
    """Loopback addresses and ports of the entries of one test.

    The addresses follow from the process id, so that parallel runs use different ones.

    Attributes:
        prefix: First three bytes of the addresses.
        front: Port for callers.
        ready: Port for readiness checks and control.
        peers: Port for messages of other entries; requests that they pass on come to
            the next one.
    """

    prefix: str
    front: int
    ready: int
    peers: int

    def find_ip(self, number: int) -> str:
        """Return the address of an entry, by its number from 0."""
        return f"{self.prefix}.{number + 1}"

    def write_settings(
        self,
        path: Path,
        number: int,
        store: str,
        zone: str = "muc-a",
        first: bool = True,
        bounds: str = "",
    ) -> None:
        """Write the settings file of an entry, with lines for its table of bounds."""
        seeds = (f'"{self.find_ip(seed)}:{self.ready}"' for seed in range(2))
        text = SETTINGS.format(
            number=number,
            ip=self.find_ip(number),
            zone=zone,
            first=str(first).lower(),
            peers=self.peers,
            relays=self.peers + 1,
            seeds=", ".join(seeds),
            front=self.front,
            ready=self.ready,
            store=store,
        )
        path.write_text(text + bounds)


def build_network() -> Network:
    """Return a network with free ports."""
    front, ready, peers = (find_free_port() for _ in range(3))
    while peers + 1 in (front, ready):
        peers = find_free_port()
    return Network(f"127.{os.getpid() % 250 + 1}.{front % 250}", front, ready, peers)


async def start_entry(
    settings: Path, log: Path, program: str = "figstep.platform"
) -> asyncio.subprocess.Process:
    """Start the process of an entry, and append its output to a file."""
    with log.open("ab") as lines:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            program,
            stdout=lines,
            stderr=lines,
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT),
                "FIGSTEP_CONFIG": str(settings),
            },
        )


async def query_ready(address: str) -> bool:
    """Return whether the readiness check at "ip:port" succeeds within half a second."""
    timeout = aiohttp.ClientTimeout(total=0.5)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/figstep/readyz") as response,
        ):
            return response.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
