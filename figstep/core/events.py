"""Events: everything the reducer reacts to."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from figstep.core.clock import Millis
from figstep.core.gossip import Gossip
from figstep.core.inventory import Inventory
from figstep.core.orders import OrderOutcome
from figstep.core.problems import Problem
from figstep.core.records import LogRecord
from figstep.core.specs import RequestSpec


class Loss(Enum):
    """How an attempt was lost, as far as its edge can tell."""

    CONNECT_FAILED = "connect_failed"  # no byte was handed to a connection
    REFUSED = "refused"  # the target refused before running
    NOT_FOUND = "not_found"  # a resume named a generation the target lacks
    BROKEN = "broken"  # the connection broke after bytes went out
    TRUNCATED = "truncated"  # closed cleanly without the end marker
    WRONG_GENERATION = "crossed"  # the answer belongs to another generation
    FAILED = "failed"  # the target answered with a server error
    SILENT = "silent"  # nothing came for longer than the idle limit
    EMPTY = "empty"  # an end marker without any answer before it
    SHUTDOWN = "shutdown"  # this process ended it


# Callers


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A validated request came in."""

    spec: RequestSpec


@dataclass(frozen=True, slots=True)
class CallerReturned:
    """A caller whose connection broke wants the rest of a generation.

    Attributes:
        spec: The returning request, under a new request id.
        generation: Generation of the last event that it saw.
        index: Index of the last event that it saw.
    """

    spec: RequestSpec
    generation: str
    index: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer ended.

    Attributes:
        request: The request.
        cancel: Whether nobody wants its generation any more.
    """

    request: str
    cancel: bool = True


# Targets


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The target accepted an attempt: its response headers came."""

    attempt: int


@dataclass(frozen=True, slots=True)
class TokensArrived:
    """Consecutive token events of one generation, read in one go.

    Attributes:
        attempt: Attempt whose connection carried them.
        generation: Generation that the events name.
        first: Index of the first event, from 1.
        frames: The events as they go to the caller, one per index.
    """

    attempt: int
    generation: str
    first: int
    frames: list[bytes]


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The target sent the end marker: the answer is whole."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """An attempt ended without a whole answer.

    Attributes:
        attempt: The attempt.
        loss: How it was lost.
        retry_after: What the target asked for, in milliseconds, or None.
        detail: For the log.
    """

    attempt: int
    loss: Loss
    retry_after: Millis | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TargetDown:
    """A probe found that nobody listens at a target's address."""

    target: str


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The target answered that the request itself is wrong (4xx)."""

    attempt: int
    problem: Problem


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """A plain service answered; the edge holds the body until delivery.

    Attributes:
        attempt: The attempt.
        status: HTTP status of the answer.
        content_type: Its content type.
        body: Its body where it is small enough to be recorded, else None.
    """

    attempt: int
    status: int
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target reported its load; reports lag.

    Attributes:
        target: Target name.
        incarnation: Grows each time the target starts anew.
        leaving: Whether it takes no new work.
        running: Generations decoding.
        waiting: Generations queued at the engine.
        memory_used: Cache memory in use, in tokens.
        memory_total: Cache memory, in tokens.
        models: Models loaded, as "name@version".
        age: Age of the report, in milliseconds.
    """

    target: str
    incarnation: int = 0
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    memory_used: int = 0
    memory_total: int = 0
    models: tuple[str, ...] = ()
    age: Millis = Millis(0)


