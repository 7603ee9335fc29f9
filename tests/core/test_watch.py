"""Tests of which engines' reports an entry reads."""

import random

from figstep.core.clock import Millis
from figstep.core.configuration import apply_inventory
from figstep.core.inventory import EngineInfo, Inventory, ModelInfo, Rules
from figstep.core.leases import Holding
from figstep.core.state import State
from figstep.core.watch import list_watched


def test_the_subset_and_the_domains_whose_orders_it_gives() -> None:
    engines = []
    for number in range(90):
        domain = f"d{number % 9}"
        engines.append(EngineInfo(f"e{number}", "http://x", domain, ("m",)))
    rules = Rules(subset=18)
    state = State("n1", "d0", random.Random(1))
    assert list_watched(state, Millis(0)) == []
    inventory = Inventory(engines=tuple(engines), models=(ModelInfo("m"),), rules=rules)
    apply_inventory(state, inventory)
    subset = list_watched(state, Millis(0))
    assert len(subset) == 18
    assert len({engine.failure_domain for engine in subset}) == 9
    state.leases.holdings["orders.d3"] = Holding(1, Millis(0), Millis(100))
    watched = list_watched(state, Millis(0))
    assert len(watched) == 18 + 8
    assert sum(engine.failure_domain == "d3" for engine in watched) == 10
    assert list_watched(state, Millis(100)) == subset
