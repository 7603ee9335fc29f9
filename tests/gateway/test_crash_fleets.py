"""Tests of parts of prompts that crash engines, in fleets of several sizes."""

import pytest

from figstep.core.clock import Millis
from tests.gateway.crash_fleets import (
    MANY_CRASHES,
    MAX_LATE_ARRIVALS,
    MIN_SHARE,
    PATHS,
    CrashFleet,
)

GUILTY_SECONDS = 16

EACH_SIZE = pytest.mark.parametrize(
    "sizes", [(2, 2, 2, 2), (6, 6, 6, 6), (19, 18, 18, 18)], ids=["8", "24", "73"]
)

EACH_PATH = pytest.mark.parametrize("path", PATHS)


def check_fleet(fleet: CrashFleet) -> None:
    """Check that the part is kept away from engines, and that others are served."""
    assert fleet.count_late_arrivals() <= MAX_LATE_ARRIVALS
    before, later = fleet.find_shares()
    assert later >= MIN_SHARE * before


@EACH_SIZE
@EACH_PATH
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("after_event", [False, True], ids=["at_once", "after_event"])
def test_a_part_that_crashes_engines_is_kept_away(
    sizes: tuple[int, ...], path: str, seed: int, after_event: bool
) -> None:
    """Guards against requests with only one part in common that crash engines."""
    fleet = CrashFleet(
        seed,
        engines=6 if sum(sizes) == 8 else 8,
        path=path,
        crash_after_event=after_event,
        domain_sizes=sizes,
        targets=0,
        calls_per_second=12.0,
    )
    fleet.run(6)
    fleet.send_guilty(GUILTY_SECONDS)
    fleet.run(GUILTY_SECONDS)
    check_fleet(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_entries_that_start_again_keep_the_part_away(seed: int) -> None:
    """Guards against a part that replaced processes do not know."""
    fleet = CrashFleet(
        seed, domain_sizes=(6, 6, 6, 6), targets=0, calls_per_second=12.0
    )
    fleet.run(6)
    fleet.send_guilty(GUILTY_SECONDS)
    fleet.run(GUILTY_SECONDS - 8)
    fleet.restart(fleet.rng.sample(fleet.entries, 8))
    fleet.run(8)
    check_fleet(fleet)


def build_small_fleet(seed: int) -> CrashFleet:
    """Return three entries and five engines that prompts with five documents run on."""
    return CrashFleet(
        seed,
        engines=5,
        documents=5,
        restart_delay=Millis(300),
        domain_sizes=(3,),
        targets=0,
        calls_per_second=12.0,
    )


@pytest.mark.parametrize("lag", [0, 500])
@pytest.mark.parametrize("seed", range(8))
def test_no_document_is_refused_beside_deadly_prompts_and_kills(
    seed: int, lag: int
) -> None:
    """Guards against refusing popular documents that were written on before."""
    fleet = build_small_fleet(seed)
    fleet.guilty_per_second = 2.0
    fleet.entries[0].lag = lag
    fleet.run(4)
    fleet.send_guilty(10)
    fleet.send_deadly(0, 20)
    fleet.send_deadly(1, 400)
    fleet.kill_engines(1.0)
    fleet.run(10)
    assert len(fleet.crashes) >= MANY_CRASHES
    assert "crashes_targets" not in fleet.refusals


@pytest.mark.parametrize("seed", range(8))
def test_no_document_is_refused_after_all_entries_restart(seed: int) -> None:
    """Guards against refusing documents whose answers new processes don't know."""
    fleet = build_small_fleet(seed)
    fleet.run(4)
    fleet.send_guilty(10)
    fleet.send_deadly(0, 20)
    fleet.send_deadly(1, 20)
    fleet.kill_engines(1.0)
    fleet.run(2)
    fleet.restart(fleet.entries)
    fleet.run(8)
    assert "crashes_targets" not in fleet.refusals
