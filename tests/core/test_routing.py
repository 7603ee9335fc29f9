"""Choice of targets: who may take a request at all."""

import pytest

from figstep.core.inventory import EngineInfo
from figstep.core.routing import has_loaded
from figstep.core.specs import GenerationWork, RequestSpec
from figstep.core.state import TargetState


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
