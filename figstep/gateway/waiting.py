"""Order and membership of the queue of requests that wait for capacity.

With `State.fleet_admission`, customers take turns by weight among requests of equal
urgency (`figstep.core.fairness`), and a customer's waiting requests take no place in
the queue that another one is entitled to. Otherwise arrival decides.
"""

import math

from figstep.core.clock import Millis
from figstep.core.fairness import FairShares
from figstep.gateway import placement
from figstep.gateway.state import Request, State

CALL_COST = 1.0
"""Work of a call without a prompt; calls and prompts never share a service."""

MAX_DESCRIBED_CUSTOMERS = 5
"""Number of customers in a log line, those with most waiting requests first."""


def join(state: State, request: Request) -> None:
    """Add a request to the queue."""
    request.queued = True
    state.queue.append(request.spec.number)
    _find_shares(state, request).join(request.customer, request.weight)


def leave(state: State, request: Request) -> None:
    """Remove a request from the queue, if it is there."""
    if not request.queued:
        return
    request.queued = False
    state.queue.remove(request.spec.number)
    _find_shares(state, request).leave(request.customer)


def charge(state: State, request: Request) -> None:
    """Charge a request that starts to its customer.

    A request that is sent again after a target was lost is not charged again.
    """
    if request.attempts_sent > 0:
        return
    prompt = request.spec.prompt
    cost = CALL_COST if prompt is None else prompt.tokens + prompt.expected_output
    shares = _find_shares(state, request)
    shares.charge(request.customer, float(cost), request.weight)
    shares.remove_idle()


def list_in_order(state: State, now: Millis) -> list[Request]:
    """Return the waiting requests in the order in which they are considered.

    The most urgent come first, among these the ones that take up a stream and can go on
    at few targets, then the ones that can still meet their objective, then those whose
    customer has the least work for its weight, and then the oldest.
    """
    waiting = [state.requests[number] for number in state.queue]
    waiting.sort(key=lambda request: _rank(state, request, now))
    return waiting


def list_preceding(state: State, request: Request, now: Millis) -> list[Request]:
    """Return the waiting requests that go before one that arrives, in order.

    There are none without `State.fleet_admission`: a request that arrives then starts
    wherever there is room.
    """
    if not state.fleet_admission or not state.queue:
        return []
    rank = _rank(state, request, now)
    return [
        other
        for other in list_in_order(state, now)
        if other.service == request.service
        and other.origin == request.origin
        and _rank(state, other, now) <= rank
    ]


def count_ahead(state: State, request: Request) -> int:
    """Return how many requests of the service wait ahead of one.

    These are the more urgent ones and, of those of equal urgency, the ones that start
    before it as customers take turns; without `State.fleet_admission` all of them.
    """
    ahead = 0.0
    for (service, priority), shares in state.customer_shares.items():
        if service != request.service or priority > request.priority:
            continue
        if priority == request.priority and state.fleet_admission:
            ahead += shares.count_ahead(
                request.customer, request.weight, int(request.queued)
            )
        else:
            ahead += sum(account.waiting for account in shares.accounts.values())
    return math.ceil(ahead)


def count_behind(state: State, request: Request) -> int:
    """Return how many requests of equal urgency wait here for a later turn.

    The request itself counts if it waits. It is 0 without `State.fleet_admission`.
    """
    if not state.fleet_admission:
        return 0
    shares = _find_shares(state, request)
    ahead = shares.count_ahead(request.customer, request.weight, int(request.queued))
    waiting = sum(account.waiting for account in shares.accounts.values())
    return max(0, waiting - math.ceil(ahead))


def find_last(state: State, request: Request) -> Request | None:
    """Return the request that may have to make room for one that joined the queue.

    It is the last one of the customer with most waiting requests for its weight, if
    it has more than the request's own. A stream that is taken up makes no room.
    """
    if not state.fleet_admission:
        return None
    customer = _find_shares(state, request).find_longest(request.customer)
    if customer is None:
        return None
    for number in reversed(state.queue):
        other = state.requests[number]
        if (
            other.customer == customer
            and other.service == request.service
            and other.priority == request.priority
            and other.origin is None
        ):
            return other
    return None


def count_customer(state: State, request: Request) -> int:
    """Return how many requests of a request's customer wait beside it."""
    waiting = _find_shares(state, request).count_waiting(request.customer)
    return waiting - int(request.queued)


def describe_customers(state: State, service: str) -> str:
    """Return the customers with most waiting requests of a service, for log lines."""
    counts: dict[str, int] = {}
    for number in state.queue:
        request = state.requests[number]
        if request.service == service:
            name = request.customer or "(none)"
            counts[name] = counts.get(name, 0) + 1
    longest = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return " ".join(
        f"{name}:{count}" for name, count in longest[:MAX_DESCRIBED_CUSTOMERS]
    )


def _find_shares(state: State, request: Request) -> FairShares:
    key = request.service, request.priority
    shares = state.customer_shares.get(key)
    if shares is None:
        shares = state.customer_shares[key] = FairShares()
    return shares


def _rank(
    state: State, request: Request, now: Millis
) -> tuple[int, bool, bool, float, int]:
    is_new = request.origin is None
    late = placement.is_late(request, now)
    tag = 0.0
    if state.fleet_admission:
        tag = _find_shares(state, request).read_tag(request.customer)
    return request.priority, is_new, late, tag, request.arrived
