"""Whether a request starts now, waits or is turned away."""

from dataclasses import dataclass

from figstep.core import routing
from figstep.core.clock import Millis
from figstep.core.problems import Problem
from figstep.core.state import RequestState, State, TargetState


@dataclass(frozen=True, slots=True)
class Start:
    """Start on this target."""

    target: TargetState


@dataclass(frozen=True, slots=True)
class Wait:
    """No target has room; stay in the queue."""


@dataclass(frozen=True, slots=True)
class TurnAway:
    """Waiting would not help: answer at once."""

    problem: Problem


Verdict = Start | Wait | TurnAway


def decide_admission(state: State, request: RequestState, now: Millis) -> Verdict:
    """Decide what happens to a request that could start now."""
    target = routing.choose_target(state, request)
    if target is None:
        return Wait()
    return Start(target)
