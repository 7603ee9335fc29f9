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

FULL_REPORT_INTERVAL = Millis(2_000)
"""How often all loads are told: it bounds how long the growth of runs, and what a
lost message told, stay unknown."""


@dataclass(slots=True)
class LoadUpdates:
    """What was told last.

    Attributes:
        full_report_at: When all loads were told; None for never.
        full_report: Those loads, by target.
        last: The loads as the others know them now.
        urgent_fields: What else they were told.
    """

    full_report_at: Millis | None = None
    full_report: dict[str, PeerLoad] = field(default_factory=dict)
    last: dict[str, PeerLoad] = field(default_factory=dict)
    urgent_fields: Hashable = None

    def has_urgent_changes(self, own: PeerHeard) -> bool:
        """Tell whether the others have to hear of something before all is told."""
        if self.urgent_fields != _read_urgent_fields(own):
            return True
        return bool(select_changed(self.last, own.loads))

    def select(self, own: PeerHeard, now: Millis) -> PeerHeard:
        """Return the message that is sent now, and note it as told."""
        self.urgent_fields = _read_urgent_fields(own)
        if (
            self.full_report_at is None
            or now - self.full_report_at >= FULL_REPORT_INTERVAL
        ):
            self.full_report_at = now
            self.full_report = {load.target: load for load in own.loads}
            self.last = self.full_report
            return own
        changed = select_changed(self.full_report, own.loads)
        self.last = {**self.full_report, **{load.target: load for load in changed}}
        recent = tuple(
            reported
            for reported in own.suspicions
            if reported.age < FULL_REPORT_INTERVAL
        )
        return replace(own, loads=changed, suspicions=recent, partial=True)


def strip_ages(own: PeerHeard) -> PeerHeard:
    """Return a message without the ages of what it tells, which alone are no news."""
    if not (own.rates or own.suspicions or own.clearances):
        return own
    ageless = Millis(0)
    return replace(
        own,
        rates=tuple(replace(reported, age=ageless) for reported in own.rates),
        suspicions=tuple(replace(reported, age=ageless) for reported in own.suspicions),
        clearances=tuple(replace(reported, age=ageless) for reported in own.clearances),
    )


def _read_urgent_fields(own: PeerHeard) -> Hashable:
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
        tuple((reported.digest, reported.life) for reported in own.suspicions),
        tuple(reported.digest for reported in own.clearances),
        own.unreached,
        tuple((use.service, use.repeats) for use in own.uses),
        tuple(refusal.digest for refusal in own.refused),
        tuple((report.incarnation, report.rate) for report in own.rates),
    )
