"""Claims: a non-idempotent request runs at most once, fleet-wide."""

from dataclasses import dataclass, field

from figstep.core.inventory import Inventory
from figstep.core.specs import RequestSpec, ServiceWork


@dataclass(slots=True)
class ClaimTable:
    """Claims by identity, as folded from the log."""

    owners: dict[str, str] = field(default_factory=dict)


def is_non_idempotent(inventory: Inventory | None, spec: RequestSpec) -> bool:
    """Tell whether the rules or the caller let the request run only once."""
    if spec.non_idempotent:
        return True
    if inventory is None or not isinstance(spec.work, ServiceWork):
        return False
    for rule in inventory.rules.non_idempotent:
        if rule.service != spec.work.service:
            continue
        if rule.method is not None and rule.method != spec.work.method:
            continue
        if rule.customer is not None and rule.customer != spec.customer:
            continue
        if spec.work.path.startswith(rule.path):
            return True
    return False
