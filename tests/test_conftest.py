"""Tests of the list of known failures, KNOWN-RED.txt."""

from pathlib import Path

import pytest

TESTS = """
def test_red(): assert False
def test_green(): pass
def test_other(): assert {other}
"""
LINE = "test_run.py::{} | pytest | it fails: cause | 6\n"


def run(pytester: pytest.Pytester, listed: str, other: bool = True) -> pytest.RunResult:
    source = Path(__file__).with_name("conftest.py").read_text()
    pytester.makeconftest(source.replace('pytest_plugins = ["pytester"]', ""))
    pytester.makepyfile(test_run=TESTS.format(other=other))
    (pytester.path / "KNOWN-RED.txt").write_text("# comment\n\n" + listed)
    return pytester.runpytest_inprocess("-p", "no:cacheprovider", "-p", "no:asyncio")


@pytest.mark.parametrize(
    ("listed", "other", "code", "expected"),
    [
        ([], True, pytest.ExitCode.TESTS_FAILED, "*1 failed*"),
        (["test_red"], True, pytest.ExitCode.OK, "KNOWN-RED *test_red FAILED*"),
        (["test_red"], False, pytest.ExitCode.TESTS_FAILED, "*test_other*"),
        (["test_red", "test_green"], True, pytest.ExitCode.OK, "*mend the list*"),
        (["test_red", "test_gone"], True, pytest.ExitCode.OK, "*test_gone not run*"),
        (["test_red", "a", "b", "c"], True, pytest.ExitCode.OK, "*::c not run*"),
        (["test_red"] * 2, True, pytest.ExitCode.USAGE_ERROR, "*listed twice*"),
    ],
)
def test_only_listed_failures_pass(
    pytester: pytest.Pytester, listed: list[str], other: bool, code: int, expected: str
) -> None:
    result = run(pytester, "".join(map(LINE.format, listed)), other)
    assert result.ret == code
    (result.stderr if code == 4 else result.stdout).fnmatch_lines([expected])


def test_an_incomplete_line_is_refused(pytester: pytest.Pytester) -> None:
    result = run(pytester, "test_run.py::test_red | pytest\n")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
