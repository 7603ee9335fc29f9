"""Targets as they register themselves, and what this entry knows of each."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One incarnation of a target; a target that restarts may keep its id.

    Attributes:
        born: Start of the incarnation, as a Unix time in milliseconds.
    """

    target: str
    born: int


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run as its engine reports it.

    Attributes:
        id: Id of its request.
        tokens: Tokens that the engine's memory holds of it, those of its prompt
            included.
        events: Number of events that it has made.
    """

    id: str
    tokens: int
    events: int


@dataclass(frozen=True, slots=True)
class Registration:
    """A target's description of itself.

    Attributes:
        target: Id of the target; some targets keep their id when they restart.
        address: Where it listens, as "ip:port".
        slots: Number of requests that it runs at once.
        draining: Whether it accepts no new work.
        warmup: How much longer it is slow, in milliseconds; 0 if it does not warm up.
        born: Start of the incarnation, as a Unix time in milliseconds; distinguishes
            incarnations of one id. It is 0 if the registration does not state it.
        version: Version of its software. Versions have no order; a stream that one
            has begun can't go on at another.
    """

    target: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warmup: Millis = Millis(0)
    born: int = 0
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the target that registered."""
        return Incarnation(self.target, self.born)


FAILURE_SMOOTHING = 0.2
"""Weight of the newest attempt in a target's smoothed failure share, from 0 to 1. With
this weight, about ten attempts distinguish a target that fails two in five from one
that fails occasionally."""

TYPICAL_READ_RATE = 7.0
"""Prompt tokens per millisecond that an engine of typical speed reads (prefill)."""

DEFAULT_READ_RATE = 4.5
"""Prompt tokens per millisecond assumed for an engine without a measurement. It is less
than the typical rate, as prompts sent to an engine that turns out to be slow miss their
objective."""

MAX_READ_RATE = 14.0
"""Upper bound of a measured read rate, in prompt tokens per millisecond. No engine
reads faster; without the bound, a cached prompt would look like a fast engine."""

COLD_READ_RATE_FACTOR = 0.5
"""Fraction of its read rate that an engine reaches while it is cold."""

READ_RATE_SMOOTHING = 0.3
"""Weight of the newest sample in the smoothed read rate, from 0 to 1. With this weight,
a handful of samples distinguishes a slow engine from a fast one."""

PACE_SMOOTHING = 0.3
"""Weight of the newest sample in the smoothed pace, from 0 to 1. The pace changes with
the number of runs at the engine within seconds."""

ANSWER_TIME_SMOOTHING = 0.2
"""Weight of the newest sample in the smoothed time of a target's answers, from 0 to 1.
"""

MASS_DEPARTURE_WINDOW = Millis(1_000)
"""Time, in milliseconds, within which departures of a service's targets are counted
together."""

MIN_MASS_DEPARTURES = 3
"""Fewest departures within the window that are taken for a lapse of registrations, if
they are also more than half of a service's targets. Reclaims and releases remove one or
two targets at a time."""

INITIAL_TARGET_BACKOFF = Millis(500)
"""How long, in milliseconds, a target is avoided after two losses in a row. The time
doubles with each further loss, as a target that is down needs seconds to return and one
with a passing fault does not. A loss without a connection counts as two."""

MAX_TARGET_BACKOFF = Millis(4_000)
"""Longest time, in milliseconds, that a target is avoided before it is tried again."""


MIN_CHECK_PAUSE = Millis(250)
"""Shortest time, in milliseconds, between two checks of a target to which connections
time out. It doubles with each check, up to ``MAX_CHECK_PAUSE``."""

MAX_CHECK_PAUSE = Millis(2_000)
"""Longest time, in milliseconds, between two checks of such a target."""

MIN_UNREACHABLE_TARGETS = 2
"""Number of unreachable targets of a service in one failure domain at which the whole
failure domain is considered unreachable for that service."""

UNREACHED_DURATION = Millis(1_000)
"""How long, in milliseconds, a failed connection marks a target as unreached. After
that, requests may try the target again, which shows whether it is back."""

MIN_UNREACHED_REPORTS = 2
"""Number of other entries that have to report a target unreached, all within
``UNREACHED_DURATION``, before this entry presumes that it is down."""

