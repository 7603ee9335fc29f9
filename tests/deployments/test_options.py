"""Tests of what the options of a deployment's run change."""

import asyncio
import itertools
import random
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import psutil
import pytest
from aiohttp import web

from figstep.net.sockets import CALLER_BUFFER_BYTES, bound_buffers
from tests.deployments import __main__ as deployments
from tests.deployments.__main__ import describe_streams
from tests.deployments.callers import DEADLINE_RANGE, SLOW_EVENT_BYTES, Callers
from tests.deployments.counts import EarlyCloses, count_outcomes, describe_counts
from tests.deployments.hosts import Spares, TargetHost, read_journal
from tests.deployments.plans import BEHAVIORS, Restart
from tests.deployments.shapes import SHAPES, Options
from tests.deployments.sites import STEP_RANGE, Site
from tests.faults.records import Attempt, Disturbance, Kind, Record
from tests.framing import draw_share
from tests.platform import target
from tests.platform.entries import EntryEndpoint
from tests.platform.runs import Run, read_clock
from tests.platform.standins import start_app
from tests.platform.target import DELAY_RANGE, SLEEP_RANGE, Identity, ProcessTarget
from tests.platform.targets import EVENT_BYTES
from tests.platform.test_standins import PIN, list_tokens, open_engine
from tests.ports import HOST, find_free_port
from tests.processes import ROOT

IDS = [f"r{number}" for number in range(1, 3_001)]
"""Ids of requests, as callers give them."""


async def read_stream(
    engine: ProcessTarget, number: str, events: int, **extra: str
) -> tuple[bool, bytes]:
    """Return whether a stream comes in chunks, and its body if it ends in order."""
    headers = {
        "Expect-Instance": engine.name,
        "Request-Id": number,
        "Token-Count": "2079,160",
        "Prefix-Hash": "a:79,c:2000",
        "Model": "m",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    url = f"http://{engine.identity.address}/plan/{events}"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers) as response,
    ):
        return "Transfer-Encoding" in response.headers, await response.read()


async def test_a_share_of_the_streams_ends_with_the_connection(tmp_path: Path) -> None:
    """Guards against runs that are said to have few open ends and have others."""
    async with open_engine(tmp_path, open_share=0.25) as engine:
        engine.framing = None
        for number in IDS[:40]:
            in_chunks, body = await read_stream(engine, number, 1)
            assert in_chunks == (draw_share(f"{number} open") >= 0.25)
            assert body.startswith(b"id: 1\n")


def test_shares_by_request_are_as_large_as_asked_for() -> None:
    """Guards against open ends that are rarer, or only of engines that are sound."""
    chosen = [number for number in IDS if draw_share(f"{number} open") < 1 / 12]
    assert 200 <= len(chosen) <= 300
    early = [draw_share(f"early {number}") * 2**32 % 2 == 0 for number in chosen]
    assert 0.35 < sum(early) / len(early) < 0.65


