"""Runs an entry instance as a process: event loop, signals and exit code."""

import asyncio
import signal

import logbook
import uvloop

from figstep.application import Application
from figstep.logs import install_logs
from figstep.settings import Settings

# Exit code after a graceful shutdown, which waits until every request has ended.
EXIT_DRAINED = 0
# Exit code after a second signal, which ends open requests with an error.
EXIT_FORCED = 3

_log = logbook.Logger("figstep.server")


async def serve_until_signal(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT, then drain; a second signal forces the stop.

    Returns:
        ``EXIT_DRAINED`` if every request had ended before a second signal, or
        ``EXIT_FORCED`` after a second signal.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    application = Application(settings)
    await application.start()
    _log.info("serving", extra={"address": application.callers.address})
    print(f"entry {application.callers.address}", flush=True)
    await signals.get()
    _log.info("draining", extra={"requests": len(application.exchanges)})
    code = await _drain(application, signals)
    await application.stop()
    _log.info("ended", extra={"code": code})
    return code


async def _drain(application: Application, signals: asyncio.Queue[int]) -> int:
    drain = asyncio.create_task(application.drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if drain.done():
        drain.result()
        return EXIT_DRAINED
    drain.cancel()
    _log.warning("cut short", extra={"requests": len(application.exchanges)})
    await application.force_stop()
    return EXIT_FORCED


def run_server(settings: Settings) -> int:
    """Run an entry instance until a signal ends it; return its exit code."""
    install_logs(settings.log_level)
    return uvloop.run(serve_until_signal(settings))
