"""State of one gateway; only its reducer changes it."""

import random
from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.crashes import CrashTable
from figstep.gateway.budgets import RetryBudget, UseReport
from figstep.gateway.effects import RunCopy
from figstep.gateway.events import PeerLoad, RateReport, RoutedRequest
from figstep.gateway.places import NO_EVACUATIONS, Evacuations
from figstep.gateway.refusals import RefusalTable
from figstep.gateway.routes import Route, RoutingTable
from figstep.gateway.targets import Incarnation, Target, TargetTable

LEAVING_ANNOUNCE_DURATION = Millis(10_000)
"""How long others are told that a target has said that it leaves."""

LEAVING_RETENTION = Millis(600_000)
"""How long that is remembered: the target's registration from before may be read
until long after an outage of the store."""


FULL_MESH_MAX_ENTRIES = 16
"""Entries up to which all tell all: messages grow with the square of the fleet.
Above it, entries tell those of their own failure domain, and sums go to the
others."""


RATE_ANNOUNCE_DURATION = Millis(3_000)
"""How long others are told what an answer named: several times, as a datagram may
be lost. Each further answer of the target begins it anew."""


@dataclass(frozen=True, slots=True)
class Departure:
    """A target's word that it leaves.

    Attributes:
        at: When this entry learned of it.
        own: Whether the target told this entry itself.
    """

    at: Millis
    own: bool


@dataclass(slots=True)
class Attempt:
    """One connection to a target for a request.

    Attributes:
        number: Its number.
        request: Number of its request.
        target: Target that it was sent to.
        opened: When it was sent.
        memory: Tokens that it is expected to take there.
        reading: Prompt tokens that its target has still to read for it.
        reading_ahead: Those of others that were there before it.
        holder: Target that its run is copied to as it grows, or None.
        backup_unusable: Whether that copy was used up or refused.
        source: Copy that it goes on from, or None for a run from the start.
        answered: Whether its headers came.
        first_delivery_at: When its first event went to the caller, or None.
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
    answered: bool = False
    first_delivery_at: Millis | None = None


@dataclass(slots=True)
class Request:
    """A request without its final answer.

    Attributes:
        spec: What was asked for.
        route: Its route, as it was when it came.
        service: Service that it goes to.
        customer: Name of its customer, or "".
        priority: Its rank; 0 is the most urgent.
        arrived: When it came.
        first_arrived: When its caller first came with it, to any entry.
        deadline: When its caller, or the operator, wants no more of it.
        current: Attempt whose events go to the caller, or None.
        standby: Attempt that is to take over from it, or None.
        copy: Copy of its run elsewhere, or None.
        copy_ordered_at: When a copy was last ordered.
        copied_at: When that copy was made or last brought up to date on order.
        copying: Whether a copy is being made on order.
        copy_destination: Target that a copy on order was made at, or is, or None.
        copy_memory: Tokens that it takes there.
        copy_source: Target that it is being copied from, or None.
        copying_tokens: Tokens that are being copied.
        copied_tokens: Tokens that its copy on order had when it was made.
        stream_begun: Whether the caller's stream has begun.
        delivered: Id of the last event handed to the caller.
        delivered_at: When that was.
        pieces: Events handed to the caller.
        time_to_first_event: Time from its arrival to its first event.
        longest_pause: Longest time between two deliveries.
        smoothed_pause: Smoothed time between two deliveries.
        attempts_sent: Attempts so far.
        unreached: Those that found no connection.
        lost_runs: Lost attempts that may have run.
        may_have_run: Whether a target may have begun to run it.
        tried_targets: Targets that lost or refused it.
        lost_domains: Failure domains of targets that were lost while they had it.
        copy_refused_at: Targets that could not take a copy of its run, and when.
        queued: Whether it waits for room.
        retry_denied: Whether the retry budget has denied it a repeat.
        allowed_regions: Regions whose targets it may be sent to; None for any.
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
    copy_destination: Target | None = None
    copy_memory: int = 0
    copy_source: Target | None = None
    copying_tokens: int = 0
    copied_tokens: int = 0
    stream_begun: bool = False
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
    lost_domains: set[str] = field(default_factory=set)
    copy_refused_at: dict[str, Millis] = field(default_factory=dict)
    queued: bool = False
    retry_denied: bool = False
    allowed_regions: frozenset[str] | None = None


