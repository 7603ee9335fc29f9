"""Selection of the entries that read the store, and the state known in an outage."""

import zlib

from figstep.core.clock import Millis
from figstep.core.positions import Position
from figstep.gateway.effects import Effect, FetchRecords, Note
from figstep.gateway.events import PeerHeard
from figstep.gateway.state import Peer, State

MIN_READERS = 3
"""Number of entries of a large fleet that read the store, split over its failure
domains. There are three, as any two of them may fail at the same moment."""

MAX_UNHEALTHY_READERS = 6
"""Number of entries of a large fleet that try to read the store without getting its
records, at which no others try. If the store rejects a third of the entries, one of six
gets through."""

READER_TIMEOUT = Millis(1_500)
"""Time, in milliseconds, without a message of a reader after which another entry reads
the store in its place."""

RELAY_DELAY = Millis(150)
"""How long, in milliseconds, an entry that does not read the store waits for a record
to be relayed to it before it fetches the record from a peer."""

CATCH_UP_DELAY = Millis(400)
"""How long, in milliseconds, a peer may know newer records before a reader fetches them
from it. Entries that read the store themselves receive a record within some
milliseconds of each other; a store that rejects this entry may never send it."""

VIEW_LOST_DURATION = Millis(3_000)
"""How long, in milliseconds, an entry counts as one that the store does not answer
after a read of the versions got no answer. Reads that wait for new records show an
outage much later if the store is silent."""

MAX_CONCURRENT_FETCHES = 2
"""Number of entries that may at first fetch records from one peer at the same time."""


def list_live_peers(state: State, now: Millis) -> dict[str, Peer]:
    """Return the peers that sent a message within ``READER_TIMEOUT``, by name.

    In a large fleet these are entries of this failure domain only.
    """
    live = {}
    for name, peer in state.peers.items():
        if now - peer.last_received_at < READER_TIMEOUT:
            live[name] = peer
    return live


def reads_store(state: State, now: Millis) -> bool:
    """Return whether this entry reads new records from the store itself.

    Calls to the store are expensive in a large fleet: there the entries with the lowest
    names in each failure domain read the records and relay them to the others. An entry
    whose reads fail keeps trying, so that it learns when the store is back.
    """
    if not state.is_large or state.read_failed:
        return True
    healthy = unhealthy = 0
    for name, peer in list_live_peers(state, now).items():
        if name > state.node:
            continue
        if peer.receives_records:
            healthy += 1
        else:
            # The peer also tries to read, or is about to. If only peers that
            # report reading were counted, all entries would begin to read, without
            # any result, when the store is lost.
            unhealthy += 1
    max_unhealthy = _share_readers(state, MAX_UNHEALTHY_READERS)
    return healthy < _share_readers(state, MIN_READERS) and unhealthy < max_unhealthy


