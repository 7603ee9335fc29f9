"""Start and end of the evacuation of failure domains.

Runs and calls that are open at targets of an evacuated failure domain finish there: its
targets and entries keep running, and the other engines already have to accept all new
work. Nothing else is sent to the failure domain.
"""

from figstep.core.clock import Millis
from figstep.gateway import warmups
from figstep.gateway.effects import Effect, Note
from figstep.gateway.places import Evacuations
from figstep.gateway.state import State


def apply_evacuations(
    state: State, received: Evacuations, source: str, now: Millis
) -> list[Effect]:
    """Apply a set of evacuated failure domains if it is newer than the known one.

    For the log, `source` is "store" or the name of the peer that sent the set.
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
            # Targets of the failure domain are mostly cold when they come back, and
            # registrations that state it may arrive after the first requests.
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
