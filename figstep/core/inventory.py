"""Inventory and rules as the operators published them: frozen data."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Part of a region that can fail as one."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class EngineInfo:
    """What the operators know of a model engine.

    Attributes:
        name: Unique target name.
        address: Base URL.
        failure_domain: Name of its failure domain.
        models: Names of the models it may serve.
        kind: Make of the engine, as the operators name it.
        speed: Decode speed relative to the slowest class (1.0).
        memory_tokens: Cache memory, in tokens.
        max_running: Most generations it decodes at once.
        resume: Whether a stream can be resumed by generation and index.
        continuation: Whether it carries a generation on from given tokens exactly;
            kept for the record, nothing acts on it (docs/design/requests.md).
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    name: str
    address: str
    failure_domain: str
    models: tuple[str, ...]
    speed: float = 1.0
    memory_tokens: int = 16_384
    max_running: int = 32
    resume: bool = True
    continuation: bool = False
    checks_fencing: bool = True
    kind: str = "engine"


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """One replica of a plain service, a target beside the engines.

    Attributes:
        name: Unique target name.
        service: Name that callers use.
        address: Base URL.
        failure_domain: Name of its failure domain.
        refusals_not_run: Whether its 429 and 503 prove that a call did not run.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    refusals_not_run: bool = True


TargetInfo = EngineInfo | ServiceInfo


@dataclass(frozen=True, slots=True)
class ModelInfo:
    """A model and the version that should be served."""

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CustomerInfo:
    """A customer; only the SHA-256 of its key is known."""

    name: str
    key_hash: str
    share: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class PlacementRule:
    """How many replicas of a model are wanted where.

    Attributes:
        model: Model name.
        replicas: Wanted replicas in each of the failure domains.
        failure_domains: Names of the failure domains; empty for all.
    """

    model: str
    replicas: int
    failure_domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """Priority of requests; None matches everything, higher goes first."""

    priority: int
    customer: str | None = None
    model: str | None = None


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """A machine of the asset register.

    Attributes:
        name: Name as in the platform's instance list.
        kind: "entry" for the system's own, "target" for engines and services.
        failure_domain: Name of its failure domain.
        size: Size class, as the operators name it.
    """

    name: str
    kind: str
    failure_domain: str
    size: str = ""


@dataclass(frozen=True, slots=True)
class DrainMark:
    """A target that the operators want to get no new work."""

    target: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class EvacuationMark:
    """A failure domain whose targets the operators want to get no new work."""

    failure_domain: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class NonIdempotentRule:
    """Requests that run at most once; None and "" match everything.

    Attributes:
        service: Name of the plain service.
        method: HTTP method in capitals, or None.
        path: Prefix of the path below the service.
        customer: Customer name, or None.
        digest_window: Where set, requests without an Idempotency-Key are told
            apart by a digest of the body within this many milliseconds.
    """

    service: str
    method: str | None = None
    path: str = ""
    customer: str | None = None
    digest_window: Millis | None = None


@dataclass(frozen=True, slots=True)
class Rules:
    """Policy that the operators set.

    Attributes:
        non_idempotent: Which calls run at most once.
        deadline: Time a request may wait for its first byte, in milliseconds.
        load_interval: Least time between two reads of the weight store by the
            whole fleet, in milliseconds.
        routing: Name of the routing policy.
        priorities: Priorities by customer and model; the first match counts.
        placement: Which model wants how many replicas where.
        gap_goal: Gap between tokens above which a target is given less, in
            milliseconds.
        subset: Most targets of a pool that an entry talks to; 0 for all.
    """

    non_idempotent: tuple[NonIdempotentRule, ...] = ()
    deadline: Millis = Millis(60_000)
    load_interval: Millis = Millis(5_000)
    routing: str = "figstep"
    priorities: tuple[PriorityRule, ...] = ()
    placement: tuple[PlacementRule, ...] = ()
    gap_goal: Millis = Millis(60)
    subset: int = 24


@dataclass(frozen=True, slots=True)
class Inventory:
    """One accepted document: what exists and the rules for it."""

    failure_domains: tuple[FailureDomain, ...] = ()
    engines: tuple[EngineInfo, ...] = ()
    services: tuple[ServiceInfo, ...] = ()
    models: tuple[ModelInfo, ...] = ()
    customers: tuple[CustomerInfo, ...] = ()
    rules: Rules = field(default_factory=Rules)
    draining: tuple[DrainMark, ...] = ()
    evacuated: tuple[EvacuationMark, ...] = ()
    instances: tuple[InstanceRecord, ...] = ()

    def list_targets(self) -> list[TargetInfo]:
        """Return the engines, then the replicas of plain services."""
        return [*self.engines, *self.services]
