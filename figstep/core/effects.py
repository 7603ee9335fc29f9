"""Effects: the outputs of the reducer, carried out by the edges."""

from dataclasses import dataclass
from typing import Any

from figstep.core.clock import Millis
from figstep.core.events import Timer
from figstep.core.gossip import Gossip
from figstep.core.orders import Order
from figstep.core.problems import Problem


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """Send a request's body to a target.

    Attributes:
        attempt: Number of the attempt, unique in this process.
        generation: Generation id that the target is to use.
        priority: Priority by which the engine orders its queue and its preemptions;
            higher ones are preferred. It is not sent to a plain service.
        once: Whether the request may run only once. A plain service call is then
            sent over a new connection, and a 429 counts as a refusal like a 503.
    """

    request: str
    attempt: int
    target: str
    generation: str
    priority: int = 0
    once: bool = False


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Resume a generation over a new connection.

    Attributes:
        after: Index of the last event that was delivered; later ones are wanted.
    """

    request: str
    attempt: int
    target: str
    generation: str
    after: int


@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Close an attempt's connection; the generation may continue at the target."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ReplacePool:
    """Use new connections for all later requests to a target.

    Requests in progress keep the old ones, which close when the last of these
    requests ends.
    """

    target: str


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Check whether a process listens at a target's address.

    ``TargetDown`` follows if the connection is refused; nothing follows otherwise.
    """

    target: str


@dataclass(frozen=True, slots=True)
class CancelGeneration:
    """Request that a target stop a generation that is no longer needed."""

    target: str
    generation: str


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver the next events of a request, in order.

    A stream is sent to the caller as it arrives; the events of any other answer are
    gathered until it is whole.
    """

    request: str
    frames: list[bytes]


@dataclass(frozen=True, slots=True)
class DiscardDelivered:
    """Discard the events that are gathered for a request and not sent to its caller."""

    request: str


@dataclass(frozen=True, slots=True)
class Complete:
    """End the caller's response, as the answer is whole."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Answer a duplicate request with the recorded answer of the first one."""

    request: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request, on arrival or later, with a problem as its final answer."""

    request: str
    problem: Problem


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records to a stream of the log.

    Answered by ``AppendConfirmed`` or ``AppendUncertain`` with the same key.

    Attributes:
        key: Key that the answer carries; appends whose answer is not used share one.
    """

    stream: str
    key: int
    records: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send one datagram to a peer at "host:port"."""

    address: str
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class FetchCheckpoint:
    """Fetch the checkpoint of the peer at "host:port", unless a fetch is running.

    ``CheckpointOffered`` follows if the fetch succeeds; nothing follows otherwise.
    """

    address: str


@dataclass(frozen=True, slots=True)
class ReadConfigurationFrom:
    """Continue to read the configuration stream at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to an engine; ``OrderAnswered`` follows.

    Attributes:
        number: Number of the order, unique in this process.
        fencing: Fencing number of the lease that covers the order.
        until: Time from which the order is no longer sent (monotonic), in
            milliseconds. It precedes the end of the lease by ``leases.MARGIN``.
    """

    number: int
    target: str
    order: Order
    fencing: int
    until: Millis


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Set a timer; an equal one that is set already is replaced.

    Attributes:
        at: Time at which it fires (monotonic), in milliseconds.
    """

    timer: Timer
    at: Millis


@dataclass(frozen=True, slots=True)
class Count:
    """Add ``value`` to the statsd counter ``name``."""

    name: str
    value: int = 1


@dataclass(frozen=True, slots=True)
class Note:
    """Write one line of level INFO to the structured log.

    Attributes:
        fields: Fields such as the request, generation, attempt, target and customer.
    """

    message: str
    fields: dict[str, str | int]


Effect = (
    OpenAttempt
    | ResumeAttempt
    | CloseAttempt
    | ReplacePool
    | ProbeTarget
    | CancelGeneration
    | Deliver
    | DiscardDelivered
    | Complete
    | ReplayAnswer
    | Refuse
    | AppendRecords
    | ReadConfigurationFrom
    | SendGossip
    | FetchCheckpoint
    | SendOrder
    | WakeAt
    | Count
    | Note
)