async def test_a_late_event_is_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against pauses between events that do not happen."""
    async with open_engine(tmp_path, late_share=0.01) as engine:
        delays = [engine.draw_delay() for _ in range(10_000)]
        assert 50 <= sum(delay > 0 for delay in delays) <= 150
        low, high = DELAY_RANGE
        assert all(delay == 0 or low <= delay <= high for delay in delays)
        engine.identity = replace(engine.identity, late_share=1.0)
        monkeypatch.setattr(target, "DELAY_RANGE", (0.2, 0.2))
        began = read_clock()
        await read_stream(engine, "r1", 2)
        assert read_clock() - began >= 0.4


@pytest.mark.parametrize("interval", [0.005, 30.0])
async def test_an_engine_closes_a_stream_at_its_deadline(
    interval: float, tmp_path: Path
) -> None:
    """Guards against deadlines that no engine keeps, or only at its next event."""
    async with open_engine(tmp_path, deadlines=True, interval=interval) as engine:
        ended: list[Run] = []
        engine.note_end = ended.append  # type: ignore[method-assign]
        began = read_clock()
        _, body = await read_stream(engine, "r2", 4_000, Deadline_Ms="200", **PIN)
        assert 0.2 <= read_clock() - began < 5
        [run] = ended
        assert body.count(b"\n\n") == run.events < 4_000
        assert (run.expired, run.whole, run.broken_off) == (True, False, False)
        assert await list_tokens(engine.identity.address) == {"a": 79, "c": 2_000}


@pytest.mark.parametrize("order", [False, True])
async def test_a_run_ends_at_once_while_its_next_event_is_late(
    order: bool, tmp_path: Path
) -> None:
    """Guards against runs at two engines, as the first waits for an event."""
    async with open_engine(tmp_path, deadlines=True, interval=30.0) as engine:
        ended: list[Run] = []
        engine.note_end = ended.append  # type: ignore[method-assign]
        call = asyncio.create_task(read_stream(engine, "r2", 9, Deadline_Ms="4000"))
        await asyncio.sleep(0.2)
        if order:
            move = {"id": "r2", "target": f"{HOST}:1", "last": True}
            url = f"http://{engine.identity.address}/figstep/kv-move"
            async with engine.session.post(url, json=move) as answer:
                assert answer.status == 503
            await call
        else:
            call.cancel()
            await asyncio.sleep(0.2)
        assert [(run.expired, run.whole) for run in ended] == [(False, False)]


async def test_an_engine_closes_no_stream_that_is_complete_before_its_deadline(
    tmp_path: Path,
) -> None:
    """Guards against sound streams that count as closed at their deadline."""
    async with open_engine(tmp_path, deadlines=True) as engine:
        ended: list[Run] = []
        engine.note_end = ended.append  # type: ignore[method-assign]
        _, body = await read_stream(engine, "r2", 20, Deadline_Ms="4000")
        assert body.count(b"\n\n") == 20
        assert [(run.expired, run.whole) for run in ended] == [(False, True)]


async def send_streams(options: Options) -> tuple[list[dict[str, str]], int]:
    """Send streams of 800 kB; return their headers, and how many are blocked."""
    received: list[dict[str, str]] = []
    written: list[int] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        number = len(received)
        received.append(dict(request.headers))
        written.append(0)
        assert request.transport is not None
        connection = request.transport.get_extra_info("socket")
        bound_buffers(connection, CALLER_BUFFER_BYTES)
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(200):
            await response.write(bytes(4_000))
            written[number] += 1
        return response

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner, address = await start_app(app)
    shape = replace(SHAPES["langar-by"], rates={Kind.PLAN: 30.0})
    endpoints = [EntryEndpoint(0, address)]
    callers = Callers(Record(), random.Random(1), endpoints, shape, options=options)
    stop_event = asyncio.Event()
    asyncio.get_running_loop().call_later(0.3, stop_event.set)
    try:
        await callers.run(stop_event, 0.7)
    finally:
        await runner.cleanup()
    return received, sum(count < 200 for count in written)


@pytest.mark.parametrize("share", [0.0, 1.0])
async def test_slow_callers_block_who_writes_to_them(share: float) -> None:
    """Guards against slow callers whose streams fit into the buffers of entries."""
    received, blocked = await send_streams(Options(slow_share=share))
    asked = [headers.get(EVENT_BYTES, "0") for headers in received]
    assert set(asked) == {str(SLOW_EVENT_BYTES) if share else "0"}
    # A few callers leave.
    if share:
        assert blocked == len(received)
    else:
        assert blocked <= len(received) / 2


async def test_engines_send_events_of_the_size_that_callers_want(
    tmp_path: Path,
) -> None:
    """Guards against slow callers whose streams are too small to block an entry."""
    async with open_engine(tmp_path) as engine:
        _, body = await read_stream(engine, "r1", 5, Event_Bytes="4000")
        assert 5 * 4_000 < len(body) < 5 * 4_100


@pytest.mark.parametrize("deadlines", [True, False])
async def test_callers_give_streams_short_deadlines(deadlines: bool) -> None:
    """Guards against deadlines that no stream reaches."""
    received, _ = await send_streams(Options(deadlines=deadlines))
    given = {int(headers["Deadline-Ms"]) / 1000 for headers in received}
    low, high = DEADLINE_RANGE
    if deadlines:
        assert len(given) > 1
        assert all(low - 0.01 <= one <= high for one in given)
    else:
        assert min(given) > 38


@pytest.mark.parametrize("clock_back", [True, False])
async def test_a_restart_sets_the_start_of_a_target_back(
    clock_back: bool, tmp_path: Path
) -> None:
    """Guards against clocks that are said to be set back and go on."""
    options = Options(clock_back=clock_back)
    site = Site(1, tmp_path, SHAPES["langar-by"], options=options)
    await site._store.start()
    await site._spares.start(3)
    try:
        await site._add_target("bookings")
        [host] = site._targets
        for _ in range(2):
            await site._restart(host, Restart(0, None, 0.0, 0.0, False, False, ()))
    finally:
        await site._shut_down()
    entries: list[dict[str, Any]] = []
    read_journal(Path(host.identity.journal), entries.append)
    born = [entry["born"] for entry in entries if entry["kind"] == "registered"]
    steps = [earlier - later for earlier, later in itertools.pairwise(born)]
    assert len(steps) == 2
    low, high = STEP_RANGE
    assert all(low <= step <= high for step in steps) == clock_back


def build_streams() -> Record:
    """Return streams of 9 events that an engine closed after the third."""
    record = Record()
    cases: list[tuple[dict[str, Any], dict[str, Any]]] = [
        ({"whole": True, "body": b"\n\n" * 3}, {}),
        ({"whole": True, "body": b"\n\n" * 9}, {}),
        ({"body": b"\n\n" * 4}, {}),
        ({"body": b"\n\n" * 3}, {}),
        ({"status": 502}, {}),
        ({"body": b"\n\n" * 3, "disconnected": True}, {}),
        ({"body": b"\n\n" * 3, "entry": 2}, {}),
        ({"whole": True, "body": b"\n\n", "after": 2}, {}),
        ({"whole": True, "body": b"\n\n" * 3}, {"framing": "chunks"}),
        ({"whole": True, "body": b"\n\n" * 3}, {"broken_off": False}),
        ({"body": b"\n\n" * 3}, {"broken_off": False, "expired": True}),
    ]
    for number, (fields, differing) in enumerate(cases, 1):
        attempt = Attempt(f"r{number}", Kind.PLAN, 1, 1, "/", "", 0.0, 9.0, 200)
        attempt.length = 9
        for name, value in fields.items():
            setattr(attempt, name, value)
        made = {"framing": "connection", "broken_off": True, "events": 3, **differing}
        made["after"], made["events"] = attempt.after, 3 - attempt.after
        run = Run(attempt.id, "e-1", "g", 1.0, ended=2.0, **made)
        record.attempts.append(attempt)
        record.runs.append(run)
    record.disturbances.append(Disturbance("kill", 2, "", 2.0, 3.0))
    return record


def test_early_closes_are_counted_by_what_became_of_them() -> None:
    """Guards against parts that end as the whole and are not counted, or sound ones."""
    record = build_streams()
    counts = count_outcomes(record)
    assert counts.early == EarlyCloses(whole=2, went_on=2, broken_off=2, left=2)
    assert counts.expired == EarlyCloses(broken_off=1)
    [line] = [one for one in describe_counts(counts) if "early" in one]
    assert "2 ended as whole, 2 went on, 2 broken off" in line
    lines = describe_streams(record)
    expected = "connection: 1 not resumable, target closed at the deadline, broken off"
    assert expected in lines


def draws_sleep(number: str, name: str = "e-1", after: int = 0) -> bool:
    """Return whether an engine sleeps after its part of the stream of a request."""
    return random.Random(f"sleep {number} {name} {after}").random() < 1 / 30


def test_sleeping_engines_seldom_close_early() -> None:
    """Guards against engines that close early so often that nobody believes them."""
    chosen = [number for number in IDS if draws_sleep(number)]
    assert 70 <= len(chosen) <= 130
    assert sum(draws_sleep(number, "e-2") for number in chosen) <= 12
    assert sum(draws_sleep(number, after=4) for number in chosen) <= 12


@asynccontextmanager
async def open_sleepy_host(folder: Path) -> AsyncIterator[TargetHost]:
    """Run a sleeping engine as a process."""
    address = f"{HOST}:{find_free_port()}"
    journal = str(folder / "e-1.jsonl")
    store = f"{HOST}:1"
    identity = Identity("e-1", "engines", address, "muc-a", "v1", store, journal)
    identity = replace(identity, framing="connection", faults=("sleep",))
    spares = Spares(folder / "targets.log")
    host = TargetHost(identity, spares)
    try:
        await host.start()
        yield host
    finally:
        await host.kill()
        await spares.stop()


async def read_events(host: TargetHost, sleepy: bool) -> int:
    """Return how many of nine events come before the end of a stream in order."""
    number = next(number for number in IDS if draws_sleep(number) == sleepy)
    headers = {"Expect-Instance": "e-1", "Token-Count": "1,400", "Request-Id": number}
    url = f"http://{host.identity.address}/plan/9"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers) as response,
    ):
        return (await response.read()).count(b"\n\n")


def read_sleeps(host: TargetHost) -> list[dict[str, Any]]:
    """Return the lines of a journal that say when the engine slept."""
    lines: list[dict[str, Any]] = []
    read_journal(Path(host.identity.journal), lines.append)
    return [line for line in lines if line["kind"] == "asleep"]


async def test_a_sleeping_engine_closes_in_order_and_stands_still(
    tmp_path: Path,
) -> None:
    """Guards against engines that say to sleep and answer, or close when they wake."""
    async with open_sleepy_host(tmp_path) as host:
        assert await read_events(host, sleepy=False) == 9
        assert await read_events(host, sleepy=True) == 4
        closed = read_clock()
        url = f"http://{host.identity.address}/figstep/report"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            assert answer.status == 200
        answered = read_clock()
    runs = read_journal(Path(host.identity.journal), lambda line: None)
    assert [run.broken_off for run in runs] == [False, True]
    [asleep] = read_sleeps(host)
    assert asleep["end"] - asleep["start"] >= SLEEP_RANGE[0]
    assert closed < asleep["end"] <= answered


async def test_an_engine_that_is_killed_in_its_sleep_has_slept(tmp_path: Path) -> None:
    """Guards against breaches where an engine slept and its record says that it ran."""
    async with open_sleepy_host(tmp_path) as host:
        assert await read_events(host, sleepy=True) == 4
        # The line is written after the connection is closed.
        async with asyncio.timeout(30):
            while not read_sleeps(host):
                await asyncio.sleep(0.01)
        killed = read_clock()
        await host.kill()
    [asleep] = read_sleeps(host)
    assert asleep["start"] < killed < asleep["end"]


@pytest.mark.parametrize("sleeping", [True, False])
def test_only_engines_that_are_told_to_fall_asleep(
    sleeping: bool, tmp_path: Path
) -> None:
    """Guards against usual runs in which engines sleep, and others in which none do."""
    options = Options(sleeping=sleeping)
    site = Site(1, tmp_path, SHAPES["langar-by"], without=BEHAVIORS, options=options)
    assert site._list_faults("engines", BEHAVIORS) == (("sleep",) if sleeping else ())
    assert site._list_faults("bookings", BEHAVIORS) == ()
    usual = Site(1, tmp_path, SHAPES["langar-by"], options=options)
    assert usual._list_faults("engines", BEHAVIORS)[:3] == BEHAVIORS


def list_busy() -> list[psutil.Process]:
    """Return the processes that keep a core busy for this one."""
    found = []
    for process in psutil.Process().children():
        if "tests.deployments.busy" in process.cmdline():
            found.append(process)
    return found


async def wait_until_busy(processes: Iterable[psutil.Process]) -> None:
    """Wait until each process has used a tenth of a second of a core."""
    async with asyncio.timeout(30):
        for process in processes:
            while process.cpu_times().user < 0.1:
                await asyncio.sleep(0.05)


@pytest.mark.parametrize("end", ["return", "failure", "cancellation"])
async def test_busy_processes_end_with_their_run(
    end: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against processes that keep cores busy after the run that wants them."""
    seen: list[psutil.Process] = []

    async def start(site: Site) -> None:
        assert list_busy() == []

    async def play(site: Site, *arguments: object) -> None:
        seen.extend(list_busy())
        await wait_until_busy(seen)
        if end == "failure":
            raise ConnectionError("no port")
        if end == "cancellation":
            task.cancel()
            await asyncio.sleep(30)

    monkeypatch.setattr(Site, "_start", start)
    monkeypatch.setattr(Site, "_play", play)
    site = Site(1, tmp_path, SHAPES["langar-by"], options=Options(busy=3))
    task = asyncio.create_task(site.run_plan([], 0.0, 0.0))
    await asyncio.wait({task})
    assert task.cancelled() == (end == "cancellation")
    if not task.cancelled():
        assert isinstance(task.exception(), ConnectionError) == (end == "failure")
    assert len(seen) == 3
    assert [process for process in seen if process.is_running()] == []


