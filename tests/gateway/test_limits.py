"""Tests of the rates that targets name in their answers."""

from figstep.gateway.effects import Note
from figstep.gateway.events import RateNamed
from tests.gateway.worlds import BOOKINGS, World


def test_a_named_rate_is_logged_once_for_each_change() -> None:
    """Guards against a rate that no log line shows, and against one line an answer."""
    world = World()
    world.register("b-1", service=BOOKINGS)
    told = []
    for rate in (1.5, 1.5, 2.0, None, None):
        world.handle(RateNamed("b-1", rate))
        told += [note.fields["rate"] for note in world.find_all(Note)]
    assert told == [1.5, 2.0, None]


def test_a_rate_of_an_unknown_target_is_passed_over() -> None:
    """Guards against an answer that comes after its target was forgotten."""
    world = World()
    assert world.handle(RateNamed("b-9", 1.5)) == []
