"""Placement: orders that load and unload models and adapters according to the rules.

There is one lease per failure domain. Its holder compares what the engines of the
failure domain report with what is wanted, and sends orders for the difference in
each round until the engines report the wanted state. The progress of an order is not
tracked beyond the time at which it was last sent and the number under which its answer
is awaited.
"""

import hashlib
from dataclasses import dataclass

from figstep.core import leases
from figstep.core.clock import Millis
from figstep.core.effects import AppendRecords, Count, Effect, Note, SendOrder, WakeAt
from figstep.core.events import OrderAnswered, PlacementTimer, RecordsRead
from figstep.core.inventory import EngineInfo, Inventory, ModelInfo
from figstep.core.orders import (
    ORDER_TIMEOUT,
    LoadAdapter,
    LoadModel,
    OrderOutcome,
    PlacedOrder,
    PlacementState,
    UnloadModel,
)
from figstep.core.records import LEASES
from figstep.core.state import State, TargetState

ROUND_INTERVAL = Millis(2_000)
"""Time between two rounds of placement, in milliseconds."""
SENT_RETENTION = Millis(600_000)
"""Time for which the last sending of an order is remembered, in milliseconds."""
LEASE_PREFIX = "orders."
"""Prefix of a lease's name; the name of the failure domain follows."""
LEASE_APPEND_KEY = 0
"""Key of all appends to the lease stream.

Their answers are not awaited: reading the records back shows whether they took
effect.
"""


@dataclass(frozen=True, slots=True)
class EngineView:
    """Properties of one engine that placement depends on.

    Attributes:
        loaded: What the engine reports as loaded, as "model@version" or
            "model+adapter".
        usable: Whether the engine accepts new work and has reported its load.
    """

    info: EngineInfo
    loaded: frozenset[str]
    usable: bool


def name_version(model: str, version: str) -> str:
    """Return a version of a model as engines report it, "model@version"."""
    return f"{model}@{version}"


def name_adapter(model: str, adapter: str) -> str:
    """Return an adapter of a model as engines report it, "model+adapter"."""
    return f"{model}+{adapter}"


def plan_orders(
    inventory: Inventory, domain: str, engines: list[EngineView]
) -> list[PlacedOrder]:
    """Return the orders that bring one failure domain to the wanted state.

    Returns:
        For each model the loads, then the unloads. Other versions stay loaded until
        the wanted version is served by as many engines as are wanted, or by all
        chosen ones that are usable if these are fewer.
    """
    orders: list[PlacedOrder] = []
    for model in inventory.models:
        wanted = count_wanted(inventory, model.name, domain)
        if wanted is not None:
            orders += _plan_model(model, engines, wanted)
    return orders


def count_wanted(inventory: Inventory, model: str, domain: str) -> int | None:
    """Return the number of replicas of a model that are wanted in a failure domain.

    None is returned if the model has no rule.
    """
    wanted = None
    for rule in inventory.rules.placement:
        if rule.model != model:
            continue
        wanted = wanted or 0
        if not rule.failure_domains or domain in rule.failure_domains:
            wanted += rule.replicas
    return wanted


def _plan_model(
    model: ModelInfo, engines: list[EngineView], wanted: int
) -> list[PlacedOrder]:
    capable = [engine for engine in engines if model.name in engine.info.models]
    chosen = sorted(capable, key=lambda engine: _rank_engine(model, engine))[:wanted]
    current = name_version(model.name, model.version)
    orders: list[PlacedOrder] = []
    for engine in chosen:
        if current in engine.loaded:
            orders += _plan_adapters(model, engine)
            continue
        if engine.usable:
            order = LoadModel(model.name, model.version)
            orders.append(PlacedOrder(engine.info.name, order))
    serving = sum(1 for e in capable if e.usable and current in e.loaded)
    if serving < min(wanted, sum(1 for e in chosen if e.usable)):
        return orders
    for engine in capable:
        orders += _plan_unloads(model, engine, engine in chosen)
    return orders


