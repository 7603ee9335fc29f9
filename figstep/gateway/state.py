"""State of one gateway; only its reducer changes it."""

import random
from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.crashes import CrashTable
from figstep.core.fairness import FairShares
from figstep.core.positions import NO_POSITION, Position
from figstep.core.reach import Reach
from figstep.gateway.budgets import PastUseTable, RetryBudget, UseReport
from figstep.gateway.demand import (
    DemandClass,
    DemandReport,
    DemandTable,
    FleetDemand,
    classify,
)
from figstep.gateway.effects import RelayTo
from figstep.gateway.events import (
    BrittlenessReport,
    PeerLoad,
    RateReport,
    RejectionReport,
    RequestArrived,
    RoutedRequest,
    ServiceCut,
)
from figstep.gateway.places import NO_EVACUATIONS, Evacuations
from figstep.gateway.refusals import RefusalTable
from figstep.gateway.routes import Route, RoutingTable
from figstep.gateway.runs import RunCopy
from figstep.gateway.starts import ServiceVersion, StartTable, StreamStart
from figstep.gateway.targets import (
    EventCounts,
    Incarnation,
    ListCounts,
    Registration,
    ServiceCloses,
    Target,
    TargetTable,
)

LEAVING_ANNOUNCE_DURATION = Millis(10_000)
"""Milliseconds for which a target's announcement that it leaves is sent to peers."""

LEAVING_RETENTION = Millis(600_000)
"""Milliseconds for which a target's announcement that it leaves is remembered.

The target's earlier registration may be read until long after an outage of the store.
"""


FULL_MESH_MAX_ENTRIES = 16
"""Largest number of entries in which every entry sends its loads to every other.

The number of messages grows with the square of the number of entries. In a larger
fleet, entries report to those of their own failure domain, and sums go to the other
failure domains.
"""


RATE_ANNOUNCE_DURATION = Millis(3_000)
"""Milliseconds for which the rate that a target's answer named is sent to peers.

The rate is sent several times, as a datagram may be lost. Each further answer of the
target restarts the duration.
"""


REJECTION_ANNOUNCE_DURATION = Millis(1_000)
"""Milliseconds for which the rejection of a brittle target is sent to peers."""


LATE_OBJECTIVE_FRACTION = 0.5
"""Fraction of its objective after which a waiting request counts as late.

Reading the prompt takes most of the remaining time.
"""


@dataclass(slots=True)
class Brittleness:
    """How many rejections a second the targets of a service bear.

    All times are monotonic, in milliseconds.

    Attributes:
        rejections: As last named; None if the last answer named none.
        stated_at: When an answer to any entry last stated it.
        received_at: When this entry itself last received such an answer.
    """

    rejections: float | None = None
    stated_at: Millis = Millis(-1_000_000)
    received_at: Millis = Millis(-1_000_000)


@dataclass(frozen=True, slots=True)
class Departure:
    """A target's announcement that it leaves.

    Attributes:
        at: Monotonic time in milliseconds at which this entry received it, last from
            the target or first from another entry.
        own: Whether the target announced it to this entry itself.
    """

    at: Millis
    own: bool


@dataclass(slots=True)
class ShortAnswer:
    """Whole answer that was written in less time than shows its parts harmless.

    Attributes:
        request: Id of the request.
        target: Name of the engine that wrote it.
        parts: Suspected parts of the prompt, as subjects.
        ended_at: Monotonic time in milliseconds at which the answer was whole.
        checked: Whether a check of the engine was requested.
    """

    request: str
    target: str
    parts: tuple[str, ...]
    ended_at: Millis
    checked: bool = False


@dataclass(frozen=True, slots=True)
class Origin:
    """Software version of the target that sent the first event of a stream.

    Attributes:
        version: The version; None if it is not known, so that the stream may go on at
            no target.
    """

    version: str | None


