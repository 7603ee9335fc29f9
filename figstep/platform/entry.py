"""An entry on the platform: its services, life cycle and signals."""

import asyncio
import gc
import os
import random
import signal
import socket
from collections import deque
from pathlib import Path

import logbook
import uvloop
from mode import Service

from figstep.core.clock import Clock, Millis
from figstep.core.positions import Position
from figstep.errors import PeerMessageError
from figstep.gateway.application import Gateway
from figstep.gateway.budgets import RetryBudget
from figstep.gateway.demand import DemandTable
from figstep.gateway.domains import (
    describe_domain,
    describe_domain_at,
    is_domain_representative,
)
from figstep.gateway.edges import PeerPort
from figstep.gateway.events import (
    ConfigurationRead,
    EntriesCounted,
    EvacuationsRead,
    PeerHeard,
    PositionRead,
    SettingsRead,
    ShutdownRequested,
    StoreLost,
    StoreRegained,
    TargetDeparted,
    TargetRegistered,
    TargetsListed,
)
from figstep.gateway.measures import GatewayMeasures
from figstep.gateway.newcomers import complete_message
from figstep.gateway.peers import complete_eras, describe_entry
from figstep.gateway.places import Evacuations
from figstep.gateway.sources import is_first_reader, reads_store
from figstep.gateway.state import State
from figstep.gateway.targets import Registration
from figstep.logs import install_bounded_logs
from figstep.net.buffers import BufferTable
from figstep.net.clock import SystemClock
from figstep.net.hellos import RecordCopy
from figstep.net.links import LinkHost, PeerLink
from figstep.platform.callers import CallerEdge, CallerExchange, RelayListener
from figstep.platform.documents import (
    parse_configuration,
    parse_evacuation,
    parse_registration,
)
from figstep.platform.engines import TargetEdge
from figstep.platform.followers import TopicFollower, TopicSink
from figstep.platform.history import HistoryLog
from figstep.platform.settings import (
    Address,
    EntrySettings,
    load_settings,
    read_path,
)
from figstep.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    LONG_POLL_SECONDS,
    REGISTRATION_TOPIC,
    SHORT_POLL_SECONDS,
    HttpStore,
    KeyedRecord,
    Store,
)
from figstep.platform.watch import SettingsWatch

_log = logbook.Logger("figstep.entry")

DRAIN_FRACTION = 0.88
"""Largest fraction of the grace time for which open answers may continue. The rest is
needed to cut them off and let callers notice before the process is killed."""

DRAIN_POLL_SECONDS = 0.05
"""Interval in seconds at which a draining entry checks for open answers."""

LARGE_FLEET_READ_DELAY_SECONDS = 0.2
"""Delay between two reads of the store in a large fleet, in seconds. Calls are costly
there. An engine ends 1.5 s after its notice, so the delay leaves enough time, and
another reader may relay the record earlier."""

FIRST_START_READ_DELAY_SECONDS = 2.0
"""Longest delay after an entry's first read of the store when the whole system starts
for the first time, in seconds. All entries start at once and have to find each other.
It ends with the first caller, who must not meet targets that have left meanwhile."""

RESTART_READ_DELAY_SECONDS = 0.3
"""Delay after the first read of the store by an entry that restarts, in seconds. The
seeds answer the entry's first message within this time."""

FIRST_READ_TIMEOUT = Millis(300)
"""Maximum time, in milliseconds, that a starting entry waits for the store's records
before it accepts callers. The shortest deadline of a caller is half a second."""

FIRST_READ_POLL_SECONDS = 0.005
"""Interval in seconds at which a starting entry checks whether it is ready."""

STOP_TIMEOUT_SECONDS = 0.4
"""Timeout of stopping an entry's services, in seconds."""

LATE_PART_TIMEOUT_SECONDS = 0.02
"""Timeout of stopping each part of an entry once that has passed, in seconds."""

STOP_RESERVE = Millis(600)
"""Part of the grace time, in milliseconds, that is always kept for the services to
stop and the process to end."""

MAX_RECENT_REGISTRATIONS = 6
"""Maximum number of registrations in a message to peers, enough for one or two engines
that change together. An entry that misses a registration fetches all of them from a
peer."""

RECENT_ANNOUNCE_DURATION = Millis(1_500)
"""Time, in milliseconds, after a read for which the registrations read last are sent to
peers. Each is sent at least twice, as a datagram may be lost."""


