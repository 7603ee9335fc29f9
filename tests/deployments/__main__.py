"""Run of a deployment as processes: ``python -m tests.deployments langar-by``."""

import argparse
import asyncio
import dataclasses
import gc
import logging
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import orjson

from tests.deployments.counts import count_outcomes, describe_counts
from tests.deployments.plans import BEHAVIORS, draw_plan, draw_releases
from tests.deployments.shapes import SHAPES, USUAL, Options
from tests.deployments.sites import Site
from tests.faults.__main__ import describe_record
from tests.faults.promises import Breach, check_promises
from tests.faults.records import STREAMS, Attempt, Record
from tests.framing import Framing
from tests.platform.memory import STRIDE
from tests.platform.runs import Run, read_clock

FAULT_SECONDS = 30.0
"""Time in which faults are injected, in seconds."""

PATIENCE_SECONDS = 20.0
"""Time for which answers are awaited after the last request, in seconds."""


async def run_deployment(
    name: str,
    seed: int,
    folder: Path,
    seconds: float = FAULT_SECONDS,
    patience: float = PATIENCE_SECONDS,
    returns: float = 1.0,
    without: tuple[str, ...] = (),
    moves: bool = True,
    options: Options = USUAL,
) -> tuple[Record, list[Breach]]:
    """Run a deployment with the faults of a seed and check its record.

    Args:
        name: Name of the deployment.
        seed: Seed of the plan and of the traffic.
        folder: Directory of settings, logs and journals.
        seconds: Time in which faults are injected.
        patience: Time for which answers are awaited after the last request.
        returns: Factor of the rate of streams that may be resumed.
        without: Behaviors of engines that the run leaves out.
        moves: Whether engines copy runs on order; else they only keep backups.
        options: How the run differs from the usual one.

    Returns:
        The record of the run and the breaches of promises that it shows.
    """
    shape = dataclasses.replace(SHAPES[name], moves=moves)
    site = Site(seed, folder, shape, returns, without, options)
    offset = time.time() - read_clock()
    gc.collect()
    gc.freeze()
    try:
        plan = draw_plan(seed, seconds, shape.engines)
        if options.releases:
            plan = draw_releases(seed, seconds)
        await site.run_plan(plan, seconds, patience)
    finally:
        gc.unfreeze()
    write_record(folder / "record.jsonl", site.record, offset)
    stalls = [orjson.dumps(stall) for stall in site.record.target_stalls or ()]
    (folder / "stalls.jsonl").write_bytes(b"\n".join(stalls))
    faults = sum((proxy.counts for proxy in site.proxies), Counter())
    (folder / "proxies.json").write_bytes(orjson.dumps(faults))
    return site.record, check_promises(site.record)


def write_record(path: Path, record: Record, offset: float) -> None:
    """Write attempts, runs and faults in the order of time, which is Unix time."""
    lines: list[tuple[float, str, object]] = []
    for attempt in record.attempts:
        lines.append((attempt.sent, "attempt", attempt))
    for run in record.runs:
        lines.append((run.began, "run", run))
    for fault in record.disturbances:
        lines.append((fault.start, "fault", fault))
    with path.open("wb") as out:
        for at, kind, found in sorted(lines, key=lambda line: line[0]):
            fields = dataclasses.asdict(found)  # type: ignore[call-overload]
            head = {"unix": round(at + offset, 3), "record": kind}
            out.write(orjson.dumps({**head, **fields}, default=_write_other) + b"\n")


def _write_other(value: object) -> str:
    if isinstance(value, bytes):
        return value.decode(errors="replace")
    return str(getattr(value, "value", value))


def describe_streams(record: Record) -> list[str]:
    """Return lines that count streams by the framing of their last events."""
    runs: dict[str, Run] = {}
    for run in record.runs:
        if run.events or run.request not in runs:
            runs[run.request] = run
    counts: Counter[tuple[str, str]] = Counter()
    for attempt in record.attempts:
        run = runs.get(attempt.id)
        if attempt.kind not in STREAMS or run is None or attempt.disconnected:
            continue
        if run.whole or run.broken_off or run.expired or attempt.whole:
            counts[(run.framing, _describe_end(attempt, run))] += 1
    lines = [f"{framing}: {count} {end}" for (framing, end), count in counts.items()]
    return sorted(lines)


