"""What to do after a lost attempt."""

from dataclasses import dataclass
from enum import Enum

from figstep.core.events import Loss
from figstep.core.problems import Ran
from figstep.core.state import RequestState

MAX_ATTEMPTS = 6


class Recovery(Enum):
    """How a request goes on."""

    RESUME = "resume"  # reattach to the same generation
    RESTART = "restart"  # start afresh: the caller has seen nothing
    GIVE_UP = "give_up"


_RAN = {
    Loss.CONNECT_FAILED: Ran.NO,
    Loss.REFUSED: Ran.NO,
    Loss.NOT_FOUND: Ran.UNKNOWN,
    Loss.BROKEN: Ran.UNKNOWN,
    Loss.TRUNCATED: Ran.YES,
    Loss.CROSSED: Ran.UNKNOWN,
    Loss.FAILED: Ran.UNKNOWN,
}

_ORDER = [Ran.NO, Ran.UNKNOWN, Ran.YES]


def judge_ran(loss: Loss) -> Ran:
    """Tell from one loss whether the request ran.

    "no" is said only where no byte was handed to a connection or the target
    itself refused before running; all else would be a guess.
    """
    return _RAN[loss]


def combine_ran(before: Ran, after: Ran) -> Ran:
    """Join what two attempts tell; once it may have run, it stays so."""
    return max(before, after, key=_ORDER.index)


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """What a decision on a lost attempt rests on.

    Attributes:
        loss: How it was lost.
        resumable: Whether the target can resume the generation.
        resuming: Whether the lost attempt was itself a resume.
        non_idempotent: Whether the request may run only once.
    """

    loss: Loss
    resumable: bool
    resuming: bool
    non_idempotent: bool


def decide_recovery(request: RequestState, lost: LostAttempt) -> Recovery:
    """Decide how a request goes on after a lost attempt."""
    if request.attempts >= MAX_ATTEMPTS:
        return Recovery.GIVE_UP
    not_run = judge_ran(lost.loss) is Ran.NO
    if lost.non_idempotent and not (not_run and request.ran is Ran.NO):
        return Recovery.GIVE_UP
    if lost.resumable and lost.loss in (Loss.BROKEN, Loss.TRUNCATED):
        return Recovery.RESUME
    seen_by_caller = request.spec.stream and request.delivered > 0
    if seen_by_caller:
        return Recovery.GIVE_UP
    return Recovery.RESTART
