"""State of one entry; only the reducer changes it."""

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
from figstep.core.specs import RequestSpec


class Phase(Enum):
    """Where a request is in its life."""

    CLAIMING = "claiming"  # its claim is not settled
    QUEUED = "queued"
    RUNNING = "running"
    WAITING = "waiting"  # between two attempts
    JOINED = "joined"  # gets the answer of another request


@dataclass(slots=True)
class RequestState:
    """A request that has no final answer yet.

    Attributes:
        spec: What was asked for.
        arrived: When it came in.
        deadline: Latest time for the first byte.
        phase: Where it is.
        ran: What is known of whether it ran.
        generation: Generation that the caller is bound to, or "".
        target: Target of the last attempt, or "".
        attempt: Current attempt, or None.
        delivered: Index of the last event handed to the caller.
        last_frame: That event.
        attempts: Starts so far, without resumes.
        resumes: Resumes in a row that brought nothing.
        returned_index: Index after which the caller came back, or None.
        accepted: Whether a target took its current generation.
        non_idempotent: Whether it may run only once.
        claim: Record id of its own claim, or None.
        caller_gone: Whether it goes on for its outcome alone.
        failed_targets: Targets that lost it, and until when it avoids them.
        died_with: Its generation that was in flight as a target died, or "".
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
    last_frame: bytes = b""
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
        """Whether any of the answer has reached the caller."""
        if self.returned_index is not None:
            return True
        return self.spec.stream and self.delivered > 0


@dataclass(slots=True)
class AttemptState:
    """One connection to a target on behalf of a request.

    Attributes:
        attempt: Its number.
        request: Request that it runs for.
        target: Target name.
        generation: Generation that it carries.
        opened: When it was opened.
        last_progress: When something last came.
        resuming: Whether it reattaches to a running generation.
        probing: Whether it replaces a connection that had gone silent.
        answered: Whether the response headers came.
        tokens: Events that came on this connection.
        footprint: What it needs of its target; None for a plain service.
        review_at: Index of the event at which the footprint is looked at again.
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
    """What this entry knows of a target.

    Attributes:
        info: Its inventory entry.
        in_flight: Attempts of this entry running there.
        peers_in_flight: What other entries say they run there.
        leaving: Whether it said, or was said, to take no new work.
        listed_leaving: Whether the platform's list says so now, without telling
            of which incarnation.
        draining: Whether the document in force gives it no new work.
        incarnation: Highest incarnation seen.
        running: Reported generations decoding.
        waiting: Reported generations queued.
        memory_used: Reported cache memory in use, in tokens.
        memory_total: Cache memory, in tokens.
        models: What it reports as loaded: "model@version", "model+adapter".
        reported: When the last report came, or None.
        pace: This entry's ledger of it.
        gap: Smoothed gap between two reads of a stream, in milliseconds.
        gap_deviation: Smoothed deviation of that gap, in milliseconds.
        dead: Whether it was found dead and has not answered since.
        died_at: When it was last found dead.
        deaths: How often it was found dead.
        death_incarnation: Incarnation at its last death; -1 for none.
        lost: Digests of calls whose connection broke there, and when.
        probed_at: When it was last probed.
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
    deaths: int = 0
    death_incarnation: int = -1
    lost: dict[str, Millis] = field(default_factory=dict)
    probed_at: Millis = Millis(-1_000_000)

    @property
    def accepts_work(self) -> bool:
        """Whether nobody says that it should get no new work."""
        return not (self.leaving or self.listed_leaving or self.draining)


@dataclass(slots=True)
class PoolCache:
    """Targets by pool, rebuilt when the table of targets is replaced.

    Attributes:
        targets: The table that it was built from.
        members: Targets that this entry talks to, by pool.
        turn: Turn of a round robin.
    """

    targets: dict[str, TargetState] | None = None
    members: dict[str, list[TargetState]] = field(default_factory=dict)
    turn: int = 0


@dataclass(slots=True)
class ConfigurationFold:
    """Where the fold of the configuration stream stands.

    Attributes:
        position: Last offset that was folded; -1 before the first.
        current: The accepted edit, or None before the first.
        stalled: Why later records cannot be judged, or "".
        snapshot_position: Position of the newest snapshot seen; -1 for none.
        snapshot_made: When the log took it (monotonic), or None.
    """

    position: int = -1
    current: Checkpoint | None = None
    stalled: str = ""
    snapshot_position: int = -1
    snapshot_made: Millis | None = None


@dataclass(slots=True)
class State:
    """Everything one entry knows.

    Attributes:
        node: Name of this entry instance.
        failure_domain: Its failure domain.
        rng: Seeded generator; the only source of randomness.
        inventory: Accepted document in force, or None before the first.
        configuration_offset: Offset of the accepted document; -1 for none.
        configuration: Where the fold of the configuration stream stands.
        membership: What is known of the other entries.
        retention: How long the log keeps records, in milliseconds.
        targets: Known targets by name.
        requests: Requests without a final answer, by id.
        attempts: Open attempts by number.
        queue: Queued requests.
        policy: How requests are admitted and targets chosen.
        shares: Shares of the customers, by name.
        retry_budget: Retries that are left.
        pools: Targets by pool.
        lengths: Estimates of the lengths of answers.
        claims: Claims on non-idempotent requests.
        quarantine: Requests that are kept away from targets.
        leases: Leases, and which of them this node holds.
        placement: What a holder remembers of its orders.
        next_attempt: Number of the next attempt.
        shutting_down: Whether new requests are turned away.
    """

    node: str
    failure_domain: str = ""
    rng: random.Random = field(default_factory=random.Random)
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
