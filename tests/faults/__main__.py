"""Fault soak with fresh seeds: ``python -m tests.faults --runs 50``."""

import argparse
import asyncio
import gc
import logging
import random
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.faults.plans import ALL_EXTRAS, Extra, draw_plan
from tests.faults.promises import Breach, check_promises
from tests.faults.records import Record
from tests.faults.sites import Site

FAULT_PHASE_SECONDS = 10.0
"""Length in seconds of the part of a run in which faults are injected."""


async def run_seed(
    seed: int,
    folder: Path,
    entries: int = 3,
    engines: int = 5,
    extras: tuple[Extra, ...] = ALL_EXTRAS,
) -> tuple[Record, list[Breach]]:
    """Run one seed and check its record.

    Args:
        seed: Seed of the plan and of the traffic.
        folder: Directory of the settings and logs of the entries.
        entries: Number of entries.
        engines: Number of engines.
        extras: Extra faults that the plan contains.

    Returns:
        The record of the run and the breaches of promises that it shows.
    """
    site = Site(seed, folder, entries, engines)
    # A full garbage collection of objects from earlier tests would block the
    # event loop and with it all stand-ins.
    gc.collect()
    gc.freeze()
    try:
        await site.run_plan(
            draw_plan(seed, entries, FAULT_PHASE_SECONDS, extras), FAULT_PHASE_SECONDS
        )
    finally:
        gc.unfreeze()
    return site.record, check_promises(site.record)


def describe_record(record: Record) -> str:
    """Return one line with the number of faults and of attempts by outcome."""
    outcomes: Counter[str] = Counter()
    for attempt in record.attempts:
        if attempt.disconnected:
            outcomes["left"] += 1
        elif attempt.status == 200 and attempt.whole:
            outcomes["served"] += 1
        else:
            outcomes[str(attempt.status or attempt.error)] += 1
    summary = ", ".join(f"{count} {end}" for end, count in sorted(outcomes.items()))
    for start, end in record.loop_stalls:
        summary += f"; event loop blocked from {start:.2f} to {end:.2f}"
    return f"{len(record.disturbances)} faults; {summary}"


async def _run_all(arguments: argparse.Namespace, seeds: list[int]) -> int:
    job_slots = asyncio.Semaphore(arguments.jobs)
    failed = 0

    async def run_one(seed: int) -> None:
        nonlocal failed
        async with job_slots:
            folder = Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
            code, lines = await _run_in_subprocess(seed, folder, arguments)
            if code == 0:
                shutil.rmtree(folder)
                print(f"seed {seed}: held; {lines[-1]}", flush=True)
                return
            failed += 1
            print(f"seed {seed}: FAILED, logs in {folder}", flush=True)
            for line in lines:
                print(f"  {line}", flush=True)

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    return failed


async def _run_in_subprocess(
    seed: int, folder: Path, arguments: argparse.Namespace
) -> tuple[int, list[str]]:
    # Several sites on one event loop would delay each other.
    options = f"--seed {seed} --folder {folder} --entries {arguments.entries}"
    options += f" --engines {arguments.engines} --extras"
    extras = [] if arguments.plain else arguments.extras
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "tests.faults", *options.split(), *extras),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode().splitlines()


def main() -> None:
    """Run one seed, or many of them in parallel."""
    parser = argparse.ArgumentParser(prog="python -m tests.faults", description=__doc__)
    parser.add_argument("--runs", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--seed", type=int, default=None, help="run this one only")
    parser.add_argument("--plain", action="store_true", help="draw none of the extras")
    extras = [extra.value for extra in ALL_EXTRAS]
    parser.add_argument("--extras", nargs="*", choices=extras, default=extras)
    parser.add_argument("--folder", type=Path, default=None)
    arguments = parser.parse_args()
    # aiohttp logs an error for each handler of a stand-in that ends because its
    # caller disconnected or its engine was killed.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    if arguments.seed is not None:
        folder = arguments.folder or Path(tempfile.mkdtemp(prefix="faults-"))
        seed_run = run_seed(
            arguments.seed,
            folder,
            arguments.entries,
            arguments.engines,
            () if arguments.plain else tuple(map(Extra, arguments.extras)),
        )
        record, breaches = asyncio.run(seed_run)
        for breach in breaches:
            print(f"{breach.promise}: {breach.detail}", flush=True)
        print(describe_record(record))
        sys.exit(1 if breaches else 0)
    first_seed = random.SystemRandom().getrandbits(24)
    print(f"seeds {first_seed} to {first_seed + arguments.runs - 1}", flush=True)
    failed = asyncio.run(
        _run_all(arguments, list(range(first_seed, first_seed + arguments.runs)))
    )
    print(f"{arguments.runs - failed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
