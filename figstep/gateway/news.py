"""What an entry of a large fleet tells the others of its failure domain, and when.

The load that this answers is the fleet's own size: each entry hears all others of
its failure domain, so that what each of them says, and how often, is what control
costs. Loads are told whole every two seconds and between as what differs from that.
A message that is lost is made good by the next one.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field, replace

from figstep.core.clock import Millis
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.peers import select_changed

WHOLE_PERIOD = Millis(2_000)
"""How often all loads are told: it bounds how long the growth of runs, and what a
lost message told, stay unknown."""


@dataclass(slots=True)
class LoadNews:
    """What was told last.

    Attributes:
        whole_at: When all loads were told; None for never.
        whole: Those loads, by target.
        last: The loads as the others know them now.
        rest: What else they were told.
    """

    whole_at: Millis | None = None
    whole: dict[str, PeerLoad] = field(default_factory=dict)
    last: dict[str, PeerLoad] = field(default_factory=dict)
    rest: Hashable = None

    def has_news(self, own: PeerHeard) -> bool:
        """Tell whether the others have to hear of something before all is told."""
        if self.rest != _read_rest(own):
            return True
        return bool(select_changed(self.last, own.loads))

    def select(self, own: PeerHeard, now: Millis) -> PeerHeard:
        """Return the message that is sent now, and note it as told."""
        self.rest = _read_rest(own)
        if self.whole_at is None or now - self.whole_at >= WHOLE_PERIOD:
            self.whole_at = now
            self.whole = {load.target: load for load in own.loads}
            self.last = self.whole
            return own
        changed = select_changed(self.whole, own.loads)
        self.last = {**self.whole, **{load.target: load for load in changed}}
        recent = tuple(told for told in own.suspicions if told.age < WHOLE_PERIOD)
        return replace(own, loads=changed, suspicions=recent, partial=True)


def forget_ages(own: PeerHeard) -> PeerHeard:
    """Return a message without the ages of what it tells, which alone are no news."""
    if not (own.rates or own.suspicions or own.clearances):
        return own
    ageless = Millis(0)
    return replace(
        own,
        rates=tuple(replace(told, age=ageless) for told in own.rates),
        suspicions=tuple(replace(told, age=ageless) for told in own.suspicions),
        clearances=tuple(replace(told, age=ageless) for told in own.clearances),
    )


def _read_rest(own: PeerHeard) -> Hashable:
    """Return what can't wait of a message, apart from its loads.

    Requests that were sent raise the retry budget, so that hearing of them late is
    safe; repeats use it up.
    """
    return (
        own.closing,
        own.configuration,
        own.position,
        own.receives_records,
        own.answered,
        own.reading,
        own.leaving,
        own.evacuations,
        tuple((told.digest, told.life) for told in own.suspicions),
        tuple(told.digest for told in own.clearances),
        own.unreached,
        tuple((use.service, use.repeats) for use in own.uses),
        tuple(refusal.digest for refusal in own.refused),
        tuple((report.incarnation, report.rate) for report in own.rates),
    )
