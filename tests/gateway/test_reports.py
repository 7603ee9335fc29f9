"""Tests of what engines say of themselves when they are asked."""

from figstep.gateway.effects import OpenAttempt, ReadReport
from figstep.gateway.events import EngineReported, StoreLost, Ticked
from tests.gateway.worlds import start_with_backup


def test_while_the_store_is_away_engines_are_asked_whether_they_leave() -> None:
    """Streams would be lost with engines whose notice nobody could read.

    The store is away; an engine is reclaimed. Its registration can't tell, but
    it says so itself, and its stream goes on from the backup.
    """
    world, opened = start_with_backup()
    world.handle(Ticked())
    assert world.find_all(ReadReport) == []
    world.handle(StoreLost())
    world.handle(Ticked())
    assert world.find(ReadReport).target == opened.target
    world.handle(EngineReported(opened.target, leaving=False))
    assert world.effects == []
    world.handle(Ticked())
    assert world.find_all(ReadReport) == []
    world.handle(EngineReported(opened.target, leaving=True))
    assert world.find(OpenAttempt).target == opened.backup
