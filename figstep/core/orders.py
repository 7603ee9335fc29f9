"""Orders to engines: statements of a wanted state."""

from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis

ORDER_TIMEOUT = Millis(5_000)


@dataclass(frozen=True, slots=True)
class LoadModel:
    """The engine should have this version of a model; none comes twice."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class UnloadModel:
    """The engine should not have this version of a model."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """The engine should have this adapter of a model."""

    model: str
    adapter: str


Order = LoadModel | UnloadModel | LoadAdapter


class OrderOutcome(Enum):
    """What came of an order."""

    APPLIED = "applied"
    STALE = "stale"  # the engine has seen a higher fencing number
    UNCERTAIN = "uncertain"  # no answer: it may have taken effect


@dataclass(frozen=True, slots=True)
class PlacedOrder:
    """An order and the engine that it is for."""

    target: str
    order: Order


@dataclass(slots=True)
class PlacementState:
    """What a holder remembers between two rounds.

    Attributes:
        sent: When each order was last sent (monotonic).
        last_load: When an order last made an engine read weights (monotonic).
        open_orders: Lease of each order whose answer is awaited, by number.
        next_order: Number of the next order.
        try_at: When to try for each lease that looks free (monotonic).
    """

    sent: dict[PlacedOrder, Millis] = field(default_factory=dict)
    last_load: Millis | None = None
    open_orders: dict[int, str] = field(default_factory=dict)
    next_order: int = 1
    try_at: dict[str, Millis] = field(default_factory=dict)