LIMITED_RETENTION = Millis(600_000)
"""How long, in milliseconds, a departed target is kept that has named a rate. Its
registration may only have lapsed, and without the rate it would get all calls at its
return."""


class Standing(Enum):
    """Whether a target gets work."""

    READY = "ready"
    LEAVING = "leaving"  # no new work; runs there continue for a short time
    GONE = "gone"  # no request reaches it any more


@dataclass(slots=True)
class RateLimit:
    """A rate that a target has named in its answers.

    All times are monotonic, in milliseconds.

    Attributes:
        rate: Requests per second that it accepts from all entries together; None if its
            last known answer ended the limit.
        opens_at: Earliest time at which this entry sends it requests within the rate.
        stated_at: When an answer to any entry last stated the rate.
        received_at: When this entry itself last received an answer that stated it.
        turn: How often the right to use the rate passed to other entries because no
            entry had an answer of the target for ``TURN_DURATION``. It is part of the
            key that selects the entries that may use the rate.
    """

    rate: float | None = None
    opens_at: Millis = Millis(0)
    stated_at: Millis = Millis(-1_000_000)
    received_at: Millis = Millis(-1_000_000)
    turn: int = 0


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended at a target without an answer.

    Attributes:
        opened: When its attempt was opened (monotonic), in milliseconds.
        at: When it ended (monotonic), in milliseconds.
    """

    opened: Millis
    at: Millis


@dataclass(slots=True)
class CloseCount:
    """How often streams were closed in order, and how often that was not their end.

    Attributes:
        checked: Number of closes after which something showed whether more follows.
        early: Number of those after which more followed.
    """

    checked: int = 0
    early: int = 0


@dataclass(slots=True)
class ServiceCloses:
    """How the engines of a service end their streams.

    Attributes:
        count: Closes of all its engines.
        delimited: Number of its last streams in a row that had a length or chunks.
        has_open: Whether one of their streams had neither a length nor chunks.
        listed: Whether one of them has listed what it keeps.
        first_id: Id of the first event of their streams; None if none was seen.
        ids_vary: Whether streams have begun with different ids.
    """

    count: CloseCount = field(default_factory=CloseCount)
    delimited: int = 0
    has_open: bool = False
    listed: bool = False
    first_id: int | None = None
    ids_vary: bool = False


@dataclass(slots=True)
class EventCounts:
    """How many tokens the engines of a service put into an event.

    Attributes:
        event_tokens: Largest number of tokens in an event that the service was
            configured with.
        full_events: Number of events in a row that held that number.
        has_short_events: Whether one of its engines has made an event with fewer.
        sampled: When engines were last queried to learn this, by name.
    """

    event_tokens: int = 0
    full_events: int = 0
    has_short_events: bool = False
    sampled: dict[str, Millis] = field(default_factory=dict)


@dataclass(slots=True)
class ListCounts:
    """How the engines of a software version list the prompts that they run.

    Attributes:
        exact: Number of lists in a row that named each token.
        has_varied: Whether a list has lacked tokens.
        reads: Number of lists that were read to learn this.
        skipped: Number of streams since then for which none was read at once.
    """

    exact: int = 0
    has_varied: bool = False
    reads: int = 0
    skipped: int = 0


@dataclass(slots=True)
class Target:
    """A target and what this entry knows of it.

    All times are monotonic, in milliseconds. Memory is counted in tokens.

    Attributes:
        info: Newest registration of the target.
        left_at: When it was found to be leaving; None while it is not.
        calls: Open attempts of this entry at the target, streams included.
        memory: Tokens of its memory that runs and copies of this entry are expected to
            use.
        reading: Prompt tokens that it has still to read for this entry.
        incoming: Tokens of runs that are being copied to it on this entry's orders.
        outgoing: Tokens of runs that are being copied from it on this entry's orders.
        peer_calls: Open attempts of all other entries.
        peer_memory: Tokens of its memory that runs and copies of all other entries are
            expected to use.
        peer_reading: Prompt tokens that it has still to read for all other entries.
        peer_incoming: Tokens of runs that are being copied to it on other entries'
            orders.
        peer_outgoing: Tokens of runs that are being copied from it on other entries'
            orders.
        own_read_rate: Prompt tokens that it reads per millisecond, smoothed, as
            measured by this entry; None without a measurement.
        peer_rate_sum: Sum of the read rates that peers report. Another failure domain
            of a large fleet reports the mean of its entries.
        peer_rate_count: Number of reports in ``peer_rate_sum``.
        own_pace: Milliseconds in which it generates a token of one run, smoothed, as
            measured by this entry; None without a measurement.
        peer_pace_sum: Sum of the paces that peers report, as for ``peer_rate_sum``.
        peer_pace_count: Number of reports in ``peer_pace_sum``.
        failures: Smoothed share of its attempts that failed, from 0 to 1.
        queried_at: When this entry last queried its state.
        querier_drawn_at: When this entry last computed which entry queries it for the
            whole failure domain.
        reported_at: When it last reported its memory in use.
        claimed_at_query: ``claimed_memory`` at the last query of its state.
        claimed_baseline: ``claimed_memory`` at the time that its next report describes;
            what the report exceeds it by is unclaimed.
        unclaimed: Tokens of its memory in use that no known run or copy claims.
        consecutive_losses: Attempts in a row that were lost without an answer; a loss
            without a connection counts as two.
        backoff_until: Until when it is avoided after losses.
        warm_at: End of its warm-up; in the past if it is warm.
        cold_sends: Times at which this entry recently sent it requests while it was
            cold.
        evacuated: Whether its failure domain is evacuated, so that it gets no new work.
        unreached_at: When this entry last failed to connect to it.
        presumed_down_at: When this entry last failed to connect to it, or enough other
            entries reported that they did.
        answered_at: When it last gave an answer that reports no failure of its own.
        unreached_reports: When other entries last reported that they could not connect
            to it, by entry.
        limit: Rate that it has named to this or another entry; None if none is known.
        recent_sends: Times at which this entry recently sent it requests, oldest first.
        paused_until: End of the pause that it asked this entry for.
        announced_leaving: Whether it has announced to this entry that it leaves.
        open_ended: Whether its last stream had neither a length nor chunks.
        closes: How often it has closed streams early.
        reported_runs: Runs that its last report listed, by id.
        full_events: Number of its events in a row that held the largest number of
            tokens.
        has_short_events: Whether an event held fewer since then.
        token_queries: How often it was queried for the tokens in its events.
        tokens_queried_at: When it was last queried for them.
        restarted: Whether it has reported a later start than the one it registered.
        lost: What requests whose attempts there ended without an answer may be
            suspected for. An answer to a request sent after the end of a run removes
            its entry.
        unproven: Parts of short answers that it gave, with the times at which these
            ended, the oldest first. They are removed once it is known to have lived on.
        broken_at: When the first connection broke after which it gave no answer; None
            if none did. If it has ended, it ended then or earlier.
        refused_at: When it refused a connection of this entry, until another target
            accepts one; None if it did not. Before that the entry may be cut off.
        needs_check: Whether a connection to it timed out and none was established
            since. It gets requests again once a check has reached it.
        check_at: When it is checked next, if it needs that.
        check_pause: Time in milliseconds from that check to the one after it.
        ended_at: When its incarnation was found to have ended; None if it was not.
        dead_since: When a connection first broke by that end, as far as this entry can
            tell; None if the end was not found.
        probed_at: When this entry last probed whether it listens at its address.
        probe_pause: Time in milliseconds from that probe to the one after it.
        named_brittle: Whether its last answer named the rejections that it bears.
        rejected_at: When it last rejected a request of this entry while brittle.
        full_until: Until when it is held to have no room while brittle.
        next_send_at: Until when this entry sends it no further request while brittle.
        answer_time: Smoothed time of its answers to calls, in milliseconds; None if
            none was measured.
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
    own_pace: float | None = None
    peer_pace_sum: float = 0.0
    peer_pace_count: int = 0
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
    recent_sends: deque[Millis] = field(default_factory=deque)
    paused_until: Millis = Millis(0)
    announced_leaving: bool = False
    open_ended: bool = False
    closes: CloseCount = field(default_factory=CloseCount)
    reported_runs: dict[str, ReportedRun] = field(default_factory=dict)
    full_events: int = 0
    has_short_events: bool = False
    token_queries: int = 0
    tokens_queried_at: Millis = Millis(-1_000_000)
    restarted: bool = False
    lost: dict[str, LostRun] = field(default_factory=dict)
    unproven: dict[str, Millis] = field(default_factory=dict)
    broken_at: Millis | None = None
    refused_at: Millis | None = None
    needs_check: bool = False
    check_at: Millis = Millis(0)
    check_pause: Millis = MIN_CHECK_PAUSE
    ended_at: Millis | None = None
    dead_since: Millis | None = None
    probed_at: Millis = Millis(-1_000_000)
    probe_pause: Millis = Millis(0)
    named_brittle: bool = False
    rejected_at: Millis = Millis(-1_000_000)
    full_until: Millis = Millis(0)
    next_send_at: Millis = Millis(0)
    answer_time: float | None = None

    @property
    def name(self) -> str:
        """Id of the target."""
        return self.info.target

    @property
    def is_limited(self) -> bool:
        """Whether a rate that it has named is in force."""
        return self.limit is not None and self.limit.rate is not None

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be sent to the target."""
        return self.standing is Standing.READY and not self.evacuated

    @property
    def appears_unreachable(self) -> bool:
        """Whether the target has ended or does not answer this entry.

        It does not answer if this entry failed to connect to it after its last answer.
        If its registration is also missing, the target is treated as departed at once,
        without the wait for lapsed registrations to come back.
        """
        return self.ended_at is not None or self.unreached_at > self.answered_at

    @property
    def load(self) -> int:
        """Open attempts of all entries at the target."""
        return self.calls + self.peer_calls

    @property
    def reading_load(self) -> int:
        """Prompt tokens that the target has still to read for all entries."""
        return self.reading + self.peer_reading

    @property
    def incoming_load(self) -> int:
        """Tokens that are being copied to the target on the orders of all entries."""
        return self.incoming + self.peer_incoming

    @property
    def outgoing_load(self) -> int:
        """Tokens that are being copied from the target on the orders of all entries."""
        return self.outgoing + self.peer_outgoing

    @property
    def read_rate(self) -> float:
        """Mean of the known read rates, in prompt tokens per millisecond.

        It is ``DEFAULT_READ_RATE`` if no read rate was measured.
        """
        total, count = self.peer_rate_sum, self.peer_rate_count
        if self.own_read_rate is not None:
            total += self.own_read_rate
            count += 1
        return total / count if count else DEFAULT_READ_RATE

    def predict_read_time(self, tokens: int, now: Millis) -> float:
        """Return the expected milliseconds until the target has read a new prompt.

        The time for the prompts ahead of the new one is included.
        """
        rate = self.read_rate
        if now < self.warm_at:
            rate *= COLD_READ_RATE_FACTOR
        return (self.reading_load + tokens) / rate

    def update_read_rate(self, tokens: int, elapsed: int) -> None:
        """Update the measured read rate from the time that some prompts took.

        Args:
            tokens: Tokens of a prompt and of the prompts read before it.
            elapsed: Milliseconds in which they were read; ignored if not positive.
        """
        if elapsed <= 0:
            return
        observed = min(MAX_READ_RATE, tokens / elapsed)
        known = observed if self.own_read_rate is None else self.own_read_rate
        self.own_read_rate = known + READ_RATE_SMOOTHING * (observed - known)

    @property
    def pace(self) -> float | None:
        """Mean of the known paces, in milliseconds per token; None if there is none."""
        total, count = self.peer_pace_sum, self.peer_pace_count
        if self.own_pace is not None:
            total += self.own_pace
            count += 1
        return total / count if count else None

    def update_pace(self, observed: float) -> None:
        """Update the measured pace, in milliseconds per token."""
        known = observed if self.own_pace is None else self.own_pace
        self.own_pace = known + PACE_SMOOTHING * (observed - known)

    def update_answer_time(self, elapsed: int) -> None:
        """Update the smoothed time of the target's answers, in milliseconds."""
        known = elapsed if self.answer_time is None else self.answer_time
        self.answer_time = known + ANSWER_TIME_SMOOTHING * (elapsed - known)

    def record_success(self, now: Millis) -> None:
        """Record an answer that reports no failure, and end the target's backoff."""
        self.answered_at = now
        self.failures *= 1.0 - FAILURE_SMOOTHING
        self.consecutive_losses = 0
        self.backoff_until = Millis(0)

    def record_failure(self) -> None:
        """Record a failure that the target itself answered."""
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures)
        self.consecutive_losses = 0

    def record_loss(self, now: Millis, reached: bool) -> None:
        """Record an attempt or a probe that ended without an answer.

        A loss without a connection (not ``reached``) counts as two, so the target is
        avoided from the first such loss on.
        """
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures)
        self.consecutive_losses += 1 if reached else 2
        if not reached:
            self.unreached_at = now
            self.presumed_down_at = now
        if self.consecutive_losses >= 2:
            pause = INITIAL_TARGET_BACKOFF << min(self.consecutive_losses - 2, 8)
            self.backoff_until = Millis(now + min(pause, MAX_TARGET_BACKOFF))

    def require_check(self, now: Millis) -> None:
        """Avoid the target until a check has reached it, which is due at ``now``."""
        self.needs_check = True
        self.check_at = now
        self.check_pause = MIN_CHECK_PAUSE

    def schedule_check(self, now: Millis) -> None:
        """Record that a check begins now, and set the time of the next one."""
        self.check_at = Millis(now + self.check_pause)
        self.check_pause = Millis(min(MAX_CHECK_PAUSE, 2 * self.check_pause))

    def record_connection(self) -> None:
        """Record that a connection to the target was established."""
        self.refused_at = None
        self.needs_check = False

    def forgive_losses(self) -> None:
        """Drop the losses and reports by which the target is avoided or held down."""
        self.refused_at = None
        self.consecutive_losses = 0
        self.backoff_until = Millis(0)
        self.unreached_at = Millis(-1_000_000)
        self.presumed_down_at = Millis(-1_000_000)
        self.unreached_reports.clear()

    def is_unreached(self, now: Millis) -> bool:
        """Return whether this entry recently failed to connect to the target.

        An answer since then resets it.
        """
        if now - self.unreached_at >= UNREACHED_DURATION:
            return False
        return self.answered_at < self.unreached_at

    def record_unreached_report(self, entry: str, now: Millis) -> None:
        """Record that another entry could not connect to the target.

        A single report is not enough, as its sender may be cut off itself. A report is
        ignored if the target has answered this entry within ``UNREACHED_DURATION``, as
        the target is then not down.
        """
        if now - self.answered_at < UNREACHED_DURATION:
            return
        self.unreached_reports[entry] = now
        report_times = self.unreached_reports.values()
        if (
            sum(1 for at in report_times if now - at < UNREACHED_DURATION)
            >= MIN_UNREACHED_REPORTS
        ):
            # `unreached_at` is not set: this entry would announce it, and entries
            # would keep each other's reports alive forever.
            self.presumed_down_at = now
            self.backoff_until = Millis(
                max(self.backoff_until, now + INITIAL_TARGET_BACKOFF)
            )

    @property
    def claimed_memory(self) -> int:
        """Memory tokens that runs and copies of all entries are expected to use."""
        return self.memory + self.peer_memory

    @property
    def memory_load(self) -> int:
        """Tokens of the target's memory that are expected to be in use."""
        return self.claimed_memory + self.unclaimed