# Platform


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """An edit in the configuration stream.

    Attributes:
        offset: Offset of the record.
        edit: Unique id of the edit.
        base: Accepted offset that the author started from; -1 for none.
        author: Who published.
        reason: Why.
        validation: Version of the validation rules it was made for.
        document: The document as published.
        inventory: The validated document, or None if it is not valid or its
            validation version is not known here.
        known: Whether this program knows the validation version.
        problems: Why it is not valid.
    """

    offset: int
    base: int
    author: str
    reason: str
    inventory: Inventory | None
    problems: tuple[str, ...] = ()
    edit: str = ""
    validation: int = 1
    document: dict[str, Any] = field(default_factory=dict)
    known: bool = True


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Result of the fold over every record up to a position.

    Attributes:
        accepted: Offset of the edit in force.
        position: Last offset that was folded.
        edit: Id of the edit in force.
        author: Who published it.
        reason: Why.
        validation: Version of the validation rules it was made for.
        document: The document as published.
        inventory: The validated document, or None if this program cannot read it.
    """

    accepted: int
    position: int
    edit: str
    author: str
    reason: str
    validation: int
    document: dict[str, Any]
    inventory: Inventory | None


@dataclass(frozen=True, slots=True)
class SnapshotRead:
    """A checkpoint in the configuration stream.

    Attributes:
        offset: Offset of the record.
        checkpoint: What it holds.
        age: Time since the log took it, in milliseconds.
    """

    offset: int
    checkpoint: Checkpoint
    age: Millis = Millis(0)


@dataclass(frozen=True, slots=True)
class CheckpointOffered:
    """A peer sent its checkpoint."""

    checkpoint: Checkpoint


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """An entry of the platform's instance list.

    Attributes:
        name: Its name.
        kind: "entry" for the system's own, "target" for the rest.
        address: Base URL.
        failure_domain: Its failure domain.
        leaving: Whether the platform takes it away.
        incarnation: Grows each time it starts anew.
        peers: Where an entry listens for peers, as "host:port", or "".
    """

    name: str
    kind: str
    address: str
    failure_domain: str
    leaving: bool = False
    incarnation: int = 0
    peers: str = ""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's instance list was read; it lags."""

    instances: tuple[InstanceInfo, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class PeerListenerOpened:
    """This entry listens for peers.

    Attributes:
        address: Where, as "host:port".
        incarnation: Greater than that of any earlier process of this name.
        start: Addresses of other entries to try first.
    """

    address: str
    incarnation: int
    start: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """An authenticated message of a peer came."""

    gossip: Gossip


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """New records of a stream other than the configuration's, in order."""

    stream: str
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class AppendConfirmed:
    """The log took an append.

    Attributes:
        key: Key of the ``AppendRecords`` effect.
        offset: Offset of its first record.
    """

    key: int
    offset: int


@dataclass(frozen=True, slots=True)
class AppendUncertain:
    """No answer to an append: it may or may not have taken effect."""

    key: int


@dataclass(frozen=True, slots=True)
class StreamCaughtUp:
    """A follower has read its stream to the end as of now."""

    stream: str


@dataclass(frozen=True, slots=True)
class StreamUnavailable:
    """A follower cannot read its stream: the log is down or slow."""

    stream: str


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order to an engine was answered, or given up on.

    Attributes:
        order: Number of the ``SendOrder`` effect.
        outcome: What came of it.
    """

    order: int
    outcome: OrderOutcome


# Timers and life cycle


@dataclass(frozen=True, slots=True)
class RequestTimer:
    """Marks the deadline of a request's first byte."""

    request: str


@dataclass(frozen=True, slots=True)
class RetryTimer:
    """Ends the pause before a request's next attempt."""

    request: str


@dataclass(frozen=True, slots=True)
class ClaimTimer:
    """Ends the wait for a claim to be settled, or for another's outcome."""

    request: str


@dataclass(frozen=True, slots=True)
class OutcomeTimer:
    """Appends outcomes again that the log may not have taken."""


@dataclass(frozen=True, slots=True)
class AttemptTimer:
    """Checks that an attempt still makes progress."""

    attempt: int


@dataclass(frozen=True, slots=True)
class QueueTimer:
    """Tries to start queued requests."""


@dataclass(frozen=True, slots=True)
class GossipTimer:
    """Starts the next period of gossip."""


@dataclass(frozen=True, slots=True)
class FetchTimer:
    """Fetches a peer's document unless the log was quicker."""


@dataclass(frozen=True, slots=True)
class SnapshotTimer:
    """Checks whether the configuration needs a fresh snapshot."""


@dataclass(frozen=True, slots=True)
class PlacementTimer:
    """Starts the next round of leases and orders."""


Timer = (
    RequestTimer
    | RetryTimer
    | ClaimTimer
    | OutcomeTimer
    | AttemptTimer
    | QueueTimer
    | SnapshotTimer
    | PlacementTimer
    | GossipTimer
    | FetchTimer
)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by a ``WakeAt`` effect came due."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class Started:
    """The process started: the periodic timers begin."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process was asked to end; running requests go on."""


@dataclass(frozen=True, slots=True)
class ShutdownForced:
    """The process ends now: every caller gets its final answer."""


Event = (
    RequestArrived
    | CallerReturned
    | CallerGone
    | AttemptAnswered
    | TokensArrived
    | AttemptEnded
    | AttemptLost
    | TargetDown
    | AttemptRejected
    | ServiceAnswered
    | LoadReported
    | ConfigurationRead
    | SnapshotRead
    | CheckpointOffered
    | InstancesListed
    | PeerListenerOpened
    | GossipReceived
    | RecordsRead
    | AppendConfirmed
    | AppendUncertain
    | StreamCaughtUp
    | StreamUnavailable
    | OrderAnswered
    | TimerFired
    | Started
    | ShutdownRequested
    | ShutdownForced
)