def _rank_engine(model: ModelInfo, engine: EngineView) -> tuple[bool, bool, str]:
    """Return the sort key of an engine for a model; the lowest is chosen first.

    Usable engines come first, then engines that have the wanted version loaded;
    ties are broken by a hash of the names of model and engine.
    """
    current = name_version(model.name, model.version)
    digest = hashlib.sha256(f"{model.name} {engine.info.name}".encode()).hexdigest()
    return (not engine.usable, current not in engine.loaded, digest)


def _plan_adapters(model: ModelInfo, engine: EngineView) -> list[PlacedOrder]:
    orders = []
    for adapter in model.adapters:
        if name_adapter(model.name, adapter) in engine.loaded:
            continue
        orders.append(PlacedOrder(engine.info.name, LoadAdapter(model.name, adapter)))
    return orders


def _plan_unloads(
    model: ModelInfo, engine: EngineView, chosen: bool
) -> list[PlacedOrder]:
    """Return the orders that unload unwanted versions of a model from an engine.

    A chosen engine keeps the wanted version; any other engine keeps none. The orders
    are planned only once enough engines serve the wanted version: an earlier unload
    would remove capacity for as long as the weights load.
    """
    orders = []
    for loaded in sorted(engine.loaded):
        name, separator, version = loaded.partition("@")
        if name != model.name or not separator:
            continue
        if chosen and version == model.version:
            continue
        orders.append(PlacedOrder(engine.info.name, UnloadModel(name, version)))
    return orders


def run_round(state: State, now: Millis) -> list[Effect]:
    """Run one round: maintain the leases and send the orders that they cover.

    Leases are maintained for all failure domains that have engines. While the node
    shuts down or has no document, all leases are released instead.
    """
    effects: list[Effect] = [WakeAt(PlacementTimer(), Millis(now + ROUND_INTERVAL))]
    _discard_old(state.placement, now)
    if state.inventory is None or state.shutting_down:
        return effects + release_leases(state, now)
    domains = sorted({engine.failure_domain for engine in state.inventory.engines})
    for domain in domains:
        lease = LEASE_PREFIX + domain
        effects += _maintain_lease(state, lease, domain, now)
        holding = leases.find_holding(state.leases, lease, now)
        if holding is None:
            continue
        effects += _send_orders(state, lease, domain, holding, now)
    return effects


def _discard_old(placement: PlacementState, now: Millis) -> None:
    for placed, sent in list(placement.sent.items()):
        if now >= sent + SENT_RETENTION:
            del placement.sent[placed]