@dataclass(slots=True)
class Attempt:
    """One connection to a target for a request.

    All times are monotonic, in milliseconds.

    Attributes:
        number: Number of the attempt, unique in this process.
        request: Number of its request.
        opened: When it was sent.
        memory: Tokens of memory that it is expected to need at its target, and again
            at its backup's holder.
        reading: Prompt tokens that its target has still to read for it; 0 once its
            first event has arrived.
        reading_ahead: Prompt tokens of other attempts that its target had to read
            when it was sent.
        holder: Target of its running backup, or None.
        backup_unusable: Whether that backup was used up or refused.
        source: Copy that it resumes from, or None for a run from the start.
        connected: Whether its connection was established.
        answered: Whether the headers of its stream have arrived.
        confirmed: Whether its target has stated since then that it is the incarnation
            that it registered.
        first_delivery_at: When its first event went to the caller, or None.
        pieces: Number of its events that went to the caller.
        relay: Entry that got the request in place of a target, or None. The target
            then stands for that entry, and is in no table.
        sample_began_at: When the measurement of its engine's pace began, or None.
        sample_events: Events that have arrived since then.
        closed: Whether its connection has ended, and its target is asked if it lives.
        asked_at: When it was first asked whether a stream is complete, of its target or
            of another one before; None if it goes on for another reason.
        lost_questions: How often the answer to that was lost or refused before.
        awaits_copy: Whether its target closed it, and the holder of a copy that is
            still being made is asked for the rest.
        rest_begun: Whether bytes have arrived, of a stream that goes on after a known
            event.
        keeps_run: Whether its engine was asked to keep the run if it is complete.
        unconfirmed_at: Since when its stream waits until the store has recorded that
            nobody knows its version; None if it does not.
    """

    number: int
    request: int
    target: Target
    opened: Millis
    memory: int = 0
    reading: int = 0
    reading_ahead: int = 0
    holder: Target | None = None
    backup_unusable: bool = False
    source: RunCopy | None = None
    connected: bool = False
    answered: bool = False
    confirmed: bool = False
    first_delivery_at: Millis | None = None
    pieces: int = 0
    relay: RelayTo | None = None
    sample_began_at: Millis | None = None
    sample_events: int = 0
    closed: bool = False
    asked_at: Millis | None = None
    lost_questions: int = 0
    awaits_copy: bool = False
    rest_begun: bool = False
    keeps_run: bool = False
    unconfirmed_at: Millis | None = None


