"""A deployment with its store, entries, targets and callers."""

import asyncio
import random
import signal
import time
from collections.abc import Coroutine
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from tests.deployments import plans
from tests.deployments.busy import keep_busy
from tests.deployments.callers import Callers
from tests.deployments.hosts import SPARES, Spares, TargetHost, read_journal
from tests.deployments.proxies import FaultyProxy
from tests.deployments.shapes import USUAL, Options, Shape
from tests.faults.promises import RETRY_RATIO, RETRY_WINDOW
from tests.faults.records import Disturbance, Kind, Record, Version
from tests.faults.sites import record_loop_stalls
from tests.platform import cut_entry
from tests.platform.entries import EntryEndpoint, EntryHost
from tests.platform.processes import build_network, query_ready
from tests.platform.runs import read_clock
from tests.platform.standins import KEY, ROUTE_HOST, FakeStore, build_configuration
from tests.platform.target import Identity
from tests.ports import HOST, find_free_port

GRACE_SECONDS = 8.0
"""Grace time of a stop in seconds, after which an entry is killed."""

EXPIRY_RANGE = (1.0, 3.0)
"""Time until the store removes the registration of a crashed target, in seconds."""

RECOVERY_SECONDS = 4.0
"""Time after the last fault within which all must work again, in seconds."""

FINAL_TRAFFIC_SECONDS = 2.0
"""Time of traffic after that, in seconds."""

PIN_MS = 4_000
"""Longest time for which engines pin, in milliseconds."""

STEP_RANGE = (1_000, 10_000)
"""Shortest and longest time by which a restart sets a clock back, in milliseconds."""

READY_POLL_INTERVAL = 0.5
"""Pause between two readiness checks of all entries for the callers, in seconds."""

VERSIONS = ("v1", "v2")
"""Software versions of the engines, which run side by side."""

ROUTES = {
    Kind.PLAN: ("stream", 39_000, 1),
    Kind.RESUME: ("stream", 6_000, 2),
    Kind.ORDER: ("unsafe", 800, 1),
    Kind.LOOKUP: ("safe", 800, 2),
}
"""Type, time limit in milliseconds and number of attempts of each kind's route."""


