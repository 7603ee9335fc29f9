"""Targets as they register themselves, and what this entry knows of each."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One life of a target: one that starts again may keep its id.

    Attributes:
        target: Its id.
        born: Unix millisecond of its start.
    """

    target: str
    born: int


@dataclass(frozen=True, slots=True)
class Registration:
    """What a target says of itself.

    Attributes:
        target: Its id, which names one incarnation for most targets.
        service: Service that it belongs to.
        address: Where it listens, as "ip:port".
        failure_domain: Its failure domain.
        slots: Requests that it runs at once.
        draining: Whether it takes no new work.
        warmup: How much longer it is slow, when it said so.
        born: Unix millisecond of its start; tells incarnations of one id apart.
    """

    target: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warmup: Millis = Millis(0)
    born: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """The life of the target that it is of."""
        return Incarnation(self.target, self.born)


FAILURE_SMOOTHING = 0.2
"""Weight of the newest attempt in a target's failed part: about ten attempts
tell a target that fails two in five from one that fails now and then."""

TYPICAL_READ_RATE = 7.0
"""Prompt tokens that an engine of the usual speed reads in a millisecond."""

DEFAULT_READ_RATE = 4.5
"""The same of an engine that nothing is known of: prompts sent to a slow one on
the hope that it isn't are late."""

MAX_READ_RATE = 14.0
"""Engines read no faster; a cached prompt would else pass for a fast engine."""

COLD_READ_RATE_FACTOR = 0.5
"""Part of its rate that an engine has while it says that it warms up."""

READ_RATE_SMOOTHING = 0.3
"""Weight of the newest reading: a handful tells a slow engine from a fast one."""

MASS_DEPARTURE_WINDOW = Millis(1_000)
"""Departures within this time are taken together."""

MIN_MASS_DEPARTURES = 3
"""Departures at once, of more than half of a service's targets, that are taken
for lapses. Reclaims and releases take one or two at a time."""

INITIAL_TARGET_BACKOFF = Millis(500)
"""How long a target is avoided after two losses in a row; doubled with each
more, as a target that is down needs seconds and one that hiccups does not."""

MAX_TARGET_BACKOFF = Millis(4_000)
"""Most that a target is avoided before it is tried again."""


MIN_UNREACHABLE_TARGETS = 2
"""Unreached targets of a failure domain from which on its others are spared."""

UNREACHED_DURATION = Millis(1_000)
"""How long a target that could not be connected to counts as that: the next
requests find out whether it is back."""

MIN_UNREACHED_REPORTS = 2
"""Other entries that have to tell so before their word is taken."""


class Standing(Enum):
    """Whether a target gets work."""

    READY = "ready"
    LEAVING = "leaving"  # no new work; what runs there goes on for a little
    GONE = "gone"  # nothing reaches it any more


@dataclass(slots=True)
class RateLimit:
    """A rate that a target has named in its answers.

    Attributes:
        rate: Requests a second that it takes from all entries together; None if
            its last answer named none any more.
        opens_at: From when on it may be sent requests within the rate.
        stated_at: When an answer last told so, to any entry.
        received_at: When an answer to this entry last did.
        turn: How often it was silent for so long that its rate passed to other
            entries.
        sends: When this entry sent it requests since, oldest first.
    """

    rate: float | None = None
    opens_at: Millis = Millis(0)
    stated_at: Millis = Millis(-1_000_000)
    received_at: Millis = Millis(-1_000_000)
    turn: int = 0
    sends: deque[Millis] = field(default_factory=deque)


