"""State of one entry; changed only by the reducer."""

import random
from dataclasses import dataclass, field
from enum import Enum

from figstep.core.budgets import RetryBudget
from figstep.core.claims import ClaimTable
from figstep.core.clock import Millis
from figstep.core.events import Checkpoint
from figstep.core.gossip import Membership
from figstep.core.inventory import Inventory, TargetInfo
from figstep.core.leases import LeaseTable
from figstep.core.lengths import LengthTable
from figstep.core.orders import PlacementState
from figstep.core.pacing import Footprint, Pace
from figstep.core.policies import Figstep, Policy
from figstep.core.problems import Ran
from figstep.core.quarantine import Quarantine
from figstep.core.queues import RequestQueue
from figstep.core.reach import Reach
from figstep.core.specs import RequestSpec


class Phase(Enum):
    """Stage of a request between its arrival and its final answer."""

    CLAIMING = "claiming"  # waits for its claim, or for the outcome of the owner
    QUEUED = "queued"
    RUNNING = "running"
    WAITING = "waiting"  # waits for the backoff before a resume
    JOINED = "joined"  # waits for this entry's earlier request of the same identity


@dataclass(slots=True)
class RequestState:
    """A request that has no final answer yet.

    Attributes:
        spec: The request as it arrived.
        arrived: Time of arrival (monotonic), in milliseconds.
        deadline: Latest time for the first byte (monotonic), in milliseconds.
        generation: Id of the generation that the request is bound to, or "".
        target: Name of the target of the last attempt, or "".
        attempt: Number of the current attempt, or None.
        delivered: Index of the last event delivered to the caller, or gathered for
            the caller, from 1; 0 for none.
        last_frame: The last event that this entry delivered, gathered or read again;
            None before the first.
        attempts: Number of starts, not counting resumes.
        resumes: Number of resumes in a row without a new event.
        returned_index: Index of the last event that a returned caller had received,
            or None for a request that is not a return.
        accepted: Whether a target accepted the current generation.
        non_idempotent: Whether the request may run only once.
        claim: Record id of the request's own claim, or None.
        caller_gone: Whether the caller disconnected and the request continues only
            to record its outcome.
        failed_targets: Targets that lost an attempt of the request, by name, with
            the time (monotonic), in milliseconds, until which the request avoids
            each.
        died_with: Id of the generation that was in flight when its target last
            died, or "".
    """

    spec: RequestSpec
    arrived: Millis
    deadline: Millis
    phase: Phase = Phase.QUEUED
    ran: Ran = Ran.NO
    generation: str = ""
    target: str = ""
    attempt: int | None = None
    delivered: int = 0
    last_frame: bytes | None = None
    attempts: int = 0
    resumes: int = 0
    returned_index: int | None = None
    accepted: bool = False
    non_idempotent: bool = False
    claim: str | None = None
    caller_gone: bool = False
    failed_targets: dict[str, Millis] = field(default_factory=dict)
    died_with: str = ""

    @property
    def reached_caller(self) -> bool:
        """Whether any part of the answer has reached the caller."""
        if self.returned_index is not None:
            return True
        return self.spec.stream and self.delivered > 0


@dataclass(slots=True)
class AttemptState:
    """One connection to a target on behalf of a request.

    Attributes:
        attempt: Number of the attempt, unique in this process.
        opened: Time at which the attempt was opened (monotonic), in milliseconds.
        last_progress: Time from which silence is measured (monotonic), in
            milliseconds: the opening, the last data, or the last check that found the
            target slow.
        footprint: Memory that the generation holds and is expected to need, in
            tokens; None for a plain service.
        review_at: Index of the event at which the footprint is next updated.
        resuming: Whether the attempt resumes a generation that an earlier attempt
            started.
        probing: Whether the attempt replaces a connection that went silent, and may
            still show that a new connection brings events.
        answered: Whether response headers with status 200 arrived.
        tokens: Number of reads of events on this connection.
    """

    attempt: int
    request: str
    target: str
    generation: str
    opened: Millis
    last_progress: Millis
    footprint: Footprint | None = None
    review_at: int = 1 << 62
    resuming: bool = False
    probing: bool = False
    answered: bool = False
    tokens: int = 0