class Site:
    """Processes and callers of one run.

    The seed determines the traffic and the plan; the processes differ in each run.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        shape: Shape,
        returns: float = 1.0,
        without: tuple[str, ...] = (),
        options: Options = USUAL,
    ) -> None:
        self.record = Record(
            retry_extra=shape.retry_extra,
            first_id=options.first_id,
            target_stalls=[],
        )
        self._rng = random.Random(f"{seed} site")
        self._folder = folder
        self._shape = shape
        self._returns = returns
        self._without = without
        self._options = options
        self._store = FakeStore()
        self._spares = Spares(folder / "targets.log")
        self._entries: list[EntryHost] = []
        self._targets: list[TargetHost] = []
        self._gone: list[TargetHost] = []
        self.proxies: list[FaultyProxy] = []
        self._names = 0
        self._left_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run_plan(
        self, steps: list[plans.Step], seconds: float, patience: float
    ) -> None:
        """Run a plan, then without faults, and fill the record."""
        try:
            await self._start()
            # Not before, as the time limits of the start are for a usual machine.
            with keep_busy(self._options.busy):
                await self._play(steps, seconds, patience)
        finally:
            await self._shut_down()
        self._read_journals()

    async def _play(
        self, steps: list[plans.Step], seconds: float, patience: float
    ) -> None:
        stop_event = asyncio.Event()
        callers = Callers(
            self.record,
            self._rng,
            [host.endpoint for host in self._entries],
            self._shape,
            self._returns,
            self._options,
        )
        traffic = asyncio.create_task(callers.run(stop_event, patience))
        watches = [
            asyncio.create_task(self._watch_readiness()),
            asyncio.create_task(record_loop_stalls(self.record)),
        ]
        start = read_clock()
        for step in plans.add_kills(steps, self._options.kills, seconds):
            await asyncio.sleep(max(0.0, start + step.at - read_clock()))
            self._start_task(self._apply(step.fault))
        await asyncio.sleep(max(0.0, start + seconds - read_clock()))
        await asyncio.gather(*self._tasks)
        for proxy in self.proxies:
            proxy.calm = True
        self.record.final_phase_start = read_clock() + RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS + FINAL_TRAFFIC_SECONDS)
        stop_event.set()
        await traffic
        for watch in watches:
            watch.cancel()

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.add(asyncio.create_task(work))

    async def _start(self) -> None:
        await self._store.start()
        await self._configure()
        await self._spares.start(self._shape.engines + self._shape.services + SPARES)
        services = ["engines"] * self._shape.engines
        services += ["bookings"] * self._shape.services
        await asyncio.gather(*map(self._add_target, services))
        network = build_network()
        for number, domain in enumerate(self._shape.list_domains()):
            ip = network.find_ip(number)
            path = self._folder / f"entry-{number}.toml"
            bounds = (
                f"grace_s = {GRACE_SECONDS}\nretry_ratio = {RETRY_RATIO}\n"
                f"retry_extra = {self._shape.retry_extra}\n"
                f"retry_window_s = {RETRY_WINDOW}\n"
            )
            network.write_settings(
                path, number, self._store.address, domain, bounds=bounds
            )
            host = EntryHost(
                number=number,
                ready=f"{ip}:{network.ready}",
                endpoint=EntryEndpoint(number, f"{ip}:{network.front}"),
                settings=path,
                log=self._folder / f"entry-{number}.log",
                grace=GRACE_SECONDS,
                stops=self.record.stops,
                program=self._choose_program(),
            )
            self._entries.append(host)
            await host.start()
        for host in self._entries:
            await host.wait_until_ready(launch=False)

    async def _configure(self) -> None:
        routes = [
            {
                "name": kind.value,
                "host": ROUTE_HOST,
                "prefix": f"/{kind.value}/",
                "type": type_name,
                "service": "engines" if type_name == "stream" else "bookings",
                "attempts": attempts,
                "resumable": kind is Kind.RESUME,
                "timeout_ms": timeout,
                "slo_ms": 1_500 if type_name == "stream" else 200,
                "gap_slo_ms": 180,
                "priority": 1,
            }
            for kind, (type_name, timeout, attempts) in ROUTES.items()
        ]
        engine = {
            "slots": 64,
            "kv_capacity": self._shape.memory,
            "moves": self._shape.moves,
            "backups": True,
            "stride": 4,
            **({"pin_ms": PIN_MS} if self._options.pins else {}),
        }
        services = [{"name": "engines", "engine": engine}, {"name": "bookings"}]
        value = build_configuration(1, routes=routes, services=services)
        await self._store.put("keyed.op", "config", value)
        paths = frozenset(f"/{kind.value}/" for kind in ROUTES)
        self.record.versions.append(Version(1, read_clock(), paths, frozenset({KEY})))

    async def _add_target(
        self,
        service: str,
        behaviors: tuple[str, ...] | None = None,
        version: str = "",
    ) -> TargetHost:
        self._names += 1
        name = f"i-{service}-{self._names}"
        domains = list(self._shape.domains)
        if behaviors is None:
            behaviors = plans.draw_behaviors(self._rng)
        port = find_free_port()
        proxy = await self._add_proxy(name, port) if self._options.proxies else None
        identity = Identity(
            name,
            service,
            proxy.address if proxy else f"{HOST}:{port}",
            domains[self._names % len(domains)],
            version or self._choose_version(service),
            self._store.address,
            str(self._folder / f"{name}.jsonl"),
            work=self._shape.work,
            faults=self._list_faults(service, behaviors),
            port=port,
            framing=self._options.framing,
            open_share=self._options.open_share,
            late_share=self._options.late_share,
            deadlines=self._options.deadlines,
            event_tokens=self._options.event_tokens,
            block=self._options.block,
            first_id=self._options.first_id,
            odd_events=self._options.odd_events,
        )
        if self._options.clock_back:
            identity = replace(identity, born=time.time_ns() // 1_000_000)
        host = TargetHost(identity, self._spares, proxy=proxy)
        self._targets.append(host)
        await host.start()
        await host.wait_until_registered()
        return host

    def _choose_program(self) -> str:
        return cut_entry.__name__ if self._options.releases else "figstep.platform"

    def _choose_version(self, service: str) -> str:
        if service != "engines" or self._options.releases:
            return VERSIONS[0]
        return VERSIONS[self._names % 2]

    async def _add_proxy(self, name: str, port: int) -> FaultyProxy:
        proxy = FaultyProxy(port, random.Random(f"{name} proxy"))
        self.proxies.append(proxy)
        await proxy.start()
        return proxy

    async def _watch_readiness(self) -> None:
        while True:
            for host in self._entries:
                host.endpoint.ready = await query_ready(host.ready)
            await asyncio.sleep(READY_POLL_INTERVAL)

    async def _apply(self, fault: plans.Fault) -> None:
        match fault:
            case plans.DisturbEntry(action=action, number=number, seconds=seconds):
                entry = self._entries[number % len(self._entries)]
                with self.record.disturb(action, entry.number):
                    await entry.disturb(action, seconds)
            case plans.CutEntry(number=number, sides=sides, seconds=seconds):
                entry = self._entries[number % len(self._entries)]
                name = f"cut off from {' and '.join(sides)}"
                with self.record.disturb(name, entry.number):
                    await self._cut_entry(entry, sides, seconds)
            case plans.Release():
                await self._release(fault)
            case plans.KillEntries():
                await asyncio.gather(*map(self._kill_entry, self._entries))
            case plans.LoseStore(seconds=seconds):
                with self.record.disturb("store away"):
                    self._store.unavailable = True
                    await asyncio.sleep(seconds)
                    self._store.unavailable = False
            case _:
                idle = [one for one in self._targets if not one.busy]
                if not idle:
                    return
                target = idle[fault.number % len(idle)]
                target.busy = True
                name = describe_fault(fault)
                with self.record.disturb(name, None, target.name):
                    await self._apply_target_fault(target, fault)
                target.busy = False

    async def _cut_entry(
        self, entry: EntryHost, sides: tuple[str, ...], seconds: float
    ) -> None:
        cut_entry.write_cut(entry.settings, sides)
        entry.endpoint.sought = True
        await asyncio.sleep(seconds)
        entry.endpoint.sought = False
        cut_entry.write_cut(entry.settings, ())

    async def _release(self, release: plans.Release) -> None:
        if not release.in_place:
            await self._release_beside(release)
            return
        engines = [one for one in self._targets if one.identity.service == "engines"]
        chosen = [
            engines[(release.number + index) % len(engines)]
            for index in range(release.count)
        ]
        for _ in VERSIONS:
            restart = plans.Restart(0, None, 0.0, release.late, True, False, ())
            await asyncio.gather(
                *(self._restart_released(target, restart) for target in chosen)
            )
            await asyncio.sleep(release.seconds)

    async def _release_beside(self, release: plans.Release) -> None:
        added = [
            await self._add_target("engines", (), VERSIONS[1])
            for _ in range(release.count)
        ]
        await asyncio.sleep(release.seconds)
        for target in added:
            self._targets.remove(target)
            self._gone.append(target)
            self.record.departures[target.name] = float("inf")
            self._left_at[target.name] = read_clock()
            target.send_signal(signal.SIGTERM)
        for target in added:
            await target.wait()

    async def _restart_released(
        self, target: TargetHost, restart: plans.Restart
    ) -> None:
        with self.record.disturb(describe_fault(restart), None, target.name):
            await self._restart(target, restart)

    async def _kill_entry(self, entry: EntryHost) -> None:
        with self.record.disturb("kill", entry.number):
            await entry.disturb("kill", 0.0)

    async def _apply_target_fault(
        self,
        target: TargetHost,
        fault: plans.Restart | plans.Replace | plans.FreezeTarget,
    ) -> None:
        match fault:
            case plans.FreezeTarget(seconds=seconds):
                target.send_signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                target.send_signal(signal.SIGCONT)
            case plans.Restart():
                await self._restart(target, fault)
            case plans.Replace():
                await self._replace(target, fault)

    async def _restart(self, target: TargetHost, fault: plans.Restart) -> None:
        if fault.graceful:
            target.send_signal(signal.SIGTERM)
            await target.wait()
        else:
            await target.kill()
        if fault.gap:
            await target.hold(fault.held)
            await asyncio.sleep(fault.gap)
        identity = replace(target.identity, late=fault.late)
        service = identity.service
        identity = replace(identity, faults=self._list_faults(service, fault.behaviors))
        if fault.upgrade and service == "engines":
            other = VERSIONS[identity.version == VERSIONS[0]]
            identity = replace(identity, version=other)
        if self._options.clock_back:
            identity = set_back(identity)
        target.identity = identity
        await target.start()
        await target.wait_until_registered()

    def _list_faults(self, service: str, behaviors: tuple[str, ...]) -> tuple[str, ...]:
        if service != "engines":
            return ()
        kept = [name for name in behaviors if name not in self._without]
        kept += ["pinless"] if self._options.pinless else []
        kept += ["sleep"] if self._options.sleeping else []
        kept += ["truncated"] if self._options.truncated else []
        kept += ["shortened"] if self._options.shortened else []
        return tuple(kept)

    async def _replace(self, target: TargetHost, fault: plans.Replace) -> None:
        self._targets.remove(target)
        self._gone.append(target)
        await self._add_target(target.identity.service, fault.behaviors)
        # A departure that the journal names later than this is the last one.
        self.record.departures[target.name] = float("inf")
        self._left_at[target.name] = read_clock()
        if fault.graceful:
            target.send_signal(signal.SIGTERM)
            await target.wait()
            return
        await target.kill()
        await target.hold(fault.held)
        await asyncio.sleep(self._rng.uniform(*EXPIRY_RANGE))
        await self._store.put("keyed.servers", target.name, b"")
        self.record.departures[target.name] = read_clock()
        await asyncio.sleep(fault.seconds)
        await target.release()
        if target.proxy is not None:
            await target.proxy.stop()

    async def _shut_down(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self._entries:
            await host.end()
        for target in [*self._targets, *self._gone]:
            await target.release()
            target.send_signal(signal.SIGCONT)
            if target.process is not None:
                await target.kill()
        for proxy in self.proxies:
            await proxy.stop()
        await self._spares.stop()
        await self._store.stop()

    def _read_journals(self) -> None:
        for target in [*self._targets, *self._gone]:
            note = partial(self._note_line, target)
            self.record.runs += read_journal(Path(target.identity.journal), note)
        self.record.runs.sort(key=lambda run: run.began)

    def _note_line(self, target: TargetHost, line: dict[str, Any]) -> None:
        name = target.name
        match line["kind"]:
            case "arrived":
                service, request = target.identity.service, line["request"]
                self.record.arrivals.append((line["at"], service, request))
                self.record.target_arrivals.append((line["at"], name, request))
            case "stall":
                assert self.record.target_stalls is not None
                self.record.target_stalls.append((name, line["start"], line["end"]))
            case "asleep":
                span = Disturbance("asleep", None, name, line["start"], line["end"])
                self.record.disturbances.append(span)
            case "registered" if line["state"] == "draining":
                if line["at"] > self._left_at.get(name, float("inf")):
                    self.record.departures[name] = line["at"]


def set_back(identity: Identity) -> Identity:
    """Return what a process is told to be whose clock was set back meanwhile."""
    rng = random.Random(f"{identity.name} {identity.born}")
    return replace(identity, born=identity.born - rng.randint(*STEP_RANGE))


def describe_fault(fault: plans.Fault) -> str:
    """Return the kind of a fault with what distinguishes it."""
    name = type(fault).__name__.lower()
    match fault:
        case plans.Restart(graceful=graceful, late=late, upgrade=upgrade, held=held):
            how = "term" if graceful else "kill"
            kept = held.value if held and fault.gap else "refused"
            return f"{name} {how}, {kept} {fault.gap:.1f} s, late {late:.1f} s" + (
                ", other version" if upgrade else ""
            )
        case plans.Replace(graceful=graceful, held=held):
            kept = held.value if held and not graceful else "refused"
            return f"{name} {'term' if graceful else 'kill'}, {kept}"
    return name