@dataclass(slots=True)
class Target:
    """A target and what this entry has seen of it.

    Attributes:
        info: Its newest registration.
        standing: Whether it gets work.
        left_at: When it was found to be leaving, or None.
        calls: Attempts of this entry that are open there, streams included.
        memory: Tokens that this entry's runs and copies are expected to take.
        reading: Prompt tokens of this entry that it has still to read.
        incoming: Tokens of runs that are being copied to it on this entry's order.
        outgoing: Those that are being copied from it.
        peer_calls: Open attempts of all other entries.
        peer_memory: What their runs and copies are expected to take.
        peer_reading: Prompt tokens of theirs that it has still to read.
        peer_incoming: Tokens of runs that are being copied to it on their order.
        peer_outgoing: Those that are being copied from it.
        own_read_rate: Prompt tokens that it reads in a millisecond, smoothed, as
            seen by this entry; None before any was seen.
        peer_rate_sum: Sum of the same as seen by other entries.
        peer_rate_count: Entries and failure domains that have seen it.
        failures: Smoothed part of its attempts that failed, 0 to 1.
        queried_at: When it was last asked for its state.
        querier_drawn_at: When it was last drawn who asks it for a failure domain.
        reported_at: When it last told it.
        claimed_at_query: What was known to take its memory at the last question.
        claimed_baseline: What its next answer is compared with.
        unclaimed: Tokens of its memory that no known run or copy takes.
        consecutive_losses: Losses in a row without an answer.
        backoff_until: When it is tried again after losses.
        warm_at: When it will have warmed up.
        cold_sends: When this entry last sent it requests while it was cold.
        evacuated: Whether its failure domain is to get no more work.
        unreached_at: When this entry last could not connect to it.
        presumed_down_at: When it was last found, or told, to be unreachable.
        answered_at: When it last answered.
        unreached_reports: When other entries last told that they could not connect
            to it, by entry.
        limit: Rate that it has named in its answers; None if it never did.
        paused_until: Until when it wants nothing from this entry.
        announced_leaving: Whether it has told this entry that it leaves.
        lost: Digests of requests whose attempts there ended without an answer, and
            when; an answer to anything asked later ends that.
        ended_at: When its life was found to have ended, or None.
        probed_at: When this entry last looked whether it listens.
    """

    info: Registration
    standing: Standing = Standing.READY
    left_at: Millis | None = None
    calls: int = 0
    memory: int = 0
    reading: int = 0
    incoming: int = 0
    outgoing: int = 0
    peer_incoming: int = 0
    peer_outgoing: int = 0
    peer_calls: int = 0
    peer_memory: int = 0
    peer_reading: int = 0
    own_read_rate: float | None = None
    peer_rate_sum: float = 0.0
    peer_rate_count: int = 0
    failures: float = 0.0
    queried_at: Millis = Millis(-1_000_000)
    querier_drawn_at: Millis = Millis(-1_000_000)
    reported_at: Millis = Millis(0)
    claimed_at_query: int = 0
    claimed_baseline: int = 0
    unclaimed: int = 0
    consecutive_losses: int = 0
    backoff_until: Millis = Millis(0)
    warm_at: Millis = Millis(0)
    cold_sends: deque[Millis] = field(default_factory=deque)
    evacuated: bool = False
    unreached_at: Millis = Millis(-1_000_000)
    presumed_down_at: Millis = Millis(-1_000_000)
    answered_at: Millis = Millis(-1_000_000)
    unreached_reports: dict[str, Millis] = field(default_factory=dict)
    limit: RateLimit | None = None
    paused_until: Millis = Millis(0)
    announced_leaving: bool = False
    lost: dict[str, Millis] = field(default_factory=dict)
    ended_at: Millis | None = None
    probed_at: Millis = Millis(-1_000_000)

    @property
    def name(self) -> str:
        """Its id."""
        return self.info.target

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to it."""
        return self.standing is Standing.READY and not self.evacuated

    @property
    def appears_unreachable(self) -> bool:
        """Whether this entry could not reach it when it last tried.

        Its registration has then not only lapsed with the store.
        """
        return self.ended_at is not None or self.unreached_at > self.answered_at

    @property
    def load(self) -> int:
        """Open attempts of all entries."""
        return self.calls + self.peer_calls

    @property
    def reading_load(self) -> int:
        """Prompt tokens of all entries that it has still to read."""
        return self.reading + self.peer_reading

    @property
    def incoming_load(self) -> int:
        """Tokens that are being copied to it on the order of all entries."""
        return self.incoming + self.peer_incoming

    @property
    def outgoing_load(self) -> int:
        """Tokens that are being copied from it on the order of all entries."""
        return self.outgoing + self.peer_outgoing

    @property
    def read_rate(self) -> float:
        """Prompt tokens that it reads in a millisecond, as all entries saw it."""
        total, count = self.peer_rate_sum, self.peer_rate_count
        if self.own_read_rate is not None:
            total += self.own_read_rate
            count += 1
        return total / count if count else DEFAULT_READ_RATE

    def predict_read_time(self, tokens: int, now: Millis) -> float:
        """Return how long it takes until a prompt is read, in milliseconds."""
        rate = self.read_rate
        if now < self.warm_at:
            rate *= COLD_READ_RATE_FACTOR
        return (self.reading_load + tokens) / rate

    def update_read_rate(self, tokens: int, elapsed: int) -> None:
        """Learn from the time that a prompt and those ahead of it took."""
        if elapsed <= 0:
            return
        observed = min(MAX_READ_RATE, tokens / elapsed)
        known = observed if self.own_read_rate is None else self.own_read_rate
        self.own_read_rate = known + READ_RATE_SMOOTHING * (observed - known)

    def record_success(self, now: Millis) -> None:
        """Count an answer."""
        self.answered_at = now
        self.failures *= 1.0 - FAILURE_SMOOTHING
        self.consecutive_losses = 0
        self.backoff_until = Millis(0)

    def record_failure(self) -> None:
        """Count a failure that the target itself answered."""
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures)
        self.consecutive_losses = 0

    def record_loss(self, now: Millis, reached: bool) -> None:
        """Count an attempt without an answer.

        Args:
            now: Monotonic time.
            reached: Whether there was a connection; without one the target is
                avoided from the first loss on.
        """
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures)
        self.consecutive_losses += 1 if reached else 2
        if not reached:
            self.unreached_at = now
            self.presumed_down_at = now
        if self.consecutive_losses >= 2:
            pause = INITIAL_TARGET_BACKOFF << min(self.consecutive_losses - 2, 8)
            self.backoff_until = Millis(now + min(pause, MAX_TARGET_BACKOFF))

    def is_unreached(self, now: Millis) -> bool:
        """Tell whether this entry could not connect to it of late."""
        if now - self.unreached_at >= UNREACHED_DURATION:
            return False
        return self.answered_at < self.unreached_at

    def record_unreached_report(self, entry: str, now: Millis) -> None:
        """Take in that another entry could not connect to it.

        One entry alone may be cut off itself, and one that answers this entry is
        not down.
        """
        if now - self.answered_at < UNREACHED_DURATION:
            return
        self.unreached_reports[entry] = now
        report_times = self.unreached_reports.values()
        if (
            sum(1 for at in report_times if now - at < UNREACHED_DURATION)
            >= MIN_UNREACHED_REPORTS
        ):
            # What was only told is not told on, or it would never end.
            self.presumed_down_at = now
            self.backoff_until = Millis(
                max(self.backoff_until, now + INITIAL_TARGET_BACKOFF)
            )

    @property
    def claimed_memory(self) -> int:
        """Expected memory of all entries' runs and copies, in tokens."""
        return self.memory + self.peer_memory

    @property
    def memory_load(self) -> int:
        """Expected memory in use, in tokens."""
        return self.claimed_memory + self.unclaimed