@dataclass(slots=True)
class Request:
    """A request without its final answer.

    All times are monotonic, and all durations are in milliseconds.

    Attributes:
        spec: The request as it arrived.
        route: Its route, as configured when it arrived.
        customer: Name of its customer, or "".
        priority: Its urgency; 0 is the most urgent.
        arrived: When it arrived at this entry.
        first_arrived: When its caller first sent it, to any entry.
        deadline: When the caller's or the operator's time limit ends.
        current: Attempt whose events go to the caller, or None.
        standby: Attempt that is to replace the current one, or None.
        copy: Copy of its run at another engine, or None.
        copy_ordered_at: When a copy was last ordered.
        copied_at: When its copy on order was made or last refreshed.
        copying: Whether a copy on order is being made.
        open_ended: Whether its stream has neither a length nor chunks, so that its end
            has to be confirmed.
        copyable: Whether engines that ran it copy or back up runs.
        closed_by: Target that closed its stream in order, while nothing contradicts
            that this was its end; None otherwise.
        rest_begun: Whether bytes have arrived after that close of what follows; a part
            of an event contradicts the end as well.
        end_unstated: Whether an engine that keeps complete runs did not state whether
            that close was the end.
        asked_anew: Whether the engine that had nothing to add to a stream that was
            taken up was asked once more.
        copy_destination: Target that holds a copy on order or is to hold it, or None.
        copy_memory: Tokens of memory that this copy takes there.
        copy_source: Target that is being copied from, or None.
        copying_tokens: Tokens that are being copied; less than the whole run if its
            holder already has a copy.
        copied_tokens: Tokens that its copy on order had when it was made.
        stream_begun: Whether an event of a stream was delivered to its caller.
        answer_begun: Whether the start of an answer was sent that is read from its
            target as fast as the caller reads.
        reading_paused: Whether its stream is not read, as the caller reads slowly.
        delivered: Id of the last event delivered to the caller, now or in an earlier
            attempt of the caller; 0 for none.
        delivered_at: When the last event was delivered by this entry.
        pieces: Number of events delivered to the caller.
        time_to_first_event: Time from its arrival to the first delivery.
        longest_pause: Longest time between two deliveries.
        smoothed_pause: Smoothed time between two deliveries.
        unreached: Number of attempts that found no connection.
        lost_runs: Number of lost attempts that may have run.
        may_have_run: Whether a target may have begun to run it.
        tried_targets: Names of the targets that it was sent to.
        refused_by: Names of those that have not run it when it was last lost there.
        lost_domains: Failure domains of targets that lost an attempt which may have
            run, other than by a failure that the target itself answered.
        copy_refused_at: When targets last failed to take a copy of its run, or it was
            dropped there for lack of memory, by target.
        queued: Whether it waits for free capacity.
        retry_denied: Whether the retry budget has denied it a repeat.
        allowed_regions: Regions whose targets it may be sent to; None for any.
        origin: Software version that began its stream, in this or an earlier attempt
            of the caller; None before the first event.
        relays: Number of entries that it was passed on to.
        tried_relays: Addresses of these entries.
        on_trial: Whether it may run although a part of its prompt is refused, to show
            whether the part still crashes targets.
        relay_pause: Retry-After in milliseconds with which the last of them refused it;
            None if it named none.
        weight: Share of its customer in capacity that others wait for as well.
    """

    spec: RoutedRequest
    route: Route
    service: str
    customer: str
    priority: int
    arrived: Millis
    first_arrived: Millis
    deadline: Millis
    current: Attempt | None = None
    standby: Attempt | None = None
    copy: RunCopy | None = None
    copy_ordered_at: Millis = Millis(0)
    copied_at: Millis = Millis(0)
    copying: bool = False
    open_ended: bool = False
    copyable: bool = False
    closed_by: Target | None = None
    rest_begun: bool = False
    end_unstated: bool = False
    asked_anew: bool = False
    copy_destination: Target | None = None
    copy_memory: int = 0
    copy_source: Target | None = None
    copying_tokens: int = 0
    copied_tokens: int = 0
    stream_begun: bool = False
    answer_begun: bool = False
    reading_paused: bool = False
    delivered: int = 0
    delivered_at: Millis = Millis(0)
    pieces: int = 0
    time_to_first_event: Millis = Millis(0)
    longest_pause: Millis = Millis(0)
    smoothed_pause: float = 0.0
    attempts_sent: int = 0
    unreached: int = 0
    lost_runs: int = 0
    may_have_run: bool = False
    tried_targets: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    lost_domains: set[str] = field(default_factory=set)
    copy_refused_at: dict[str, Millis] = field(default_factory=dict)
    queued: bool = False
    retry_denied: bool = False
    allowed_regions: frozenset[str] | None = None
    origin: Origin | None = None
    relays: int = 0
    tried_relays: set[str] = field(default_factory=set)
    relay_pause: Millis | None = None
    on_trial: bool = False
    weight: float = 1.0

    @property
    def demand_class(self) -> DemandClass:
        """Class in which the request counts toward the fleet's demand."""
        return classify(self.service, self.priority, self.spec.prompt)

    def is_late(self, now: Millis) -> bool:
        """Return whether it is expected to miss its objective if it starts now.

        The time counts from its first arrival at any entry.
        """
        waited = now - self.first_arrived
        return waited > LATE_OBJECTIVE_FRACTION * self.route.objective

    @property
    def begun(self) -> bool:
        """Whether its caller has a part of an answer, so that no other can be sent."""
        return self.stream_begun or self.answer_begun


