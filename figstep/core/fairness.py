"""Weighted fair shares of customers: start-time fair queueing.

Each customer has a finish tag, the virtual time at which the work that it has started
ends: work divided by the customer's share. The waiting customer with the lowest tag
goes first. A customer that begins to wait continues at the current virtual time, so
idle time earns no credit. The order of a customer's own requests is up to the caller.
"""

import heapq
from dataclasses import dataclass, field


@dataclass(slots=True)
class Account:
    """Work that one customer has started, and whether it waits.

    Attributes:
        finish_tag: Virtual time at which the last started work of the customer ends,
            in units of work divided by the share.
        waiting: Number of its waiting requests.
        in_heap: Whether the customer is in the heap of ``FairShares``.
    """

    finish_tag: float = 0.0
    share: float = 1.0
    waiting: int = 0
    in_heap: bool = False


@dataclass(slots=True)
class FairShares:
    """Accounts of the customers that compete for the same capacity.

    Attributes:
        clock: Virtual time: the highest start tag of started work.
        shares: Sum of the shares of the waiting customers.
        accounts: Accounts by customer.
        heap: Customers as (finish tag, name), the smallest tag first; a tag may be
            lower than the customer's current one.
    """

    clock: float = 0.0
    shares: float = 0.0
    accounts: dict[str, Account] = field(default_factory=dict)
    heap: list[tuple[float, str]] = field(default_factory=list)

    def join(self, customer: str, share: float = 1.0) -> None:
        """Record that a request of a customer begins to wait."""
        account = self._find_account(customer, share)
        account.waiting += 1
        if account.waiting > 1:
            return
        # A customer that was idle continues at the current virtual time. With its
        # old tag it could use all capacity for as long as it was idle.
        account.finish_tag = max(account.finish_tag, self.clock)
        self.shares += account.share
        if account.in_heap:
            return
        account.in_heap = True
        heapq.heappush(self.heap, (account.finish_tag, customer))

    def leave(self, customer: str) -> None:
        """Record that a request of a customer no longer waits."""
        account = self.accounts[customer]
        account.waiting -= 1
        if account.waiting == 0:
            self.shares -= account.share

    def charge(self, customer: str, cost: float, share: float = 1.0) -> None:
        """Charge work that starts to its customer."""
        account = self._find_account(customer, share)
        self.clock = max(self.clock, account.finish_tag)
        account.finish_tag = self.clock + cost / share

    def peek(self) -> str | None:
        """Return the waiting customer whose turn it is, or None if none waits."""
        while self.heap:
            finish_tag, customer = self.heap[0]
            account = self.accounts[customer]
            if account.waiting == 0:
                account.in_heap = False
                heapq.heappop(self.heap)
                continue
            if finish_tag < account.finish_tag:
                heapq.heapreplace(self.heap, (account.finish_tag, customer))
                continue
            return customer
        return None

    def read_tag(self, customer: str) -> float:
        """Return the virtual time at which a request of a customer may start."""
        account = self.accounts.get(customer)
        if account is None:
            return self.clock
        if account.waiting:
            return account.finish_tag
        return max(account.finish_tag, self.clock)

    def count_waiting(self, customer: str) -> int:
        """Return the number of waiting requests of a customer."""
        account = self.accounts.get(customer)
        return 0 if account is None else account.waiting

    def count_ahead(
        self, customer: str, share: float = 1.0, excluded: int = 0
    ) -> float:
        """Return how many waiting requests go before a customer's last one.

        These are the customer's own, and of each other customer as many as its share
        lets it start in the same time.

        Args:
            customer: Name of the customer.
            share: Its share.
            excluded: Number of its waiting requests that don't count; 1 if the last
                one waits already.
        """
        own = self.count_waiting(customer) - excluded
        turns = (own + 1) / share
        ahead = float(own)
        for name, account in self.accounts.items():
            if name != customer:
                ahead += min(account.waiting, turns * account.share)
        return ahead

    def find_longest(self, customer: str) -> str | None:
        """Return the customer with most waiting requests for its share.

        It is None if ``customer``, which waits, has no fewer for its own share.
        """
        longest = max(self.accounts, key=self._measure_backlog)
        if self._measure_backlog(longest) <= self._measure_backlog(customer):
            return None
        return longest

    def remove_idle(self) -> None:
        """Remove the accounts that would continue at the current virtual time.

        It changes no order, and keeps names that are no longer in use from piling up.
        """
        self.peek()
        idle = [
            name
            for name, account in self.accounts.items()
            if not account.waiting
            and not account.in_heap
            and account.finish_tag <= self.clock
        ]
        for name in idle:
            del self.accounts[name]

    def _measure_backlog(self, customer: str) -> float:
        account = self.accounts[customer]
        return account.waiting / account.share

    def _find_account(self, customer: str, share: float) -> Account:
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = Account()
        if account.waiting == 0:
            account.share = share
        return account
