"""Messages to other failure domains: what the entries of one know, summed up.

In a large fleet entries exchange all they know within their failure domain only.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from figstep.core.clock import Millis
from figstep.gateway import shares, sources
from figstep.gateway.demand import DemandReport
from figstep.gateway.events import (
    BrittlenessReport,
    PeerHeard,
    PeerLoad,
    RateReport,
    RejectionReport,
    ServiceCut,
)
from figstep.gateway.peers import describe_entry, list_loads
from figstep.gateway.starts import MAX_ANNOUNCED_STARTS, StreamStart
from figstep.gateway.state import REJECTION_ANNOUNCE_DURATION, State

Report = TypeVar("Report", RateReport, BrittlenessReport, RejectionReport)

MAX_DOMAIN_RELAYS = 16
"""Maximum number of entries of a failure domain that other failure domains learn of as
accepting their requests. A message grows with it."""

RELAY_ROTATION = Millis(5_000)
"""Time in milliseconds after which other entries of a failure domain are named."""


def describe_domain(state: State, now: Millis) -> PeerHeard:
    """Return a message for other failure domains with this domain's summed loads."""
    reported = [*list_loads(state)]
    for peer in state.peers.values():
        reported += peer.loads.values()
    return _describe_domain(state, _sum_loads(reported), now)


def describe_domain_at(state: State, target: str, now: Millis) -> PeerHeard:
    """Return a message with this failure domain's summed load at one target.

    Only the loads are partial; all other fields are complete.
    """
    reported = [load for load in list_loads(state) if load.target == target]
    for peer in state.peers.values():
        load = peer.loads.get(target)
        if load is not None:
            reported.append(load)
    message = _describe_domain(state, _sum_loads(reported), now)
    return replace(message, partial=True)


def _describe_domain(
    state: State, loads: tuple[PeerLoad, ...], now: Millis
) -> PeerHeard:
    own = describe_entry(state, now)
    relays = _list_relays(state, own, now)
    leaving = {*own.leaving}
    for peer in state.peers.values():
        leaving.update(peer.leaving)
    return replace(
        own,
        loads=loads,
        uses=(),
        refused=(),
        unreached=(),
        far=True,
        leaving=tuple(sorted(leaving)),
        rates=_list_rates(state, own, now),
        relays=relays,
        cut_off=False,
        cuts=_list_cuts(state, own, relays),
        brittle=_list_brittle(state, own, now),
        rejected=_list_rejected(state, own, now),
        starts=_list_starts(state, own),
        demand=_sum_demand(state, own, now),
    )


def _sum_demand(state: State, own: PeerHeard, now: Millis) -> tuple[DemandReport, ...]:
    """Return the demand of the entries of this failure domain that report it."""
    if state.demand is None:
        return ()
    return state.demand.sum_domain(own.demand, now)


def _list_starts(state: State, own: PeerHeard) -> tuple[StreamStart, ...]:
    """Return the streams that entries of this failure domain recently began."""
    starts = {start.stream: start for start in own.starts}
    for peer in state.peers.values():
        starts.update((start.stream, start) for start in peer.starts)
    ordered = [starts[stream] for stream in sorted(starts)]
    return tuple(ordered[:MAX_ANNOUNCED_STARTS])


def _list_rates(state: State, own: PeerHeard, now: Millis) -> tuple[RateReport, ...]:
    """Return each target's newest rate named to any entry of this failure domain."""
    reports = list(own.rates)
    for peer in state.peers.values():
        reports += _add_age(peer.rates, now - peer.last_received_at)
    return _pick_newest(reports, lambda report: report.incarnation)


def _list_brittle(
    state: State, own: PeerHeard, now: Millis
) -> tuple[BrittlenessReport, ...]:
    """Return the newest report of each brittle service in this failure domain."""
    reports = list(own.brittle)
    for peer in state.peers.values():
        reports += _add_age(peer.brittle, now - peer.last_received_at)
    return _pick_newest(reports, lambda report: report.service)


def _list_rejected(
    state: State, own: PeerHeard, now: Millis
) -> tuple[RejectionReport, ...]:
    """Return the newest rejection of each brittle target in this failure domain."""
    reports = list(own.rejected)
    for peer in state.peers.values():
        reports += _add_age(peer.rejected, now - peer.last_received_at)
    recent = [one for one in reports if one.age < REJECTION_ANNOUNCE_DURATION]
    return _pick_newest(recent, lambda report: report.target)


