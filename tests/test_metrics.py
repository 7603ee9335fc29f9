"""Tests of the metrics: what statsd receives, and that all names are documented."""

import ast
import re
import socket

import aiohttp

from figstep.demo import KEY, MODEL, run_deployment
from figstep.metrics import StatsdMetrics
from figstep.reporting import Load, report_load
from tests.processes import ROOT

_CALLS = {"Count", "count", "gauge", "time"}
_OUTSIDE = ("standins", "experiment", "bench")


def find_names() -> set[str]:
    """Return the name of every metric that the code records."""
    names = set()
    for path in (ROOT / "figstep").rglob("*.py"):
        if any(part in _OUTSIDE for part in (path.stem, *path.parts)):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            called = getattr(node.func, "attr", getattr(node.func, "id", ""))
            first = node.args[0]
            if called not in _CALLS or not isinstance(first, ast.Constant):
                continue
            if isinstance(first.value, str) and "." in first.value:
                names.add(first.value)
    return names


def read_documented() -> set[str]:
    page = (ROOT / "docs" / "OPERATING.md").read_text()
    section = page.partition("## Metrics and alarms")[2].partition("\n## ")[0]
    return set(re.findall(r"^\| `([a-z_.]+)`", section, re.MULTILINE))


def test_every_metric_is_documented_and_every_documented_one_exists() -> None:
    assert find_names() == read_documented()


def test_statsd_server_receives_counters_gauges_and_timings() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(20)
        metrics = StatsdMetrics("127.0.0.1", listener.getsockname()[1], "muc.1")
        metrics.count("requests.arrived", 2)
        metrics.time("requests.duration", 12.5)
        report_load(metrics, Load(3, 2, 1, 5, 0, 7), lag=0.0)
        received = [listener.recv(500).decode() for _ in range(11)]
    assert received[0] == "figstep.muc-1.requests.arrived:2|c"
    assert received[1] == "figstep.muc-1.requests.duration:12.500000|ms"
    assert "figstep.muc-1.requests.queued:2|g" in received
    memory = next(line for line in received if "memory_bytes" in line)
    assert int(memory.partition(":")[2].removesuffix("|g")) > 1_000_000


async def test_stream_reports_its_waits() -> None:
    async with run_deployment(1, gaps=(0.3,)) as deployment:
        entry = deployment.entries[0]
        body = {"model": MODEL, "prompt": "m", "stream": True, "max_tokens": 2}
        async with aiohttp.ClientSession() as session:
            async with session.post(
                entry.callers.address + "/v1/completions",
                json=body,
                headers={"Authorization": f"Bearer {KEY}"},
            ) as response:
                await response.read()
        gauges = entry.metrics.gauges
        assert gauges["streams.longest_gap"] >= 250
        assert gauges["streams.stall"] >= gauges["streams.longest_gap"]
        assert gauges["requests.duration"] >= 250
