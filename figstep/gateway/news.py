"""Content and timing of an entry's messages to its failure domain in a large fleet.

What limits the design is the size of the fleet: each entry receives the messages of all
others in its failure domain, so the size and frequency of messages determine the cost
of control traffic. All loads are sent every two seconds, and in between the loads that
differ from these. A lost message is made good by the next one.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field, replace

from figstep.core.clock import Millis
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.peers import select_changed

FULL_REPORT_INTERVAL = Millis(2_000)
"""Time, in milliseconds, between two messages with all loads. It bounds how long the
growth of runs, and the content of a lost message, stay unknown to other entries."""


@dataclass(slots=True)
class LoadUpdates:
    """What was last sent to the other entries, to select what they must learn next.

    Attributes:
        full_report_at: When all loads were last sent; None for never.
        full_report: The loads that were sent then, by target.
        last: Loads as the other entries know them now, by target.
        urgent_fields: Urgent fields of the last message.
    """

    full_report_at: Millis | None = None
    full_report: dict[str, PeerLoad] = field(default_factory=dict)
    last: dict[str, PeerLoad] = field(default_factory=dict)
    urgent_fields: Hashable = None

    def has_urgent_changes(self, own: PeerHeard) -> bool:
        """Return whether a change cannot wait for the next full message."""
        if self.urgent_fields != _read_urgent_fields(own):
            return True
        return bool(select_changed(self.last, own.loads))

    def select(self, own: PeerHeard, now: Millis) -> PeerHeard:
        """Return the message to send now, and record it as sent."""
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
    """Return a message with all ages set to zero, as a new age alone is no change."""
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
    """Return the fields of a message that cannot wait, apart from its loads.

    Of the requests and repeats of each service, only the repeats are urgent: requests
    raise the retry budget, so that a late report of them is safe; repeats use it up.
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
