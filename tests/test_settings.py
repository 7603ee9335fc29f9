"""Tests of the settings: each error names file, field, problem and correction."""

import json
import socket
from pathlib import Path
from typing import Any

import pytest
import yaml
from pydantic import BaseModel
from typer.testing import CliRunner

from figstep.cli import app
from figstep.errors import SettingsError
from figstep.settings import Limits, Listen, Settings, load_settings
from tests.processes import ROOT, run_command, write_yaml

GOOD: dict[str, Any] = {
    "node": "n-1",
    "failure_domain": "a",
    "platform": {"log": "http://127.0.0.1:9", "instances": "http://127.0.0.1:9"},
}
EXAMPLE = ROOT / "examples" / "settings.yaml"

BAD_FIELDS = [
    ({"node": "N 1"}, "node: String should match pattern"),
    ({"node": None}, "node: Input should be a valid string"),
    ({"platform": {"log": "http://x:1"}}, "platform.instances: missing; add it"),
    ({"platform": {**GOOD["platform"], "log": "x:1"}}, "platform.log: String should"),
    ({"callers": {"port": 70_000}}, "callers.port: Input should be less than"),
    ({"callers": {"prot": 1}}, "callers.prot: not a known field; check its spelling"),
    ({"callers": 8080}, "callers: write a mapping of fields here"),
    ({"limits": {"body_bytes": -1}}, "limits.body_bytes: Input should be greater"),
    ({"peers": {"start": ["x:1", "x"]}}, "peers.start.1: String should match"),
    ({"log_level": "LOUD"}, "log_level: Input should be 'DEBUG', 'INFO'"),
    ({"tls": {"key": "k.pem"}}, "tls.certificate: missing; add it"),
]


@pytest.mark.parametrize(("change", "message"), BAD_FIELDS)
def test_error_names_file_field_and_remedy(
    tmp_path: Path, change: dict[str, Any], message: str
) -> None:
    path = write_yaml(tmp_path / "bad.yaml", {**GOOD, **change})
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(caught.value).startswith(f"{path}: {message}")


def test_all_wrong_fields_are_reported_at_once(tmp_path: Path) -> None:
    path = write_yaml(tmp_path / "bad.yaml", {"node": "N"})
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    lines = str(caught.value).splitlines()
    assert [line.split(": ")[1] for line in lines] == [
        "node",
        "failure_domain",
        "platform",
    ]


@pytest.mark.parametrize("text", ["a: [1", "- 1", ""])
def test_other_files_are_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=r"bad\.yaml: "):
        load_settings(path)


def list_fields(model: type[BaseModel], prefix: str = "") -> set[str]:
    fields = set()
    for name, field in model.model_fields.items():
        kinds = [field.annotation, *getattr(field.annotation, "__args__", ())]
        inner = [k for k in kinds if isinstance(k, type) and issubclass(k, BaseModel)]
        if inner:
            fields |= list_fields(inner[0], f"{prefix}{name}.")
            continue
        fields.add(prefix + name)
    return fields


def list_given(document: dict[str, Any], prefix: str = "") -> set[str]:
    given = set()
    for name, value in document.items():
        if isinstance(value, dict):
            given |= list_given(value, f"{prefix}{name}.")
            continue
        given.add(prefix + name)
    return given


def test_example_shows_every_field_with_the_defaults() -> None:
    settings = load_settings(EXAMPLE)
    document = yaml.safe_load(EXAMPLE.read_text())
    assert list_given(document) == list_fields(Settings)
    assert settings.limits == Limits()
    assert settings.callers.host == Listen().host
    assert settings.notice_seconds == Settings(**GOOD).notice_seconds


def test_check_and_schema_commands(tmp_path: Path) -> None:
    runner = CliRunner()
    checked = runner.invoke(app, ["settings", "check", str(EXAMPLE)])
    assert (checked.exit_code, checked.output) == (0, f"{EXAMPLE}: valid\n")
    schema = json.loads(runner.invoke(app, ["settings", "schema"]).output)
    assert "node" in schema["required"]


async def test_entry_reports_why_it_cannot_start(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        starts = [
            ({"callers": {"port": port}}, f"cannot listen on 127.0.0.1:{port}"),
            ({"tls": {"certificate": "no.pem", "key": "no.pem"}}, "usable pair"),
            ({"node": "N"}, "node: "),
        ]
        for change, message in starts:
            path = write_yaml(tmp_path / "bad.yaml", {**GOOD, **change})
            code, output = await run_command("serve", "--settings", str(path))
            assert code == 1, output
            assert message in output
            assert "Traceback" not in output
