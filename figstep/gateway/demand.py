"""Demand on each service, summed over the entries of a fleet.

Every entry counts its own requests by class and sends the counts with the messages that
entries exchange anyway. In a large fleet the counts go to the entries of the same
failure domain, and one entry of each failure domain sends sums to the others. Entries
that do not report are estimated at the mean of those that do.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from figstep.core.clock import Millis
from figstep.gateway.prompts import MIN_RESERVED_GROWTH, Prompt

DEMAND_WINDOW = Millis(4_000)
"""Milliseconds over which starts, ends and rejections are counted.

It is as long as the window in which an entry counts its own starts, so that a service
with two starts a second in the whole fleet still has a usable rate.
"""

DEMAND_TIMEOUT = Millis(3_000)
"""Age in milliseconds from which reported counts are ignored.

Entries report at least once a second; two lost messages in a row are tolerated.
"""

ENTRIES_RETENTION = Millis(20_000)
"""Milliseconds for which a larger number of entries is kept after the count fell.

The entries behind a network partition still send requests to the same targets. It is
as long as a silent peer is assumed to run.
"""

MAX_CLASSES = 8
"""Maximum number of classes in one message; those with the most requests are sent.

It bounds the bytes that an entry sends. The known deployments have four classes.
"""

MAX_COUNT_PER_ENTRY = 4_096
"""Largest count of one class that is believed of one entry.

An entry has at most a few thousand open connections.
"""

COUNT_SLACK = 16
"""Count per reporting entry by which a report may exceed the sum of all others.

Beyond it a single report makes up at most half of a sum, so that a peer with wrong
figures can neither block admission nor open it without bound. The slack is four
requests a second, more than an entry of a large fleet gets at its mean share.
"""


@dataclass(frozen=True, slots=True, order=True)
class DemandClass:
    """Requests of one service that are equally urgent and of similar size.

    Classes of a service are ordered by urgency, and then by the memory and time that a
    request takes: a short answer frees its engine sooner.

    Attributes:
        long: Whether the expected answer is long.
    """

    service: str
    priority: int
    long: bool


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Counts of one class at one entry, or summed over several entries.

    Attributes:
        waiting: Requests that wait for capacity.
        late: Those of them that are expected to miss their objective.
        returning: Rejected clients whose Retry-After has not ended.
        started: Requests that started within `DEMAND_WINDOW`.
        ended: Requests that ended at a target within `DEMAND_WINDOW`.
        rejected: Requests that were rejected for lack of capacity within
            `DEMAND_WINDOW`.
        entries: Number of entries whose counts are summed up.
        age: Mean age of the counts in milliseconds.
    """

    demand_class: DemandClass
    waiting: int = 0
    late: int = 0
    returning: int = 0
    started: int = 0
    ended: int = 0
    rejected: int = 0
    entries: int = 1
    age: Millis = Millis(0)


NO_CLASS = DemandClass("", 0, False)
"""Class of the only report of an entry without any requests.

An entry that sends no report at all counts as not reporting.
"""

COUNT_NAMES = ("waiting", "late", "returning", "started", "ended", "rejected")
"""Names of the counts of a report."""


def classify(service: str, priority: int, prompt: Prompt | None) -> DemandClass:
    """Return the class of a request.

    An answer is long if it needs more memory than is reserved for any run.
    """
    long = prompt is not None and prompt.expected_output > MIN_RESERVED_GROWTH
    return DemandClass(service, priority, long)


@dataclass(slots=True)
class _OwnCounts:
    """Times of an entry's own events of one class, and when clients return."""

    started: deque[Millis] = field(default_factory=deque)
    ended: deque[Millis] = field(default_factory=deque)
    rejected: deque[Millis] = field(default_factory=deque)
    returns: list[Millis] = field(default_factory=list)

    def remove_expired(self, now: Millis) -> None:
        for times in (self.started, self.ended, self.rejected):
            while times and now - times[0] >= DEMAND_WINDOW:
                times.popleft()
        self.returns = [at for at in self.returns if at > now]


@dataclass(frozen=True, slots=True)
class _Heard:
    reports: tuple[DemandReport, ...]
    received_at: Millis
    far: bool

    @property
    def entries(self) -> int:
        return max((report.entries for report in self.reports), default=0)

    def find_age(self, now: Millis) -> int:
        reported = max((report.age for report in self.reports), default=Millis(0))
        return now - self.received_at + reported


