"""Stops runs at engines that go on with them although their connection is closed.

Most engines end a run with its connection, but none has to. A request that goes on at
another engine would then be generated twice: work in vain, and memory that other
requests wait for.
"""

from figstep.gateway import eligibility, placement
from figstep.gateway.effects import Effect, StopRun
from figstep.gateway.events import Loss
from figstep.gateway.state import Attempt, Request, State
from figstep.gateway.targets import Target

MAY_CONTINUE = frozenset(
    {Loss.BROKEN, Loss.GARBLED, Loss.SILENT, Loss.CUT, Loss.UNCONFIRMED}
)
"""Losses of an attempt after which its engine may still work on the run."""


def stop_run(state: State, request: Request, attempt: Attempt) -> list[Effect]:
    """Return the order to stop the run of an attempt that the request has left.

    There is none if the request has ended, if the engine takes no orders on runs, or if
    no engine can be named to which it may copy the run's memory, as the order requires.
    """
    pool = placement.find_engine_pool(state, request.service)
    if pool is None or not pool.moves or request.spec.prompt is None:
        return []
    if request.spec.number not in state.requests or not request.spec.id:
        return []
    if attempt.relay is not None or not attempt.connected:
        return []
    if attempt.target.ended_at is not None:
        return []
    destination = _choose_destination(state, request, attempt.target)
    if destination is None:
        return []
    return [
        StopRun(
            request.spec.number,
            request.spec.id,
            attempt.target.info.incarnation,
            destination.name,
            request.deadline,
        )
    ]


def _choose_destination(
    state: State, request: Request, source: Target
) -> Target | None:
    """Return the engine that the request goes on at, or else another eligible one.

    Returns None if the request may be at ``source`` again.
    """
    for attempt in (request.current, request.standby):
        if attempt is None:
            continue
        if attempt.relay is not None or attempt.target.name == source.name:
            # The request may be at that engine again, and the order, which names its
            # id, would stop the new run as well.
            return None
        return attempt.target
    for target in eligibility.list_eligible(state, request):
        if target.name != source.name:
            return target
    return None