class Entry(Service, PeerPort, LinkHost):
    """Connects the gateway of an entry with callers, targets, peers and the store."""

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock | None = None,
        store: Store | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self._clock = clock or SystemClock()
        self._store = store or HttpStore(settings.store)
        self.measures = GatewayMeasures()
        self.gateway = Gateway(
            build_state(settings, self._clock.now()), self._clock, self.measures
        )
        self.buffers = BufferTable(
            settings.memory_bytes, self._clock, self.measures.count
        )
        self.measures.watch("buffered_bytes", lambda: self.buffers.budget.used)
        self.measures.watch("buffer_limit_bytes", lambda: self.buffers.budget.limit)
        self.callers = CallerEdge(
            settings.callers,
            settings.readiness,
            self.gateway.dispatch,
            self.is_ready,
            self.measures.render,
            listener,
            None if settings.relays is None else self._build_relays(settings.relays),
            buffers=self.buffers,
            descriptors=settings.descriptors,
        )
        self.targets = TargetEdge(
            self._clock,
            self.gateway.dispatch,
            self.find_exchange,
            self.gateway.known.targets.find,
            settings.peers.host,
            self.gateway.stalls,
        )
        self.gateway.callers = self.callers
        self.gateway.targets = self.targets
        self.link = PeerLink(
            settings.peers.host,
            settings.peers.port,
            settings.seed_addresses,
            settings.failure_domain,
            self,
        )
        self.gateway.peers = self
        self._registrations_read = False
        self._configuration = b""
        self._evacuated: set[str] = set()
        self._registrations: dict[str, bytes] = {}
        self._recent_registrations: deque[tuple[str, bytes]] = deque(
            maxlen=MAX_RECENT_REGISTRATIONS
        )
        self._recent_read_at = Millis(-1_000_000)
        self._fetch_task: asyncio.Task[None] | None = None
        self.configuration = TopicFollower(
            self._store,
            CONFIGURATION_TOPIC,
            TopicSink(
                self._apply_operator_snapshot,
                self._apply_operator_records,
                lambda reason: None,
                lambda: None,
                self._notice_era,
            ),
            self.reads_store,
            self._choose_read_delay,
            self._waits_after_first_read,
            self._choose_wait,
        )
        self.registrations = TopicFollower(
            self._store,
            REGISTRATION_TOPIC,
            TopicSink(
                self._apply_registration_list,
                self._apply_registration_changes,
                lambda reason: self.gateway.dispatch(StoreLost()),
                lambda: self.gateway.dispatch(StoreRegained()),
                self._notice_era,
            ),
            self.reads_store,
            self._choose_read_delay,
            self._waits_after_first_read,
            self._choose_wait,
        )

        self.history = HistoryLog(self._store, self.gateway.dispatch)
        self.gateway.history = self.history

    def _build_relays(self, address: Address) -> RelayListener:
        return RelayListener(address, lambda host: self.link.is_entry(host))

    async def on_start(self) -> None:
        """Start the services; callers are accepted last."""
        for part in (
            self.targets,
            self.configuration,
            self.registrations,
            self.history,
            self.link,
            self.gateway,
        ):
            await self.add_runtime_dependency(part)
        await self._wait_for_records()
        await self.add_runtime_dependency(self.callers)

    async def _wait_for_records(self) -> None:
        # Callers wait in the listener's queue meanwhile. If they were accepted before
        # the configuration is read, their requests would be refused.
        deadline = self._clock.now() + FIRST_READ_TIMEOUT
        while self._clock.now() < deadline:
            read = self.is_ready() and self.gateway.known.history.read
            if read and self._has_heard_peers():
                return
            await asyncio.sleep(FIRST_READ_POLL_SECONDS)

    def _has_heard_peers(self) -> bool:
        """Return whether a peer has told this entry what the store may lack.

        That is True for an entry that has no seeds.
        """
        known = self.gateway.known
        return not self.settings.seeds or bool(known.peers or known.remote_peers)

    async def on_shutdown(self) -> None:
        """Cancel an open fetch of records and close the store's client.

        The followers use the client until they have stopped.
        """
        if self._fetch_task is not None:
            self._fetch_task.cancel()
        await self._store.close()

    def is_ready(self) -> bool:
        """Return whether the configuration and the registrations have been read."""
        return self.gateway.known.table is not None and self._registrations_read

    def find_signal_time(self) -> Millis:
        """Return when a signal that is handled now may have been sent, at the earliest.

        A process that is frozen handles its signals only once it runs again.
        """
        return self.gateway.stalls.find_earliest(self._clock.now())

    def find_exchange(self, number: int) -> CallerExchange | None:
        """Return the exchange of an open request; None if the request has ended."""
        return self.callers.exchanges.get(number)

    def _notice_era(self, era: int) -> None:
        """Let both topics be read anew if the store came back from an older copy."""
        self.configuration.notice_era(era)
        self.registrations.notice_era(era)

    def _apply_operator_snapshot(
        self, records: tuple[KeyedRecord, ...], position: Position
    ) -> None:
        self._evacuated.clear()
        self._apply_operator_records(list(records), position)

    def _apply_operator_records(
        self, records: list[KeyedRecord], position: Position
    ) -> None:
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._read_configuration(record.value)
            domain = parse_evacuation(record.key)
            if domain is None:
                continue
            if record.value is None:
                self._evacuated.discard(domain)
            else:
                self._evacuated.add(domain)
        self._dispatch_evacuations(Evacuations(frozenset(self._evacuated), position))

    def _dispatch_evacuations(self, evacuations: Evacuations) -> None:
        known = self.gateway.known
        before = known.evacuations.domains
        self.gateway.dispatch(EvacuationsRead(evacuations))
        if known.evacuations.domains != before and known.is_large:
            # In a large fleet the few entries that read the store relay its records.
            self.link.announce_records()

    def _read_configuration(self, value: bytes) -> None:
        try:
            table = parse_configuration(value)
        except ValueError as error:
            _log.error(
                "invalid configuration ignored", extra={"error": str(error)[:300]}
            )
            return
        self.gateway.dispatch(ConfigurationRead(table))
        known = self.gateway.known.table
        if known is not None and known.version == table.version:
            self._configuration = value
            self.callers.set_limits(known.limits)

    def _apply_registration_list(
        self, records: tuple[KeyedRecord, ...] | list[KeyedRecord], position: Position
    ) -> None:
        self._registrations.clear()
        # Records that are relayed end at the position that is told with them.
        self._recent_registrations.clear()
        registrations = []
        for record in records:
            registration = self._read_registration(record)
            if registration is not None:
                registrations.append(registration)
        self._registrations_read = True
        self.gateway.dispatch(TargetsListed(tuple(registrations), position))

    def _apply_registration_changes(
        self, records: list[KeyedRecord], position: Position
    ) -> None:
        for record in records:
            registration = self._read_registration(record)
            if registration is not None:
                self.gateway.dispatch(TargetRegistered(registration))
            elif record.value is None:
                self.gateway.dispatch(TargetDeparted(record.key))
        self.gateway.dispatch(PositionRead(position))
        for record in records:
            self._recent_registrations.append((record.key, record.value or b""))
        self._recent_read_at = self._clock.now()
        if self.gateway.known.is_large and self.reads_store():
            self.link.announce_records()

    def _read_registration(self, record: KeyedRecord) -> Registration | None:
        if record.value is None:
            self._registrations.pop(record.key, None)
            return None
        registration = parse_registration(record.key, record.value)
        if registration is None:
            _log.info(
                "registration of another format ignored", extra={"key": record.key[:80]}
            )
            return None
        self._registrations[record.key] = record.value
        return registration

    def _choose_read_delay(self) -> float:
        return LARGE_FLEET_READ_DELAY_SECONDS if self.gateway.known.is_large else 0.0

    def _waits_after_first_read(self, seconds: float) -> bool:
        """Return whether to wait still, that many seconds after the first read.

        Without the wait, each entry of a large fleet would read each target's
        registration from the store, although one reader can relay them. An entry
        without seeds does not wait.
        """
        if not self.settings.seeds:
            return False
        if seconds < RESTART_READ_DELAY_SECONDS:
            return True
        if not self.settings.first_start or self.callers.has_served:
            return False
        return seconds < FIRST_START_READ_DELAY_SECONDS

    def _choose_wait(self) -> float:
        now = self._clock.now()
        if is_first_reader(self.gateway.known, now, whole_fleet=True):
            return SHORT_POLL_SECONDS
        return LONG_POLL_SECONDS

    def reads_store(self) -> bool:
        """Return whether this entry reads new records from the store itself.

        It is False if enough other entries of a large fleet read and relay them.
        """
        return reads_store(self.gateway.known, self._clock.now())

    def describe_entry(self) -> PeerHeard:
        """Return the message to the entries that exchange all loads with this one."""
        return describe_entry(self.gateway.known, self._clock.now())

    def describe_domain(self) -> PeerHeard:
        """Return the message with this failure domain's loads to the other domains."""
        return describe_domain(self.gateway.known, self._clock.now())

    def describe_to_new_process(self, remote: bool) -> PeerHeard:
        """Return the answer to an entry whose process has just started."""
        message = self.describe_domain() if remote else self.describe_entry()
        return complete_message(self.gateway.known, message, self._clock.now())

    def describe_domain_at(self, target: str) -> PeerHeard:
        """Return the message to other failure domains on the load at one target."""
        return describe_domain_at(self.gateway.known, target, self._clock.now())

    def is_domain_representative(self) -> bool:
        """Return whether this entry reports for its domain to other failure domains."""
        return is_domain_representative(self.gateway.known, self._clock.now())

    def update_entry_count(self, entries: int) -> None:
        """Dispatch the number of known entries, this one included, if it changed."""
        if entries != self.gateway.known.entries:
            self.gateway.dispatch(EntriesCounted(entries))

    def list_recent_registrations(self) -> tuple[tuple[str, bytes], ...]:
        """Return the records of registrations read last, as keys and values.

        The value of a deleted registration is empty. The last record is the one before
        the position that the entry reports. There are none in a small fleet, in an
        entry that does not read the store, and once ``RECENT_ANNOUNCE_DURATION`` has
        passed since the last read.
        """
        known = self.gateway.known
        if not known.is_large or not self.reads_store():
            return ()
        if self._clock.now() - self._recent_read_at >= RECENT_ANNOUNCE_DURATION:
            return ()
        return tuple(self._recent_registrations)

    def handle_message(
        self, message: PeerHeard, records: tuple[tuple[str, bytes], ...]
    ) -> None:
        """Apply a peer's message, and the registrations that the peer read last.

        The registrations are applied only if they close the gap between this entry's
        position and the peer's, and this entry does not read the store itself.
        """
        known = self.gateway.known
        message = complete_eras(known, message)
        self._notice_era(max(message.position.era, message.evacuations.position.era))
        missing = known.position.count_records_to(message.position)
        if 0 < missing <= len(records) and not self.reads_store():
            relayed = [
                KeyedRecord(key, value or None) for key, value in records[-missing:]
            ]
            self.registrations.skip_to(message.position)
            self._apply_registration_changes(relayed, message.position)
        self.gateway.dispatch(message)

    def read_copy(self) -> RecordCopy:
        """Return the records read from the store, for a peer that cannot read it."""
        return RecordCopy(
            self._configuration,
            self.gateway.known.position,
            tuple(self._registrations.items()),
        )

    def fetch_records(self, address: str) -> None:
        """Request from a peer the records that it has read from the store.

        Nothing happens while an earlier request is still open.
        """
        if self._fetch_task is None or self._fetch_task.done():
            coroutine = self._fetch_records(address)
            self._fetch_task = asyncio.get_running_loop().create_task(coroutine)

    def announce(self) -> None:
        """Send the message that describes this entry to its peers at once."""
        self.link.announce()

    def announce_target(self, target: str) -> None:
        """Send other failure domains this failure domain's load at one target."""
        self.link.announce_target(target)

    async def _fetch_records(self, address: str) -> None:
        try:
            copy = await self.link.fetch_copy(address)
        except PeerMessageError as error:
            _log.info("cannot fetch records from peer", extra={"error": str(error)})
            return
        if copy.configuration:
            self._read_configuration(copy.configuration)
        known = self.gateway.known.position
        position = copy.position.complete_era(known.era)
        if position > known:
            records = [KeyedRecord(key, value) for key, value in copy.registrations]
            self._notice_era(position.era)
            self.registrations.skip_to(position)
            self._apply_registration_list(records, position)

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply settings that were read again.

        Seeds, retry bounds, regions, the memory limit and the grace time change at
        once. The addresses of listeners and of the store, the names of the instance and
        its failure domain, and the way in which admission is decided stay as they were
        at the start of the process.
        """
        self.settings = settings
        self.link.set_seeds(settings.seed_addresses)
        self.buffers.set_memory(settings.memory_bytes)
        self.gateway.dispatch(
            SettingsRead(
                settings.retry_ratio,
                settings.retry_allowance,
                settings.retry_window,
                settings.regions,
            )
        )
        _log.info("settings read again", extra={"node": settings.node})

    async def drain(self, asked_at: Millis | None = None) -> None:
        """Fail readiness checks and wait until open answers have ended.

        New callers are still served, as the platform sends some for up to
        ``READINESS_NOTICE``, and each connection is closed after its answer. The wait
        ends at the latest after the time that ``choose_drain_time`` returns; streams
        that are still open then are cut off.

        Args:
            asked_at: When the platform may have sent SIGTERM, at the earliest; now if
                it is None.
        """
        self.callers.ready = False
        self.callers.closing = True
        begin = self._clock.now() if asked_at is None else asked_at
        deadline = Millis(begin + choose_drain_time(self.settings.grace))
        self.gateway.dispatch(ShutdownRequested(deadline))
        # The platform sends callers to this entry until two readiness checks failed.
        quiet_from = Millis(self._clock.now() + READINESS_NOTICE)
        while self._clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            if self._clock.now() >= quiet_from and self.callers.is_idle:
                return
        # The end of the process would close the connections in order: a stream without
        # a length or chunks would look complete.
        count = self.callers.break_all_streams()
        _log.info("streams cut off at the end of the drain", extra={"streams": count})


READINESS_NOTICE = Millis(3_000)
"""Time in milliseconds for which new callers may still arrive after the readiness
checks began to fail."""


def choose_drain_time(grace: Millis) -> Millis:
    """Return how long open answers may continue after SIGTERM, in milliseconds.

    Args:
        grace: Time from SIGTERM until the process is killed, in milliseconds.
    """
    return Millis(max(0, min(round(grace * DRAIN_FRACTION), grace - STOP_RESERVE)))


def build_state(settings: EntrySettings, now: Millis) -> State:
    """Return the initial state of an entry that starts at ``now``."""
    budget = RetryBudget(
        settings.retry_ratio,
        settings.retry_allowance,
        settings.retry_window,
        started=now,
        first_start=settings.first_start,
    )
    seed = int.from_bytes(os.urandom(16))
    return State(
        settings.node,
        settings.failure_domain,
        random.Random(seed),
        budget,
        regions=settings.regions,
        relay_address="" if settings.relays is None else str(settings.relays),
        places_by_pace=settings.places_by_pace,
        fleet_admission=settings.fleet_admission,
        demand=DemandTable() if settings.fleet_admission else None,
    )


async def serve_until_signal(path: Path, listener: socket.socket | None = None) -> None:
    """Serve callers until SIGTERM or SIGINT, then drain and stop.

    On SIGHUP, the settings file at ``path`` is read again. ``listener`` is a socket
    that already listens for callers, or None to open one.

    Raises:
        SettingsError: If the settings file is not valid.
    """
    loop = asyncio.get_running_loop()
    stopping: asyncio.Future[Millis] = loop.create_future()

    def request_stop() -> None:
        if not stopping.done():
            stopping.set_result(entry.find_signal_time())

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop)
    settings = load_settings(path)
    # No signal is handled before the entry is built, as nothing is awaited until then.
    entry = Entry(settings, listener=listener)
    watch = SettingsWatch(path, entry.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await entry.start()
    watching = asyncio.create_task(watch.run())
    _log.info("started", extra={"node": settings.node})
    asked_at = await stopping
    _log.info("draining", extra={"requests": len(entry.callers.exchanges)})
    await entry.drain(asked_at)
    watching.cancel()
    _log.info("stopped", extra={"requests": len(entry.callers.exchanges)})
    await stop_services(entry)


async def stop_services(entry: Entry) -> None:
    """Stop an entry's services; parts that take too long are given up.

    If the process waited longer, for open requests, the platform would kill it and
    count it as one that does not end when asked.
    """
    stopping = asyncio.create_task(entry.stop())
    await asyncio.wait({stopping}, timeout=STOP_TIMEOUT_SECONDS)
    if stopping.done():
        stopping.result()
        return
    _log.warning("services did not stop before the timeout")
    while not stopping.done():
        # A cancellation ends the wait for one part only; the next one is then stopped.
        stopping.cancel()
        await asyncio.wait({stopping}, timeout=LATE_PART_TIMEOUT_SECONDS)


def run_entry(listener: socket.socket | None = None) -> None:
    """Run an entry with the platform's settings file until a signal ends it.

    Args:
        listener: Socket that already listens for callers; None to open one.

    Raises:
        SettingsError: If the settings file is not named or not valid.
    """
    install_bounded_logs("INFO")
    uvloop.run(serve_until_signal(read_path(), listener))
    # Garbage collection at exit would use up the rest of the grace time; frozen objects
    # are exempt from it.
    gc.freeze()