@dataclass(frozen=True, slots=True)
class FleetDemand:
    """Estimated counts of the whole fleet, by class.

    Attributes:
        classes: Counts by class, as reports over all entries.
        reporting: Number of entries whose counts are known.
        entries: Number of entries that the counts are scaled to.
        age: Mean age of the reports in milliseconds.
    """

    classes: Mapping[DemandClass, DemandReport]
    reporting: int
    entries: int
    age: Millis

    def count_ahead(self, own: DemandClass, late: bool) -> int:
        """Return how many waiting requests come before a new one of a class.

        The order is the same at all entries: priority, then requests that can still
        meet their objective, then short answers before long ones, then arrival.
        """
        ahead = 0
        for known, counts in self.classes.items():
            if known.service != own.service or known.priority > own.priority:
                continue
            in_time = counts.waiting - counts.late
            if known.priority < own.priority:
                ahead += counts.waiting
            elif late:
                ahead += in_time + (counts.late if known.long <= own.long else 0)
            elif known.long <= own.long:
                ahead += in_time
        return ahead

    def count_returning(self, own: DemandClass) -> int:
        """Return how many rejected clients return before or with those of a class."""
        return sum(
            counts.returning
            for known, counts in self.classes.items()
            if known.service == own.service and known <= own
        )

    def expect_starts(self, own: DemandClass, within: Millis) -> float:
        """Return how many requests up to a class are expected to start in a time.

        A full pool starts a request where another one ends. Before the first ones have
        ended, the starts are the only measure. What newly arriving requests of classes
        further ahead will take is left out: they are taken to arrive as before.
        """
        ended = started = taken = 0
        for known, counts in self.classes.items():
            if known.service != own.service:
                continue
            ended += counts.ended
            started += counts.started
            if known < own:
                taken += counts.started + counts.rejected
        free = max(0, (ended or started) - taken)
        return free * within / DEMAND_WINDOW

    def count_need(self, own: DemandClass) -> int:
        """Return how many requests of classes ahead recently found no capacity."""
        return sum(
            counts.waiting + counts.rejected
            for known, counts in self.classes.items()
            if known.service == own.service and known.priority < own.priority
        )


@dataclass(slots=True)
class DemandTable:
    """Counts of this entry, and those that others reported.

    Attributes:
        entries: Number of entries last known, as kept for `ENTRIES_RETENTION`.
        described_at: When the log last described the fleet's demand, as a monotonic
            time in milliseconds.
        reserves: Cached fractions of memory reserved for more urgent requests, by
            class, and when each was computed.
    """

    entries: int = 1
    described_at: Millis = Millis(-1_000_000)
    reserves: dict[DemandClass, tuple[Millis, float]] = field(default_factory=dict)
    _fewer_since: Millis | None = None
    _own: dict[DemandClass, _OwnCounts] = field(default_factory=dict)
    _heard: dict[str, _Heard] = field(default_factory=dict)

    def record_start(self, own: DemandClass, now: Millis) -> None:
        """Record the start of a request."""
        self._own.setdefault(own, _OwnCounts()).started.append(now)

    def record_end(self, own: DemandClass, now: Millis) -> None:
        """Record the end of a request that was sent to a target."""
        self._own.setdefault(own, _OwnCounts()).ended.append(now)

    def record_rejection(self, own: DemandClass, returns: Millis, now: Millis) -> None:
        """Record a rejection for lack of capacity, and when the client may return."""
        counts = self._own.setdefault(own, _OwnCounts())
        counts.rejected.append(now)
        counts.returns.append(returns)

    def record_entries(self, entries: int, now: Millis) -> None:
        """Record the number of entries; a lower one counts after a while."""
        if entries >= self.entries:
            self.entries = entries
            self._fewer_since = None
        elif self._fewer_since is None:
            self._fewer_since = now
        elif now - self._fewer_since >= ENTRIES_RETENTION:
            self.entries = entries
            self._fewer_since = None

    def record_reports(
        self,
        sender: str,
        reports: tuple[DemandReport, ...],
        far: bool,
        now: Millis,
    ) -> None:
        """Replace the reports of an entry, or of a failure domain if `far` is set.

        A message without reports changes nothing: earlier ones expire by their age.
        """
        if not reports:
            return
        bounded = tuple(_bound(report, far, self.entries) for report in reports)
        self._heard[_build_key(sender, far)] = _Heard(bounded[:MAX_CLASSES], now, far)

    def drop_reports(self, sender: str) -> None:
        """Drop the reports of an entry that shuts down."""
        self._heard.pop(_build_key(sender, False), None)

    def list_own(
        self, waiting: Mapping[DemandClass, tuple[int, int]], now: Millis
    ) -> tuple[DemandReport, ...]:
        """Return this entry's counts.

        Args:
            waiting: Waiting requests, and the late ones among them, by class.
            now: Monotonic time in milliseconds.
        """
        reports = []
        for known in sorted(self._own.keys() | waiting.keys()):
            counts = self._own.get(known, _OwnCounts())
            counts.remove_expired(now)
            in_queue, late = waiting.get(known, (0, 0))
            report = DemandReport(
                known,
                in_queue,
                late,
                len(counts.returns),
                len(counts.started),
                len(counts.ended),
                len(counts.rejected),
            )
            if _weigh(report):
                reports.append(report)
            else:
                self._own.pop(known, None)
        return _select(reports) or (DemandReport(NO_CLASS),)

    def sum_domain(
        self, own: tuple[DemandReport, ...], now: Millis
    ) -> tuple[DemandReport, ...]:
        """Return the sums of this entry's counts and those of its failure domain."""
        near = [heard for heard in self._list_recent(now) if not heard.far]
        return _select(_sum([_Heard(own, now, False), *near], now).values())

    def sum_fleet(self, own: tuple[DemandReport, ...], now: Millis) -> FleetDemand:
        """Return the estimated counts of the whole fleet.

        The counts of the entries that report are scaled to all entries. An entry that
        knows no other scales its own counts to the number of entries last known.
        """
        heard = [_Heard(own, now, False), *self._list_recent(now)]
        sums = _sum(heard, now)
        reporting = max(1, sum(one.entries for one in heard))
        entries = max(reporting, self.entries)
        scale = entries / reporting
        classes = {
            known: replace(
                report,
                entries=entries,
                **{name: round(getattr(report, name) * scale) for name in COUNT_NAMES},
            )
            for known, report in sums.items()
        }
        age = sum(one.find_age(now) * one.entries for one in heard) // reporting
        return FleetDemand(classes, reporting, entries, Millis(age))

    def _list_recent(self, now: Millis) -> list[_Heard]:
        for key, heard in list(self._heard.items()):
            if heard.find_age(now) >= DEMAND_TIMEOUT:
                del self._heard[key]
        return list(self._heard.values())


