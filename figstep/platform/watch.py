"""Reload of the settings file while an entry runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import logbook

from figstep.errors import SettingsError
from figstep.platform.settings import EntrySettings, load_settings

_log = logbook.Logger("figstep.entry")

CHECK_INTERVAL_SECONDS = 2.0
"""Interval between two checks of the settings file, in seconds. The settings change
rarely."""


class SettingsWatch:
    """Reads the settings file again on a signal and when the file has changed.

    A change is detected by the modification time and the size of the file.
    """

    def __init__(self, path: Path, apply: Callable[[EntrySettings], None]) -> None:
        self._path = path
        self._apply = apply
        self._last_stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            _log.warning("cannot read the settings file", extra={"error": str(error)})
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def reload(self) -> None:
        """Read the file and apply its settings; invalid ones change nothing."""
        self._last_stamp = self._read_stamp()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            _log.error("invalid settings ignored", extra={"error": str(error)})
            return
        self._apply(settings)

    async def run(self) -> None:
        """Check the file periodically until cancelled.

        The platform may change it without a signal.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._read_stamp() != self._last_stamp:
                self.reload()
