"""Tests of the queue's order by priority, customers' shares and expected length."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from figstep.core.clock import Millis
from figstep.core.queues import AGING_MS_PER_TOKEN, RequestQueue
from figstep.core.specs import GenerationWork, RequestSpec, ServiceWork


def make_spec(name: str, customer: str = "a", priority: int = 0) -> RequestSpec:
    return RequestSpec(name, customer, GenerationWork("m"), priority=priority)


def pop(queue: RequestQueue, cost: float = 1.0, share: float = 1.0) -> str:
    """Remove the next request from the queue, charge its cost and return its name."""
    spec = queue.peek("m")
    assert spec is not None
    queue.remove(spec.request)
    queue.charge(spec, cost, share, Millis(0))
    return spec.request


def test_priority_goes_before_everything() -> None:
    queue = RequestQueue()
    queue.add(make_spec("low", priority=-1), 1, 1, Millis(0))
    queue.add(make_spec("high", priority=5), 9_000, 1, Millis(900))
    assert [pop(queue), pop(queue)] == ["high", "low"]


def test_waiting_makes_up_for_length() -> None:
    """Guards against a long request that starves while short ones keep arriving.

    The short ones go first for a time that depends on the length of the long one; then
    it is its turn.
    """
    queue = RequestQueue()
    queue.add(make_spec("long"), 1_000, 1, Millis(0))
    queue.add(make_spec("soon"), 10, 1, Millis(10_000))
    queue.add(make_spec("late"), 10, 1, Millis(round(AGING_MS_PER_TOKEN * 1_000)))
    assert [pop(queue), pop(queue), pop(queue)] == ["soon", "long", "late"]


def test_flooding_customer_does_not_delay_another() -> None:
    queue = RequestQueue()
    for number in range(100):
        queue.add(make_spec(f"flood{number}", "flooder"), 100, 1, Millis(0))
    for _ in range(10):
        pop(queue, 100)
    queue.add(make_spec("other", "b"), 100, 1, Millis(50))
    assert "other" in [pop(queue, 100), pop(queue, 100)]


def test_shares_divide_the_work() -> None:
    queue = RequestQueue()
    for number in range(60):
        queue.add(make_spec(f"big{number}", "big"), 10, 3, Millis(0))
        queue.add(make_spec(f"small{number}", "small"), 10, 1, Millis(0))
    served = {"big": 0, "small": 0}
    for _ in range(40):
        spec = queue.peek("m")
        assert spec is not None
        share = 3.0 if spec.customer == "big" else 1.0
        pop(queue, 10, share)
        served[spec.customer] += 1
    assert 28 <= served["big"] <= 32


def test_idle_customer_accumulates_no_credit() -> None:
    queue = RequestQueue()
    for number in range(40):
        queue.add(make_spec(f"a{number}", "a"), 10, 1, Millis(0))
    for _ in range(20):
        pop(queue, 10)
    for number in range(20):
        queue.add(make_spec(f"b{number}", "b"), 10, 1, Millis(0))
    first = [pop(queue, 10) for _ in range(10)]
    assert 4 <= sum(name.startswith("a") for name in first) <= 6


def test_pools_do_not_wait_for_each_other() -> None:
    queue = RequestQueue()
    queue.add(make_spec("g"), 10, 1, Millis(0))
    call = RequestSpec("s", "a", ServiceWork("shop", "GET", "/"))
    queue.add(call)
    assert sorted(queue.list_pools()) == ["m", "service:shop"]
    assert queue.peek("service:shop") == call


def test_wait_is_predicted_from_the_rate_of_starts() -> None:
    queue = RequestQueue(fair=False, shortest_first=False)
    for second in range(1, 11):
        queue.charge(make_spec("x"), 1_000, 1, Millis(second * 1_000))
    now = Millis(10_000)
    assert queue.predict_wait(make_spec("y"), 100, 1, now) == 0
    queue.add(make_spec("y"), 5_000, 1, now)
    wait = queue.predict_wait(make_spec("z"), 100, 1, now)
    assert 4_000 <= wait <= 6_000


@given(st.integers(0, 2**32))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_each_request_leaves_the_queue_once(seed: int) -> None:
    rng = random.Random(seed)
    queue = RequestQueue(rng.random() < 0.5, rng.random() < 0.5)
    waiting: set[str] = set()
    for number in range(200):
        now = Millis(number * 10)
        action = rng.random()
        if action < 0.6:
            spec = make_spec(f"r{number}", rng.choice("abc"), rng.randint(0, 1))
            queue.add(spec, rng.uniform(1, 500), rng.choice((1.0, 3.0)), now)
            waiting.add(spec.request)
        elif action < 0.75 and waiting:
            name = rng.choice(sorted(waiting))
            queue.remove(name)
            waiting.discard(name)
        elif waiting:
            waiting.remove(pop(queue))
    queue.order_by(fair=True, shortest_first=True)
    while waiting:
        waiting.remove(pop(queue))
    assert queue.peek("m") is None
    assert len(queue) == 0