def _build_key(sender: str, far: bool) -> str:
    return f"domain {sender}" if far else f"entry {sender}"


def _weigh(report: DemandReport) -> int:
    return sum(getattr(report, name) for name in COUNT_NAMES)


def _select(reports: Iterable[DemandReport]) -> tuple[DemandReport, ...]:
    """Return the reports of the classes with the most requests, sorted by class."""
    heaviest = sorted(reports, key=_weigh, reverse=True)[:MAX_CLASSES]
    return tuple(sorted(heaviest, key=lambda report: report.demand_class))


def _bound(report: DemandReport, far: bool, fleet: int) -> DemandReport:
    """Return a report without counts that no entry can have."""
    entries = max(1, min(report.entries, fleet)) if far else 1
    most = MAX_COUNT_PER_ENTRY * entries
    counts = {name: max(0, min(getattr(report, name), most)) for name in COUNT_NAMES}
    counts["late"] = min(counts["late"], counts["waiting"])
    return replace(report, entries=entries, **counts)


def _sum(heard: list[_Heard], now: Millis) -> dict[DemandClass, DemandReport]:
    by_class: dict[DemandClass, list[DemandReport]] = {}
    for one in heard:
        for report in one.reports:
            by_class.setdefault(report.demand_class, []).append(report)
    entries = sum(one.entries for one in heard)
    age = sum(one.find_age(now) * one.entries for one in heard) // max(1, entries)
    sums = {}
    for known, reports in by_class.items():
        counts = {name: _sum_bounded(reports, name) for name in COUNT_NAMES}
        counts["late"] = min(counts["late"], counts["waiting"])
        sums[known] = DemandReport(known, entries=entries, age=Millis(age), **counts)
    return sums


def _sum_bounded(reports: list[DemandReport], name: str) -> int:
    """Return the sum of a count, in which no report exceeds the others by much."""
    values = [getattr(report, name) for report in reports]
    total = sum(values)
    bounded = 0
    for report, value in zip(reports, values, strict=True):
        # The first report of a sum is this entry's own, and others are bounded by it.
        bounded += min(value, total - value + COUNT_SLACK * report.entries)
    return bounded
