"""Tests of the reload of the settings file."""

from pathlib import Path

from figstep.platform.settings import EntrySettings
from figstep.platform.watch import SettingsWatch
from tests.platform.standins import SETTINGS


async def test_settings_are_read_again_and_wrong_ones_refused(tmp_path: Path) -> None:
    """Guards against a half-written file that ends the process or resets its bounds."""
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    applied: list[EntrySettings] = []
    watch = SettingsWatch(path, applied.append)
    path.write_text(SETTINGS + "retry_extra = 99\n")
    watch.reload()
    assert applied[-1].retry_allowance == 99.0
    path.write_text("[bounds")
    watch.reload()
    assert len(applied) == 1