@dataclass(slots=True)
class TargetTable:
    """All targets by id.

    Attributes:
        targets: The targets that may still be in use.
        departures: When targets of each service departed of late.
        pending_departures: Targets whose registration lapsed while the store was away,
            and until when it may come back.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    departures: dict[str, list[Millis]] = field(default_factory=dict)
    pending_departures: dict[str, Millis] = field(default_factory=dict)

    def find(self, name: str) -> Target | None:
        """Return a target, or None."""
        return self.targets.get(name)

    def list_ready(self, service: str) -> list[Target]:
        """Return the targets of a service that take new work."""
        found = []
        for target in self.targets.values():
            if target.info.service == service and target.accepts_work:
                found.append(target)
        return found

    def has_evacuated(self, service: str) -> bool:
        """Tell whether a service has targets that would work if they were sent any."""
        for target in self.targets.values():
            if target.info.service != service or not target.evacuated:
                continue
            if target.standing is Standing.READY:
                return True
        return False

    def find_unreachable_domains(self, service: str, now: Millis) -> set[str]:
        """Return the failure domains of a service that look unreachable as a whole.

        Where all targets of one go down together, trying them one after another
        would use up a caller's time, or all tries that it has.
        """
        unreached: dict[str, list[Millis]] = {}
        for target in self.targets.values():
            if target.info.service != service:
                continue
            if now - target.presumed_down_at < UNREACHED_DURATION:
                times = unreached.setdefault(target.info.failure_domain, [])
                times.append(target.presumed_down_at)
        return {
            domain
            for domain, times in unreached.items()
            if len(times) >= MIN_UNREACHABLE_TARGETS
            and not self._has_answered(service, domain, min(times))
        }

    def _has_answered(self, service: str, domain: str, since: Millis) -> bool:
        for target in self.targets.values():
            if target.info.service != service:
                continue
            if target.info.failure_domain == domain and target.answered_at > since:
                return True
        return False

    def record_registration(self, info: Registration, now: Millis) -> Target:
        """Take in what a target says of itself; returns the target.

        A target that starts again under its old id holds nothing of before, so
        everything known of the earlier incarnation is dropped with it.
        """
        self.pending_departures.pop(info.target, None)
        target = self.targets.get(info.target)
        if target is None or is_new_incarnation(target.info, info):
            target = Target(info)
            self.targets[info.target] = target
        target.info = info
        if info.warmup:
            # One that runs on may become cold again at any moment.
            target.warm_at = Millis(now + info.warmup)
        if info.draining:
            self._mark_leaving(target, now)
        elif target.standing is Standing.LEAVING:
            # Its entry had lapsed, as it may while the store is away.
            target.standing = Standing.READY
            target.left_at = None
        return target

    def is_mass_departure(self, name: str, now: Millis) -> bool:
        """Tell whether a departure is one of too many at once to be believed.

        An outage that this entry did not notice lets all registrations lapse;
        dropping their targets would leave callers without any for seconds.
        """
        target = self.targets.get(name)
        if target is None:
            return False
        service = target.info.service
        recent = self.departures.setdefault(service, [])
        recent[:] = [at for at in recent if now - at < MASS_DEPARTURE_WINDOW]
        recent.append(now)
        before = len(self.list_ready(service)) + len(recent) - 1
        return len(recent) >= MIN_MASS_DEPARTURES and len(recent) * 2 > before

    def defer_departure(self, name: str, until: Millis) -> None:
        """Keep a target whose registration may only have lapsed."""
        if name in self.targets:
            self.pending_departures.setdefault(name, until)

    def pop_due_departures(self, now: Millis) -> list[str]:
        """Return and forget the doubted targets that did not come back."""
        lapsed = [
            name for name, until in self.pending_departures.items() if until <= now
        ]
        for name in lapsed:
            del self.pending_departures[name]
        return lapsed

    def record_departure(self, name: str, now: Millis) -> Target | None:
        """Take in that a registration has gone; returns the target if known."""
        target = self.targets.get(name)
        if target is not None:
            self._mark_leaving(target, now)
        return target

    def remove_departed(self, now: Millis, after: Millis) -> None:
        """Drop targets that left ``after`` milliseconds ago and serve nothing."""
        for name, target in list(self.targets.items()):
            if target.left_at is None or target.calls:
                continue
            if target.left_at + after <= now:
                del self.targets[name]

    def _mark_leaving(self, target: Target, now: Millis) -> None:
        if target.standing is Standing.READY:
            target.standing = Standing.LEAVING
            target.left_at = now


def is_new_incarnation(known: Registration, info: Registration) -> bool:
    """Tell whether a target has started again since an earlier registration."""
    if info.born and known.born:
        return info.born != known.born
    return info.address != known.address or info.service != known.service
