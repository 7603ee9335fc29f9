"""Lookup of customers by the key in their requests."""

from collections.abc import Callable, Mapping

from figstep.core.clock import Millis
from figstep.core.inventory import CustomerInfo, Inventory
from figstep.core.problems import Problem
from figstep.errors import RefusedError
from figstep.inventory import hash_key

_REMEDY = "send the customer's key as 'Authorization: Bearer KEY'"


class CustomerKeys:
    """Customers of the document in force, indexed by the hash of their key."""

    def __init__(self, read_inventory: Callable[[], Inventory | None]) -> None:
        self._read_inventory = read_inventory
        self._inventory: Inventory | None = None
        self._customers: dict[str, CustomerInfo] = {}

    def find_customer(self, headers: Mapping[str, str]) -> CustomerInfo:
        """Return the customer that a request belongs to.

        Raises:
            RefusedError: If no document is in force, or the request has no key or an
                unknown one.
        """
        self._refresh()
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise RefusedError(Problem(401, "missing_key", f"no key; {_REMEDY}"))
        customer = self._customers.get(hash_key(key.strip()))
        if customer is None:
            detail = f"no customer has this key; check it and {_REMEDY}"
            raise RefusedError(Problem(401, "unknown_key", detail))
        return customer

    def _refresh(self) -> None:
        inventory = self._read_inventory()
        if inventory is None:
            detail = "no configuration is in force yet; come back after Retry-After"
            problem = Problem(503, "no_configuration", detail, retry_after=Millis(2000))
            raise RefusedError(problem)
        if inventory is self._inventory:
            return
        self._inventory = inventory
        self._customers = {c.key_hash: c for c in inventory.customers}
