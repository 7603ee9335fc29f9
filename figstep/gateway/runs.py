"""Copies of running generations, as engines name them."""

from collections.abc import Callable
from dataclasses import dataclass

from figstep.gateway.targets import Incarnation, Target


@dataclass(frozen=True, slots=True)
class RunCopy:
    """Copy of a run's memory at an engine other than the one that runs it.

    An engine that restarts may give the same names again, to copies of other runs.

    Attributes:
        holder: Engine that holds the copy.
        owner: Engine whose address identifies the copy: the holder for a running
            backup, the source for a copy made on order.
        address: Address of the owner as it was when the copy was made, as "ip:port".
        handle: Name of the copy at that address.
    """

    holder: Incarnation
    owner: Incarnation
    address: str
    handle: str

    @property
    def on_order(self) -> bool:
        """Whether its source made it on order, and named it.

        A running backup bears the id of its request, which no other copy has.
        """
        return self.owner != self.holder


def build_ordered_copy(source: Target, holder: Target, handle: str) -> RunCopy:
    """Return a copy that ``source`` made at ``holder`` on order."""
    return RunCopy(
        holder.info.incarnation,
        source.info.incarnation,
        source.info.address,
        handle,
    )


def build_backup(holder: Target, request_id: str) -> RunCopy:
    """Return a running backup at ``holder`` of the run of a request."""
    incarnation = holder.info.incarnation
    return RunCopy(incarnation, incarnation, holder.info.address, request_id)


def is_outdated(copy: RunCopy, find_target: Callable[[str], Target | None]) -> bool:
    """Return whether an engine that made or holds a copy is known to have restarted.

    An engine that is no longer registered has ended, and names no other copy.
    """
    owner = find_target(copy.owner.target)
    if owner is not None and owner.info.address != copy.address:
        # Registrations that do not state their start differ in the address.
        return True
    holder = find_target(copy.holder.target)
    return _has_restarted(owner, copy.owner) or _has_restarted(holder, copy.holder)


def _has_restarted(target: Target | None, incarnation: Incarnation) -> bool:
    if target is None:
        return False
    return target.restarted or target.info.incarnation != incarnation
