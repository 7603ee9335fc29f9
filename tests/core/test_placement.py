"""Tests of placement: the orders of a lease holder, and when it gives none."""

import random

from figstep.core import leases, placement
from figstep.core.clock import Millis
from figstep.core.effects import AppendRecords, SendOrder, WakeAt
from figstep.core.events import OrderAnswered, RecordsRead, StreamRestarted
from figstep.core.inventory import (
    EngineInfo,
    FailureDomain,
    Inventory,
    ModelInfo,
    PlacementRule,
    Rules,
)
from figstep.core.orders import (
    ORDER_TIMEOUT,
    LoadAdapter,
    LoadModel,
    OrderOutcome,
    UnloadModel,
)
from figstep.core.placement import EngineView, PlacedOrder, plan_orders
from figstep.core.records import LEASES, LogRecord
from figstep.core.reducer import reduce
from figstep.core.state import State, TargetState

NAMES = ("e1", "e2", "e3")


def make_engine(name: str, checks_fencing: bool = True) -> EngineInfo:
    return EngineInfo(name, "http://x", "muc-a", ("m",), checks_fencing=checks_fencing)


def make_inventory(
    model: ModelInfo, replicas: int, checks_fencing: bool = True
) -> Inventory:
    engines = tuple(make_engine(name, checks_fencing) for name in NAMES)
    domains = (FailureDomain("muc-a", "bavaria"),)
    placement = (PlacementRule("m", replicas, ("muc-a",)),)
    rules = Rules(load_interval=Millis(1_000), placement=placement)
    return Inventory(domains, engines=engines, models=(model,), rules=rules)


def plan(model: ModelInfo, replicas: int, *loaded: set[str]) -> list[PlacedOrder]:
    views = []
    for name, held in zip(NAMES, loaded, strict=False):
        views.append(EngineView(make_engine(name), frozenset(held), True))
    return plan_orders(make_inventory(model, replicas), "muc-a", views)


def test_no_orders_once_the_desired_state_is_reached() -> None:
    assert plan(ModelInfo("m", "1"), 2, {"m@1"}, {"m@1"}, set()) == []


def test_an_old_version_is_kept_until_the_new_one_serves_everywhere() -> None:
    """Guards against lost capacity while a model gets a new version.

    Unloading the old version first would leave callers without capacity while the
    weights load. Unloads wait until all desired engines have the new version.
    """
    model = ModelInfo("m", "2")
    first = plan(model, 3, {"m@1"}, {"m@1"}, {"m@1"})
    assert {placed.order for placed in first} == {LoadModel("m", "2")}
    partly = plan(model, 3, {"m@1", "m@2"}, {"m@1", "m@2"}, {"m@1"})
    assert [placed.order for placed in partly] == [LoadModel("m", "2")]
    fully = plan(model, 3, {"m@1", "m@2"}, {"m@2"}, {"m@2"})
    assert fully == [PlacedOrder("e1", UnloadModel("m", "1"))]


def test_adapters_are_loaded_where_the_version_serves() -> None:
    model = ModelInfo("m", "1", adapters=("menus",))
    assert plan(model, 1, {"m@1"}, set(), set()) == [
        PlacedOrder("e1", LoadAdapter("m", "menus"))
    ]


def make_state(checks_fencing: bool = True) -> State:
    state = State("n1", "muc-a", random.Random(1))
    state.inventory = make_inventory(ModelInfo("m", "1"), 3, checks_fencing)
    for engine in state.inventory.engines:
        state.targets[engine.name] = TargetState(engine, reported=Millis(0))
    return state


def acquire_lease(state: State, now: int) -> int:
    """Run rounds until the lease was requested and read back; return the time."""
    for _ in range(20):
        effects = placement.run_round(state, Millis(now))
        for effect in effects:
            if isinstance(effect, AppendRecords):
                record = LogRecord(0, now, effect.records[0])
                event = RecordsRead(LEASES, (record,))
                placement.apply_lease_records(state, event, Millis(now))
                return now
        now += placement.ROUND_INTERVAL
    raise AssertionError("no lease was requested")


def list_orders(state: State, now: int) -> list[SendOrder]:
    """Run a round and return the orders that it gives."""
    effects = placement.run_round(state, Millis(now))
    return [effect for effect in effects if isinstance(effect, SendOrder)]


def test_loads_are_staggered_by_the_weight_store_rate() -> None:
    state = make_state()
    now = acquire_lease(state, 0)
    sent = [list_orders(state, now + step) for step in (0, 500, 1_000, 2_000)]
    assert [len(orders) for orders in sent] == [1, 0, 1, 1]
    targets = {orders[0].target for orders in sent if orders}
    assert targets == set(NAMES)


def test_a_node_without_the_lease_orders_nothing() -> None:
    state = make_state()
    assert not [e for e in placement.run_round(state, Millis(0)) if not _timer(e)]


def test_a_new_holder_waits_for_engines_that_ignore_numbers() -> None:
    """Guards against a paused holder whose order overrides a newer one.

    The last holder was paused while giving an order, and an engine that ignores fencing
    numbers obeys it when the holder resumes. The new holder waits for a whole lease
    term and the longest order first, so that its own order comes last.
    """
    state = make_state(checks_fencing=False)
    now = acquire_lease(state, 0)
    assert list_orders(state, now) == []
    earliest = now + leases.TERM + ORDER_TIMEOUT
    renewal = leases.request_lease(
        state.leases, "orders.muc-a", "n1", Millis(earliest - 1)
    )
    record = LogRecord(1, now + 1, renewal.to_json())
    leases.apply_record(state.leases, "n1", record, Millis(earliest))
    assert len(list_orders(state, earliest)) == 1


def test_a_stale_fencing_number_ends_the_holding() -> None:
    """Guards against a holder that gives orders after its lease was taken over.

    The holder was paused, its lease lapsed, and another one has given orders. When an
    engine refuses its fencing number, it stops at once and does not wait for its own
    clock to show that the lease has lapsed.
    """
    state = make_state()
    now = acquire_lease(state, 0)
    order = list_orders(state, now)[0]
    placement.handle_answer(
        state, OrderAnswered(order.number, OrderOutcome.STALE), Millis(now)
    )
    assert list_orders(state, now + 1_000) == []


def test_shutdown_releases_the_lease() -> None:
    state = make_state()
    now = acquire_lease(state, 0)
    state.shutting_down = True
    effects = placement.run_round(state, Millis(now + 1))
    released = [e.records[0]["release"] for e in effects if not _timer(e)]
    assert released == [True]


def _timer(effect: object) -> bool:
    return isinstance(effect, WakeAt)


def test_a_holder_orders_nothing_after_the_log_came_back_from_a_copy() -> None:
    """Guards against orders under a lease that the copy may lack."""
    state = make_state()
    now = acquire_lease(state, 0)
    reduce(state, StreamRestarted(LEASES, 1), Millis(now))
    assert list_orders(state, now) == []
