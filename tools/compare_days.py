"""Runs the same bench days on two checkouts and prints the difference in score.

    python -m tools.compare_days --bench BENCH --before DIR --after DIR \
        --site SITE --day scale-1 --day trouble-1 --seed 5 --seed 6

Both runs of a pair have the same site, day and seed. Without ``--seed``, the seed
of the day itself is used.
"""

import asyncio
import itertools
import math
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, stdev
from typing import Annotated

import orjson
import typer


@dataclass(frozen=True, slots=True)
class DayRun:
    """One day of one site that is run on both checkouts.

    Attributes:
        site: Path of the site file.
        day: Name of the day, or path of a day file.
        seed: Seed that replaces the day's own seed, or None to keep the day's seed.
    """

    site: Path
    day: str
    seed: int | None


@dataclass(frozen=True, slots=True)
class Pair:
    """Scores of a day on both checkouts.

    Attributes:
        before: Score on the first checkout.
        after: Score on the second checkout.
        broken: Names of the rules that were broken, for the first checkout and then
            for the second.
    """

    day_run: DayRun
    before: float
    after: float
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean difference in score of some pairs.

    Attributes:
        pairs: Number of pairs.
        mean: Mean of the score after minus the score before.
        error: Standard error of the mean; None for fewer than two pairs.
    """

    pairs: int
    mean: float
    error: float | None


def compute_difference(pairs: Iterable[Pair]) -> Difference:
    """Return the mean difference in score of pairs and the standard error of the mean.

    Raises:
        StatisticsError: If there is no pair.
    """
    differences = [pair.after - pair.before for pair in pairs]
    error = None
    if len(differences) > 1:
        error = stdev(differences) / math.sqrt(len(differences))
    return Difference(len(differences), mean(differences), error)


async def run_day(
    bench: Path, checkout: Path, day_run: DayRun, why: str
) -> dict[str, object]:
    """Run a day on a checkout and return the report of the bench.

    The bench is run in the directory ``checkout`` and gets ``why`` as its reason.

    Raises:
        RuntimeError: If the bench wrote no report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        arguments = [
            str(bench),
            "run",
            str(day_run.site),
            day_run.day,
            "--report",
            str(report),
        ]
        arguments += ["--why", why]
        if day_run.seed is not None:
            arguments += ["--seed", str(day_run.seed)]
        process = await asyncio.create_subprocess_exec(
            *arguments,
            cwd=checkout,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if not report.exists():
            text = output.decode(errors="replace")[-300:]
            raise RuntimeError(
                f"{day_run.day} of {day_run.site.stem}: no report: {text}"
            )
        found: dict[str, object] = orjson.loads(report.read_bytes())
        return found


async def run_pair(
    bench: Path, before: Path, after: Path, day_run: DayRun, why: str
) -> Pair:
    """Run a day on both checkouts at the same time."""
    reports = await asyncio.gather(
        run_day(bench, before, day_run, why), run_day(bench, after, day_run, why)
    )
    scores = [float(str(report["G"])) for report in reports]
    broken = []
    for report in reports:
        rules = report.get("breaks")
        broken += sorted(rules) if isinstance(rules, dict) else []
    return Pair(day_run, scores[0], scores[1], tuple(broken))


async def run_pairs(
    bench: Path, before: Path, after: Path, day_runs: list[DayRun], why: str, jobs: int
) -> list[Pair]:
    """Run all days, ``jobs`` pairs at a time, and print each pair when it is done."""
    free = asyncio.Semaphore(jobs)

    async def run_next(day_run: DayRun) -> Pair:
        async with free:
            pair = await run_pair(bench, before, after, day_run, why)
        text = (
            f"{day_run.site.stem:24} {Path(day_run.day).stem:20}"
            f" {day_run.seed or '':>8} "
        )
        print(f"{text}{pair.before:7.3f} {pair.after:7.3f}", *pair.broken, flush=True)
        return pair

    return list(await asyncio.gather(*(run_next(day_run) for day_run in day_runs)))


def print_differences(pairs: list[Pair]) -> None:
    """Print the mean difference of each site, and of all sites."""
    sites = sorted({pair.day_run.site.stem for pair in pairs})
    groups = [
        (site, [p for p in pairs if p.day_run.site.stem == site]) for site in sites
    ]
    for name, group in [*groups, ("all", pairs)]:
        found = compute_difference(group)
        error = "" if found.error is None else f" ({found.error:.3f})"
        print(f"{name:24} {found.mean:+.3f}{error} of {found.pairs} pairs")


def main(
    bench: Annotated[Path, typer.Option(help="The bench's program.")],
    before: Annotated[Path, typer.Option(help="Checkout with the current code.")],
    after: Annotated[Path, typer.Option(help="Checkout with the modified code.")],
    site: Annotated[list[Path], typer.Option(help="Site file; may be repeated.")],
    day: Annotated[list[str], typer.Option(help="Day; may be repeated.")],
    seed: Annotated[list[int] | None, typer.Option(help="May be repeated.")] = None,
    why: Annotated[str, typer.Option(help="Reason for the journal.")] = "pair",
    jobs: Annotated[int, typer.Option(help="Pairs at a time.")] = 1,
) -> None:
    """Run days on two checkouts and print the mean difference in score."""
    seeds: list[int | None] = [*seed] if seed else [None]
    day_runs = [DayRun(*each) for each in itertools.product(site, day, seeds)]
    work = run_pairs(
        bench.resolve(), before.resolve(), after.resolve(), day_runs, why, jobs
    )
    print_differences(asyncio.run(work))


if __name__ == "__main__":
    typer.run(main)