def _add_age(reports: Iterable[Report], age: int) -> list[Report]:
    return [replace(report, age=Millis(report.age + age)) for report in reports]


def _pick_newest(
    reports: Iterable[Report], read_key: Callable[[Report], Any]
) -> tuple[Report, ...]:
    """Return the newest report of each key, sorted by the keys.

    In another order the same reports would look like a change that has to be sent.
    """
    newest: dict[Any, Report] = {}
    for report in reports:
        key = read_key(report)
        if key not in newest or report.age < newest[key].age:
            newest[key] = report
    return tuple(newest[key] for key in sorted(newest))


def _list_relays(state: State, own: PeerHeard, now: Millis) -> tuple[str, ...]:
    """Return where some entries of this failure domain accept others' requests.

    There are up to `MAX_DOMAIN_RELAYS` for each service from which an entry is cut off,
    and for all others. They change every `RELAY_ROTATION`, so that not only a few get
    these requests.
    """
    cut: dict[str, set[str]] = {address: set() for address in own.relays}
    for peer in state.peers.values():
        cut.update((address, set()) for address in peer.relays)
    for known in _iterate_cuts(state, own):
        for address in known.relays:
            cut.setdefault(address, set()).add(known.service)
    key = str(now // RELAY_ROTATION)
    ranked = sorted(
        cut, key=lambda address: (len(cut[address]), shares.hash_rank(address, key))
    )
    picked = set(ranked[:MAX_DOMAIN_RELAYS])
    for service in set().union(*cut.values()):
        reaching = [address for address in ranked if service not in cut[address]]
        picked.update(reaching[:MAX_DOMAIN_RELAYS])
    return tuple(address for address in ranked if address in picked)


def _list_cuts(
    state: State, own: PeerHeard, relays: tuple[str, ...]
) -> tuple[ServiceCut, ...]:
    """Return which of the addresses belong to entries that are cut off from a service.

    They are sorted: in another order they would look like a change that has to be sent.
    """
    cut: dict[str, set[str]] = {}
    for known in _iterate_cuts(state, own):
        cut.setdefault(known.service, set()).update(known.relays)
    return tuple(
        ServiceCut(service, tuple(one for one in relays if one in cut[service]))
        for service in sorted(cut)
    )


def _iterate_cuts(state: State, own: PeerHeard) -> Iterator[ServiceCut]:
    yield from own.cuts
    for peer in state.peers.values():
        yield from peer.cuts


def is_domain_representative(state: State, now: Millis) -> bool:
    """Return whether this entry reports its domain's loads to other domains.

    That is the entry with the lowest name among this one and the live peers.
    """
    return not any(name < state.node for name in sources.list_live_peers(state, now))


def _sum_loads(loads: Iterable[PeerLoad]) -> tuple[PeerLoad, ...]:
    sums: dict[str, _Sum] = {}
    for load in loads:
        known = sums.get(load.target)
        if known is None:
            known = sums[load.target] = _Sum()
        known.add(load)
    return tuple(known.read(target) for target, known in sums.items())


@dataclass(slots=True)
class _Sum:
    """Sum of what several entries have open at a target."""

    calls: int = 0
    memory: int = 0
    reading: int = 0
    incoming: int = 0
    outgoing: int = 0
    rates: float = 0.0
    rated: int = 0
    paces: float = 0.0
    paced: int = 0

    def add(self, load: PeerLoad) -> None:
        self.calls += load.calls
        self.memory += load.memory
        self.reading += load.reading
        self.incoming += load.incoming
        self.outgoing += load.outgoing
        if load.read_rate is not None:
            self.rates += load.read_rate
            self.rated += 1
        if load.pace is not None:
            self.paces += load.pace
            self.paced += 1

    def read(self, target: str) -> PeerLoad:
        rate = self.rates / self.rated if self.rated else None
        pace = self.paces / self.paced if self.paced else None
        return PeerLoad(
            target,
            self.calls,
            self.memory,
            self.reading,
            rate,
            self.incoming,
            self.outgoing,
            pace,
        )