def _describe_end(attempt: Attempt, run: Run) -> str:
    target = "target closed early" if run.broken_off else "target cut off"
    if run.whole:
        target = "target made all"
    elif run.expired:
        target = "target closed at the deadline"
    kind = "resumable" if attempt.kind.value == "resume" else "not resumable"
    if attempt.status != 200:
        return f"{kind}, {target}, refused with {attempt.status or 'no status'}"
    return f"{kind}, {target}, {'served whole' if attempt.whole else 'broken off'}"


async def _run_all(arguments: argparse.Namespace) -> int:
    """Run several seeds in turn and return the number of those that failed."""
    task = asyncio.current_task()
    assert task is not None
    # The processes of a run end with it.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    failed = 0
    options = _read_options(arguments)
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        root = arguments.folder or Path(tempfile.mkdtemp(prefix="deployment-"))
        folder = root / f"{arguments.name}-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        record, breaches = await run_deployment(
            arguments.name,
            seed,
            folder,
            arguments.seconds,
            returns=arguments.returns,
            without=BEHAVIORS if arguments.honest else tuple(arguments.without),
            moves=not arguments.backups_only,
            options=options,
        )
        counts = count_outcomes(record)
        failed += bool(breaches)
        outcome = f"{len(breaches)} breaches" if breaches else "held"
        report = [f"{arguments.name} seed {seed}: {outcome}, logs in {folder}"]
        report += [f"  {breach.promise}: {breach.detail}" for breach in breaches]
        broken = Counter(breach.promise for breach in breaches)
        found = ", ".join(f"{name} {count}" for name, count in sorted(broken.items()))
        report.append(f"  breaches by promise: {found or 'none'}")
        report.append(f"  {describe_record(record)}")
        report += [f"  {line}" for line in describe_streams(record)]
        report += [f"  {line}" for line in describe_counts(counts)]
        (folder / "report.txt").write_text("\n".join(report) + "\n")
        document = {
            "name": arguments.name,
            "seed": seed,
            "honest": arguments.honest,
            "options": options,
            "breaches": broken,
            "counts": counts,
        }
        (folder / "report.json").write_bytes(orjson.dumps(document) + b"\n")
        print("\n".join(report), flush=True)
    return failed


def _read_options(arguments: argparse.Namespace) -> Options:
    return Options(
        framing="" if arguments.framing == "drawn" else arguments.framing,
        open_share=arguments.open_share,
        late_share=arguments.pauses,
        slow_share=arguments.slow_callers,
        deadlines=arguments.deadlines,
        clock_back=arguments.clock_back,
        event_tokens=arguments.events,
        true_maximum=arguments.true_maximum,
        proxies=arguments.proxies,
        pinless=arguments.pinless,
        pins=not arguments.without_pins,
        sleeping=arguments.sleeping,
        busy=arguments.busy,
        truncated=arguments.truncated,
        shortened=arguments.shortened,
        block=arguments.block,
        first_id=arguments.first_id,
        odd_events=arguments.odd_events,
        sessions=arguments.sessions,
        kills=arguments.kill_all,
        named_returns=not arguments.unnamed_returns,
        overlaps=arguments.overlaps,
        releases=arguments.releases,
    )


def _read_share(text: str) -> float:
    share = float(text)
    if not 0 <= share <= 1:
        raise argparse.ArgumentTypeError("not from 0 to 1")
    return share


def _read_count(text: str) -> int:
    count = int(text)
    if count < 0:
        raise argparse.ArgumentTypeError("below 0")
    return count


def _read_event_tokens(text: str) -> float:
    tokens = float(text)
    if not 1 <= tokens <= STRIDE:
        raise argparse.ArgumentTypeError(f"not from 1 to {STRIDE}")
    return tokens


