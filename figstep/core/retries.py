"""Retry decisions after a lost attempt, and whether the request ran."""

import random
from dataclasses import dataclass
from enum import Enum

from figstep.core.clock import Millis
from figstep.core.events import Loss
from figstep.core.problems import Ran

MAX_ATTEMPTS = 8
"""Maximum number of starts of a request, not counting resumes."""

MAX_RESUMES = 4
"""Maximum number of resumes of a generation in a row without a new event."""

INITIAL_BACKOFF = Millis(50)
"""Longest backoff before the second resume in a row, in milliseconds.

It doubles with each further resume, up to ``MAX_BACKOFF``.
"""

MAX_BACKOFF = Millis(2_000)
"""Longest backoff between two resumes, in milliseconds.

A longer pause that the target requests takes precedence.
"""


class Recovery(Enum):
    """How a request continues after a lost attempt."""

    RESUME = "resume"  # reattach to the same generation
    RESTART = "restart"  # start a new generation: nothing has reached the caller
    GIVE_UP = "give_up"  # end the request with a problem


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

# Values of Ran, from the weakest to the strongest evidence that a request ran.
_RAN_ORDER = [Ran.NO, Ran.UNKNOWN, Ran.YES]

# Losses of a generation's first connection after which a resume is tried. After the
# loss of a connection that was itself a resume, more of them allow another one.
_RESUMABLE_LOSSES = frozenset(
    {Loss.BROKEN, Loss.TRUNCATED, Loss.WRONG_GENERATION, Loss.SILENT}
)
_RESUMABLE_AFTER_RESUME = _RESUMABLE_LOSSES | {
    Loss.CONNECT_FAILED,
    Loss.REFUSED,
    Loss.FAILED,
}

# Time for which a request avoids a target after a lost attempt, in milliseconds. The
# cause of a refusal ends as the target's queue drains; a dead target needs longer.
# The default is for all other losses.
_AVOIDANCE_BY_LOSS = {Loss.REFUSED: Millis(500), Loss.CONNECT_FAILED: Millis(2_000)}
_DEFAULT_AVOIDANCE = Millis(5_000)


def classify_ran(loss: Loss) -> Ran:
    """Return whether a request ran, judged from one loss.

    ``Ran.NO`` is returned only if no byte was handed to a connection or if the
    target itself refused before running. After any other loss the target may have
    run the request.
    """
    return _RAN_BY_LOSS[loss]


def combine_ran(before: Ran, after: Ran) -> Ran:
    """Return the stronger of two values: YES over UNKNOWN over NO."""
    return max(before, after, key=_RAN_ORDER.index)


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """Inputs of the decision on how a request continues after a lost attempt.

    Attributes:
        ran: Whether the request ran, this attempt included.
        attempts: Starts so far, without resumes.
        resumes: Resumes in a row without a new event.
        resuming: Whether the lost attempt was itself a resume.
        resumable: Whether the target is a known engine that supports resumes.
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
    """Decide whether a request is resumed, restarted or ended with a problem.

    It is resumed if the target supports resumes, the loss allows one and fewer than
    ``MAX_RESUMES`` were made in a row. Otherwise it is restarted if nothing has
    reached the caller, fewer than ``MAX_ATTEMPTS`` starts were made, and it is not a
    non-idempotent request that may have run.
    """
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

    The first resume is immediate. Later backoffs double up to ``MAX_BACKOFF``; half
    of each is random, so that the streams of one broken link are not all resumed at
    the same time.

    ``resumes`` is the number of resumes in a row before this one.
    """
    if resumes == 0:
        return Millis(0)
    pause = min(INITIAL_BACKOFF << (resumes - 1), MAX_BACKOFF)
    return Millis(pause // 2 + rng.randrange(pause // 2 + 1))


def compute_avoidance(loss: Loss, retry_after: Millis | None) -> Millis:
    """Return how long a request avoids a target after a loss, in milliseconds.

    ``retry_after``, the pause that the target requested, takes precedence unless it
    is None or 0.
    """
    return retry_after or _AVOIDANCE_BY_LOSS.get(loss, _DEFAULT_AVOIDANCE)


def jitter_pause(base: int, rng: random.Random) -> Millis:
    """Return a random pause from ``base`` to twice ``base``, both in milliseconds.

    Without the jitter, callers that were refused together would return together.
    """
    return Millis(base + rng.randrange(base + 1))
