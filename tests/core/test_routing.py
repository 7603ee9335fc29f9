"""Choice of targets: who may take a request at all."""

import pytest

from figstep.core.effects import OpenAttempt
from figstep.core.events import LoadReported, QueueTimer, RequestArrived, TimerFired
from figstep.core.inventory import EngineInfo
from figstep.core.routing import has_loaded
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import TargetState
from figstep.core.targets import note_loss
from tests.core.entries import Entry, make_inventory


@pytest.mark.parametrize(
    ("reported", "loaded"),
    [
        ((), True),
        (("m@1",), True),
        (("m@2", "other@1"), True),
        (("other@1",), False),
        (("mm@1", "m+menus"), False),
    ],
)
def test_an_engine_without_the_model_gets_no_request(
    reported: tuple[str, ...], loaded: bool
) -> None:
    """Orders have moved a model off an engine whose entry still allows it.

    The engine would refuse each request, and its caller would wait for a
    second attempt elsewhere.
    """
    engine = EngineInfo("e1", "http://x", "muc-a", ("m", "other"))
    target = TargetState(engine, models=reported)
    assert has_loaded(target, RequestSpec("r", "c", GenerationWork("m"))) is loaded


def test_a_new_incarnation_ends_the_pause_after_losses() -> None:
    """An engine crashes, is left alone for a while, and comes back at once.

    Its pause was for the one that died. Were it kept, callers would wait in
    the queue of an idle engine.
    """
    entry = Entry(inventory=make_inventory(engines=1))
    entry.feed(LoadReported("e1", incarnation=1))
    note_loss(entry.state.targets["e1"], entry.now)
    spec = RequestSpec("r1", "demo", GenerationWork("m"))
    entry.feed(RequestArrived(spec))
    assert entry.list_kind(OpenAttempt) == []
    entry.feed(LoadReported("e1", incarnation=2))
    entry.feed(TimerFired(QueueTimer()))
    assert len(entry.list_kind(OpenAttempt)) == 1