@dataclass(slots=True)
class Peer:
    """Another entry, as described by its messages.

    All times are monotonic, in milliseconds.

    Attributes:
        last_received_at: When its last message arrived.
        loads: Its open work, by target.
        full_loads: Its open work as last sent in full, by target.
        changed_targets: Targets whose loads its last message sent as changed since the
            last full one; empty if the last message was full.
        uses: Requests and repeats that it recently sent to each service.
        address: Address at which it listens for peers, as "ip:port".
        configuration: Version of its configuration in force; -1 for none.
        position: Position up to which it has read the registrations.
        healthy_since: Since when it has reported, without a break, that it reads the
            store and is answered; None if its last message differs.
        receives_records: Whether records of the store reach it, directly or through
            peers.
        answered: Whether the store answers it, as far as it reads the store.
        far: Whether it belongs to another failure domain.
        reading: Whether it reads the store's records as they are written.
        leaving: Targets that announced to it, or to its failure domain, that they
            leave.
        rates: Rates that targets have named in answers to it.
        brittle: Services whose targets recently named the rejections that they bear.
        rejected: Brittle targets that recently rejected a request.
        failure_domain: Its failure domain.
        relays: Where it, or some entries of its failure domain if `far` is set, accept
            requests of other entries, as "ip:port".
        cut_off: Whether it reaches no target of any service.
        cuts: Services from which it, or some of the entries in `relays` if `far` is
            set, are cut off.
        starts: Streams that it recently began to deliver.
        process: Random number of its process.
        knows_answers: Whether its process knows which parts of prompts were answered
            before.
    """

    last_received_at: Millis
    loads: dict[str, PeerLoad] = field(default_factory=dict)
    full_loads: dict[str, PeerLoad] = field(default_factory=dict)
    changed_targets: frozenset[str] = frozenset()
    uses: tuple[UseReport, ...] = ()
    address: str = ""
    configuration: int = -1
    position: Position = NO_POSITION
    receives_records: bool = True
    answered: bool = True
    healthy_since: Millis | None = None
    far: bool = False
    reading: bool = False
    leaving: tuple[Incarnation, ...] = ()
    rates: tuple[RateReport, ...] = ()
    failure_domain: str = ""
    relays: tuple[str, ...] = ()
    cut_off: bool = False
    cuts: tuple[ServiceCut, ...] = ()
    brittle: tuple[BrittlenessReport, ...] = ()
    rejected: tuple[RejectionReport, ...] = ()
    starts: tuple[StreamStart, ...] = ()
    process: int = 0
    knows_answers: bool = False

    def is_cut_off(self, service: str) -> bool:
        """Return whether the entry itself reaches no target of a service."""
        if self.far:
            return False
        return self.cut_off or any(cut.service == service for cut in self.cuts)

    def list_relays(self, service: str) -> list[str]:
        """Return where requests of a service are accepted, as "ip:port"."""
        cut = {
            address
            for known in self.cuts
            if known.service == service
            for address in known.relays
        }
        return [address for address in self.relays if address not in cut]


@dataclass(slots=True)
class DomainLoads:
    """Open work of all entries of another failure domain.

    Attributes:
        last_received_at: Monotonic time in milliseconds of the last message with these
            loads.
        loads: Sums of their open work, by target.
    """

    last_received_at: Millis
    loads: dict[str, PeerLoad] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HeldRegistration:
    """Registration of a departed target in a list that may be from an older copy.

    Attributes:
        until: Monotonic time in milliseconds from which it is believed.
    """

    info: Registration
    until: Millis


