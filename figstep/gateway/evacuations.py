"""What follows when a failure domain is evacuated, and when it is taken back.

Runs and calls that are at its targets end there: both sides live, and the other
engines have to take all new work as it is. Nothing else is sent there.
"""

from figstep.core.clock import Millis
from figstep.gateway import warmups
from figstep.gateway.effects import Effect, Note
from figstep.gateway.places import Evacuations
from figstep.gateway.state import State


def apply_evacuations(
    state: State, received: Evacuations, source: str, now: Millis
) -> list[Effect]:
    """Take in which failure domains are evacuated.

    Args:
        state: The gateway's state.
        received: The evacuated failure domains.
        source: Who told of them, for the log.
        now: Monotonic time.
    """
    known = state.evacuations
    if received.position <= known.position:
        return []
    state.evacuations = received
    begun = received.domains - known.domains
    ended = known.domains - received.domains
    for target in state.targets.targets.values():
        domain = target.info.failure_domain
        target.evacuated = domain in received.domains
        if domain in ended:
            # Its targets are mostly cold when they come back, and their own word
            # of it may come later than the first requests.
            warmups.assume_cold(state, target, now)
    return [
        *_list_notes("failure domain evacuated", begun, received, source),
        *_list_notes("evacuation taken back", ended, received, source),
    ]


def _list_notes(
    message: str, domains: frozenset[str], received: Evacuations, source: str
) -> list[Effect]:
    notes: list[Effect] = []
    for domain in sorted(domains):
        fields: dict[str, str | int | float | None] = {
            "failure_domain": domain,
            "position": received.position,
            "told_by": source,
        }
        notes.append(Note(message, fields))
    return notes
