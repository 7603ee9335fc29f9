"""Gossip-based membership and failure detection for entries and targets.

In every period each entry sends a message to a fixed number of other entries,
however many there are, and treats the acknowledgement as proof that the receiver
is alive. News of members and targets is piggybacked on these messages.
"""

from figstep.core import quarantine
from figstep.core.clock import Millis
from figstep.core.datagrams import build_gossip
from figstep.core.effects import (
    Count,
    Effect,
    FetchCheckpoint,
    Note,
    SendGossip,
    WakeAt,
)
from figstep.core.events import (
    FetchTimer,
    GossipReceived,
    GossipTimer,
    InstancesListed,
    PeerListenerOpened,
)
from figstep.core.gossip import (
    Gossip,
    LeavingMark,
    MarkState,
    Member,
    MemberNews,
    MemberStatus,
    hash_target,
)
from figstep.core.state import State

GOSSIP_INTERVAL = Millis(1_000)
"""Mean time between two periodic rounds, in milliseconds.

Each interval is jittered by up to 10 percent in either direction.
"""
FANOUT = 2
"""Entries that each periodic round sends to."""
URGENT_FANOUT = 3
"""Maximum number of entries that one urgent broadcast sends to."""
URGENT_RATE = 1.0
"""Average rate limit of urgent messages, in messages a second.

Periodic messages and acknowledgements do not count against it.
"""
URGENT_BURST = 12.0
"""Maximum number of urgent messages that may be sent in one burst."""
ACK_TIMEOUT = Millis(2_000)
"""Time after which an entry with an unacknowledged message is silent, in milliseconds.

It is counted from the first periodic message to the entry after which no message of
the entry has arrived.
"""
SUSPECT_TIMEOUT = Millis(5_000)
"""Time that a suspected entry has to refute the suspicion, in milliseconds."""
REMOVAL_DELAY = Millis(60_000)
"""Time for which a gone entry stays in the member table, in milliseconds."""
COUNTS_TTL = Millis(6_000)
"""Time for which received attempt counts of a peer are valid, in milliseconds."""
FETCH_DELAY = Millis(400)
"""Longest random delay before a document is fetched from a peer, in milliseconds.

While a fetch is pending, another one is scheduled only if the pending one has been
due for this time.
"""


def open_peers(state: State, event: PeerListenerOpened, now: Millis) -> list[Effect]:
    """Set the peer address and incarnation of this entry and start to gossip."""
    membership = state.membership
    membership.address = event.address
    membership.incarnation = event.incarnation
    membership.start = frozenset(event.start)
    membership.seeds |= membership.start
    membership.allowance = URGENT_BURST
    membership.refilled = now
    return run_period(state, now)


