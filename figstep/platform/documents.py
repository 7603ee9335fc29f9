"""Parsers that turn records of the platform's store into the gateway's types."""

from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from figstep.core.clock import Millis
from figstep.gateway.routes import (
    CallerLimits,
    Customer,
    EnginePool,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    group_routes,
)
from figstep.gateway.targets import Registration

EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys of records that evacuate a failure domain; the rest of the key is
the domain's name. Any value evacuates it, and the deletion of the record ends that."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Share(_Model):
    service: str
    weight: float = 1.0


class _Route(_Model):
    name: str
    host: str
    prefix: str
    type: RouteKind
    service: str = ""
    split: tuple[_Share, ...] = ()  # if set, used instead of `service`
    attempts: int = 1
    timeout_ms: float
    slo_ms: float = 1_000.0  # time to the answer or the first event
    gap_slo_ms: float = 180.0  # pause between two events of a stream
    priority: int = 0  # 0 is the most urgent
    public: bool = False
    resumable: bool = False
    regions_allowed: tuple[str, ...] = ()  # empty: all regions are allowed


class _Engine(_Model):
    slots: int = Field(default=64, gt=0)
    kv_capacity: int = Field(default=1 << 30, gt=0)  # tokens
    backups: bool = False
    moves: bool = False
    stride: int = Field(default=1, gt=0)  # tokens in an event of a stream
    handle_s: float = Field(default=5.0, gt=0)  # how long an unused copy is kept
    pin_ms: float = Field(default=0.0, ge=0)  # how long a complete run may be kept


class _Service(_Model):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None
    warmup_s: float = Field(default=0.0, ge=0)
    warmup_per_s: float = Field(default=0.0, ge=0)  # rate of a cold target; 0: no limit


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(_Model):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None  # replaces the priority of routes
    regions_allowed: tuple[str, ...] = ()  # empty: all regions are allowed


class _Configuration(_Model):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None  # None: callers need no key


class _RegistrationDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: str
    addr: str = Field(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")
    zone: str
    slots: int = Field(ge=1)
    state: str = Field(pattern=r"^(ready|draining)$")
    warmup_left_ms: float = Field(default=0.0, ge=0)
    version: str = Field(min_length=1)  # of the target's software, not of its weights
    born: int = 0  # start of the target, in ms since the Unix epoch


def parse_configuration(value: bytes) -> RoutingTable:
    """Return the routing table of a configuration record, which is JSON.

    Raises:
        ValueError: If the configuration is not valid. The platform is expected to
            accept only valid ones.
    """
    parsed = _Configuration.model_validate(orjson.loads(value))
    services = {}
    for service in parsed.services:
        services[service.name] = _build_service(service)
    return RoutingTable(
        version=parsed.version,
        routes=group_routes([_build_route(route) for route in parsed.routes]),
        services=services,
        customers=_build_customers(parsed.tenants),
        limits=CallerLimits(
            parsed.limits.max_header_bytes,
            parsed.limits.max_body_bytes,
            Millis(round(parsed.limits.header_timeout_ms)),
            Millis(round(parsed.limits.idle_timeout_ms)),
        ),
    )


def _build_route(route: _Route) -> Route:
    shares = [(share.service, share.weight) for share in route.split]
    if not shares:
        shares = [(route.service, 1.0)]
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=route.type,
        shares=tuple(shares),
        attempts=route.attempts,
        timeout=Millis(round(route.timeout_ms)),
        objective=Millis(round(route.slo_ms)),
        longest_pause=Millis(round(route.gap_slo_ms)),
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        allowed_regions=_build_allowed_regions(route.regions_allowed),
    )


def _build_allowed_regions(regions: tuple[str, ...]) -> frozenset[str] | None:
    return frozenset(regions) or None


def _build_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EnginePool(
            service.engine.slots,
            service.engine.kv_capacity,
            service.engine.backups,
            service.engine.moves,
            service.engine.stride,
            Millis(round(service.engine.handle_s * 1000)),
            Millis(round(service.engine.pin_ms)),
        )
    return Service(
        service.name,
        service.max_conns,
        engine,
        Millis(round(service.warmup_s * 1000)),
        service.warmup_per_s,
    )


def _build_customers(
    tenants: tuple[_Tenant, ...] | None,
) -> dict[str, Customer] | None:
    if tenants is None:
        return None
    customers = {}
    for tenant in tenants:
        allowed_regions = _build_allowed_regions(tenant.regions_allowed)
        customer = Customer(tenant.name, tenant.priority, allowed_regions)
        for key in tenant.api_keys:
            customers[key] = customer
    return customers


def parse_evacuation(key: str) -> str | None:
    """Return the failure domain that a record with this key evacuates.

    Returns:
        The domain's name; None if the key is of another kind or names no domain.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX) or None


def parse_registration(key: str, value: bytes) -> Registration | None:
    """Return a target's registration, or None if the record is not a valid one.

    Other programs may write records to the topic, so a record with an unknown state,
    missing fields or invalid JSON is no error. The key of the record is the id of the
    target.
    """
    try:
        document: Any = orjson.loads(value)
        parsed = _RegistrationDocument.model_validate(document)
    except (orjson.JSONDecodeError, ValidationError):
        return None
    return Registration(
        target=key,
        service=parsed.service,
        address=parsed.addr,
        failure_domain=parsed.zone,
        slots=parsed.slots,
        draining=parsed.state == "draining",
        warmup=Millis(round(parsed.warmup_left_ms)),
        born=parsed.born,
        version=parsed.version,
    )