def main() -> None:
    """Run one seed, or several in turn."""
    parser = argparse.ArgumentParser(prog="python -m tests.deployments")
    parser.add_argument("name", choices=SHAPES)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--runs", type=int, default=1, help="run this many seeds")
    parser.add_argument("--seconds", type=float, default=FAULT_SECONDS)
    parser.add_argument(
        "--returns", type=float, default=1.0, help="streams that may be resumed, times"
    )
    parser.add_argument(
        "--without", nargs="*", choices=BEHAVIORS, default=[], help="behaviors"
    )
    parser.add_argument(
        "--backups-only", action="store_true", help="no copies of runs on order"
    )
    parser.add_argument(
        "--honest", action="store_true", help="engines without any of the behaviors"
    )
    framings = ["drawn", *(framing.value for framing in Framing)]
    ends = parser.add_mutually_exclusive_group()
    ends.add_argument(
        "--framing", choices=framings, default="drawn", help="of all streams"
    )
    ends.add_argument(
        "--open-share",
        type=_read_share,
        default=None,
        help="share of streams that end with the connection, the rest in chunks",
    )
    parser.add_argument(
        "--pauses", type=_read_share, default=0.0, help="share of events that are late"
    )
    parser.add_argument(
        "--slow-callers",
        type=_read_share,
        default=0.0,
        help="share of callers of streams that read slowly",
    )
    parser.add_argument(
        "--deadlines", action="store_true", help="short deadlines, which engines keep"
    )
    parser.add_argument(
        "--clock-back", action="store_true", help="restarts set targets' starts back"
    )
    parser.add_argument(
        "--events", type=_read_event_tokens, default=STRIDE, help="tokens an event"
    )
    parser.add_argument(
        "--true-maximum", action="store_true", help="callers name what streams have"
    )
    parser.add_argument(
        "--proxies", action="store_true", help="faulty proxies before targets"
    )
    parser.add_argument(
        "--pinless", action="store_true", help="engines that pin nothing"
    )
    parser.add_argument(
        "--without-pins", action="store_true", help="no pin_ms in the configuration"
    )
    parser.add_argument(
        "--sleeping",
        action="store_true",
        help="engines close one stream in thirty early and stand still after it",
    )
    parser.add_argument(
        "--busy",
        type=_read_count,
        default=0,
        metavar="N",
        help="processes beside the run that keep a core busy each",
    )
    parser.add_argument(
        "--truncated",
        action="store_true",
        help="engines cut one open-ended stream in twelve whose run they keep",
    )
    parser.add_argument(
        "--shortened",
        action="store_true",
        help="engines end one stream in twelve in order with its last chunk, early",
    )
    parser.add_argument(
        "--block", type=int, default=1, help="tokens of a block in lists of engines"
    )
    parser.add_argument(
        "--first-id", type=int, default=1, help="id of the first event of a stream"
    )
    parser.add_argument(
        "--odd-events", action="store_true", help="events with further lines, in pieces"
    )
    parser.add_argument(
        "--sessions",
        type=_read_count,
        default=0,
        metavar="N",
        help="the last part of each prompt is that of one of N sessions",
    )
    parser.add_argument(
        "--kill-all", type=float, default=0.0, help="interval of kills of all entries"
    )
    parser.add_argument(
        "--unnamed-returns",
        action="store_true",
        help="callers that take a stream up name no first attempt",
    )
    parser.add_argument(
        "--overlaps",
        action="store_true",
        help="callers that come back leave their first attempt open for a while",
    )
    parser.add_argument(
        "--releases",
        action="store_true",
        help="one version, releases that are rolled back, entries that are cut off",
    )
    parser.add_argument("--folder", type=Path, default=None, help="for the logs")
    arguments = parser.parse_args()
    # aiohttp logs an error for each handler that ends as its peer has gone.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    if arguments.seed is None:
        arguments.seed = random.SystemRandom().getrandbits(24)
    sys.exit(1 if asyncio.run(_run_all(arguments)) else 0)


if __name__ == "__main__":
    main()