@dataclass(slots=True)
class TargetTable:
    """The known targets, and registrations that recently went missing.

    All times are monotonic, in milliseconds.

    Attributes:
        targets: Targets that have registered, by id; departed ones are kept until
            ``remove_departed`` removes them.
        departures: Times of recent departures, by service.
        pending_departures: Ids of targets whose registration is missing but may only
            have lapsed, and until when it may come back.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    departures: dict[str, list[Millis]] = field(default_factory=dict)
    pending_departures: dict[str, Millis] = field(default_factory=dict)

    def find(self, name: str) -> Target | None:
        """Return the target with an id, or None if it is unknown."""
        return self.targets.get(name)

    def list_ready(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new work."""
        found = []
        for target in self.targets.values():
            if target.info.service == service and target.accepts_work:
                found.append(target)
        return found

    def list_services(self) -> set[str]:
        """Return the services that have targets which accept new work."""
        return {
            target.info.service
            for target in self.targets.values()
            if target.accepts_work
        }

    def has_evacuated(self, service: str) -> bool:
        """Return whether a service has targets in evacuated failure domains.

        Targets that leave do not count.
        """
        for target in self.targets.values():
            if target.info.service != service or not target.evacuated:
                continue
            if target.standing is Standing.READY:
                return True
        return False

    def find_unreachable_domains(self, service: str, now: Millis) -> set[str]:
        """Return the failure domains of a service that look unreachable as a whole.

        In such a domain, at least ``MIN_UNREACHABLE_TARGETS`` targets were presumed
        down within ``UNREACHED_DURATION``, and no target has answered this entry since
        the first of these times. If all targets of a failure domain go down together,
        trying them one after another would use up a request's time or attempts.
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
        """Record a registration and return its target.

        What is known of an earlier incarnation with the same id is dropped, as a target
        that restarts keeps nothing of that.
        """
        self.pending_departures.pop(info.target, None)
        target = self.targets.get(info.target)
        if target is None or is_new_incarnation(target.info, info):
            target = Target(info)
            self.targets[info.target] = target
        target.info = info
        if info.warmup:
            # Also set for a known target: it may become cold again while it runs.
            target.warm_at = Millis(now + info.warmup)
        if info.draining:
            self._mark_leaving(target, now)
        elif target.standing is Standing.LEAVING:
            # Its registration had lapsed, as in an outage of the store.
            target.standing = Standing.READY
            target.left_at = None
        return target

    def has_restarted(self, service: str) -> bool:
        """Return whether a target of a service runs as an unregistered incarnation."""
        return any(
            target.restarted and target.info.service == service
            for target in self.targets.values()
        )

    def is_mass_departure(self, name: str, now: Millis) -> bool:
        """Record a departure and return whether registrations appear to have lapsed.

        That is so if at least ``MIN_MASS_DEPARTURES`` targets of the service, and more
        than half of its targets, departed within ``MASS_DEPARTURE_WINDOW``. An outage
        of the store that this entry did not notice lets all registrations lapse;
        dropping their targets would leave callers without any target for seconds.
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

    def defer_departure(self, name: str, until: Millis) -> bool:
        """Keep a target whose registration may only have lapsed.

        The target counts as departed from ``until`` on. A departure that is already
        pending keeps its deadline.

        Returns:
            Whether the departure was not pending before.
        """
        if name not in self.targets or name in self.pending_departures:
            return False
        self.pending_departures[name] = until
        return True

    def pop_due_departures(self, now: Millis) -> list[str]:
        """Remove and return the pending departures whose deadline has passed."""
        lapsed = [
            name for name, until in self.pending_departures.items() if until <= now
        ]
        for name in lapsed:
            del self.pending_departures[name]
        return lapsed

    def record_departure(self, name: str, now: Millis) -> Target | None:
        """Mark a target as leaving and return it, or None if it is unknown."""
        target = self.targets.get(name)
        if target is not None:
            self._mark_leaving(target, now)
        return target

    def remove_departed(self, now: Millis, after: Millis) -> list[Target]:
        """Remove targets without open attempts that left `after` ms ago or earlier.

        A target with a rate in force is kept for ``LIMITED_RETENTION``.

        Returns:
            The removed targets.
        """
        removed = []
        for name, target in list(self.targets.items()):
            if target.left_at is None or target.calls:
                continue
            retention = LIMITED_RETENTION if target.is_limited else after
            if target.left_at + retention <= now:
                removed.append(self.targets.pop(name))
        return removed

    def _mark_leaving(self, target: Target, now: Millis) -> None:
        if target.standing is Standing.READY:
            target.standing = Standing.LEAVING
            target.left_at = now


def contradicts_registration(info: Registration, born: int) -> bool:
    """Return whether a start that a target reported is not the registered one.

    It is unknown, and contradicts nothing, if one of the two does not state the start.
    """
    return bool(info.born and born) and info.born != born


def is_new_incarnation(known: Registration, info: Registration) -> bool:
    """Return whether a target has restarted since an earlier registration.

    If one of the two does not state its start, another address or service shows it.
    """
    if info.born and known.born:
        return info.born != known.born
    return info.address != known.address or info.service != known.service
