"""Runs a stand-in as a process that serves until SIGTERM or SIGINT."""

import asyncio
import signal

from aiohttp import web

from figstep.standins.engine import EngineServer
from figstep.standins.engine_model import EngineProfile
from figstep.standins.http import start_app
from figstep.standins.instances import InstanceList
from figstep.standins.log import LogService
from figstep.standins.proxy import TcpProxy, build_control
from figstep.standins.service import PlainService
from figstep.standins.source import TokenSource
from figstep.standins.weights import WeightStore

KINDS = ("log", "instances", "engine", "service", "weights", "proxy", "source")
"""Kinds of stand-ins that ``run_standin`` accepts."""


def build_standin(
    kind: str, name: str, gap: float, profile: EngineProfile | None = None
) -> web.Application:
    """Return the application of one kind of stand-in.

    ``kind`` is one of ``KINDS`` except "proxy"; ``name`` is the target name of an
    engine or a service. If ``profile`` is None, an engine has a fixed gap between
    tokens of ``gap`` seconds.

    Raises:
        ValueError: If the kind is unknown.
    """
    match kind:
        case "log":
            return LogService().build_app()
        case "instances":
            return InstanceList().build_app()
        case "engine":
            return EngineServer(name, gap, profile=profile).build_app()
        case "service":
            return PlainService(name).build_app()
        case "source":
            return TokenSource().build_app()
        case "weights":
            return WeightStore().build_app()
        case _:
            raise ValueError(f"unknown stand-in {kind!r}; use one of {KINDS}")


async def run_proxy(target: str, port: int) -> None:
    """Relay to ``target``, a ``host:port``, until SIGTERM or SIGINT.

    Prints the URL of the proxy and that of its control interface first. Port 0 selects
    a free port.
    """
    host, _, number = target.rpartition(":")
    proxy = TcpProxy(host, int(number))
    await proxy.start(port)
    runner, control = await start_app(build_control(proxy))
    print(f"proxy {proxy.url} {control}", flush=True)
    await _wait_for_signal()
    await proxy.stop()
    await runner.cleanup()


async def run_standin(
    kind: str,
    name: str,
    port: int,
    gap: float,
    profile: EngineProfile | None = None,
) -> None:
    """Serve a stand-in until SIGTERM or SIGINT; prints its URL first.

    Args:
        kind: One of ``KINDS``.
        name: Target name, or for a proxy the ``host:port`` that it relays to.
        port: Port to listen on; 0 selects a free port.
        gap: Time between tokens of an engine without a profile, in seconds; it does
            not depend on the load.
        profile: Sizes and costs of an engine, or None for a fixed gap.

    Raises:
        ValueError: If the kind is unknown.
    """
    if kind == "proxy":
        await run_proxy(name, port)
        return
    runner, url = await start_app(build_standin(kind, name, gap, profile), port=port)
    print(f"{kind} {url}", flush=True)
    await _wait_for_signal()
    await runner.cleanup()


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