@dataclass(slots=True)
class HistoryState:
    """What this entry knows of the versions and starts that are in the store.

    All times are monotonic, in milliseconds.

    Attributes:
        read: Whether they were read since the process started.
        found: Whether there were any.
        recorded: Recorded versions by service and version, and whether targets had them
            as they were recorded.
        confirmed: Versions whose records as in service the store has confirmed, to any
            entry, and when this entry learned it.
        awaited: Versions of registered targets whose records are not confirmed, and
            since when.
        awaited_written_at: When this entry last wrote them in place of another one.
        overdue: Those that begin streams all the same, as the store takes no writes.
        unknown_due: Services of which a record of `UNKNOWN_VERSION` is to be written.
        unknown_at: When the last one was confirmed, by service.
        has_news: Whether something is to be written without delay.
        writing: Whether a write is in progress.
        checked_at: When this entry last checked whether the store lacks any.
        reading: Whether a read of the versions is in progress.
        reads_begun: Number of reads of the versions that this process has begun.
        read_begun_at: When the last of them began.
        unread_at: When the store last gave no answer to one.
        listed: Versions that the last read has shown.
    """

    read: bool = False
    found: bool = False
    recorded: dict[tuple[str, str], bool] = field(default_factory=dict)
    confirmed: dict[ServiceVersion, Millis] = field(default_factory=dict)
    awaited: dict[ServiceVersion, Millis] = field(default_factory=dict)
    awaited_written_at: Millis = Millis(-1_000_000)
    overdue: set[ServiceVersion] = field(default_factory=set)
    unknown_due: set[str] = field(default_factory=set)
    unknown_at: dict[str, Millis] = field(default_factory=dict)
    has_news: bool = False
    writing: bool = False
    checked_at: Millis = Millis(-1_000_000)
    reading: bool = False
    reads_begun: int = 0
    read_begun_at: Millis = Millis(-1_000_000)
    unread_at: Millis = Millis(-1_000_000)
    listed: frozenset[ServiceVersion] = frozenset()


@dataclass(frozen=True, slots=True)
class WaitingReturn:
    """A returning caller's request that waits for a read of the versions.

    Attributes:
        at: Monotonic time in milliseconds at which it arrived.
        read: Number of the first read of the versions that begins after that.
    """

    event: RequestArrived
    at: Millis
    read: int


