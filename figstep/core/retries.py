"""What to do after a lost attempt, and whether the request ran."""

import random
from dataclasses import dataclass
from enum import Enum

from figstep.core.clock import Millis
from figstep.core.events import Loss
from figstep.core.problems import Ran

MAX_ATTEMPTS = 8
MAX_RESUMES = 4
INITIAL_BACKOFF = Millis(50)
MAX_BACKOFF = Millis(2_000)


class Recovery(Enum):
    """How a request goes on."""

    RESUME = "resume"  # reattach to the same generation
    RESTART = "restart"  # start afresh: nothing has reached the caller
    GIVE_UP = "give_up"


_RAN_BY_LOSS = {
    Loss.CONNECT_FAILED: Ran.NO,
    Loss.REFUSED: Ran.NO,
    Loss.NOT_FOUND: Ran.UNKNOWN,
    Loss.BROKEN: Ran.UNKNOWN,
    Loss.TRUNCATED: Ran.YES,
    Loss.WRONG_GENERATION: Ran.UNKNOWN,
    Loss.FAILED: Ran.UNKNOWN,
    Loss.SILENT: Ran.UNKNOWN,
    Loss.EMPTY: Ran.YES,
    Loss.SHUTDOWN: Ran.UNKNOWN,
}

_RAN_ORDER = [Ran.NO, Ran.UNKNOWN, Ran.YES]

_RESUMABLE_LOSSES = frozenset(
    {Loss.BROKEN, Loss.TRUNCATED, Loss.WRONG_GENERATION, Loss.SILENT}
)
_RESUMABLE_AFTER_RESUME = _RESUMABLE_LOSSES | {
    Loss.CONNECT_FAILED,
    Loss.REFUSED,
    Loss.FAILED,
}

# How long a request keeps away from a target that lost it. A refusal passes
# with the queue there; a dead target takes longer to come back.
_AVOIDANCE_BY_LOSS = {Loss.REFUSED: Millis(500), Loss.CONNECT_FAILED: Millis(2_000)}
_DEFAULT_AVOIDANCE = Millis(5_000)


def classify_ran(loss: Loss) -> Ran:
    """Tell from one loss whether the request ran.

    "no" is said only where no byte was handed to a connection or the target
    itself refused before running; all else would be a guess.
    """
    return _RAN_BY_LOSS[loss]


def combine_ran(before: Ran, after: Ran) -> Ran:
    """Join what two attempts tell; once it may have run, it stays so."""
    return max(before, after, key=_RAN_ORDER.index)


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """What a decision on a lost attempt rests on.

    Attributes:
        loss: How it was lost.
        ran: Whether the request ran, this attempt included.
        attempts: Starts so far, without resumes.
        resumes: Resumes in a row that brought nothing.
        resuming: Whether the lost attempt was itself a resume.
        resumable: Whether the target can resume the generation.
        reached_caller: Whether any of the answer reached the caller.
        non_idempotent: Whether the request may run only once.
    """

    loss: Loss
    ran: Ran
    attempts: int = 1
    resumes: int = 0
    resuming: bool = False
    resumable: bool = False
    reached_caller: bool = False
    non_idempotent: bool = False


def decide_recovery(lost: LostAttempt) -> Recovery:
    """Decide how a request goes on after a lost attempt."""
    if _can_resume(lost):
        return Recovery.RESUME
    if lost.non_idempotent and lost.ran is not Ran.NO:
        return Recovery.GIVE_UP
    if lost.attempts >= MAX_ATTEMPTS:
        return Recovery.GIVE_UP
    if lost.reached_caller:
        return Recovery.GIVE_UP
    return Recovery.RESTART


def _can_resume(lost: LostAttempt) -> bool:
    if not lost.resumable or lost.resumes >= MAX_RESUMES:
        return False
    return lost.loss in (
        _RESUMABLE_AFTER_RESUME if lost.resuming else _RESUMABLE_LOSSES
    )


def compute_backoff(resumes: int, rng: random.Random) -> Millis:
    """Return the pause before the next resume, in milliseconds.

    The first goes at once; later ones double, with half of each at random so
    that the streams of one broken link don't all come back together.
    """
    if resumes == 0:
        return Millis(0)
    pause = min(INITIAL_BACKOFF << (resumes - 1), MAX_BACKOFF)
    return Millis(pause // 2 + rng.randrange(pause // 2 + 1))


def compute_avoidance(loss: Loss, retry_after: Millis | None) -> Millis:
    """Return how long to keep a request away from a target, in milliseconds."""
    return retry_after or _AVOIDANCE_BY_LOSS.get(loss, _DEFAULT_AVOIDANCE)


def jitter_pause(base: int, rng: random.Random) -> Millis:
    """Return ``base`` to twice ``base`` milliseconds, at random.

    Callers refused in one moment would otherwise come back in one moment.
    """
    return Millis(base + rng.randrange(base + 1))
