"""Immutable data of the inventory and the rules, as published by the operators."""

from dataclasses import dataclass, field

from figstep.core.clock import Millis


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Part of a region whose instances can fail together.

    Attributes:
        name: Unique name.
    """

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class EngineInfo:
    """Model engine, as the operators describe it.

    Attributes:
        name: Unique target name.
        address: Base URL.
        models: Names of the models that the engine may serve.
        kind: Type of the engine, as the operators name it.
        speed: Decode speed, as a multiple of the speed for which the assumed gaps
            between tokens hold (``figstep.core.pacing``).
        memory_tokens: Cache memory, in tokens.
        max_running: Maximum number of generations that the engine decodes at once.
        resume: Whether a stream can be resumed by generation and index.
        continuation: Whether the engine continues a generation exactly from given
            tokens. The value is stored but not used (docs/design/requests.md).
        checks_fencing: Whether the engine refuses orders with an old fencing number.
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
    """Replica of a plain service, the other kind of target besides engines.

    Attributes:
        name: Unique target name.
        service: Name of the service that callers use.
        address: Base URL.
        refusals_not_run: Whether an answer with status 429 or 503 proves that the
            call did not run.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    refusals_not_run: bool = True


TargetInfo = EngineInfo | ServiceInfo


@dataclass(frozen=True, slots=True)
class ModelInfo:
    """Model and the version of it that should be served.

    Attributes:
        name: Unique name.
        adapters: Names of the adapters that should be loaded with the model.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CustomerInfo:
    """Customer of the fleet.

    Attributes:
        name: Unique name.
        key_hash: SHA-256 of the customer's key; the key itself is not stored.
        share: Weight of the customer when capacity is shared.
        priority: Priority of the customer's requests; higher goes first.
    """

    name: str
    key_hash: str
    share: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class PlacementRule:
    """Number of replicas of a model that are wanted in some failure domains.

    Attributes:
        replicas: Number of replicas wanted in each of the failure domains.
        failure_domains: Names of the failure domains; empty for all.
    """

    model: str
    replicas: int
    failure_domains: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """Priority of the requests of a customer, of a model, or of both.

    Attributes:
        priority: Priority of matching requests; higher goes first.
        customer: Name of the customer; None matches all.
        model: Name of the model; None matches all.
    """

    priority: int
    customer: str | None = None
    model: str | None = None


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Machine in the asset register.

    Attributes:
        name: Name in the platform's instance list.
        kind: "entry" for entry instances, "target" for engines and services.
        size: Size class, as the operators name it.
    """

    name: str
    kind: str
    failure_domain: str
    size: str = ""


@dataclass(frozen=True, slots=True)
class DrainMark:
    """Mark that drains one target: it gets no new work."""

    target: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class EvacuationMark:
    """Mark that evacuates one failure domain: its targets get no new work."""

    failure_domain: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class NonIdempotentRule:
    """Rule that makes matching requests non-idempotent: they run at most once.

    Attributes:
        method: HTTP method in capitals; None matches all.
        path: Prefix of the path below the service; "" matches all.
        customer: Name of the customer; None matches all.
        digest_window: Time for which a request without an Idempotency-Key is
            remembered by its digest of method, path and body, in milliseconds. A
            request of the customer with the same digest counts as the same request
            within this time. None if each such request counts as a different one.
    """

    service: str
    method: str | None = None
    path: str = ""
    customer: str | None = None
    digest_window: Millis | None = None


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules that the operators set.

    Attributes:
        deadline: Longest time that a request without its own deadline may wait for
            its first byte, in milliseconds.
        load_interval: Minimum time between two reads of the weight store by the
            whole fleet, in milliseconds.
        routing: Name of the routing policy.
        priorities: Priorities by customer and model. They are stored but not used; a
            request has the priority of its customer.
        gap_goal: Gap between two tokens above which a target gets less work, in
            milliseconds.
        subset: Maximum number of targets of a pool that an entry sends to; 0 for all.
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
    """Document of the operators: the inventory of the fleet and its rules.

    Attributes:
        customers: Customers whose requests are accepted.
        instances: Asset register of the machines.
    """

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
        """Return all targets: the engines, then the replicas of plain services."""
        return [*self.engines, *self.services]
