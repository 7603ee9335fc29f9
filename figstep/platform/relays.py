"""Headers with which one entry passes a request on to another."""

from collections.abc import Mapping
from dataclasses import replace

from figstep.core.clock import Millis
from figstep.gateway.effects import RelayTo
from figstep.gateway.events import RoutedRequest
from figstep.platform import names


def build_headers(
    relay: RelayTo, credential: str | None, remaining: Millis, after: int | None
) -> list[tuple[str, str]]:
    """Return the headers that a request gets as it is passed on to another entry.

    Args:
        relay: What the other entry has to know of the request.
        credential: API key of the caller, or None.
        remaining: Milliseconds until the caller's deadline.
        after: Id of the last event that the caller has received, or None.
    """
    headers = [
        (names.DEADLINE, str(remaining)),
        (names.RELAY_WAITED, str(relay.waited)),
        (names.RELAY_LOST_RUNS, str(relay.lost_runs)),
    ]
    if credential is not None:
        headers.append((names.CREDENTIAL, credential))
    if after is not None:
        headers.append((names.LAST_EVENT, str(after)))
    if relay.version is not None:
        headers.append((names.RELAY_VERSION, relay.version))
    if not relay.may_wait:
        headers.append((names.RELAY_AT_ONCE, "1"))
    return headers


def mark_relayed(spec: RoutedRequest, headers: Mapping[str, str]) -> RoutedRequest:
    """Return a request with what the entry that passed it on states of it.

    Numbers that are missing or malformed count as 0.
    """
    return replace(
        spec,
        relayed=True,
        waited=Millis(_read_number(headers, names.RELAY_WAITED)),
        lost_runs=_read_number(headers, names.RELAY_LOST_RUNS),
        version=headers.get(names.RELAY_VERSION),
        may_wait=names.RELAY_AT_ONCE not in headers,
    )


def _read_number(headers: Mapping[str, str], name: str) -> int:
    text = headers.get(name, "")
    return int(text) if text.isdigit() else 0