async def test_busy_processes_end_if_their_run_is_killed() -> None:
    """Guards against processes without an owner that keep cores busy for ever."""
    code = (
        "import time; from tests.deployments.busy import keep_busy\n"
        "with keep_busy(2) as found: print(*found, flush=True); time.sleep(60)"
    )
    parent = await asyncio.create_subprocess_exec(
        *(sys.executable, "-c", code), cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        assert parent.stdout is not None
        line = await parent.stdout.readline()
        processes = [psutil.Process(int(number)) for number in line.split()]
        assert len(processes) == 2
        await wait_until_busy(processes)
    finally:
        parent.kill()
        await parent.wait()
    async with asyncio.timeout(30):
        while any(is_alive(process) for process in processes):
            await asyncio.sleep(0.05)


def is_alive(process: psutil.Process) -> bool:
    """Return whether a process runs; one that nobody has waited for does not."""
    try:
        return bool(process.status() != psutil.STATUS_ZOMBIE)
    except psutil.NoSuchProcess:
        return False


def test_the_report_names_the_load_of_a_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against figures of which nobody knows whether the machine was busy."""
    given: list[Options] = []

    async def run(*arguments: Any, options: Options, **fields: Any) -> Any:
        given.append(options)
        return Record(), []

    monkeypatch.setattr(deployments, "run_deployment", run)
    words = ["tests.deployments", "langar-by", "--seed", "7", "--busy", "12"]
    words += ["--sleeping", "--folder", str(tmp_path)]
    monkeypatch.setattr(sys, "argv", words)
    with pytest.raises(SystemExit) as ended:
        deployments.main()
    assert ended.value.code == 0
    report = orjson.loads((tmp_path / "langar-by-7" / "report.json").read_bytes())
    assert (report["options"]["busy"], report["options"]["sleeping"]) == (12, True)
    assert given == [Options(busy=12, sleeping=True)]
