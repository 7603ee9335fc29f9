"""Which entries and targets live, leave or are gone.

Each entry sends to a few others each period, whatever their number, and takes
the acknowledgement as a sign of life. News rides on these messages.
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
FANOUT = 2
URGENT_FANOUT = 3
URGENT_RATE = 1.0
"""Messages a second that may go out besides the periodic ones, on average."""
URGENT_BURST = 12.0
ACK_TIMEOUT = Millis(2_000)
SUSPECT_TIMEOUT = Millis(5_000)
REMOVAL_DELAY = Millis(60_000)
COUNTS_TTL = Millis(6_000)
FETCH_DELAY = Millis(400)


def open_peers(state: State, event: PeerListenerOpened, now: Millis) -> list[Effect]:
    """Start to gossip."""
    membership = state.membership
    membership.address = event.address
    membership.incarnation = event.incarnation
    membership.start = frozenset(event.start)
    membership.seeds |= membership.start
    membership.allowance = URGENT_BURST
    membership.refilled = now
    return run_period(state, now)


def run_period(state: State, now: Millis) -> list[Effect]:
    """Judge silent entries and send to the next few."""
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
    """Return the next entries of a shuffled round.

    A round visits every entry once, so a dead one is probed within as many
    periods as it takes, not only with luck.
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
    """Try one listed address that no living entry answers from.

    After a long partition each side has forgotten the other; the seeds join
    them again.
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
    """Return how often a piece of news is sent on.

    Logarithmic in the number of entries: enough for it to reach all of them
    with high probability; windows of old news catch the rest.
    """
    return 3 * (len(state.membership.members) + 2).bit_length()


def handle_gossip(state: State, event: GossipReceived, now: Millis) -> list[Effect]:
    """Take a peer's message and acknowledge it."""
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
    """Return the sender, or None if the message is old or repeated."""
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
    return member


def _apply_news(state: State, news: MemberNews, now: Millis) -> bool:
    """Take what a peer says of a third entry; return whether it is urgent."""
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
    """Take a new incarnation where peers think this entry dead.

    A pause or a lossy link makes peers suspect a living entry; without the
    refutation they would drop it although it serves.
    """
    membership = state.membership
    if news.incarnation < membership.incarnation:
        return False
    if news.status not in (MemberStatus.SUSPECT, MemberStatus.GONE):
        return False
    membership.incarnation = news.incarnation + 1
    return True


def mark_leaving(state: State, mark: LeavingMark) -> bool:
    """Give a target no new work; return whether that is news.

    The union of all sources counts, so a source that lags never clears the
    mark: only a newer incarnation of the target does.
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
    """Tell peers at once if ``target`` has just been found leaving."""
    found = state.targets.get(target)
    if found is None or not found.leaving:
        return []
    if not mark_leaving(state, LeavingMark(target, found.incarnation)):
        return []
    return broadcast_urgently(state, now)


def broadcast_urgently(state: State, now: Millis) -> list[Effect]:
    """Send to a few random peers now, as far as the allowance goes.

    Every receiver to whom it is news does the same, so it crosses the fleet in
    a few round trips; the periodic messages reach whom this missed.
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
    """Set what other entries run on each target.

    The sum over those heard lately is scaled to the number of entries. Where
    fewer than half were heard, one entry's count would stand for many: a target
    that one of them uses would look full. The load policy then goes by the
    targets' own reports.
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
    """Plan to take a newer document from a peer.

    The log usually brings it first; the pause spares the fetch. An entry
    without a document does not wait.
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
    """Return a random one of the peers that hold the newest document."""
    best: list[Member] = []
    stalled = bool(state.configuration.stalled)
    own_progress = (state.configuration_offset, state.configuration.position)
    for member in state.membership.members.values():
        if not member.reachable:
            continue
        newer = member.accepted > own_progress[0]
        if not newer and not (stalled and member.position > own_progress[1]):
            continue
        if best and member.accepted < best[0].accepted:
            continue
        if best and member.accepted > best[0].accepted:
            best = []
        best.append(member)
    return state.rng.choice(best) if best else None


def fetch_document(state: State, now: Millis) -> list[Effect]:
    """Fetch from a peer unless the log was quicker."""
    state.membership.fetch_at = None
    member = _choose_fetch_source(state)
    if member is None:
        return []
    return [Count("configuration.fetches"), FetchCheckpoint(member.address)]


def record_instances(state: State, event: InstancesListed, now: Millis) -> list[Effect]:
    """Join the platform's list with what is known.

    The list lags, so a live line never clears a mark that another source set.
    A line without an incarnation cannot be told from one of an earlier start;
    it counts for as long as the list says so, and is not spread.
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