@dataclass(slots=True)
class TargetState:
    """A target as this entry knows it.

    Attributes:
        in_flight: Number of this entry's attempts on the target.
        peers_in_flight: Number of attempts of other entries on the target, computed
            from the counts that they report.
        leaving: Whether the target, a peer or the platform's instance list reported
            that the known incarnation takes no new work.
        listed_leaving: Whether the platform's instance list marks the target as
            leaving now; the list does not name the incarnation.
        draining: Whether the document in force drains the target, evacuates its
            failure domain or no longer lists the target.
        incarnation: Highest incarnation that was reported; 0 for none.
        running: Reported number of generations that are decoding.
        waiting: Reported number of generations in the engine's queue.
        memory_used: Reported cache memory in use, in tokens.
        memory_total: Reported cache memory, in tokens; 0 before the first report.
        models: Models that the target reports as loaded, each as "model@version" or
            "model+adapter".
        reported: Time of the state that the last report shows (monotonic), in
            milliseconds, or None before the first report.
        gap: Smoothed time between two reads of a stream, in milliseconds.
        gap_deviation: Smoothed mean deviation of ``gap``, in milliseconds.
        dead: Whether the target was found dead and has not answered since.
        died_at: Time at which the target was last found dead (monotonic), in
            milliseconds; a time in the past before the first death.
        broken_at: Time at which a service call to the target last broke (monotonic), in
            milliseconds; a time in the past before the first one.
        deaths: Number of times that the target was found dead.
        death_incarnation: Incarnation at the last death; -1 for none.
        lost: Digests of service calls whose connection to the target broke, and of
            generations that it failed to resume, with the time (monotonic) of each
            loss, in milliseconds.
        probed_at: Time of the last probe (monotonic), in milliseconds; a time in the
            past before the first probe.
    """

    info: TargetInfo
    in_flight: int = 0
    peers_in_flight: int = 0
    leaving: bool = False
    listed_leaving: bool = False
    draining: bool = False
    incarnation: int = 0
    running: int = 0
    waiting: int = 0
    memory_used: int = 0
    memory_total: int = 0
    models: tuple[str, ...] = ()
    reported: Millis | None = None
    pace: Pace = field(default_factory=Pace)
    gap: float = 0.0
    gap_deviation: float = 0.0
    dead: bool = False
    died_at: Millis = Millis(-1_000_000)
    broken_at: Millis = Millis(-1_000_000)
    deaths: int = 0
    death_incarnation: int = -1
    lost: dict[str, Millis] = field(default_factory=dict)
    probed_at: Millis = Millis(-1_000_000)

    @property
    def accepts_work(self) -> bool:
        """Whether the target may get new work: it neither leaves nor is drained."""
        return not (self.leaving or self.listed_leaving or self.draining)


@dataclass(slots=True)
class PoolCache:
    """Cache of the targets of each pool, rebuilt when the target table is replaced.

    Attributes:
        targets: The table of targets that the cache was built from.
        members: Targets that this entry uses, by name of the pool.
        turn: Counter of the round-robin policy.
    """

    targets: dict[str, TargetState] | None = None
    members: dict[str, list[TargetState]] = field(default_factory=dict)
    turn: int = 0


@dataclass(slots=True)
class ConfigurationFold:
    """Progress of the fold of the configuration stream.

    Attributes:
        position: Offset of the last folded record; -1 before the first.
        current: Checkpoint of the edit in force, as of the record or checkpoint
            that put the edit in force; None before the first.
        stalled: Reason why a record or checkpoint could not be folded, or "". Only
            a checkpoint that is applied clears it.
        snapshot_position: Position that the newest known snapshot covers; -1 for
            none.
        snapshot_made: Time at which the log stored that snapshot (monotonic), in
            milliseconds, or None.
        era: Era of the log that is folded.
        kept: Checkpoint that is in force, of an era before, while the log has not been
            seen to hold its edit or a later one; None otherwise.
    """

    position: int = -1
    current: Checkpoint | None = None
    stalled: str = ""
    snapshot_position: int = -1
    snapshot_made: Millis | None = None
    era: int = 0
    kept: Checkpoint | None = None


@dataclass(slots=True)
class State:
    """Whole state of one entry.

    Attributes:
        node: Name of this entry instance.
        rng: Seeded random generator; the only source of randomness.
        reaches: What this entry knows of its links to the targets of each service, and
            to all engines under ``links.ENGINES``.
        inventory: Document in force, or None before the first.
        configuration_offset: Offset of the document in force; -1 for none.
        retention: Time for which the log keeps records, in milliseconds; a day by
            default.
        targets: Known targets, by name.
        requests: Requests without a final answer, by request id.
        attempts: Open attempts, by number.
        policy: Policy for admission and for the choice of targets.
        shares: Shares of the customers, by name of the customer.
        placement: Orders that this node sent as the holder of a lease.
        shutting_down: Whether new requests are refused because the process is to
            end.
    """

    node: str
    failure_domain: str = ""
    rng: random.Random = field(default_factory=random.Random)
    reaches: dict[str, Reach] = field(default_factory=dict)
    inventory: Inventory | None = None
    configuration_offset: int = -1
    configuration: ConfigurationFold = field(default_factory=ConfigurationFold)
    membership: Membership = field(default_factory=Membership)
    retention: Millis = Millis(86_400_000)
    targets: dict[str, TargetState] = field(default_factory=dict)
    requests: dict[str, RequestState] = field(default_factory=dict)
    attempts: dict[int, AttemptState] = field(default_factory=dict)
    queue: RequestQueue = field(default_factory=RequestQueue)
    policy: Policy = field(default_factory=Figstep)
    shares: dict[str, float] = field(default_factory=dict)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    pools: PoolCache = field(default_factory=PoolCache)
    lengths: LengthTable = field(default_factory=LengthTable)
    claims: ClaimTable = field(default_factory=ClaimTable)
    quarantine: Quarantine = field(default_factory=Quarantine)
    leases: LeaseTable = field(default_factory=LeaseTable)
    placement: PlacementState = field(default_factory=PlacementState)
    next_attempt: int = 1
    shutting_down: bool = False
