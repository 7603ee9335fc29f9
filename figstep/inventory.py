"""Validation of the inventory document with pydantic, and its conversion.

The result is the frozen data classes of ``figstep.core.inventory``.
"""

import hashlib
from collections import Counter
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from figstep.core import inventory as core
from figstep.core.clock import Millis
from figstep.errors import InventoryError
from figstep.settings import describe_errors

NAME = r"^[a-z0-9][a-z0-9.-]*$"
Name = Field(pattern=NAME)


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class FailureDomainModel(_Model):
    """A failure domain and the region that it belongs to."""

    name: str = Name
    region: str


class InstanceModel(_Model):
    """A machine that the asset register lists, as an entry or a target.

    ``size`` is the size class, as the operators name it.
    """

    name: str = Name
    kind: Literal["entry", "target"] = "target"
    failure_domain: str
    size: str = ""


class EngineModel(_Model):
    """A model engine that the asset register lists."""

    name: str = Name
    address: str
    failure_domain: str
    models: tuple[str, ...]
    kind: str = "engine"
    speed: float = Field(default=1.0, gt=0)
    memory_tokens: int = Field(default=16_384, gt=0)
    max_running: int = Field(default=32, gt=0)
    resume: bool = True
    continuation: bool = False
    checks_fencing: bool = True


class ServiceModel(_Model):
    """A replica of a plain service."""

    name: str = Name
    service: str = Name
    address: str
    failure_domain: str
    refusals_not_run: bool = True


class ModelModel(_Model):
    """A model with the version and the adapters that engines shall load."""

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()


class CustomerModel(_Model):
    """A customer and the SHA-256 hash of its key, in hexadecimal."""

    name: str
    key_hash: str = Field(pattern=r"^[0-9a-f]{64}$")
    share: float = Field(default=1.0, gt=0)
    priority: int = Field(default=0, ge=-100, le=100)


class NonIdempotentModel(_Model):
    """Rule that matches non-idempotent requests, which run at most once."""

    service: str
    method: str | None = None
    path: str = ""
    customer: str | None = None
    digest_window_ms: int | None = Field(default=None, gt=0)


class PriorityModel(_Model):
    """Rule for the priority of requests by customer and model."""

    priority: int = Field(ge=-100, le=100)
    customer: str | None = None
    model: str | None = None


class PlacementModel(_Model):
    """Rule for the number of replicas of a model in each listed failure domain."""

    model: str
    replicas: int = Field(ge=0)
    failure_domains: tuple[str, ...] = ()


class DrainModel(_Model):
    """Mark that drains one target: it gets no new work."""

    target: str
    reason: str = ""


class EvacuationModel(_Model):
    """Mark that evacuates one failure domain: its targets get no new work."""

    failure_domain: str
    reason: str = ""


class RulesModel(_Model):
    """Rules that the operators set."""

    non_idempotent: tuple[NonIdempotentModel, ...] = ()
    deadline_ms: int = Field(default=60_000, gt=0)
    load_interval_ms: int = Field(default=5_000, ge=0)
    priorities: tuple[PriorityModel, ...] = ()
    placement: tuple[PlacementModel, ...] = ()
    routing: Literal["figstep", "round_robin", "least_in_flight", "two_choices"] = (
        "figstep"
    )
    gap_goal_ms: int = Field(default=60, gt=0)
    subset: int = Field(default=24, ge=0)


