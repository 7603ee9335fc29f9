"""Tests of deployments whose targets are processes of their own."""

import asyncio
import random
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from tests.deployments import proxies
from tests.deployments.__main__ import describe_streams, run_deployment
from tests.deployments.counts import WholeStreams, count_outcomes
from tests.deployments.hosts import Spares, TargetHost, read_journal
from tests.deployments.plans import BEHAVIORS
from tests.deployments.proxies import FaultyProxy
from tests.deployments.shapes import Options
from tests.faults.__main__ import describe_record
from tests.faults.records import Attempt, Disturbance, Kind, Record
from tests.platform.runs import Run
from tests.platform.standins import FakeStore
from tests.platform.target import Identity
from tests.ports import HOST, find_free_port


async def test_a_journal_outlives_the_kill_of_its_target(tmp_path: Path) -> None:
    """Guards against runs of a killed target that are missing in the record."""
    store = FakeStore()
    await store.start()
    spares = Spares(tmp_path / "targets.log")
    await spares.start(1)
    address = f"{HOST}:{find_free_port()}"
    journal = tmp_path / "e-1.jsonl"
    target = TargetHost(
        Identity("e-1", "engines", address, "muc-a", "v2", store.address, str(journal)),
        spares,
    )
    headers = {"Expect-Instance": "e-1", "Request-Id": "r-1", "Token-Count": "1,400"}
    received = b""
    try:
        await target.start()
        with pytest.raises(aiohttp.ClientError):
            async with (
                aiohttp.ClientSession() as session,
                session.post(f"http://{address}/plan/100", headers=headers) as response,
            ):
                received = await response.content.readuntil(b"\n\n")
                await target.kill()
                await response.read()
    finally:
        await target.kill()
        await spares.stop()
        await store.stop()
    lines: list[dict[str, Any]] = []
    [run] = read_journal(journal, lines.append)
    assert [line["request"] for line in lines if line["kind"] == "arrived"] == ["r-1"]
    assert received == f"id: 1\ndata: {run.generation} r-1 v2 1\n\n".encode()
    assert run.ended is not None
    assert not run.whole


SEEDS = [("langar-by", 3), ("rmia-figstep", 4)]
"""Deployments that are run, with the seeds of their faults."""


@pytest.mark.parametrize(("name", "seed"), SEEDS)
async def test_promises_hold_as_targets_are_processes(
    name: str, seed: int, tmp_path: Path
) -> None:
    """Guards against streams out of order where processes are killed and restarted."""
    record, breaches = await run_deployment(
        name, seed, tmp_path, seconds=10.0, patience=3.0, returns=3.0
    )
    assert breaches == [], [describe_record(record), *describe_streams(record)]
    assert sum(attempt.status == 200 for attempt in record.attempts) > 100
    check_freezes(record)


def check_freezes(record: Record) -> None:
    """Check that frozen targets record it in the clock of the plan.

    One that is killed meanwhile records nothing.
    """
    frozen = [one for one in record.disturbances if one.name == "freezetarget"]
    assert any(
        fault.target == target and fault.overlaps(start, end)
        for fault in frozen
        for target, start, end in record.target_stalls or ()
    )


async def test_promises_hold_as_few_streams_end_with_their_connection(
    tmp_path: Path,
) -> None:
    """Guards against a part as the whole where open ends are rare among streams."""
    options = Options(open_share=1 / 12, late_share=0.01, clock_back=True)
    record, breaches = await run_deployment(
        "langar-by", 53, tmp_path, 10.0, patience=3.0, returns=3.0, options=options
    )
    assert breaches == [], [describe_record(record), *describe_streams(record)]
    assert sum(attempt.status == 200 for attempt in record.attempts) > 100


async def test_no_part_is_the_whole_as_engines_sleep_after_an_early_close_beside_load(
    tmp_path: Path,
) -> None:
    """Guards against a part as the whole whose engine answers nothing after it."""
    options = Options(framing="connection", sleeping=True, busy=4)
    record, breaches = await run_deployment(
        "rmia-figstep",
        816,
        tmp_path,
        12.0,
        patience=3.0,
        returns=3.0,
        without=BEHAVIORS,
        moves=False,
        options=options,
    )
    # Beside load, bounds on time may be broken by the machine; what is whole may not.
    order = [breach for breach in breaches if breach.promise == "order"]
    assert order == [], [describe_record(record), *describe_streams(record)]
    assert any(fault.name == "asleep" for fault in record.disturbances)
    assert sum(attempt.status == 200 for attempt in record.attempts) > 100


