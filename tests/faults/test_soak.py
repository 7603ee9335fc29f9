"""Short runs of the fault soak with fixed seeds."""

from pathlib import Path

import pytest

from tests.faults.__main__ import describe_record, run_seed
from tests.faults.plans import (
    SIGNALS,
    SIGNALS_AND_CRASHES,
    SIGNALS_TO_CROWDS,
    SIGNALS_TO_ENDLESS,
    SIGNALS_TO_VERSIONS,
    Extra,
)
from tests.faults.records import Record

SEEDS = [11, 2398170]
"""Seeds without extras; each seed that failed is added here."""

SIGNAL_SEEDS = [
    (8381831, (Extra.RATE,)),
    (8381837, (Extra.RATE,)),
    (12, (Extra.LEAVING, Extra.PAUSE)),
    (3103866, SIGNALS),
    (3103878, SIGNALS),
]
"""Seeds with targets that send signals about themselves, with the extras drawn."""


CRASHING_SEEDS = [
    (45, (Extra.CRASHES,)),
    (9130283, SIGNALS_AND_CRASHES),
    (15367845, SIGNALS_AND_CRASHES),
    (15367847, SIGNALS_AND_CRASHES),
    (15367872, SIGNALS_AND_CRASHES),
    (1679473, SIGNALS_AND_CRASHES),
    (10987071, SIGNALS_TO_VERSIONS),
    (10987080, SIGNALS_TO_VERSIONS),
]
"""Seeds with requests that crash the targets that run them, with the extras drawn."""