def run_period(state: State, now: Millis) -> list[Effect]:
    """Run one gossip round: detect silent entries and send to the next partners.

    One message also goes to a seed address that no reachable entry has.
    """
    effects: list[Effect] = []
    _refill_allowance(state, now)
    for member in list(state.membership.members.values()):
        effects += _check_silence(state, member, now)
    estimate_peer_counts(state, now)
    for member in _choose_partners(state, FANOUT):
        if member.unacknowledged_since is None:
            member.unacknowledged_since = now
        effects.append(_send(state, member.address, member, now))
    effects += _send_to_seed(state, now)
    jitter = state.rng.randrange(GOSSIP_INTERVAL // 5) - GOSSIP_INTERVAL // 10
    effects.append(WakeAt(GossipTimer(), Millis(now + GOSSIP_INTERVAL + jitter)))
    return effects


def _refill_allowance(state: State, now: Millis) -> None:
    membership = state.membership
    earned = (now - membership.refilled) / 1000 * URGENT_RATE
    membership.allowance = min(URGENT_BURST, membership.allowance + earned)
    membership.refilled = now


def _choose_partners(state: State, count: int) -> list[Member]:
    """Return the next ``count`` entries of a shuffled round-robin order.

    A round visits every entry once. This bounds the number of periods until a
    dead entry is probed, which independent random choices would not.
    """
    membership = state.membership
    chosen: list[Member] = []
    for _ in range(len(membership.members) + len(membership.unvisited)):
        if len(chosen) == count:
            break
        if not membership.unvisited:
            membership.unvisited = list(membership.members)
            state.rng.shuffle(membership.unvisited)
        member = membership.members.get(membership.unvisited.pop())
        if member is None or not member.reachable or member in chosen:
            continue
        chosen.append(member)
    return chosen


def _send_to_seed(state: State, now: Millis) -> list[Effect]:
    """Send to one random seed address that no reachable entry has.

    After a long partition each side has removed the other from its member table;
    messages to the seeds merge the two sides again.
    """
    membership = state.membership
    known = {m.address for m in membership.members.values() if m.reachable}
    unknown = sorted(membership.seeds - known - {membership.address})
    if not unknown:
        return []
    return [_send(state, state.rng.choice(unknown), None, now)]


def _send(
    state: State,
    address: str,
    receiver: Member | None,
    now: Millis,
    wants_answer: bool = True,
) -> Effect:
    return SendGossip(address, build_gossip(state, receiver, now, wants_answer))


def _check_silence(state: State, member: Member, now: Millis) -> list[Effect]:
    match member.status:
        case MemberStatus.ALIVE if _is_silent(member, now):
            _set_status(state, member, MemberStatus.SUSPECT, now)
            return [Count("membership.suspected")]
        case MemberStatus.SUSPECT if now >= member.status_changed_at + SUSPECT_TIMEOUT:
            _set_status(state, member, MemberStatus.GONE, now)
            return [Count("membership.gone"), Note("entry gone", {"node": member.name})]
        case MemberStatus.LEAVING if _is_silent(member, now):
            _set_status(state, member, MemberStatus.GONE, now)
        case MemberStatus.GONE if now >= member.status_changed_at + REMOVAL_DELAY:
            del state.membership.members[member.name]
    return []


def _is_silent(member: Member, now: Millis) -> bool:
    return (
        member.unacknowledged_since is not None
        and now >= member.unacknowledged_since + ACK_TIMEOUT
    )


def _set_status(
    state: State, member: Member, status: MemberStatus, now: Millis
) -> None:
    member.status = status
    member.status_changed_at = now
    member.unacknowledged_since = None
    member.sends_left = count_sends(state)


def count_sends(state: State) -> int:
    """Return how many messages of this entry carry one piece of news.

    The number is logarithmic in the number of entries, which is enough for the
    news to reach all of them with high probability. Each datagram fills its free
    space with older news, which reaches the rest.
    """
    return 3 * (len(state.membership.members) + 2).bit_length()


def handle_gossip(state: State, event: GossipReceived, now: Millis) -> list[Effect]:
    """Apply a peer's message and acknowledge it if the peer requests that.

    Outdated and repeated messages are only counted. A message with urgent news is
    followed by an urgent broadcast.
    """
    gossip = event.gossip
    if gossip.sender == state.node:
        return []
    member = _update_sender(state, gossip, now)
    if member is None:
        return [Count("membership.stale")]
    effects: list[Effect] = []
    news = False
    for item in gossip.members:
        news |= _apply_news(state, item, now)
    for mark in gossip.marks:
        news |= mark_leaving(state, mark)
    member.counts = _merge_counts(member, gossip)
    member.counts_received_at = now
    for quarantined in gossip.quarantined:
        quarantine.quarantine_digest(
            state.quarantine, quarantined.digest, quarantined.remaining, now
        )
    effects += _schedule_fetch(state, now)
    if gossip.wants_answer:
        effects.append(_send(state, member.address, member, now, False))
    if news:
        effects += broadcast_urgently(state, now)
    return effects


def _update_sender(state: State, gossip: Gossip, now: Millis) -> Member | None:
    """Update the table with the sender of a message.

    Returns:
        The sender's member, or None if the message is outdated or repeated.
    """
    members = state.membership.members
    status = MemberStatus.LEAVING if gossip.leaving else MemberStatus.ALIVE
    member = members.get(gossip.sender)
    if member is None or gossip.incarnation > member.incarnation:
        member = Member(gossip.sender, gossip.address, gossip.incarnation, status, now)
        member.sends_left = count_sends(state)
        members[gossip.sender] = member
    elif gossip.incarnation < member.incarnation:
        return None
    elif gossip.sequence <= member.sequence:
        return None
    elif status.value > member.status.value:
        _set_status(state, member, status, now)
    member.sequence = gossip.sequence
    member.unacknowledged_since = None
    member.accepted = gossip.accepted
    member.position = gossip.position
    member.era = gossip.era
    return member


def _apply_news(state: State, news: MemberNews, now: Millis) -> bool:
    """Apply a peer's news of another entry or of this one.

    Returns:
        Whether the news is urgent: a known entry is leaving in its known
        incarnation, or this entry has refuted a suspicion against itself.
    """
    if news.name == state.node:
        return _refute(state, news)
    members = state.membership.members
    member = members.get(news.name)
    if member is None:
        if news.status is MemberStatus.GONE:
            return False
        member = Member(news.name, news.address, news.incarnation, news.status, now)
        member.sends_left = count_sends(state)
        members[news.name] = member
        return False
    if news.incarnation < member.incarnation:
        return False
    if news.incarnation > member.incarnation:
        member.incarnation = news.incarnation
        member.address = news.address
        member.sequence = -1
        _set_status(state, member, news.status, now)
        return False
    if news.status.value <= member.status.value:
        return False
    _set_status(state, member, news.status, now)
    return news.status is MemberStatus.LEAVING


def _refute(state: State, news: MemberNews) -> bool:
    """Raise this entry's incarnation if a peer reports it as suspected or gone.

    A pause or a lossy link makes peers suspect a live entry; without the
    refutation they would remove it from their tables although it still serves.

    Returns:
        Whether the incarnation was raised.
    """
    membership = state.membership
    if news.incarnation < membership.incarnation:
        return False
    if news.status not in (MemberStatus.SUSPECT, MemberStatus.GONE):
        return False
    membership.incarnation = news.incarnation + 1
    return True


def mark_leaving(state: State, mark: LeavingMark) -> bool:
    """Mark a target as leaving, so that it gets no new work.

    The marks of all sources are combined by union, so a source that lags behind
    never clears a mark: only a newer incarnation of the target does. Marks of
    unknown targets and of older incarnations are ignored.

    Returns:
        Whether the mark is newly among those that are sent to peers.
    """
    target = state.targets.get(mark.target)
    if target is None or mark.incarnation < target.incarnation:
        return False
    known = target.leaving and mark.incarnation == target.incarnation
    target.incarnation = mark.incarnation
    target.leaving = True
    existing = state.membership.marks.get(mark.target)
    if known and existing is not None and existing.incarnation == mark.incarnation:
        return False
    state.membership.marks[mark.target] = MarkState(
        mark.incarnation, count_sends(state)
    )
    return True


def broadcast_leaving(state: State, target: str, now: Millis) -> list[Effect]:
    """Announce to peers at once that ``target`` is leaving, if this is not yet done."""
    found = state.targets.get(target)
    if found is None or not found.leaving:
        return []
    if not mark_leaving(state, LeavingMark(target, found.incarnation)):
        return []
    return broadcast_urgently(state, now)


def broadcast_urgently(state: State, now: Millis) -> list[Effect]:
    """Send to a few random peers now, within the allowance for urgent messages.

    Every receiver to which the message is news broadcasts it too, so it crosses
    the fleet in a few round trips. The periodic messages reach the entries that
    the broadcasts missed.
    """
    membership = state.membership
    _refill_allowance(state, now)
    reachable = [m for m in membership.members.values() if m.reachable]
    count = min(URGENT_FANOUT, len(reachable), int(membership.allowance))
    effects: list[Effect] = []
    for member in state.rng.sample(reachable, count):
        membership.allowance -= 1
        effects.append(_send(state, member.address, member, now, False))
    return effects


def _merge_counts(member: Member, gossip: Gossip) -> dict[int, int]:
    counts = {} if gossip.counts_whole else member.counts
    for item in gossip.counts:
        counts[item.target] = item.count
    return counts


def estimate_peer_counts(state: State, now: Millis) -> None:
    """Estimate the number of attempts that other entries run on each target.

    The counts received within the last ``COUNTS_TTL`` are summed and scaled up to
    the number of reachable entries. If fewer than half of these have reported,
    the estimate is 0 and the load policy relies on the targets' own reports:
    otherwise the counts of a few entries would be scaled up to the whole fleet, and
    a target that this entry uses would look full.
    """
    alive, reporters = 0, 0
    sums: dict[int, int] = {}
    for member in state.membership.members.values():
        if not member.reachable:
            continue
        alive += 1
        if (
            member.counts_received_at is None
            or now >= member.counts_received_at + COUNTS_TTL
        ):
            continue
        reporters += 1
        for target, count in member.counts.items():
            sums[target] = sums.get(target, 0) + count
    scale = alive / reporters if 2 * reporters >= alive > 0 else 0.0
    for name, target_state in state.targets.items():
        total = sums.get(hash_target(name), 0)
        target_state.peers_in_flight = round(total * scale)


def _schedule_fetch(state: State, now: Millis) -> list[Effect]:
    """Schedule a fetch if a peer has a newer document than this entry.

    The log usually delivers the document first, and the random delay then saves
    the fetch. An entry without any document fetches without delay.
    """
    membership = state.membership
    if membership.fetch_at is not None and now < membership.fetch_at + FETCH_DELAY:
        return []
    if _choose_fetch_source(state) is None:
        return []
    pause = 0
    if state.configuration.current is not None:
        pause = FETCH_DELAY // 2 + state.rng.randrange(FETCH_DELAY // 2)
    membership.fetch_at = Millis(now + pause)
    return [WakeAt(FetchTimer(), membership.fetch_at)]


def _choose_fetch_source(state: State) -> Member | None:
    """Return a random peer among those that hold the newest document.

    Peers with the same document qualify only if this entry's fold has stalled and
    they have folded further. None is returned if no peer qualifies.
    """
    best: list[Member] = []
    fold = state.configuration
    own_document = (fold.era, state.configuration_offset)
    own_progress = (fold.era, fold.position)
    for member in state.membership.members.values():
        if not member.reachable or member.accepted < 0:
            continue
        document = (member.era, member.accepted)
        is_further = (member.era, member.position) > own_progress
        if document <= own_document and not (fold.stalled and is_further):
            continue
        if best and document < (best[0].era, best[0].accepted):
            continue
        if best and document > (best[0].era, best[0].accepted):
            best = []
        best.append(member)
    return state.rng.choice(best) if best else None


def fetch_document(state: State, now: Millis) -> list[Effect]:
    """Fetch a newer document from a peer unless the log has delivered it already."""
    state.membership.fetch_at = None
    member = _choose_fetch_source(state)
    if member is None:
        return []
    return [Count("configuration.fetches"), FetchCheckpoint(member.address)]


def record_instances(state: State, event: InstancesListed, now: Millis) -> list[Effect]:
    """Merge the platform's instance list into the known targets and seeds.

    The list lags behind, so an item that shows a target alive never clears a mark
    of another source in the same incarnation. A leaving item without an incarnation
    (0) may belong to an earlier start of the target; it applies only while the list
    holds it, and it is not sent to peers. If the list holds addresses of entries,
    seeds that are neither in the list nor in the settings are removed.
    """
    effects: list[Effect] = []
    for instance in event.instances:
        if instance.kind == "entry":
            if instance.peers:
                state.membership.seeds.add(instance.peers)
            continue
        target = state.targets.get(instance.name)
        if target is None:
            continue
        target.listed_leaving = instance.incarnation == 0 and instance.leaving
        if instance.incarnation > target.incarnation:
            target.incarnation = instance.incarnation
            target.leaving = False
        if instance.leaving and instance.incarnation >= target.incarnation:
            target.leaving = True
            effects += broadcast_leaving(state, instance.name, now)
    listed = {i.peers for i in event.instances if i.kind == "entry" and i.peers}
    if listed:
        state.membership.seeds &= listed | state.membership.start
    return effects
