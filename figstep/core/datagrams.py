"""Selection of the content of one gossip datagram of bounded size."""

from figstep.core.clock import Millis
from figstep.core.gossip import (
    Gossip,
    LeavingMark,
    Member,
    MemberNews,
    MemberStatus,
    QuarantineMark,
    TargetCount,
    hash_target,
)
from figstep.core.state import State

MAX_BYTES = 500
"""Size up to which a datagram is filled, in bytes.

The constants below that end in ``_BYTES`` are upper bounds of the encoded sizes of
its parts, in bytes.
"""
HEADER_BYTES = 136
"""Upper bound for the fixed part, without the sender's name and address."""
MEMBER_BYTES = 40
"""Upper bound for the news of one entry, without its name and address."""
MARK_BYTES = 24
"""Upper bound for one leaving mark, without the target's name."""
COUNT_BYTES = 9
"""Upper bound for the attempt count of one target."""
DIGEST_BYTES = 20
"""Upper bound for one quarantined digest, without the digest itself."""
MAX_COUNTS = 16
"""Maximum number of attempt counts in one datagram."""
MAX_FRESH_MARKS = 8
"""Maximum number of leaving marks that one datagram holds ahead of other content."""
MAX_DIGESTS = 2
"""Maximum number of quarantined digests in one datagram."""


class _FreeSpace:
    """Free bytes of a datagram."""

    def __init__(self, left: int) -> None:
        self._left = left

    def consume(self, size: int) -> bool:
        """Reserve ``size`` bytes; return False and reserve none if fewer are free."""
        if size > self._left:
            return False
        self._left -= size
        return True


def build_gossip(
    state: State, receiver: Member | None, now: Millis, wants_answer: bool
) -> Gossip:
    """Return the next message for a peer, filled with the most urgent content first.

    The sequence number, the cursors and the remaining sends in ``state`` are
    advanced. ``receiver`` is None if only its address is known.
    """
    membership = state.membership
    membership.sequence += 1
    free_space = _FreeSpace(
        MAX_BYTES - HEADER_BYTES - len(state.node) - len(membership.address)
    )
    marks = _pick_fresh_marks(state, free_space)
    members = _pick_fresh_members(state, receiver, free_space)
    quarantined = _pick_quarantined(state, free_space, now)
    counts, whole = _pick_counts(state, free_space)
    members += _pick_random_member(state, free_space, {news.name for news in members})
    marks += _pick_old_marks(state, free_space, {mark.target for mark in marks})
    return Gossip(
        sender=state.node,
        address=membership.address,
        incarnation=membership.incarnation,
        sequence=membership.sequence,
        wants_answer=wants_answer,
        leaving=state.shutting_down,
        accepted=state.configuration_offset,
        position=state.configuration.position,
        era=state.configuration.era,
        members=tuple(members),
        marks=tuple(marks),
        counts=tuple(counts),
        counts_whole=whole,
        quarantined=tuple(quarantined),
    )


def _pick_fresh_marks(state: State, free_space: _FreeSpace) -> list[LeavingMark]:
    picked: list[LeavingMark] = []
    for name, mark in list(state.membership.marks.items()):
        if not _is_current(state, name, mark.incarnation):
            del state.membership.marks[name]
            continue
        if mark.sends_left <= 0:
            continue
        if len(picked) == MAX_FRESH_MARKS or not free_space.consume(
            MARK_BYTES + len(name)
        ):
            break
        mark.sends_left -= 1
        picked.append(LeavingMark(name, mark.incarnation))
    return picked


def _is_current(state: State, name: str, incarnation: int) -> bool:
    target = state.targets.get(name)
    return target is not None and target.leaving and target.incarnation == incarnation


def _pick_old_marks(
    state: State, free_space: _FreeSpace, already_picked: set[str]
) -> list[LeavingMark]:
    """Fill free space with a window of older marks, for entries that missed them."""
    membership = state.membership
    names = list(membership.marks)
    picked: list[LeavingMark] = []
    for step in range(len(names)):
        name = names[(membership.marks_cursor + step) % len(names)]
        if name in already_picked:
            continue
        if not free_space.consume(MARK_BYTES + len(name)):
            membership.marks_cursor += step
            break
        picked.append(LeavingMark(name, membership.marks[name].incarnation))
    return picked


def _describe_member(member: Member) -> MemberNews:
    return MemberNews(member.name, member.address, member.incarnation, member.status)


def _size_member(member: Member) -> int:
    return MEMBER_BYTES + len(member.name) + len(member.address)


def _pick_fresh_members(
    state: State, receiver: Member | None, free_space: _FreeSpace
) -> list[MemberNews]:
    picked: list[MemberNews] = []
    if receiver is not None and receiver.status is not MemberStatus.ALIVE:
        # A receiver that is suspected or gone can refute that only if it is
        # informed, so this news is sent even if the free space is too small.
        free_space.consume(_size_member(receiver))
        picked.append(_describe_member(receiver))
    for member in state.membership.members.values():
        if member.sends_left <= 0 or member is receiver:
            continue
        if not free_space.consume(_size_member(member)):
            break
        member.sends_left -= 1
        picked.append(_describe_member(member))
    return picked


def _pick_random_member(
    state: State, free_space: _FreeSpace, already_picked: set[str]
) -> list[MemberNews]:
    """Return one random entry, so that all member tables become complete eventually."""
    members = state.membership.members
    if not members:
        return []
    member = members[state.rng.choice(list(members))]
    if member.name in already_picked or not member.reachable:
        return []
    if not free_space.consume(_size_member(member)):
        return []
    return [_describe_member(member)]


def _pick_counts(
    state: State, free_space: _FreeSpace
) -> tuple[list[TargetCount], bool]:
    used = [(n, t.in_flight) for n, t in state.targets.items() if t.in_flight > 0]
    whole = len(used) <= MAX_COUNTS
    picked: list[TargetCount] = []
    cursor = 0 if whole else state.membership.counts_cursor
    for step in range(min(len(used), MAX_COUNTS)):
        name, count = used[(cursor + step) % len(used)]
        if not free_space.consume(COUNT_BYTES):
            whole = False
            break
        picked.append(TargetCount(hash_target(name), min(count, 65_535)))
    state.membership.counts_cursor = cursor + len(picked)
    return picked, whole


def _pick_quarantined(
    state: State, free_space: _FreeSpace, now: Millis
) -> list[QuarantineMark]:
    current = [(d, u) for d, u in state.quarantine.until.items() if u > now]
    picked: list[QuarantineMark] = []
    cursor = state.membership.quarantine_cursor
    for step in range(min(MAX_DIGESTS, len(current))):
        digest, until = current[(cursor + step) % len(current)]
        if not free_space.consume(DIGEST_BYTES + len(digest)):
            break
        picked.append(QuarantineMark(digest, Millis(until - now)))
    state.membership.quarantine_cursor = cursor + len(picked)
    return picked
