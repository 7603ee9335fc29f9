"""Tests that plans are reproducible and within the time for faults."""

from tests.faults.plans import ALL_EXTRAS, draw_plan


def test_a_seed_gives_the_same_plan() -> None:
    assert draw_plan(7, 3, 10.0) == draw_plan(7, 3, 10.0)
    assert draw_plan(7, 3, 10.0) != draw_plan(8, 3, 10.0)


def test_an_extra_leaves_the_base_plan_unchanged() -> None:
    """Guards against recorded seeds that give another plan when an extra is added."""
    for seed in range(50):
        base = draw_plan(seed, 3, 10.0, extras=())
        for extra in ALL_EXTRAS:
            extended = draw_plan(seed, 3, 10.0, extras=(extra,))
            assert [step for step in extended if step in base] == base
            assert len(extended) > len(base)


def test_steps_are_sorted_and_within_the_fault_phase() -> None:
    for seed in range(50):
        times = [step.at for step in draw_plan(seed, 3, 10.0)]
        assert times == sorted(times)
        assert times[-1] <= 10.0
