"""Software versions that the targets of a service have, or had until recently.

Where all targets of a service have had one version for as long as any caller waits for
a stream, that version has begun the stream, and entries need not tell each other.
"""

from collections.abc import Iterable

from figstep.core.clock import Millis
from figstep.gateway.events import PastVersion
from figstep.gateway.routes import RouteKind, RoutingTable
from figstep.gateway.starts import START_RETENTION, ServiceVersion
from figstep.gateway.state import State
from figstep.gateway.targets import Registration

ABSENT_CONFIRMED_RETENTION = Millis(60_000)
"""Milliseconds for which a record counts as confirmed while no target is known that has
the version. Its registration may be read later than the record."""


def record_past_version(state: State, info: Registration, now: Millis) -> None:
    """Record the version of a target that was removed or started again."""
    state.past_versions[info.service, info.version] = now


def record_moved_routes(
    state: State, before: RoutingTable, after: RoutingTable, now: Millis
) -> None:
    """Record the versions that began streams of routes that a configuration moves.

    A caller takes such a stream up at the services that its path leads to now. These
    count as if they had had the versions of the services before.
    """
    changed = _list_shares(before) ^ _list_shares(after)
    for host, prefix in {(host, prefix) for host, prefix, _ in changed}:
        old, new = before.find_route(host, prefix), after.find_route(host, prefix)
        if old is None or new is None:
            continue
        if new.kind is not RouteKind.STREAM or not new.resumable:
            continue
        services = {service for service, _ in new.shares}
        left = {service for service, _ in old.shares} - services
        known = {
            version
            for service in left
            for version in list_versions(state, service, now)
        }
        for service in services:
            for version in known:
                state.past_versions[service, version] = now
                state.history.has_news = True
    update_announced_services(state, now)


def _list_shares(
    table: RoutingTable,
) -> set[tuple[str, str, tuple[tuple[str, float], ...]]]:
    """Return host, prefix and services of each route."""
    return {
        (host, route.prefix, route.shares)
        for host, routes in table.routes.items()
        for route in routes
    }


def apply_past_versions(
    state: State, reports: Iterable[PastVersion], now: Millis
) -> None:
    """Apply another entry's report of the versions that targets had."""
    for report in reports:
        key = (report.service, report.version)
        at = Millis(now - report.age)
        state.past_versions[key] = max(at, state.past_versions.get(key, at))


def list_past_versions(state: State, now: Millis) -> tuple[PastVersion, ...]:
    """Return the versions that targets had, for an entry that has just started."""
    return tuple(
        PastVersion(service, version, Millis(now - at))
        for (service, version), at in state.past_versions.items()
    )


def is_history_known(state: State, now: Millis) -> bool:
    """Return whether this entry knows all versions that began streams still awaited.

    A process that starts knows them from entries that do, from the store, or after as
    long as any caller waits. That the whole system starts for the first time counts
    only if entries have never written to the store: the settings may still state it at
    a later start.
    """
    if state.was_told_versions or state.history.found:
        return True
    if state.history.read and state.budget.first_start:
        return True
    return now - state.budget.started >= START_RETENTION


def list_versions(state: State, service: str, now: Millis) -> set[str]:
    """Return the versions that the targets of a service have or recently had."""
    versions = set()
    for (name, version), at in state.past_versions.items():
        if name == service and now - at < START_RETENTION:
            versions.add(version)
    for target in state.targets.targets.values():
        if target.info.service == service:
            versions.add(target.info.version)
    return versions


def find_sole_version(state: State, services: Iterable[str], now: Millis) -> str | None:
    """Return the only version of some services; None if there were more, or unknown.

    It is unknown while a target has restarted and not registered its version.
    """
    if not is_history_known(state, now):
        return None
    versions: set[str] = set()
    for service in services:
        if state.targets.has_restarted(service):
            return None
        versions |= list_versions(state, service, now)
    return versions.pop() if len(versions) == 1 else None


def find_begun_version(
    state: State, services: Iterable[str], now: Millis
) -> str | None:
    """Return the version that has begun all streams of some services; None if unknown.

    That is the only one on record. The records have to be read after the question has
    come up: what this entry has not heard of may exist.
    """
    services = list(services)
    version = find_sole_version(state, services, now)
    for service in services:
        if (service, version) in state.history.listed:
            return version
    return None


def may_begin(state: State, service: str, version: str) -> bool:
    """Return whether a version may begin streams that can be taken up.

    Another entry may take a version on record for the only one, so that any other one
    begins no streams before its own record is confirmed. It does while none is.
    """
    history = state.history
    key = ServiceVersion(service, version)
    if key in history.confirmed or key in history.overdue:
        return True
    return not any(known.service == service for known in history.confirmed)


def _update_awaited(state: State, now: Millis) -> None:
    """Record which versions of registered targets have no confirmed record."""
    history = state.history
    present = {
        ServiceVersion(target.info.service, target.info.version)
        for target in state.targets.targets.values()
    }
    for key, at in list(history.confirmed.items()):
        # The record of a version that has left is deleted later than this.
        if key not in present and now - at >= ABSENT_CONFIRMED_RETENTION:
            del history.confirmed[key]
    awaited = {
        key: history.awaited.get(key, now)
        for key in present
        if key not in history.confirmed
    }
    if not awaited.keys() <= history.awaited.keys():
        history.has_news = True
    history.awaited = awaited
    history.overdue &= awaited.keys()


def update_announced_services(state: State, now: Millis) -> None:
    """Record the services whose starts of streams entries have to tell each other.

    These are the services whose targets have, or recently had, several versions, and
    all of them while this entry does not know which they had: after all processes have
    restarted, no entry does. All are told as well while the store can't be asked.
    """
    _update_awaited(state, now)
    for key, at in list(state.past_versions.items()):
        if now - at >= START_RETENTION:
            del state.past_versions[key]
    is_known = is_history_known(state, now)
    services = {target.info.service for target in state.targets.targets.values()}
    for service in services:
        has_several = len(list_versions(state, service, now)) > 1
        if is_known and not has_several and not state.tells_starts:
            state.announced_since.pop(service, None)
        else:
            state.announced_since.setdefault(service, now)
