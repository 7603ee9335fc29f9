"""Edge that reads the load reports of engines."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson
from mode import Service

from figstep.core.clock import Millis
from figstep.core.events import Event, LoadReported
from figstep.core.inventory import EngineInfo
from figstep.net.connectors import ResetAwareConnector
from figstep.net.reading import read_body

TIMEOUT_SECONDS = 2.0
"""Timeout of a request for a load report, in seconds."""

MAX_REPORT_BYTES = 1_048_576
"""Largest load report, in bytes."""

REQUEST_SPACING_SECONDS = 0.25
"""Pause after each request for a load report, in seconds.

An entry sends at most four requests a second, whatever the fleet's size.
"""

MIN_ROUND_SECONDS = 0.5
"""Minimum duration of a round, which reads each engine once, in seconds."""


class ReportEdge(Service):
    """Reads the load reports of the watched engines in rounds.

    A report that is not received before the timeout or cannot be parsed is left out;
    the engine is read again in the next round.
    """

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        list_watched: Callable[[], list[EngineInfo]],
    ) -> None:
        super().__init__()
        self._dispatch = dispatch
        self._list_watched = list_watched
        self._session: aiohttp.ClientSession | None = None
        self._reading: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Open the client session."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(
            connector=ResetAwareConnector(), timeout=timeout
        )

    async def on_shutdown(self) -> None:
        """Cancel running reads and close the session."""
        for task in self._reading:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    @Service.task
    async def _run_rounds(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            started = loop.time()
            for engine in self._list_watched():
                self._start_reading(engine)
                await self.sleep(REQUEST_SPACING_SECONDS)
            await self.sleep(max(0.0, started + MIN_ROUND_SECONDS - loop.time()))

    def _start_reading(self, engine: EngineInfo) -> None:
        # A dead engine does not answer before the timeout; waiting for it here
        # would delay the reports of all other engines.
        task = asyncio.get_running_loop().create_task(self._read_report(engine))
        self._reading.add(task)
        task.add_done_callback(self._reading.discard)

    async def _read_report(self, engine: EngineInfo) -> None:
        assert self._session is not None
        try:
            async with self._session.get(engine.address + "/load") as response:
                document = orjson.loads(await read_body(response, MAX_REPORT_BYTES))
            event = parse_report(engine.name, document)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, TypeError):
            return
        self._dispatch(event)


def parse_report(target: str, document: dict[str, Any]) -> LoadReported:
    """Convert the decoded answer of ``GET /load`` into an event.

    Missing fields get defaults.

    Raises:
        ValueError: If text in a number field is not a number.
        TypeError: If the document is not an object or a field has the wrong type.
    """
    if not isinstance(document, dict):
        raise TypeError("a load report is one JSON object")
    return LoadReported(
        target=target,
        incarnation=int(document.get("incarnation", 0)),
        leaving=bool(document.get("leaving", False)),
        running=int(document.get("running", 0)),
        waiting=int(document.get("waiting", 0)),
        memory_used=int(document.get("memory_used", 0)),
        memory_total=int(document.get("memory_total", 0)),
        models=tuple(str(model) for model in document.get("models", ())),
        age=Millis(int(document.get("age_ms", 0))),
    )
