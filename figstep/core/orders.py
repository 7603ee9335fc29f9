"""Orders to engines, each of which names a state that the engine is to reach."""

from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis

ORDER_TIMEOUT = Millis(5_000)
"""Timeout of an order, and minimum time before it is sent again, in milliseconds."""


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Order to load a version of a model; a repeated order has no effect."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class UnloadModel:
    """Order to unload a version of a model."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order to load an adapter of a model."""

    model: str
    adapter: str


Order = LoadModel | UnloadModel | LoadAdapter


class OrderOutcome(Enum):
    """Result of an order."""

    APPLIED = "applied"
    STALE = "stale"  # the engine has received a higher fencing number
    UNCERTAIN = "uncertain"  # not sent, failed or unanswered: it may have taken effect


@dataclass(frozen=True, slots=True)
class PlacedOrder:
    """Order together with the name of the engine that it is sent to."""

    target: str
    order: Order


@dataclass(slots=True)
class PlacementState:
    """State that placement keeps between two rounds.

    All times are monotonic milliseconds.

    Attributes:
        sent: Time at which each order was last sent.
        last_load: Time at which an order to load a model was last sent; None if none
            was.
        open_orders: Names of the leases of orders whose answers are awaited, by
            number of the order.
        try_at: Earliest time of the next attempt to acquire a lease that is known as
            free, by name of the lease.
    """

    sent: dict[PlacedOrder, Millis] = field(default_factory=dict)
    last_load: Millis | None = None
    open_orders: dict[int, str] = field(default_factory=dict)
    next_order: int = 1
    try_at: dict[str, Millis] = field(default_factory=dict)
