"""Runs the tests listed in KNOWN-RED.txt and reports them separately."""

from dataclasses import dataclass
from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

_KNOWN_RED = pytest.StashKey[list["KnownRed"]]()


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A line of KNOWN-RED.txt.

    Attributes:
        test: Id of the test.
        command: Command and seed that reproduce the failure.
        cause: What was seen, and the cause as far as it is known.
        issue: Number of the issue.
    """

    test: str
    command: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the listed tests; an empty list if the file does not exist.

    Raises:
        pytest.UsageError: If a line is incomplete, or a test is listed twice.
    """
    if not path.exists():
        return []
    found = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts):
            raise pytest.UsageError(f"{path.name}: write four parts: {line!r}")
        listed = KnownRed(*parts)
        if any(other.test == listed.test for other in found):
            raise pytest.UsageError(f"{path.name}: listed twice: {listed.test}")
        found.append(listed)
    return found


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_KNOWN_RED] = read_known_red(config.rootpath / "KNOWN-RED.txt")


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    listed = {line.test: line for line in config.stash[_KNOWN_RED]}
    for item in items:
        line = listed.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line.cause, strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for line in config.stash[_KNOWN_RED]:
        verdict = "not run"
        if _has_report(terminalreporter, "xfailed", line.test):
            verdict = "FAILED"
        if _has_report(terminalreporter, "xpassed", line.test):
            verdict = "passes: mend the list"
        terminalreporter.write_line(
            f"KNOWN-RED {line.test} {verdict}"
            f" ({line.cause}; {line.command}; issue {line.issue})"
        )


def _has_report(reporter: pytest.TerminalReporter, kind: str, test: str) -> bool:
    reports = reporter.stats.get(kind, [])
    return any(report.nodeid == test for report in reports)
