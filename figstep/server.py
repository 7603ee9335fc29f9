"""Running an entry instance as a process: loop, signals, exit."""

import asyncio
import signal

import logbook
import uvloop

from figstep.application import Application
from figstep.logs import install_logs
from figstep.settings import Settings

_log = logbook.Logger("figstep.server")


async def serve_until_signal(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then drain; a second signal ends at once."""
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    application = Application(settings)
    await application.start()
    _log.info("serving", extra={"address": application.callers.address})
    print(f"entry {application.callers.address}", flush=True)
    await signals.get()
    _log.info("draining")
    drain = asyncio.create_task(application.drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
    for task in (drain, second):
        task.cancel()
    await application.stop()


def run_server(settings: Settings) -> None:
    """Run an entry instance until it is told to end."""
    install_logs(settings.log_level)
    uvloop.run(serve_until_signal(settings))
