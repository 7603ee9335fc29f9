"""Tests of the loader of the platform's settings file."""

from pathlib import Path

import pytest

from figstep.errors import SettingsError
from figstep.platform.settings import Address, load_settings, parse_settings

DOCUMENT = {
    "node": "edge-muc-a-1",
    "ip": "10.1.0.19",
    "zone": "muc-a",
    "region": "bayern",
    "bootstrap": True,
    "port_range": [7200, 7215],
    "seeds": ["10.2.0.13:8748"],
    "listen": {"front": "10.1.0.19:8740", "ready": "10.1.0.19:8749"},
    "bounds": {"grace_s": 8, "retry_ratio": 0.2, "retry_extra": 56},
    "provider": {"addr": "10.200.1.7:8742", "form": "log"},
    "unknown": {"field": 1},
}


def test_settings_of_an_entry() -> None:
    settings = parse_settings(DOCUMENT, "boot.toml")
    assert settings.callers == Address("10.1.0.19", 8740)
    assert settings.peers == Address("10.1.0.19", 7200)
    assert settings.seeds == (Address("10.2.0.13", 7200),)
    assert settings.grace == 8_000
    assert settings.retry_allowance == 56.0


def test_the_contract_of_pressure_enables_admission_by_the_fleet() -> None:
    """Guards against other deployments whose admission changes."""
    assert not parse_settings(DOCUMENT, "boot.toml").fleet_admission
    for contracts, expected in ((["pressure", "other"], True), (["other"], False)):
        document = {**DOCUMENT, "contracts": contracts}
        assert parse_settings(document, "boot.toml").fleet_admission is expected


def test_wrong_fields_are_named() -> None:
    document = {**DOCUMENT, "listen": {"front": "10.1.0.19:8740"}}
    with pytest.raises(SettingsError, match=r"boot\.toml: listen\.ready: missing"):
        parse_settings(document, "boot.toml")


def test_a_file_that_is_no_settings_file(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text("node = ")
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(path)