class InventoryModel(_Model):
    """The inventory document."""

    failure_domains: tuple[FailureDomainModel, ...] = ()
    instances: tuple[InstanceModel, ...] = ()
    engines: tuple[EngineModel, ...] = ()
    services: tuple[ServiceModel, ...] = ()
    models: tuple[ModelModel, ...] = ()
    customers: tuple[CustomerModel, ...] = ()
    rules: RulesModel = RulesModel()
    draining: tuple[DrainModel, ...] = ()
    evacuated: tuple[EvacuationModel, ...] = ()

    @model_validator(mode="after")
    def _check_rules(self) -> "InventoryModel":
        models = {model.name for model in self.models}
        customers = {customer.name for customer in self.customers}
        domains = {domain.name for domain in self.failure_domains}
        services = {service.service for service in self.services}
        targets = {e.name for e in self.engines} | {s.name for s in self.services}
        for instance in self.instances:
            _require_listed(
                "instances", instance.failure_domain, domains, "failure_domains"
            )
        for priority in self.rules.priorities:
            _require_listed(
                "rules.priorities", priority.customer, customers, "customers"
            )
            _require_listed("rules.priorities", priority.model, models, "models")
        for placement_rule in self.rules.placement:
            _require_listed("rules.placement", placement_rule.model, models, "models")
            for domain in placement_rule.failure_domains:
                _require_listed("rules.placement", domain, domains, "failure_domains")
        for rule in self.rules.non_idempotent:
            _require_listed("rules.non_idempotent", rule.service, services, "services")
            _require_listed(
                "rules.non_idempotent", rule.customer, customers, "customers"
            )
        for mark in self.draining:
            _require_listed("draining", mark.target, targets, "engines or services")
        for evacuation in self.evacuated:
            _require_listed(
                "evacuated", evacuation.failure_domain, domains, "failure_domains"
            )
        return self

    @model_validator(mode="after")
    def _check_references(self) -> "InventoryModel":
        targets: list[EngineModel | ServiceModel] = [*self.engines, *self.services]
        names = [target.name for target in targets]
        repeated = {name for name, count in Counter(names).items() if count > 1}
        if repeated:
            raise ValueError(f"target names must differ; rename one of {repeated}")
        domains = {domain.name for domain in self.failure_domains}
        models = {model.name for model in self.models}
        for target in targets:
            if target.failure_domain not in domains:
                raise ValueError(
                    f"{target.name}: failure domain {target.failure_domain!r}"
                    " is not listed; add it under failure_domains"
                )
        for engine in self.engines:
            unknown = set(engine.models) - models
            if unknown:
                raise ValueError(
                    f"{engine.name}: models {sorted(unknown)} are not listed;"
                    " add them under models"
                )
        return self


def _require_listed(place: str, name: str | None, listed: set[str], under: str) -> None:
    if name is None or name in listed:
        return
    raise ValueError(f"{place}: {name!r} is not listed; add it under {under}")


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a customer's UTF-8 key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


VALIDATION = 2
"""Version of the validation rules in this module. Any change to the set of valid
documents increases it."""

MIN_VERSION_WITH_EVACUATIONS = 2
"""First validation version that allows evacuated failure domains in a document."""


def parse_version(document: Any, validation: int) -> core.Inventory | None:
    """Validate a document by the rules of a validation version.

    Returns:
        The inventory, or None if this program does not know the version of the
        rules; the document is not checked then.

    Raises:
        InventoryError: The document is not valid, or has fields that the version
            does not know. The message names each invalid field and its correction.
    """
    if not 1 <= validation <= VALIDATION:
        return None
    if validation < MIN_VERSION_WITH_EVACUATIONS and "evacuated" in document:
        raise InventoryError(
            f"evacuated: unknown to validation version {validation};"
            f" publish with version {MIN_VERSION_WITH_EVACUATIONS} or later"
        )
    return parse_inventory(document)


def parse_inventory(document: Any) -> core.Inventory:
    """Validate a document and convert it to data classes.

    Raises:
        InventoryError: The document is not valid. The message names each invalid
            field and its correction.
    """
    try:
        model = InventoryModel.model_validate(document)
    except ValidationError as error:
        raise InventoryError("; ".join(describe_errors(error))) from error
    return _convert_inventory(model)


def _convert_inventory(model: InventoryModel) -> core.Inventory:
    return core.Inventory(
        failure_domains=tuple(
            core.FailureDomain(**vars(m)) for m in model.failure_domains
        ),
        instances=tuple(core.InstanceRecord(**vars(m)) for m in model.instances),
        engines=tuple(core.EngineInfo(**vars(m)) for m in model.engines),
        services=tuple(core.ServiceInfo(**vars(m)) for m in model.services),
        models=tuple(core.ModelInfo(**vars(m)) for m in model.models),
        customers=tuple(core.CustomerInfo(**vars(m)) for m in model.customers),
        rules=_convert_rules(model.rules),
        draining=tuple(core.DrainMark(**vars(m)) for m in model.draining),
        evacuated=tuple(core.EvacuationMark(**vars(m)) for m in model.evacuated),
    )


def _convert_rules(model: RulesModel) -> core.Rules:
    non_idempotent = []
    for rule in model.non_idempotent:
        window = rule.digest_window_ms
        non_idempotent.append(
            core.NonIdempotentRule(
                service=rule.service,
                method=rule.method,
                path=rule.path,
                customer=rule.customer,
                digest_window=None if window is None else Millis(window),
            )
        )
    return core.Rules(
        non_idempotent=tuple(non_idempotent),
        deadline=Millis(model.deadline_ms),
        load_interval=Millis(model.load_interval_ms),
        routing=model.routing,
        priorities=tuple(core.PriorityRule(**vars(m)) for m in model.priorities),
        placement=tuple(core.PlacementRule(**vars(m)) for m in model.placement),
        gap_goal=Millis(model.gap_goal_ms),
        subset=model.subset,
    )
