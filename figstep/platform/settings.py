"""Loader of the platform's settings file, which configures an entry."""

import os
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from figstep.core.clock import Millis
from figstep.errors import SettingsError
from figstep.platform.listeners import PATH_VARIABLE
from figstep.settings import describe_errors

PRESSURE_CONTRACT = "pressure"
"""Contract of a deployment whose clients at times compete for too little capacity."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Listen(_Model):
    front: str  # "ip:port" for callers
    ready: str  # "ip:port" for readiness checks
    control: str = ""  # not used


class _Bounds(_Model):
    grace_s: float = 8.0  # from SIGTERM until the process is killed
    retry_ratio: float = 0.2  # repeats per request
    retry_window_s: float = 10.0
    retry_extra: float = 50.0  # repeats in a window beyond the ratio


class _Limits(_Model):
    memory_mb: int = 150  # MiB
    max_fds: int = 1024


class _Provider(_Model):
    addr: str  # "ip:port" of the platform's store


class _Document(_Model):
    node: str
    ip: str
    zone: str  # failure domain of this instance
    region: str = ""
    zones: dict[str, str] = {}  # failure domain -> region
    bootstrap: bool = False  # the whole system starts for the first time
    port_range: tuple[int, int]  # the first is used for peers, the second for relays
    seeds: tuple[str, ...] = ()  # control addresses of other entries, as "ip:port"
    listen: _Listen
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    provider: _Provider
    contracts: tuple[str, ...] = ()  # conditions that the deployment has to stand


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        node: Name of this instance.
        callers: Address at which callers connect.
        readiness: Address at which the platform checks readiness.
        peers: Address at which other entries reach this one, by UDP and TCP.
        seeds: Addresses at which other entries may be reached by UDP and TCP.
        store: Address of the platform's store, as "ip:port".
        first_start: Whether the whole system starts for the first time.
        grace: Time from SIGTERM until the process is killed, in milliseconds.
        retry_ratio: Repeats that the fleet may send a service per request to it.
        retry_allowance: Repeats that the fleet may send a service in a window beyond
            the ratio.
        retry_window: Length of that window in milliseconds.
        memory_bytes: Memory in bytes above which the process is killed.
        descriptors: Maximum number of open files and sockets.
        regions: Region of each failure domain.
        relays: Address at which other entries pass requests on to this one; None if
            there is no port for it.
        places_by_pace: Whether generations are placed by the time until they end.
        fleet_admission: Whether admission is decided from the demand of all entries.
    """

    node: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    seeds: tuple[Address, ...]
    store: str
    first_start: bool
    grace: Millis
    retry_ratio: float
    retry_allowance: float
    retry_window: Millis
    memory_bytes: int
    descriptors: int
    regions: dict[str, str] = field(default_factory=dict)
    relays: Address | None = None
    places_by_pace: bool = False
    fleet_admission: bool = False

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Addresses of the seeds, as "ip:port"."""
        return tuple(f"{seed.host}:{seed.port}" for seed in self.seeds)


def read_path() -> Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: If the environment variable FIGSTEP_CONFIG is not set or empty.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE}: not set; write the settings file's path")
    return Path(path)


def load_settings(path: Path) -> EntrySettings:
    """Read and validate the platform's settings file.

    Raises:
        SettingsError: If the file cannot be read or is not valid; the error names the
            file, each wrong field and what to write.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: cannot be read ({error}); mend it") from error
    return parse_settings(document, str(path))


def parse_settings(document: dict[str, Any], origin: str) -> EntrySettings:
    """Return the settings in a parsed settings file.

    ``origin`` names the file in error messages.

    Raises:
        SettingsError: If the document is not valid; the error names each wrong field
            and what to write.
    """
    try:
        parsed = _Document.model_validate(document)
    except ValidationError as error:
        lines = [f"{origin}: {line}" for line in describe_errors(error)]
        raise SettingsError("\n".join(lines)) from error
    peer_port, last_port = parsed.port_range
    relays = Address(parsed.ip, peer_port + 1) if last_port > peer_port else None
    # The file lists the control addresses of other entries as seeds. The peer port of
    # each entry is the first of the port range, which is the same on every machine.
    seeds = tuple(Address(split_address(seed).host, peer_port) for seed in parsed.seeds)
    return EntrySettings(
        node=parsed.node,
        failure_domain=parsed.zone,
        regions={parsed.zone: parsed.region, **parsed.zones},
        callers=split_address(parsed.listen.front),
        readiness=split_address(parsed.listen.ready),
        peers=Address(parsed.ip, peer_port),
        seeds=seeds,
        store=parsed.provider.addr,
        first_start=parsed.bootstrap,
        grace=Millis(round(parsed.bounds.grace_s * 1000)),
        retry_ratio=parsed.bounds.retry_ratio,
        retry_allowance=parsed.bounds.retry_extra,
        retry_window=Millis(round(parsed.bounds.retry_window_s * 1000)),
        memory_bytes=parsed.limits.memory_mb << 20,
        descriptors=parsed.limits.max_fds,
        relays=relays,
        places_by_pace=PRESSURE_CONTRACT in parsed.contracts,
        fleet_admission=PRESSURE_CONTRACT in parsed.contracts,
    )


def split_address(text: str) -> Address:
    """Return the host and port of an "ip:port" text.

    Raises:
        SettingsError: If the host is empty or the port is not a number.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{text!r} is no address; write IP:PORT")
    return Address(host, int(port))