def _share_readers(state: State, readers: int) -> int:
    """Return each failure domain's share of some readers, rounded up."""
    domains = 1 + len(state.remote_loads)
    return -(-readers // domains)


def update_store_state(state: State, now: Millis) -> None:
    """Update whether records of the store reach this entry, directly or relayed.

    An entry that does not read the store itself would otherwise treat registrations
    that lapsed in an outage as departures, and never query engines on whether they
    leave.
    """
    away = state.read_failed
    if state.is_large and (away or not reads_store(state, now)):
        away = not _has_live_reader(state, now)
    if away and not state.store_unreachable:
        state.store_lost_at = now
    if state.store_unreachable and not away:
        state.store_regained_at = now
    state.store_unreachable = away


def _has_live_reader(state: State, now: Millis) -> bool:
    # Readers that fail together must not rely on each other's reports that records
    # reach them: only a reader whose own reads succeed counts.
    for peer in [*state.peers.values(), *state.remote_peers.values()]:
        if now - peer.last_received_at >= READER_TIMEOUT:
            continue
        if peer.reading and peer.answered and peer.receives_records:
            return True
    return False


def is_first_reader(state: State, now: Millis, whole_fleet: bool = False) -> bool:
    """Return whether this entry has the lowest name of those that the store answers.

    For a moment several may be, or none. In a large fleet there is one in each failure
    domain. With ``whole_fleet`` there may be fewer: an entry also counts those of other
    failure domains that it has heard recently, which it does now and then.
    """
    if state.read_failed or not reads_store(state, now):
        return False
    known = [*state.peers.items()]
    if whole_fleet:
        known += state.remote_peers.items()
    for name, peer in known:
        if now - peer.last_received_at >= READER_TIMEOUT:
            continue
        if name < state.node and peer.answered:
            return False
    return True


def count_writers_before(state: State, now: Millis) -> int:
    """Return the number of entries with lower names that the store answers."""
    return sum(
        peer.answered and name < state.node
        for name, peer in list_live_peers(state, now).items()
    )


def is_store_unread(state: State, now: Millis) -> bool:
    """Return whether the store answers neither this entry nor any known reader."""
    return state.store_unreachable and not _has_live_reader(state, now)


def is_view_lost(state: State, now: Millis) -> bool:
    """Return whether the store has just given no answer to a read of the versions."""
    return now - state.history.unread_at < VIEW_LOST_DURATION


def lacks_store(state: State, now: Millis) -> bool:
    """Return whether the store does not answer this entry, or one that it hears."""
    if state.read_failed or state.store_unreachable or is_view_lost(state, now):
        return True
    for peer in [*state.peers.values(), *state.remote_peers.values()]:
        if now - peer.last_received_at >= READER_TIMEOUT:
            continue
        if not (peer.answered and peer.receives_records):
            return True
    return False


def find_healthy_since(state: State, event: PeerHeard, now: Millis) -> Millis | None:
    """Return since when a peer has reported that it reads the store successfully.

    Returns None if the peer does not report that now.
    """
    if not (event.reading and event.answered and event.receives_records):
        return None
    known = (state.remote_peers if event.far else state.peers).get(event.node)
    if known is None or known.healthy_since is None:
        return now
    return known.healthy_since


def was_store_available(state: State) -> bool:
    """Return whether a peer has read the store since before this entry's outage."""
    for peer in [*state.peers.values(), *state.remote_peers.values()]:
        if peer.healthy_since is not None and peer.healthy_since < state.store_lost_at:
            return True
    return False


def catch_up(state: State, now: Millis) -> list[Effect]:
    """Fetch from a peer newer records that this entry has not received.

    The entry waits ``CATCH_UP_DELAY`` before if it reads the store itself, otherwise
    ``RELAY_DELAY``, and then until ``_may_fetch`` permits the fetch.
    """
    known = [*state.peers.values(), *state.remote_peers.values()]
    ahead = [peer for peer in known if _is_ahead(state, peer)]
    if not ahead:
        state.behind_since = None
        return []
    if state.behind_since is None:
        state.behind_since = now
    waited = Millis(now - state.behind_since)
    delay = CATCH_UP_DELAY if reads_store(state, now) else RELAY_DELAY
    if waited < delay or not _may_fetch(state, ahead, waited):
        return []
    state.behind_since = now
    local = [peer for peer in ahead if not peer.far]
    peer = state.rng.choice(local or ahead)
    note = Note(
        "records asked of a peer",
        {
            "peer": peer.address,
            "configuration": get_configuration_version(state),
            "peer_configuration": peer.configuration,
            "era": state.position.era,
            "position": state.position.offset,
            "peer_era": peer.position.era,
            "peer_position": peer.position.offset,
        },
    )
    return [FetchRecords(peer.address), note]


def _is_ahead(state: State, peer: Peer) -> bool:
    if peer.configuration > get_configuration_version(state):
        return True
    return peer.position > state.position


def get_configuration_version(state: State) -> int:
    """Return the version of the configuration in force; -1 for none."""
    return -1 if state.table is None else state.table.version


def _may_fetch(state: State, ahead: list[Peer], waited: Millis) -> bool:
    """Return whether this entry may now fetch records that only some peers have.

    If a whole failure domain fetched at once from the few peers that have them, all
    entries would get them late over a slow link. The entries that are behind are
    ordered by a hash; the number that may fetch doubles every ``CATCH_UP_DELAY`` and
    grows with the number of peers that have the records. ``waited`` counts from when
    this entry fell behind, or from its last fetch.
    """
    newest = max((peer.configuration, peer.position) for peer in ahead)
    behind = [name for name, peer in state.peers.items() if not _is_ahead(state, peer)]
    own = _draw_fetch_order(newest, state.node)
    before = sum(1 for name in behind if _draw_fetch_order(newest, name) < own)
    doublings = waited // CATCH_UP_DELAY
    return before < MAX_CONCURRENT_FETCHES * len(ahead) << doublings


def _draw_fetch_order(newest: tuple[int, Position], name: str) -> int:
    return zlib.crc32(f"{newest} {name}".encode())
