"""Content and timing of an entry's messages to its failure domain in a large fleet.

Each entry receives the messages of all others in its failure domain, so the size and
frequency of messages determine the cost of control traffic. All loads are sent every
two seconds in a full message; the partial messages in between hold the loads that
differ from it. The next message makes up for a lost partial one, the next full message
for a lost full one.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from figstep.core.clock import Millis
from figstep.gateway.demand import DemandReport
from figstep.gateway.events import PeerHeard, PeerLoad
from figstep.gateway.peers import select_changed

FULL_REPORT_INTERVAL = Millis(2_000)
"""Time, in milliseconds, between two messages with all loads. Small growth of runs, and
the loads in a lost full message, stay unknown to other entries for about that long."""


@dataclass(slots=True)
class LoadUpdates:
    """Content of the last messages, from which the next one is derived.

    Attributes:
        full_report_at: Monotonic time in milliseconds of the last full message; None
            for never.
        full_report: Loads in the last full message, by target.
        last: Loads that the messages so far describe, by target.
        urgent_fields: Fields of the last message whose change cannot wait, as listed
            in `_read_urgent_fields`.
    """

    full_report_at: Millis | None = None
    full_report: dict[str, PeerLoad] = field(default_factory=dict)
    last: dict[str, PeerLoad] = field(default_factory=dict)
    urgent_fields: Hashable = None

    def has_urgent_changes(self, own: PeerHeard) -> bool:
        """Return whether a change since the last message cannot wait.

        Such a change is one of an urgent field, or of a load as `select_changed` counts
        it.
        """
        if self.urgent_fields != _read_urgent_fields(own):
            return True
        return bool(select_changed(self.last, own.loads))

    def select(self, own: PeerHeard, now: Millis) -> PeerHeard:
        """Return the message to send now, and record it as sent.

        It is full once `FULL_REPORT_INTERVAL` has passed since the last full message.
        Otherwise it is partial: it holds the loads that differ from the full message,
        and only suspicions that are younger than the interval.
        """
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
    """Return a message with the ages of its reports set to zero.

    A new age alone is no change that has to be sent.
    """
    if not (
        own.rates
        or own.suspicions
        or own.clearances
        or own.brittle
        or own.rejected
        or own.demand
    ):
        return own
    ageless = Millis(0)
    return replace(
        own,
        rates=tuple(replace(reported, age=ageless) for reported in own.rates),
        suspicions=tuple(replace(reported, age=ageless) for reported in own.suspicions),
        clearances=tuple(replace(reported, age=ageless) for reported in own.clearances),
        brittle=tuple(replace(reported, age=ageless) for reported in own.brittle),
        rejected=tuple(replace(reported, age=ageless) for reported in own.rejected),
        demand=_strip_past(own.demand),
    )


def _strip_past(demand: Iterable[DemandReport]) -> tuple[DemandReport, ...]:
    """Return reports of demand that differ only if other requests wait.

    Counts of past events change with every request and by the mere passage of time;
    they are sent with the next message, at most a second later.
    """
    return tuple(
        DemandReport(report.demand_class, report.waiting)
        for report in demand
        if report.waiting
    )


def _read_urgent_fields(own: PeerHeard) -> Hashable:
    """Return the fields of a message whose changes cannot wait, apart from its loads.

    Of the requests and repeats of each service, only the repeats are urgent: requests
    raise the retry budget, so that a late report of them is safe; repeats use it up.
    Ages are left out, as they change all the time.
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
        tuple((reported.subject, reported.life) for reported in own.suspicions),
        tuple(reported.subject for reported in own.clearances),
        own.unreached,
        own.relays,
        own.cut_off,
        own.cuts,
        tuple((report.service, report.rejections) for report in own.brittle),
        tuple(report.target for report in own.rejected),
        tuple((use.service, use.repeats) for use in own.uses),
        tuple(refusal.digest for refusal in own.refused),
        tuple((report.incarnation, report.rate) for report in own.rates),
        own.starts,
        own.recorded,
        _strip_past(own.demand),
    )
