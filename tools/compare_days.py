"""Plays the same days on two checkouts and prints what differs between them.

    python -m tools.compare_days --bench BENCH --before DIR --after DIR \
        --site SITE --day scale-1 --day trouble-1 --seed 5 --seed 6

Each pair is the same site, day and seed. Without a seed, a day's own is played.
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
    """One day of one site.

    Attributes:
        site: Path of its site file.
        day: Name of the day, or path of a day file.
        seed: Seed in place of the day's own; None for that one.
    """

    site: Path
    day: str
    seed: int | None


@dataclass(frozen=True, slots=True)
class Pair:
    """What a day was worth on both checkouts, and the rules that it broke there."""

    play: DayRun
    before: float
    after: float
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean difference of some pairs.

    Attributes:
        pairs: How many there are.
        mean: Mean of after less before.
        error: Its standard error; None of fewer than two pairs.
    """

    pairs: int
    mean: float
    error: float | None


def find_difference(pairs: Iterable[Pair]) -> Difference:
    """Return the mean difference of pairs and its standard error."""
    differences = [pair.after - pair.before for pair in pairs]
    error = None
    if len(differences) > 1:
        error = stdev(differences) / math.sqrt(len(differences))
    return Difference(len(differences), mean(differences), error)


async def play_day(
    bench: Path, checkout: Path, play: DayRun, why: str
) -> dict[str, object]:
    """Play a day on a checkout; returns the bench's report.

    Raises:
        RuntimeError: If the bench left no report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        words = [str(bench), "run", str(play.site), play.day, "--report", str(report)]
        words += ["--why", why]
        if play.seed is not None:
            words += ["--seed", str(play.seed)]
        process = await asyncio.create_subprocess_exec(
            *words,
            cwd=checkout,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if not report.exists():
            told = output.decode(errors="replace")[-300:]
            raise RuntimeError(f"{play.day} of {play.site.stem}: no report: {told}")
        found: dict[str, object] = orjson.loads(report.read_bytes())
        return found


async def play_pair(
    bench: Path, before: Path, after: Path, play: DayRun, why: str
) -> Pair:
    """Play a day on both checkouts, one beside the other."""
    reports = await asyncio.gather(
        play_day(bench, before, play, why), play_day(bench, after, play, why)
    )
    worths = [float(str(report["G"])) for report in reports]
    broken = []
    for report in reports:
        rules = report.get("breaks")
        broken += sorted(rules) if isinstance(rules, dict) else []
    return Pair(play, worths[0], worths[1], tuple(broken))


async def play_pairs(
    bench: Path, before: Path, after: Path, plays: list[DayRun], why: str, jobs: int
) -> list[Pair]:
    """Play all days, some pairs at a time; prints each pair as it is played."""
    free = asyncio.Semaphore(jobs)

    async def play_next(play: DayRun) -> Pair:
        async with free:
            pair = await play_pair(bench, before, after, play, why)
        told = f"{play.site.stem:24} {Path(play.day).stem:20} {play.seed or '':>8} "
        print(f"{told}{pair.before:7.3f} {pair.after:7.3f}", *pair.broken, flush=True)
        return pair

    return list(await asyncio.gather(*(play_next(play) for play in plays)))


def print_differences(pairs: list[Pair]) -> None:
    """Print the mean difference of each deployment, and of all."""
    sites = sorted({pair.play.site.stem for pair in pairs})
    groups = [(site, [p for p in pairs if p.play.site.stem == site]) for site in sites]
    for name, group in [*groups, ("all", pairs)]:
        found = find_difference(group)
        error = "" if found.error is None else f" ({found.error:.3f})"
        print(f"{name:24} {found.mean:+.3f}{error} of {found.pairs} pairs")


def main(
    bench: Annotated[Path, typer.Option(help="The bench's program.")],
    before: Annotated[Path, typer.Option(help="Checkout with the way that stands.")],
    after: Annotated[Path, typer.Option(help="Checkout with the other way.")],
    site: Annotated[list[Path], typer.Option(help="Site file; may be repeated.")],
    day: Annotated[list[str], typer.Option(help="Day; may be repeated.")],
    seed: Annotated[list[int] | None, typer.Option(help="May be repeated.")] = None,
    why: Annotated[str, typer.Option(help="Reason for the journal.")] = "pair",
    jobs: Annotated[int, typer.Option(help="Pairs at a time.")] = 1,
) -> None:
    """Play days on two checkouts and print the mean difference of their worth."""
    seeds: list[int | None] = [*seed] if seed else [None]
    plays = [DayRun(*each) for each in itertools.product(site, day, seeds)]
    work = play_pairs(
        bench.resolve(), before.resolve(), after.resolve(), plays, why, jobs
    )
    print_differences(asyncio.run(work))


if __name__ == "__main__":
    typer.run(main)
