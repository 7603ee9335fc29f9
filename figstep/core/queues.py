"""Queue of requests: fair between customers, then shortest expected answer first.

There is one queue per pool (a model or a plain service), so that a pool without free
capacity does not block the others. Within a pool, requests are ordered by priority,
then by customer (`figstep.core.fairness`: the customer with the least work for its
share goes first), then by expected length. Waiting time offsets length, so that
shorter requests do not overtake a long one of the same customer forever.
"""

import heapq
from dataclasses import dataclass, field

from figstep.core.clock import Millis
from figstep.core.fairness import FairShares
from figstep.core.specs import GenerationWork, RequestSpec

AGING_MS_PER_TOKEN = 20.0
"""Waiting time that offsets one more expected token, in milliseconds."""

RATE_AVERAGING_TIME = 20_000.0
"""Time constant of the average of the rate of started work, in milliseconds."""

MAX_PREDICTED_WAIT = 3_600_000.0
"""Upper bound of a predicted wait, in milliseconds; needed where the rate is near 0."""

SERVICE_COST = 1.0
"""Expected work of a plain service request, on the scale of tokens."""


def name_pool(spec: RequestSpec) -> str:
    """Return the name of the pool of targets that can run a request."""
    match spec.work:
        case GenerationWork(model=model):
            return model
        case work:
            return "service:" + work.service


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        cost: Expected work, in tokens.
        since: Time of arrival (monotonic), in milliseconds.
    """

    spec: RequestSpec
    cost: float
    share: float
    since: Millis


@dataclass(slots=True)
class CustomerQueue:
    """Queued requests of one customer at one priority of a pool.

    Attributes:
        cost: Expected work of the queued requests, in tokens.
        heap: Requests as (sort key, sequence number, request id); it may still hold
            requests that were removed.
    """

    cost: float = 0.0
    count: int = 0
    heap: list[tuple[float, int, str]] = field(default_factory=list)


@dataclass(slots=True)
class PriorityLevel:
    """Customers that have or had requests of one priority of a pool.

    Attributes:
        turns: Turns of the customers; work is in tokens.
        customers: Queues by customer; a single one under "" if customers do not take
            turns.
    """

    turns: FairShares = field(default_factory=FairShares)
    customers: dict[str, CustomerQueue] = field(default_factory=dict)


@dataclass(slots=True)
class Rate:
    """Decaying average of the rate of started work, in tokens per millisecond.

    Attributes:
        work: Decayed sum of the work that started, in tokens.
        weight: Decayed sum of the time that passed, in milliseconds.
        at: Time of the last decay (monotonic), in milliseconds.
    """

    work: float = 0.0
    weight: float = 0.0
    at: Millis = Millis(0)

    def add(self, work: float, now: Millis) -> None:
        """Add ``work`` tokens that start at ``now``."""
        self._decay(now)
        self.work += work

    def read(self, now: Millis) -> float | None:
        """Return the rate in tokens per millisecond.

        It is None if no work has started, or if the observed time is less than an
        eighth of ``RATE_AVERAGING_TIME``.
        """
        self._decay(now)
        if self.weight < RATE_AVERAGING_TIME / 8 or self.work <= 0:
            return None
        return self.work / self.weight

    def _decay(self, now: Millis) -> None:
        passed = max(0, now - self.at) if self.at else 0
        self.at = now
        keep = 1.0 - min(1.0, passed / RATE_AVERAGING_TIME)
        self.work *= keep
        self.weight = self.weight * keep + passed


@dataclass(slots=True)
class Pool:
    """Queued requests that the same targets can run.

    Attributes:
        cost: Expected work of the queued requests, in tokens.
    """

    levels: dict[int, PriorityLevel] = field(default_factory=dict)
    count: int = 0
    cost: float = 0.0
    rate: Rate = field(default_factory=Rate)


class RequestQueue:
    """Queued requests of all pools.

    Adding, removing and finding the next request take amortized time logarithmic in
    the number of queued requests.

    Args:
        fair: Whether customers take turns by their shares.
        shortest_first: Whether a customer's requests are ordered by expected length
            and waiting time, instead of by arrival.
    """

    def __init__(self, fair: bool = True, shortest_first: bool = True) -> None:
        self.fair = fair
        self.shortest_first = shortest_first
        self._queued: dict[str, QueuedRequest] = {}
        self._pools: dict[str, Pool] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._queued)

    def order_by(self, fair: bool, shortest_first: bool) -> None:
        """Change the order of the queue, and queue its requests again in that order."""
        if (fair, shortest_first) == (self.fair, self.shortest_first):
            return
        waiting = list(self._queued.values())
        for queued in waiting:
            self.remove(queued.spec.request)
        self.fair, self.shortest_first = fair, shortest_first
        for queued in waiting:
            self.add(queued.spec, queued.cost, queued.share, queued.since)

    def list_pools(self) -> list[str]:
        """Return the names of the pools that have queued requests."""
        return [name for name, pool in self._pools.items() if pool.count]

    def has_waiting(self, spec: RequestSpec) -> bool:
        """Return whether the pool of ``spec`` has queued requests."""
        pool = self._pools.get(name_pool(spec))
        return pool is not None and pool.count > 0

    def add(
        self,
        spec: RequestSpec,
        cost: float = SERVICE_COST,
        share: float = 1.0,
        since: Millis = Millis(0),
    ) -> None:
        """Add a request to the queue.

        ``cost`` is the expected work, in tokens, and ``since`` the time of arrival.
        """
        queued = QueuedRequest(spec, cost, share, since)
        self._queued[spec.request] = queued
        pool = self._find_pool(spec)
        pool.count += 1
        pool.cost += cost
        level = pool.levels.setdefault(spec.priority, PriorityLevel())
        name = self._get_customer_key(spec)
        level.turns.join(name, share)
        customer = level.customers.setdefault(name, CustomerQueue())
        self._number += 1
        key = (
            since + AGING_MS_PER_TOKEN * cost
            if self.shortest_first
            else float(self._number)
        )
        heapq.heappush(customer.heap, (key, self._number, spec.request))
        customer.count += 1
        customer.cost += cost

    def remove(self, request: str) -> None:
        """Remove a request from the queue, if it is there."""
        queued = self._queued.pop(request, None)
        if queued is None:
            return
        pool = self._find_pool(queued.spec)
        pool.count -= 1
        pool.cost -= queued.cost
        level = pool.levels[queued.spec.priority]
        name = self._get_customer_key(queued.spec)
        level.turns.leave(name)
        customer = level.customers[name]
        customer.count -= 1
        customer.cost -= queued.cost
        if customer.count == 0:
            customer.cost = 0.0
            customer.heap.clear()

    def peek(self, pool_name: str) -> RequestSpec | None:
        """Return the next request of a pool, or None if it has none."""
        pool = self._pools.get(pool_name)
        if pool is None or pool.count == 0:
            return None
        for priority in sorted(pool.levels, reverse=True):
            found = self._peek_level(pool.levels[priority])
            if found is not None:
                return found
        return None

    def charge(self, spec: RequestSpec, cost: float, share: float, now: Millis) -> None:
        """Charge a request that starts to its customer and to the pool's rate.

        ``cost`` is the expected work of the request, in tokens.
        """
        pool = self._find_pool(spec)
        pool.rate.add(cost, now)
        level = pool.levels.setdefault(spec.priority, PriorityLevel())
        level.turns.charge(self._get_customer_key(spec), cost, share)

    def predict_wait(
        self, spec: RequestSpec, cost: float, share: float, now: Millis
    ) -> Millis:
        """Return the predicted wait of a request, in milliseconds; 0 if unknown.

        The wait is the work ahead, divided by the rate at which work of the pool has
        been starting. The work ahead is all queued work of the pool. If customers
        take turns, it is at most the queued work of the request's own customer,
        divided by that customer's fraction of the shares. If shorter requests go
        first, the wait is also at least the time until the request's sort key
        reaches the one at the head of its customer's queue.

        ``cost`` is the expected work of the request, in tokens.
        """
        pool = self._pools.get(name_pool(spec))
        if pool is None or pool.count == 0:
            return Millis(0)
        rate = pool.rate.read(now)
        if rate is None:
            return Millis(0)
        ahead = pool.cost
        level = pool.levels.get(spec.priority)
        if self.fair and level is not None:
            customer = level.customers.get(spec.customer)
            own = customer.cost if customer is not None else 0.0
            shares = level.turns.shares
            if customer is None or customer.count == 0:
                shares += share
            ahead = min(ahead, own * shares / share)
        wait = ahead / rate
        if self.shortest_first and level is not None:
            wait = max(wait, self._predict_turn(level, spec, cost, now))
        # The rate approaches zero if no work has started for a long time.
        return Millis(round(min(wait, MAX_PREDICTED_WAIT)))

    def _predict_turn(
        self, level: PriorityLevel, spec: RequestSpec, cost: float, now: Millis
    ) -> float:
        # Shorter requests that arrive later go ahead of a long one. In a steady queue
        # the key at the head advances with the time, so the distance from this
        # request's key to the one at the head is its wait.
        customer = level.customers.get(self._get_customer_key(spec))
        if customer is None or self._peek_customer(customer) is None:
            return 0.0
        return now + AGING_MS_PER_TOKEN * cost - customer.heap[0][0]

    def _find_pool(self, spec: RequestSpec) -> Pool:
        name = name_pool(spec)
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = Pool()
        return pool

    def _get_customer_key(self, spec: RequestSpec) -> str:
        return spec.customer if self.fair else ""

    def _peek_level(self, level: PriorityLevel) -> RequestSpec | None:
        name = level.turns.peek()
        return None if name is None else self._peek_customer(level.customers[name])

    def _peek_customer(self, customer: CustomerQueue) -> RequestSpec | None:
        while customer.heap:
            queued = self._queued.get(customer.heap[0][2])
            if queued is not None:
                return queued.spec
            # The request was removed from the queue but not from the heap.
            heapq.heappop(customer.heap)
        return None