async def read_through_proxy(calm: bool) -> tuple[bytes, str]:
    """Return what arrives of 2,000 bytes behind a proxy, and how they end."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(await reader.readexactly(3) + bytes(1_997))
        writer.close()

    server = await asyncio.start_server(answer, HOST, 0)
    proxy = FaultyProxy(server.sockets[0].getsockname()[1], random.Random(1))
    proxy.calm = calm
    await proxy.start()
    received, end = b"", "closed"
    try:
        reader, writer = await asyncio.open_connection(*proxy.address.split(":"))
        writer.write(b"dal")
        async with asyncio.timeout(0.5):
            while piece := await reader.read(4_096):
                received += piece
    except (ConnectionResetError, TimeoutError) as error:
        end = type(error).__name__
    finally:
        writer.close()
        await proxy.stop()
        server.close()
    return received, end


@pytest.mark.parametrize(
    ("fault", "count", "end"),
    [
        ("close", 100, "closed"),
        ("reset", 100, "ConnectionResetError"),
        ("hold", 100, "TimeoutError"),
        ("stall", 2_000, "closed"),
        ("calm", 2_000, "closed"),
    ],
)
async def test_a_proxy_breaks_connections_at_a_byte(
    fault: str, count: int, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against faults of proxies that do not happen, or lose other bytes."""
    monkeypatch.setattr(proxies, "FAULT_SHARE", 1.0)
    monkeypatch.setattr(proxies, "FAULTS", (fault,))
    monkeypatch.setattr(proxies, "OFFSET_RANGE", (2.0, 2.0))
    monkeypatch.setattr(proxies, "STALL_RANGE", (0.1, 0.1))
    received, found = await read_through_proxy(calm=fault == "calm")
    # A reset may overtake bytes that the reader has not read yet.
    assert len(received) <= count if fault == "reset" else len(received) == count
    assert found == end


def build_stream(kind: Kind, number: int, **fields: Any) -> Attempt:
    """Return an attempt at entry 1 from second 0 to 9 that got a whole stream."""
    attempt = Attempt(f"r-{number}", kind, 1, 1, "/", "", 0.0, 9.0, 200, whole=True)
    for name, value in fields.items():
        setattr(attempt, name, value)
    return attempt


def test_whole_streams_are_counted_by_what_became_of_them() -> None:
    """Guards against figures that hide whole streams which their callers lost."""
    connection = {"whole": True, "framing": "connection", "ended": 5.0}
    streams: list[tuple[Attempt, dict[str, Any]]] = [
        (build_stream(Kind.PLAN, 1), connection),
        (build_stream(Kind.PLAN, 2, whole=False), connection),
        (build_stream(Kind.PLAN, 3), {**connection, "whole": False}),
        (build_stream(Kind.PLAN, 4), {**connection, "framing": "chunks"}),
        (build_stream(Kind.PLAN, 5, disconnected=True, ended=5.5), connection),
        (build_stream(Kind.PLAN, 6, disconnected=True), connection),
        (build_stream(Kind.PLAN, 7, entry=2, whole=False), connection),
        (build_stream(Kind.PLAN, 8, entry=2, ended=6.0), connection),
        (build_stream(Kind.RESUME, 9, resumes="r-0"), connection),
        (build_stream(Kind.RESUME, 10, resumes="r-0", status=502), connection),
    ]
    record = Record()
    for attempt, fields in streams:
        record.attempts.append(attempt)
        record.runs.append(Run(attempt.id, "e-1", "g", 1.0, **fields))
        record.arrivals.append((1.0, "engines", attempt.id))
    record.arrivals += [(2.0, "engines", "r-3"), (2.0, "bookings", "r-4")]
    record.disturbances.append(Disturbance("kill", 2, "", 7.0, 8.0))
    record.disturbances.append(Disturbance("freeze", 1, "", 1.0, 2.0))
    lines = describe_streams(record)
    assert "connection: 1 resumable, target made all, served whole" in lines
    counts = count_outcomes(record)
    assert counts.whole["long, not resumable"] == WholeStreams(2, 3, 1, 2, 1)
    assert counts.whole["short, resumable"] == WholeStreams(1, 2)
    assert counts.taken_up == (1, 2)
    assert (counts.bad_gateways, counts.repeats) == (1, 1)


async def test_no_stream_goes_on_at_another_version_as_releases_are_rolled_back(
    tmp_path: Path,
) -> None:
    """Guards against a version that is taken for the only one where an entry is cut."""
    record, breaches = await run_deployment(
        "langar-by",
        1003,
        tmp_path,
        10.0,
        patience=3.0,
        returns=8.0,
        without=BEHAVIORS,
        options=Options(releases=True),
    )
    assert breaches == [], [describe_record(record), *describe_streams(record)]
    assert sum(attempt.status == 200 for attempt in record.attempts) > 100