@dataclass(slots=True)
class State:
    """State of one gateway.

    All times are monotonic, in milliseconds.

    Attributes:
        node: Name of this entry instance.
        rng: The only source of randomness.
        table: Configuration in force, or None before the first.
        regions: Region of each failure domain.
        requests: Requests without a final answer, by number.
        attempts: Open attempts, by number.
        queue: Numbers of requests that wait for free capacity, in order of arrival.
        start_times: Times of recent starts of requests, by service.
        refused_at: When a request was last refused with a Retry-After from its queue
            position, by service.
        scheduled_returns: Times at which refused callers may retry by their
            Retry-After, by service.
        refused: Generations that this entry or a peer recently refused, by digest.
        peers: Other entries, by name; in a large fleet those of this failure domain.
        remote_peers: Entries of other failure domains that recently sent a message.
        remote_loads: Loads of other failure domains' entries, by failure domain.
        entries: Number of entries in the fleet, this one included.
        silent_peers: Peers whose messages stopped although they announced no shutdown,
            and when this entry removed each.
        past_uses: Use of the retry budget by processes of peers that ended or fell
            silent.
        crashes: Crashes of targets, and what was on these targets.
        probed: Names of the targets that are probed until it is known whether they
            ended.
        short_answers: Answers whose engines are checked before the parts of their
            prompts count as harmless.
        position: Position up to which the registrations were read.
        records_read_at: When registrations last reached this entry, from the store or
            from a peer.
        era_began_at: When this entry first read registrations of the store's era, if it
            had read those of an earlier one.
        held_registrations: Registrations of departed targets that an older copy of the
            store still holds, by target.
        held_evacuations: Until when a failure domain is kept evacuated that an older
            copy of the store lacks.
        behind_since: Since when a peer has known newer records than this entry, or when
            this entry last fetched them from a peer; None if no peer knows newer ones.
        read_failed: Whether the store does not answer this entry.
        store_unreachable: Whether no record of the store reaches this entry, from the
            store or from peers that read it.
        store_lost_at: When the store last became unreachable.
        store_regained_at: When the store last became reachable again.
        closes_at: When the process ends; None unless it shuts down.
        streams_checked_at: When streams were last checked for stalls.
        departures: Announcements of targets that they leave, by incarnation.
        brittle: How many rejections a second targets bear, by service.
        reaches: What this entry knows of its links to the targets, by service.
        relay_address: Where this entry accepts requests of other entries, as "ip:port";
            "" if nowhere.
        starts: Software versions that began recent streams, of all entries.
        past_versions: When the last target with a software version was removed, by
            service and version.
        announced_since: Since when the starts of a service's streams are announced to
            other entries, by service.
        was_told_versions: Whether an entry that knows them told this one which versions
            targets had before it started.
        history: What is known of the versions and starts in the store.
        returns: Requests that wait for a read of the versions, by number.
        tells_starts: Whether all starts are announced to other entries, as the store
            does not answer this entry or one that it hears.
        avoided_relays: Until when entries are avoided that could not be reached, by
            the address at which they accept requests of other entries.
        spent_relays: Until when entries are not asked that had no share left for a
            request of this one, by the same address.
        fleet_admission: Whether customers take turns by weight while requests wait;
            otherwise arrival at this entry decides.
        customer_shares: Work and waiting requests of customers, by service and
            priority.
        places_by_pace: Whether generations are placed by the time until they end.
        demand: Demand of this entry and the fleet; None if admission depends on this
            entry's own counts only.
        closes: How engines have ended their streams, by service.
        event_counts: How many tokens events hold, by service.
        list_counts: How engines list prompts, by service and software version.
    """

    node: str
    failure_domain: str
    rng: random.Random
    budget: RetryBudget
    table: RoutingTable | None = None
    targets: TargetTable = field(default_factory=TargetTable)
    evacuations: Evacuations = NO_EVACUATIONS
    regions: dict[str, str] = field(default_factory=dict)
    requests: dict[int, Request] = field(default_factory=dict)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    queue: list[int] = field(default_factory=list)
    start_times: dict[str, list[Millis]] = field(default_factory=dict)
    refused_at: dict[str, Millis] = field(default_factory=dict)
    scheduled_returns: dict[str, list[Millis]] = field(default_factory=dict)
    refused: RefusalTable = field(default_factory=RefusalTable)
    peers: dict[str, Peer] = field(default_factory=dict)
    remote_peers: dict[str, Peer] = field(default_factory=dict)
    remote_loads: dict[str, DomainLoads] = field(default_factory=dict)
    entries: int = 1
    silent_peers: dict[str, Millis] = field(default_factory=dict)
    past_uses: PastUseTable = field(default_factory=PastUseTable)
    crashes: CrashTable = field(default_factory=CrashTable)
    probed: set[str] = field(default_factory=set)
    short_answers: list[ShortAnswer] = field(default_factory=list)
    next_attempt: int = 1
    position: Position = NO_POSITION
    records_read_at: Millis = Millis(-1_000_000)
    era_began_at: Millis = Millis(-1_000_000)
    held_registrations: dict[str, HeldRegistration] = field(default_factory=dict)
    held_evacuations: dict[str, Millis] = field(default_factory=dict)
    behind_since: Millis | None = None
    read_failed: bool = False
    store_unreachable: bool = False
    store_lost_at: Millis = Millis(-1_000_000)
    store_regained_at: Millis = Millis(-1_000_000)
    closes_at: Millis | None = None
    streams_checked_at: Millis = Millis(0)
    departures: dict[Incarnation, Departure] = field(default_factory=dict)
    brittle: dict[str, Brittleness] = field(default_factory=dict)
    reaches: dict[str, Reach] = field(default_factory=dict)
    relay_address: str = ""
    avoided_relays: dict[str, Millis] = field(default_factory=dict)
    spent_relays: dict[str, Millis] = field(default_factory=dict)
    starts: StartTable = field(default_factory=StartTable)
    past_versions: dict[tuple[str, str], Millis] = field(default_factory=dict)
    announced_since: dict[str, Millis] = field(default_factory=dict)
    was_told_versions: bool = False
    history: HistoryState = field(default_factory=HistoryState)
    returns: dict[int, WaitingReturn] = field(default_factory=dict)
    tells_starts: bool = False
    fleet_admission: bool = False
    customer_shares: dict[tuple[str, int], FairShares] = field(default_factory=dict)
    places_by_pace: bool = False
    demand: DemandTable | None = None
    closes: dict[str, ServiceCloses] = field(default_factory=dict)
    event_counts: dict[str, EventCounts] = field(default_factory=dict)
    list_counts: dict[tuple[str, str], ListCounts] = field(default_factory=dict)

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for every entry to report to every other."""
        return self.entries > FULL_MESH_MAX_ENTRIES

    @property
    def cut_services(self) -> set[str]:
        """Services of which this entry reaches no target."""
        return {service for service, reach in self.reaches.items() if reach.cut_off}

    @property
    def is_cut_off(self) -> bool:
        """Whether this entry reaches no target of any service."""
        cut_services = self.cut_services
        return bool(cut_services) and self.targets.list_services() <= cut_services

    def find_reach(self, service: str) -> Reach:
        """Return what this entry knows of its links to the targets of a service."""
        return self.reaches.setdefault(service, Reach())

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Failure domains that get no new work."""
        return self.evacuations.domains | self.held_evacuations.keys()

    def list_leaving(self, now: Millis) -> list[Incarnation]:
        """Return the targets that recently announced to this entry that they leave."""
        return [
            incarnation
            for incarnation, departure in self.departures.items()
            if departure.own and now - departure.at < LEAVING_ANNOUNCE_DURATION
        ]

    def list_rates(self, now: Millis) -> list[RateReport]:
        """Return the rates that targets recently named in answers to this entry."""
        reports = []
        for target in self.targets.targets.values():
            limit = target.limit
            if limit is None or now - limit.received_at >= RATE_ANNOUNCE_DURATION:
                continue
            age = Millis(now - limit.received_at)
            incarnation = target.info.incarnation
            reports.append(RateReport(incarnation, limit.rate, age, limit.turn))
        return reports

    def list_brittle(self, now: Millis) -> list[BrittlenessReport]:
        """Return what answers to this entry recently named of brittle services."""
        return [
            BrittlenessReport(
                service, known.rejections, Millis(now - known.received_at)
            )
            for service, known in self.brittle.items()
            if now - known.received_at < RATE_ANNOUNCE_DURATION
        ]

    def list_rejected(self, now: Millis) -> list[RejectionReport]:
        """Return the brittle targets that recently rejected a request of this entry."""
        return [
            RejectionReport(target.name, Millis(now - target.rejected_at))
            for target in self.targets.targets.values()
            if now - target.rejected_at < REJECTION_ANNOUNCE_DURATION
        ]

    def list_demand(self, now: Millis) -> tuple[DemandReport, ...]:
        """Return this entry's demand; empty if admission doesn't depend on it."""
        if self.demand is None:
            return ()
        waiting: dict[DemandClass, tuple[int, int]] = {}
        for number in self.queue:
            request = self.requests[number]
            count, late = waiting.get(request.demand_class, (0, 0))
            waiting[request.demand_class] = count + 1, late + request.is_late(now)
        return self.demand.list_own(waiting, now)

    def estimate_demand(self, now: Millis) -> FleetDemand | None:
        """Return the fleet's demand; None if admission doesn't depend on it."""
        if self.demand is None:
            return None
        self.demand.record_entries(self.entries, now)
        return self.demand.sum_fleet(self.list_demand(now), now)

    def list_unreached(self, now: Millis) -> list[str]:
        """Return the names of targets that this entry recently could not connect to.

        Those of a service that it is cut off from are left out: that says nothing of
        the targets.
        """
        cut_services = self.cut_services
        return [
            target.name
            for target in self.targets.targets.values()
            if target.is_unreached(now) and target.info.service not in cut_services
        ]
