"""Watch over the settings file while an entry runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import logbook

from figstep.errors import SettingsError
from figstep.platform.settings import EntrySettings, load_settings

_log = logbook.Logger("figstep.entry")

CHECK_INTERVAL_SECONDS = 2.0
"""How often the settings file is looked at; its bounds change rarely."""


class SettingsWatch:
    """Reads the settings file again on a signal, and when it has changed."""

    def __init__(self, path: Path, apply: Callable[[EntrySettings], None]) -> None:
        self._path = path
        self._apply = apply
        self._last_stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            _log.warning("settings file not found", extra={"error": str(error)})
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def reload(self) -> None:
        """Read the file; wrong settings leave those in force as they are."""
        self._last_stamp = self._read_stamp()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            _log.error("settings refused", extra={"error": str(error)})
            return
        self._apply(settings)

    async def run(self) -> None:
        """Look at the file now and then; the platform may change it silently."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._read_stamp() != self._last_stamp:
                self.reload()
