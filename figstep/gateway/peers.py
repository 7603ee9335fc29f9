"""Messages between entries: open work by target, crashes and leaving targets."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from figstep.core.clock import Millis
from figstep.gateway import crashes, history, sources
from figstep.gateway.budgets import FleetUse
from figstep.gateway.effects import Count, Effect, Note
from figstep.gateway.events import (
    PeerHeard,
    PeerLoad,
    ServiceCut,
)
from figstep.gateway.state import (
    DomainLoads,
    Peer,
    Request,
    State,
)

PEER_TIMEOUT = Millis(3_000)
"""Time, in milliseconds, without a message after which a peer's loads no longer count.
Peers send a message at least once a second. One in a hundred datagrams is lost, so a
single lost message must not make a peer count as silent."""

MISSING_PEER_DURATION = Millis(20_000)
"""How long, in milliseconds, a peer whose messages stopped is assumed to still run
behind a network partition and to use the fleet's retry budget. It is twice the default
window of that budget."""

REMOTE_LOADS_TIMEOUT = Millis(4_000)
"""How long, in milliseconds, the load sums of another failure domain count without a
new message. All of them are sent every two seconds, and some messages are lost."""

MEMORY_REPORT_STEP = 1_000
"""Growth of the runs at an engine, in tokens, that is reported to other entries before
the next full message."""


def complete_eras(state: State, event: PeerHeard) -> PeerHeard:
    """Return a message whose positions name an era, also if its writer knows none."""
    evacuations = event.evacuations
    known = state.evacuations.position
    if event.position.era and evacuations.position.era:
        return event
    if not (state.position.era or known.era):
        return event
    return replace(
        event,
        position=event.position.complete_era(state.position.era),
        evacuations=replace(
            evacuations, position=evacuations.position.complete_era(known.era)
        ),
    )


def handle_message(state: State, event: PeerHeard, now: Millis) -> list[Effect]:
    """Apply a peer's message; return the log lines on suspected requests."""
    _record_peer(state, event, now)
    crashes.update_knowledge(state, now)
    notes = crashes.apply_suspicions(state, event.suspicions, event.node, now)
    crashes.apply_clearances(state, event.clearances, now)
    return notes


def _record_peer(state: State, event: PeerHeard, now: Millis) -> None:
    for refusal in event.refused:
        state.refused.record_announced(refusal, now)
    peer = Peer(
        now,
        uses=event.uses,
        address=event.address,
        configuration=event.configuration,
        position=event.position,
        receives_records=event.receives_records,
        answered=event.answered,
        healthy_since=sources.find_healthy_since(state, event, now),
        far=event.far,
        reading=event.reading,
        leaving=event.leaving,
        rates=event.rates,
        failure_domain=event.failure_domain,
        relays=event.relays,
        cut_off=event.cut_off,
        cuts=event.cuts,
        brittle=event.brittle,
        rejected=event.rejected,
        starts=event.starts,
        process=event.process,
        knows_answers=event.knows_answers,
    )
    if event.far and event.failure_domain == state.failure_domain:
        # The peer sent these sums before it knew that this entry is in its failure
        # domain; its own loads come with its next message.
        return
    _record_demand(state, event, now)
    if not event.far:
        _record_past_uses(state, event, now)
    if event.far:
        state.remote_peers[event.node] = peer
        _apply_domain_loads(state, event, now)
    elif event.closing:
        known = state.peers.pop(event.node, None)
        _replace_loads(state, () if known is None else known.loads.values(), ())
        state.silent_peers.pop(event.node, None)
    else:
        _apply_loads(state, peer, event)
        for name in event.unreached:
            target = state.targets.find(name)
            if target is not None:
                target.record_unreached_report(event.node, now)
        state.peers[event.node] = peer
        state.silent_peers.pop(event.node, None)


def _record_past_uses(state: State, event: PeerHeard, now: Millis) -> None:
    """Keep what processes have used that end, or are followed by a new one."""
    past = state.past_uses
    known = state.peers.get(event.node)
    if known is not None and known.process != event.process:
        past.record(event.node, known.process, known.uses, known.last_received_at)
    if event.closing:
        past.record(event.node, event.process, event.uses, now)
    else:
        past.remove(event.node, event.process)
    for told in event.past_uses:
        live = state.peers.get(told.node)
        if live is not None and live.process == told.process:
            continue
        past.record(told.node, told.process, told.uses, Millis(now - told.age))


def _record_demand(state: State, event: PeerHeard, now: Millis) -> None:
    if state.demand is None:
        return
    if event.closing and not event.far:
        state.demand.drop_reports(event.node)
        return
    sender = event.failure_domain if event.far else event.node
    state.demand.record_entries(state.entries, now)
    state.demand.record_reports(sender, event.demand, event.far, now)


