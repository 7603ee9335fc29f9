"""Routes, services, customers and caller limits of one configuration version."""

import random
from dataclasses import dataclass, field
from enum import Enum

from figstep.core.clock import Millis


class RouteKind(Enum):
    """Whether a route's answers are streams, and how often its requests may run."""

    SAFE = "safe"  # may run more than once
    UNSAFE = "unsafe"  # not sent again once a target may have run it
    STREAM = "stream"  # a series of events; may run anew only if resumable


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and bounds of requests for one host and path prefix.

    Attributes:
        host: Host that it belongs to, in lower case.
        prefix: Start of the paths that it matches; begins and ends with a slash.
        shares: Names of services and their weights.
        attempts: Maximum number of attempts of an idempotent request that may have run;
            attempts that are known not to have run don't count.
        timeout: Time limit in milliseconds from a request's arrival to the end of its
            answer; a caller may set a shorter one.
        objective: Intended time in milliseconds to the answer, or to the first event
            of a stream.
        longest_pause: Longest pause in milliseconds between deliveries with which a
            stream is still on time.
        priority: Urgency of its requests; 0 is the most urgent.
        public: Whether callers without a key may use it.
        resumable: Whether a stream may continue as a new run, without a copy, on
            another engine.
        allowed_regions: Regions that its requests may be sent to; None for any.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[tuple[str, float], ...]
    attempts: int = 1
    timeout: Millis = Millis(30_000)
    objective: Millis = Millis(1_000)
    longest_pause: Millis = Millis(180)
    priority: int = 0
    public: bool = False
    resumable: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def choose_service(self, rng: random.Random) -> str:
        """Return the name of one of its services, drawn by weight."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        names = [name for name, _ in self.shares]
        weights = [weight for _, weight in self.shares]
        return rng.choices(names, weights)[0]


@dataclass(frozen=True, slots=True)
class EnginePool:
    """Common properties of all engines of a service.

    Attributes:
        slots: Maximum number of requests that one engine batches.
        memory: Cache memory of one engine, in tokens.
        backups: Whether an engine can keep running backups: copies of other engines'
            runs that grow with them.
        moves: Whether an engine copies a run to another engine on order; the run
            itself continues where it is.
        event_tokens: Maximum number of tokens in one event of a stream.
        copy_retention: Minimum time in milliseconds that a copy made on order is kept.
        run_retention: Longest time in milliseconds for which an engine keeps, on
            request, what a complete run has read and generated; 0 if it does not.
    """

    slots: int
    memory: int
    backups: bool = False
    moves: bool = False
    event_tokens: int = 1
    copy_retention: Millis = Millis(5_000)
    run_retention: Millis = Millis(0)


@dataclass(frozen=True, slots=True)
class Service:
    """Targets that answer the same requests.

    Attributes:
        connections: Configured number of connections that one target accepts; the
            gateway does not enforce it.
        engine: Common properties of its engines; None for a plain service.
        warmup: Milliseconds that a target is cold after its start.
        warmup_rate: Requests a second that a cold target can handle; 0 for no limit.
    """

    name: str
    connections: int = 100
    engine: EnginePool | None = None
    warmup: Millis = Millis(0)
    warmup_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' connections and requests, as configured.

    The gateway enforces only `body_bytes`; the listeners have limits of their own.

    Attributes:
        header_bytes: Maximum size of all headers, in bytes.
        header_timeout: Milliseconds that a request's headers may take.
        idle_timeout: Milliseconds that a connection may stay without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: Millis = Millis(3_000)
    idle_timeout: Millis = Millis(15_000)


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer that an API key belongs to.

    Attributes:
        name: Name of the customer, which is sent to targets.
        priority: Urgency that replaces the route's; None if the route's applies.
        allowed_regions: Regions that the customer's requests may be sent to; None for
            any.
        weight: Share in capacity that other customers wait for as well; above 0.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the operator's configuration.

    Attributes:
        version: Version number; a higher one replaces a lower one.
        routes: Routes by host in lower case, the longest prefix first; `find_route`
            relies on the order.
        services: Services by name.
        customers: Customers by API key; None if callers need no key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    customers: dict[str, Customer] | None = None
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of ``path``, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    grouped = {}
    for host, found in hosts.items():
        found.sort(key=lambda route: len(route.prefix), reverse=True)
        grouped[host] = tuple(found)
    return grouped
