"""Tests of the benchmark against an entry and against the token source."""

import pytest

from figstep.bench import BenchmarkError, Workload, measure
from figstep.demo import KEY, MODEL, run_deployment
from figstep.standins.http import start_app
from figstep.standins.source import TokenSource


async def test_load_through_an_entry_is_counted_whole() -> None:
    async with run_deployment(1, gaps=(0.001,)) as deployment:
        url = deployment.entries[0].callers.address
        report = await measure(Workload(url, KEY, MODEL, 3, 5, 1.0), 0.2, 0.5)
    assert report.tally.requests > 0
    assert not report.tally.failures
    assert any(line.startswith("tokens/s") for line in report.list_lines())


async def test_token_source_reports_the_delay() -> None:
    runner, url = await start_app(TokenSource().build_app())
    report = await measure(Workload(url, "", MODEL, 2, 10, 5.0), 0.1, 0.5)
    await runner.cleanup()
    assert report.tally.requests > 0
    assert len(report.tally.delays) == report.tally.tokens
    assert min(report.tally.delays) > 0


async def test_wrong_key_raises_instead_of_reporting_zero() -> None:
    async with run_deployment(1) as deployment:
        url = deployment.entries[0].callers.address
        with pytest.raises(BenchmarkError, match="check address, key and model"):
            await measure(Workload(url, "wrong", MODEL, 1, 5, 1.0), 0.1, 0.1)