def _apply_loads(state: State, peer: Peer, event: PeerHeard) -> None:
    """Apply the loads of an entry of this failure domain.

    A partial message holds the loads that differ from those of the last full message.
    A target that is missing from it has the load of that full message again.
    """
    known = state.peers.get(event.node)
    before = {} if known is None else known.loads
    reported = {load.target: load for load in event.loads}
    if not event.partial:
        peer.loads = peer.full_loads = reported
        _replace_loads(state, before.values(), reported.values())
        return
    renewed = frozenset(reported)
    if known is not None:
        peer.full_loads = known.full_loads
        renewed |= known.changed_targets
    peer.changed_targets = frozenset(reported)
    peer.loads = {**peer.full_loads, **reported}
    _replace_loads(
        state,
        [before[target] for target in renewed if target in before],
        [peer.loads[target] for target in renewed if target in peer.loads],
    )


def _apply_domain_loads(state: State, event: PeerHeard, now: Millis) -> None:
    domain = state.remote_loads.setdefault(event.failure_domain, DomainLoads(now))
    domain.last_received_at = now
    if not event.partial:
        _replace_loads(state, domain.loads.values(), event.loads)
        domain.loads = {load.target: load for load in event.loads}
        return
    for load in event.loads:
        known = domain.loads.get(load.target)
        _replace_loads(state, () if known is None else (known,), (load,))
        domain.loads[load.target] = load


def _replace_loads(
    state: State, before: Iterable[PeerLoad], loads: Iterable[PeerLoad]
) -> None:
    """Subtract earlier loads of a peer from the targets' sums and add newer ones.

    Summing up the loads of all peers for each message would cost several times as much.
    """
    for load in before:
        _add_load(state, load, -1)
    for load in loads:
        _add_load(state, load, 1)


def expire_peers(state: State, now: Millis) -> None:
    """Remove peers whose messages stopped, with their loads.

    Peers of this failure domain, or of a small fleet, count as silent from then on, for
    ``MISSING_PEER_DURATION``. The sums of another failure domain are removed after
    ``REMOTE_LOADS_TIMEOUT``. What a peer has used of the retry budget counts until the
    window has passed since its last message.
    """
    for name in _list_expired(state.peers, now):
        peer = state.peers.pop(name)
        _replace_loads(state, peer.loads.values(), ())
        state.past_uses.record(name, peer.process, peer.uses, peer.last_received_at)
        state.silent_peers[name] = now
    state.past_uses.remove_expired(state.budget.window, now)
    for name in _list_expired(state.remote_peers, now):
        del state.remote_peers[name]
    for domain, far in list(state.remote_loads.items()):
        if now - far.last_received_at >= REMOTE_LOADS_TIMEOUT:
            _replace_loads(state, state.remote_loads.pop(domain).loads.values(), ())
    for name, since in list(state.silent_peers.items()):
        if now - since >= MISSING_PEER_DURATION:
            del state.silent_peers[name]


def _list_expired(peers: dict[str, Peer], now: Millis) -> list[str]:
    return [
        name
        for name, peer in peers.items()
        if now - peer.last_received_at >= PEER_TIMEOUT
    ]


def recount_loads(state: State) -> None:
    """Sum up the loads of all other entries again, after a target was added."""
    for target in state.targets.targets.values():
        target.peer_calls = 0
        target.peer_memory = 0
        target.peer_reading = 0
        target.peer_rate_sum = 0.0
        target.peer_rate_count = 0
        target.peer_pace_sum = 0.0
        target.peer_pace_count = 0
        target.peer_incoming = 0
        target.peer_outgoing = 0
    reported: list[Iterable[PeerLoad]] = []
    reported += [peer.loads.values() for peer in state.peers.values()]
    reported += [far.loads.values() for far in state.remote_loads.values()]
    for loads in reported:
        for load in loads:
            _add_load(state, load, 1)


def _add_load(state: State, load: PeerLoad, sign: int) -> None:
    target = state.targets.find(load.target)
    if target is None:
        return
    target.peer_calls += sign * load.calls
    target.peer_memory += sign * load.memory
    target.peer_reading += sign * load.reading
    target.peer_incoming += sign * load.incoming
    target.peer_outgoing += sign * load.outgoing
    if load.read_rate is not None:
        target.peer_rate_sum += sign * load.read_rate
        target.peer_rate_count += sign
    if load.pace is not None:
        target.peer_pace_sum += sign * load.pace
        target.peer_pace_count += sign


def list_loads(state: State) -> tuple[PeerLoad, ...]:
    """Return this entry's loads, one for each target with any load or read rate."""
    loads = []
    for target in state.targets.targets.values():
        if not (
            target.calls or target.memory or target.own_read_rate or target.own_pace
        ):
            continue
        loads.append(
            PeerLoad(
                target.name,
                target.calls,
                target.memory,
                target.reading,
                target.own_read_rate,
                target.incoming,
                target.outgoing,
                target.own_pace,
            )
        )
    return tuple(loads)


