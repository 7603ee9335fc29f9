"""Tests of targets that say in their answers that they leave."""

from figstep.gateway.effects import Note
from figstep.gateway.events import TargetLeaving
from tests.gateway.worlds import BOOKINGS, World


def test_a_target_that_says_that_it_leaves_is_logged_once() -> None:
    """Guards against a departure that no log line shows."""
    world = World()
    world.register("b-1", service=BOOKINGS)
    told = []
    for _ in range(3):
        world.handle(TargetLeaving("b-1"))
        told += [note.message for note in world.find_all(Note)]
    assert told == ["target says that it leaves"]


def test_the_word_of_an_unknown_target_is_passed_over() -> None:
    """Guards against an answer that comes after its target was forgotten."""
    assert World().handle(TargetLeaving("b-9")) == []