def _maintain_lease(state: State, lease: str, domain: str, now: Millis) -> list[Effect]:
    holding = leases.find_holding(state.leases, lease, now)
    if holding is not None:
        if now < holding.until - leases.TERM // 2:
            return []
        return [
            _append(state, leases.request_lease(state.leases, lease, state.node, now))
        ]
    if not leases.is_free(state.leases, lease, now):
        state.placement.try_at.pop(lease, None)
        return []
    # A lease expires at the same time on all nodes; without a random delay, each
    # change of holder would cost the log one append per node. Nodes of the
    # lease's own failure domain try first.
    wait = 0 if domain == state.failure_domain else leases.TERM
    later = Millis(now + wait + state.rng.randrange(leases.TERM // 2))
    try_at = state.placement.try_at.setdefault(lease, later)
    if now < try_at:
        return []
    state.placement.try_at[lease] = Millis(now + leases.TERM)
    return [_append(state, leases.request_lease(state.leases, lease, state.node, now))]


def _append(state: State, record: leases.LeaseRecord) -> Effect:
    return AppendRecords(LEASES, LEASE_APPEND_KEY, [record.to_json()])


def release_leases(state: State, now: Millis) -> list[Effect]:
    """Release every lease that this node holds."""
    effects: list[Effect] = []
    for lease in list(state.leases.holdings):
        record = leases.request_lease(
            state.leases, lease, state.node, now, release=True
        )
        effects.append(_append(state, record))
    return effects


def view_engine(target: TargetState) -> EngineView | None:
    """Return the view of a target for placement, or None if it is not an engine."""
    if not isinstance(target.info, EngineInfo):
        return None
    usable = target.accepts_work and target.reported is not None
    return EngineView(target.info, frozenset(target.models), usable)


def _send_orders(
    state: State, lease: str, domain: str, holding: leases.Holding, now: Millis
) -> list[Effect]:
    assert state.inventory is not None
    views = []
    for target in state.targets.values():
        view = view_engine(target)
        if view is None or view.info.failure_domain != domain:
            continue
        views.append(view)
    sent = state.placement.sent
    planned = plan_orders(state.inventory, domain, views)
    # The rate limit of the weight store admits one load at a time; an engine that
    # never completes its load would block the others if it always came first.
    planned.sort(key=lambda placed: sent.get(placed, 0))
    effects: list[Effect] = []
    for placed in planned:
        if not _may_send(state, placed, holding, now):
            continue
        effects.append(_send_order(state, lease, placed, holding, now))
    return effects


def _may_send(
    state: State, placed: PlacedOrder, holding: leases.Holding, now: Millis
) -> bool:
    target = state.targets[placed.target]
    assert isinstance(target.info, EngineInfo)
    sent = state.placement.sent.get(placed)
    if sent is not None and now < sent + ORDER_TIMEOUT:
        return False
    # An engine that ignores fencing numbers would still obey an earlier holder
    # that was paused while it sent an order. After a whole term and the timeout of
    # an order, that holder has stopped and its last order has ended.
    takeover_safe_at = holding.acquired + leases.TERM + ORDER_TIMEOUT
    if not target.info.checks_fencing and now < takeover_safe_at:
        return False
    return not isinstance(placed.order, LoadModel) or _may_load(state, now)


def _may_load(state: State, now: Millis) -> bool:
    """Return whether a load may be sent within the weight store's rate limit.

    The limit applies to the whole fleet and is divided equally among the failure
    domains that have engines.
    """
    assert state.inventory is not None
    last = state.placement.last_load
    if last is None:
        return True
    domains = {engine.failure_domain for engine in state.inventory.engines}
    return now >= last + state.inventory.rules.load_interval * max(1, len(domains))


def _send_order(
    state: State, lease: str, placed: PlacedOrder, holding: leases.Holding, now: Millis
) -> Effect:
    placement = state.placement
    number = placement.next_order
    placement.next_order += 1
    placement.sent[placed] = now
    placement.open_orders[number] = lease
    if isinstance(placed.order, LoadModel):
        placement.last_load = now
    return SendOrder(
        number, placed.target, placed.order, holding.fencing, holding.until
    )


def handle_answer(state: State, event: OrderAnswered, now: Millis) -> list[Effect]:
    """Count the result of an order; a stale fencing number ends this node's holding."""
    lease = state.placement.open_orders.pop(event.order, None)
    if lease is None or event.outcome is not OrderOutcome.STALE:
        return [Count(f"orders.{event.outcome.value}")]
    # A newer holder has sent orders to the engine, so this node's lease has expired
    # unnoticed. Further orders of this node would conflict with the new holder's.
    state.leases.holdings.pop(lease, None)
    return [
        Count("orders.stale"),
        Note("lease lost to a newer holder", {"lease": lease}),
    ]


def apply_lease_records(state: State, event: RecordsRead, now: Millis) -> list[Effect]:
    """Fold records of the lease stream into the table of leases."""
    for record in event.records:
        leases.apply_record(state.leases, state.node, record, now)
    return []


def handle_restart(state: State) -> list[Effect]:
    """Give up all leases, as the log may have lost the records that acquired them."""
    held = len(state.leases.holdings)
    leases.forget_leases(state.leases)
    return [
        Count("leases.forgotten", held),
        Note("leases read in another era of the log: all given up", {"held": held}),
    ]