def sum_uses(state: State, service: str, now: Millis) -> FleetUse:
    """Return the other entries' recent use of a service, and how complete it is.

    It includes that of entries which ended, or started again, within the window.
    """
    past = state.past_uses.sum_uses(service, state.budget.window, now)
    requests, repeats = past.requests, past.repeats
    for peer in state.peers.values():
        for use in peer.uses:
            if use.service == service:
                requests += use.requests
                repeats += use.repeats
    others = state.peers.keys() | state.silent_peers.keys()
    others |= state.past_uses.list_nodes()
    sharing = 1 + len(others - {state.node})
    known_fraction = min(1.0, sharing / max(1, state.entries))
    # Without peers, this entry can't tell whether others have started that it does not
    # hear.
    complete = not state.silent_peers and (bool(state.peers) or state.entries <= 1)
    return FleetUse(requests, repeats, sharing, complete, known_fraction)


def spend_repeat(state: State, service: str, now: Millis, urgent: bool = False) -> bool:
    """Record a repeat if the fleet's retry budget permits one; return whether it does.

    An urgent repeat may use the part of the budget that is reserved for streams whose
    engine leaves or failed.
    """
    if not state.budget.can_repeat(service, sum_uses(state, service, now), now, urgent):
        return False
    state.budget.record_repeat(service, now)
    return True


def record_denied(state: State, request: Request, now: Millis) -> list[Effect]:
    """Count a denied repeat; log only the first one of each request."""
    counted: list[Effect] = [Count("repeats_denied", (request.route.name,))]
    if request.retry_denied:
        return counted
    request.retry_denied = True
    fleet = sum_uses(state, request.service, now)
    note = Note(
        "repeat denied by the fleet's budget",
        {
            "request": request.spec.id,
            "service": request.service,
            "own_repeats": state.budget.count_repeats(request.service, now),
            "fleet_repeats": fleet.repeats,
            "fleet_requests": fleet.requests,
            "part": fleet.fleet_fraction,
            "complete": fleet.complete,
        },
    )
    return [*counted, note]


def describe_entry(state: State, now: Millis) -> PeerHeard:
    """Return the message in which this entry describes itself to the others.

    It holds all loads. Its address is empty; the peer port sets it on sending.
    """
    own_relays = _list_own_relays(state)
    return PeerHeard(
        state.node,
        list_loads(state),
        state.budget.report(now),
        suspicions=state.crashes.list_suspicions(now),
        clearances=state.crashes.list_clearances(now),
        closing=state.closes_at is not None,
        configuration=sources.get_configuration_version(state),
        position=state.position,
        failure_domain=state.failure_domain,
        entries=state.entries,
        receives_records=not state.store_unreachable,
        answered=history.may_read(state, now),
        reading=sources.reads_store(state, now),
        leaving=tuple(state.list_leaving(now)),
        refused=state.refused.list_announced(now),
        evacuations=state.evacuations,
        unreached=tuple(state.list_unreached(now)),
        rates=tuple(state.list_rates(now)),
        relays=own_relays,
        cut_off=state.is_cut_off,
        cuts=tuple(
            ServiceCut(service, own_relays) for service in sorted(state.cut_services)
        ),
        brittle=tuple(state.list_brittle(now)),
        rejected=tuple(state.list_rejected(now)),
        starts=state.starts.list_announced(state.announced_since, now),
        recorded=history.list_announced_versions(state, now),
        demand=state.list_demand(now),
        knows_answers=crashes.has_learned_answers(state, now),
    )


def _list_own_relays(state: State) -> tuple[str, ...]:
    """Return where this entry accepts requests of other entries; empty if it does not.

    It accepts none if it is cut off from all services or shuts down.
    """
    if not state.relay_address or state.is_cut_off or state.closes_at is not None:
        return ()
    return (state.relay_address,)


def select_changed(
    reported: Mapping[str, PeerLoad], loads: Iterable[PeerLoad]
) -> tuple[PeerLoad, ...]:
    """Return the loads whose change is reported before the next full message.

    Runs grow with every event, which alone is not reported. The placement of prompts
    depends on attempts that start or end, prompts that were read, copies in progress,
    and growth of at least ``MEMORY_REPORT_STEP``. A reported load that is missing from
    ``loads`` is returned as zero; ``reported`` holds the last reported loads by target.
    """
    changed = []
    remaining = dict(reported)
    for load in loads:
        before = remaining.pop(load.target, None)
        if before is None or _differs(before, load):
            changed.append(load)
    for name, before in remaining.items():
        if before.calls or before.memory:
            changed.append(PeerLoad(name, 0, 0))
    return tuple(changed)


def _differs(one: PeerLoad, other: PeerLoad) -> bool:
    if abs(one.memory - other.memory) >= MEMORY_REPORT_STEP:
        return True
    counted = (one.calls, one.reading, one.incoming, one.outgoing)
    return counted != (other.calls, other.reading, other.incoming, other.outgoing)
