"""Tests of positions in a log that may come back from an older copy."""

from figstep.core.positions import NO_POSITION, Position


def test_positions_order_by_era_first() -> None:
    assert NO_POSITION < Position(0, 0) < Position(1, 9) < Position(2, 3)


def test_no_records_lie_between_positions_of_two_eras() -> None:
    assert Position(1, 3).count_records_to(Position(1, 5)) == 2
    assert Position(1, 5).count_records_to(Position(1, 3)) == 0
    assert Position(1, 3).count_records_to(Position(2, 5)) == 0


def test_a_position_without_an_era_gets_that_of_its_reader() -> None:
    assert Position(0, 4).complete_era(3) == Position(3, 4)
    assert Position(2, 4).complete_era(3) == Position(2, 4)