async def run_held(folder: Path, seed: int, *extras: Extra) -> Record:
    """Run a seed and return its record, which breaks no promise."""
    record, breaches = await run_seed(seed, folder, extras=extras)
    assert breaches == [], describe_record(record)
    return record


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Guards against incomplete, duplicate or wrong answers under faults."""
    record = await run_held(tmp_path, seed)
    assert sum(attempt.status == 200 for attempt in record.attempts) > 50


@pytest.mark.parametrize(("seed", "extras"), SIGNAL_SEEDS)
async def test_promises_hold_as_targets_send_signals(
    seed: int, extras: tuple[Extra, ...], tmp_path: Path
) -> None:
    """Guards against entries that ignore the signals in the answers of targets."""
    record = await run_held(tmp_path, seed, *extras)
    assert sum(attempt.status == 200 for attempt in record.attempts) > 50


@pytest.mark.parametrize(("seed", "extras"), CRASHING_SEEDS)
async def test_promises_hold_as_requests_crash_targets(
    seed: int, extras: tuple[Extra, ...], tmp_path: Path
) -> None:
    """Guards against one request that crashes one target after another."""
    record = await run_held(tmp_path, seed, *extras)
    assert any(run.crashed for run in record.runs)


CUT_SEEDS = [
    (21, (Extra.CUTS,)),
    (22, (Extra.CUTS, Extra.BROKEN)),
    (1497154, (*SIGNALS_AND_CRASHES, Extra.BROKEN, Extra.CUTS)),
    (1497160, (*SIGNALS_AND_CRASHES, Extra.BROKEN, Extra.CUTS)),
    (10987068, SIGNALS_TO_VERSIONS),
]
"""Seeds with entries that lose the links to all targets, with the extras drawn."""


@pytest.mark.parametrize(("seed", "extras"), CUT_SEEDS)
async def test_promises_hold_as_entries_are_cut_off_from_all_targets(
    seed: int, extras: tuple[Extra, ...], tmp_path: Path
) -> None:
    """Guards against callers who are served worse where the entry lost its links."""
    record = await run_held(tmp_path, seed, *extras)
    assert record.cuts


PARTIAL_CUT_SEEDS = [12030945, 12030947]
"""Seeds with entries that lose the links to one service or one target."""


@pytest.mark.parametrize("seed", PARTIAL_CUT_SEEDS)
async def test_promises_hold_as_entries_lose_some_links(
    seed: int, tmp_path: Path
) -> None:
    """Guards against callers who are served worse where one service is not reached."""
    record = await run_held(tmp_path, seed, Extra.PARTIAL_CUTS)
    assert record.cuts


async def test_promises_hold_as_targets_break_off_answers(tmp_path: Path) -> None:
    """Guards against answers that were broken off and look complete."""
    record = await run_held(tmp_path, 57, Extra.BROKEN)
    assert any(run.broken_off for run in record.runs)


VERSION_SEEDS = [
    (61, (Extra.VERSIONS,)),
    (62, (Extra.VERSIONS,)),
    (64, (Extra.VERSIONS,)),
    (65, (Extra.VERSIONS,)),
    (10987054, SIGNALS_TO_VERSIONS),
    (10987060, SIGNALS_TO_VERSIONS),
    (10987075, SIGNALS_TO_VERSIONS),
]
"""Seeds with engines that change their software version, with the extras drawn."""


@pytest.mark.parametrize(("seed", "extras"), VERSION_SEEDS)
async def test_promises_hold_as_engines_change_their_version(
    seed: int, extras: tuple[Extra, ...], tmp_path: Path
) -> None:
    """Guards against streams that go on at another version, or at none."""
    record = await run_held(tmp_path, seed, *extras)
    taken_up = [attempt for attempt in record.attempts if attempt.resumes]
    assert sum(attempt.status == 200 for attempt in taken_up) > 10


async def test_promises_hold_as_one_part_of_prompts_crashes_engines(
    tmp_path: Path,
) -> None:
    """Guards against requests with one part in common that crash all engines."""
    record = await run_held(tmp_path, 71, Extra.PARTS)
    assert any(run.crashed for run in record.runs)


async def test_promises_hold_as_most_callers_come_to_one_entry(tmp_path: Path) -> None:
    """Guards against an entry that serves its callers worse as more of them come."""
    record = await run_held(tmp_path, 72, Extra.CROWDS, Extra.RATE)
    assert record.crowds


async def test_promises_hold_as_the_store_comes_back_from_copies(
    tmp_path: Path,
) -> None:
    """Guards against entries that take offsets of an earlier era for later ones."""
    record = await run_held(tmp_path, 81, Extra.ERAS, Extra.LEAVING)
    assert any(one.name == "store return" for one in record.disturbances)


async def test_promises_hold_as_answers_never_end(tmp_path: Path) -> None:
    """Guards against callers and memory lost to answers without end."""
    record = await run_held(tmp_path, 82, Extra.ENDLESS)
    assert any(one.name == "endless" for one in record.disturbances)


MIXED_SEEDS = {
    14514606: SIGNALS_TO_CROWDS,
    14514607: SIGNALS_TO_CROWDS,
    14514612: SIGNALS_TO_CROWDS,
    14514615: SIGNALS_TO_CROWDS,
    14514616: SIGNALS_TO_CROWDS,
    14866571: SIGNALS_TO_CROWDS,
    14866610: SIGNALS_TO_CROWDS,
    5323946: SIGNALS_TO_ENDLESS,
    5323954: SIGNALS_TO_ENDLESS,
}
"""Seeds with many extras, which failed, with the extras drawn."""


@pytest.mark.parametrize("seed", MIXED_SEEDS)
async def test_promises_hold_as_all_kinds_of_faults_come(
    seed: int, tmp_path: Path
) -> None:
    """Guards against mechanisms that hold alone and fail beside each other."""
    await run_held(tmp_path, seed, *MIXED_SEEDS[seed])


OPEN_END_SEEDS = [(9, Extra.AFTERLIFE), (32, Extra.EARLY), (48, Extra.CLOCKS)]
"""Seeds that broke the order of streams, with the extra drawn."""


@pytest.mark.parametrize(("seed", "extra"), OPEN_END_SEEDS)
async def test_promises_hold_as_nothing_states_the_end(
    seed: int, extra: Extra, tmp_path: Path
) -> None:
    """Guards against streams that end as complete, or go on, where nobody says so."""
    extras = (extra, Extra.VERSIONS) if extra is Extra.CLOCKS else (extra,)
    record = await run_held(tmp_path, seed, *extras)
    assert sum(attempt.status == 200 for attempt in record.attempts) > 50


UPDATE_SEEDS = [513, 522]
"""Seeds of services with one version, which is updated and taken back."""


@pytest.mark.parametrize("seed", UPDATE_SEEDS)
async def test_promises_hold_as_the_only_version_is_updated(
    seed: int, tmp_path: Path
) -> None:
    """Guards against a version that is taken for the only one where an entry is cut."""
    record = await run_held(tmp_path, seed, Extra.UPDATES)
    assert any(attempt.resumes for attempt in record.attempts)