@dataclass(slots=True)
class Peer:
    """Another entry, as its messages tell.

    Attributes:
        last_received_at: When its last message came.
        loads: What it has open, by target.
        full_loads: The same as it was last told whole.
        changed_targets: Targets of which other loads were told since.
        uses: What it sent to each service of late.
        address: Where it listens for peers.
        configuration: Version that it has in force; -1 for none.
        position: How far it has read the registrations; -1 for nothing.
        healthy_since: Since when it has said without a break that it reads the
            store and is answered; None if it last said otherwise.
        receives_records: Whether records of the store reach it, from whomever.
        answered: Whether the store answers it, as far as it reads the store.
        far: Whether it belongs to another failure domain.
        reading: Whether it reads the store's records as they come.
        leaving: Targets that told it, or its failure domain, that they leave.
    """

    last_received_at: Millis
    loads: dict[str, PeerLoad] = field(default_factory=dict)
    full_loads: dict[str, PeerLoad] = field(default_factory=dict)
    changed_targets: frozenset[str] = frozenset()
    uses: tuple[UseReport, ...] = ()
    address: str = ""
    configuration: int = -1
    position: int = -1
    receives_records: bool = True
    answered: bool = True
    healthy_since: Millis | None = None
    far: bool = False
    reading: bool = False
    leaving: tuple[Incarnation, ...] = ()
    rates: tuple[RateReport, ...] = ()


@dataclass(slots=True)
class DomainLoads:
    """What the entries of another failure domain have open at all targets.

    Attributes:
        last_received_at: When one of them told it.
        loads: Their sums, by target.
    """

    last_received_at: Millis
    loads: dict[str, PeerLoad] = field(default_factory=dict)


@dataclass(slots=True)
class State:
    """Everything one gateway knows.

    Attributes:
        node: Name of this entry instance.
        failure_domain: Its failure domain.
        rng: The only source of randomness.
        table: Configuration in force, or None before the first.
        targets: Targets that registered themselves.
        evacuations: Failure domains that are to get no more work.
        regions: Region of each failure domain.
        requests: Requests without a final answer, by number.
        attempts: Open attempts by number.
        queue: Numbers of requests that wait for room, in order of arrival.
        start_times: When requests that had waited for room were started, by service.
        refused_at: When a caller was last refused for want of room, by service.
        scheduled_returns: When refused callers were told to come back, by service.
        refused: Requests that were refused for want of room, by digest.
        peers: Other entries by name.
        remote_peers: Entries of other failure domains that were heard of late.
        remote_loads: Loads of other failure domains' entries, by domain.
        entries: Entries of the fleet, this one included.
        silent_peers: Peers that fell silent without saying that they end, and when.
        budget: Repeats that this entry may still make.
        crashes: Crashes of targets, and the requests that were there.
        next_attempt: Number of the next attempt.
        position: How far the registrations were read; -1 for nothing.
        behind_since: Since when a peer has known newer records, or None.
        read_failed: Whether the store does not answer this entry.
        store_unreachable: Whether no record of the store reaches this entry, from the
            store or from others that read it.
        store_lost_at: When that began.
        store_regained_at: When it ended.
        departures: Targets that have said that they leave.
        closes_at: When the process ends, or None.
        streams_checked_at: When its streams were last looked at.
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
    crashes: CrashTable = field(default_factory=CrashTable)
    next_attempt: int = 1
    position: int = -1
    behind_since: Millis | None = None
    read_failed: bool = False
    store_unreachable: bool = False
    store_lost_at: Millis = Millis(-1_000_000)
    store_regained_at: Millis = Millis(-1_000_000)
    closes_at: Millis | None = None
    streams_checked_at: Millis = Millis(0)
    departures: dict[Incarnation, Departure] = field(default_factory=dict)

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for all to hear all."""
        return self.entries > FULL_MESH_MAX_ENTRIES

    def list_leaving(self, now: Millis) -> list[Incarnation]:
        """Return the targets that told this entry of late that they leave."""
        return [
            incarnation
            for incarnation, departure in self.departures.items()
            if departure.own and now - departure.at < LEAVING_ANNOUNCE_DURATION
        ]

    def list_rates(self, now: Millis) -> list[RateReport]:
        """Return what targets have named in answers to this entry of late."""
        reports = []
        for target in self.targets.targets.values():
            limit = target.limit
            if limit is None or now - limit.received_at >= RATE_ANNOUNCE_DURATION:
                continue
            age = Millis(now - limit.received_at)
            incarnation = target.info.incarnation
            reports.append(RateReport(incarnation, limit.rate, age, limit.turn))
        return reports

    def list_unreached(self, now: Millis) -> list[str]:
        """Return the targets that this entry could not connect to of late."""
        return [
            target.name
            for target in self.targets.targets.values()
            if target.is_unreached(now)
        ]
