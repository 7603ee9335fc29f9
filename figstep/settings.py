"""Settings of one entry instance, read from YAML and validated at start."""

from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from figstep.errors import SettingsError

BaseUrl = Annotated[str, Field(pattern=r"^https?://[^/\s]+$")]
PeerAddress = Annotated[str, Field(pattern=r"^\S+:\d+$")]

_ADVICE = {
    "missing": "missing; add it",
    "extra_forbidden": "not a known field; check its spelling or remove it",
    "model_type": "write a mapping of fields here",
}


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(_Model):
    """An address to listen on; port 0 selects a free port."""

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)


class Platform(_Model):
    """Addresses of the platform's services, as base URLs.

    Attributes:
        weights: The weight store, or None; no code reads this setting.
        log_retention_seconds: Minimum time that the log keeps a record, in seconds.
    """

    log: BaseUrl
    instances: BaseUrl
    weights: BaseUrl | None = None
    log_retention_seconds: float = Field(default=86_400.0, gt=0)


class Peers(_Model):
    """Communication with the other entries.

    Attributes:
        listen: UDP and TCP address for peers.
        start: Addresses of entries to contact at start, as "host:port".
        key: Shared key that authenticates messages.
        old_key: Second key that is accepted while keys are rotated; "" for none.
    """

    listen: Listen = Listen()
    start: tuple[PeerAddress, ...] = ()
    key: str = ""
    old_key: str = ""


class Limits(_Model):
    """Limits on requests, answers and connections of callers.

    Attributes:
        body_bytes: Maximum size of a request body, in bytes.
        header_bytes: Maximum size of the request line, and of each header, in bytes.
        headers: Maximum number of headers in a request.
        head_bytes: Maximum size of a request's line and headers together, in bytes,
            and of what comes between two pieces of a body, and after it.
        body_seconds: Maximum time for receiving a request body, in seconds.
        idle_seconds: Maximum time that a connection may be idle, and maximum time
            for receiving the headers of a request, in seconds.
        deadline_ms: Maximum deadline that a caller may request, in milliseconds.
        resume_grace_seconds: Maximum time that a generation may continue after its
            caller disconnected, if the caller requested that, in seconds.
        buffer_bytes: Maximum number of unsent bytes of a stream.
        answer_bytes: Maximum size of an answer that is collected for a caller that
            does not stream, in bytes.
        keep_alive_seconds: Interval of comments on an idle stream, in seconds.
        stalled_seconds: Maximum time that a caller may leave the bytes of a stream
            unread, in seconds; its connection is aborted then.
        memory_bytes: Memory above which the process is killed, in bytes, from which
            the budget of buffered bytes is derived; None for no budget.
    """

    body_bytes: int = Field(default=1_048_576, gt=0)
    header_bytes: int = Field(default=16_384, gt=0)
    headers: int = Field(default=64, gt=0)
    head_bytes: int = Field(default=65_536, gt=0)
    body_seconds: float = Field(default=10.0, gt=0)
    idle_seconds: float = Field(default=75.0, gt=0)
    deadline_ms: int = Field(default=3_600_000, gt=0)
    resume_grace_seconds: float = Field(default=60.0, ge=0)
    buffer_bytes: int = Field(default=262_144, gt=0)
    answer_bytes: int = Field(default=8_388_608, gt=0)
    keep_alive_seconds: float = Field(default=15.0, gt=0)
    stalled_seconds: float = Field(default=60.0, gt=0)
    memory_bytes: int | None = Field(default=None, gt=0)


class Statsd(_Model):
    """Address of the statsd server."""

    host: str
    port: int = Field(default=8125, gt=0, le=65535)


class Tls(_Model):
    """Paths of the PEM files with the certificate chain and key for callers."""

    certificate: str
    key: str


class Settings(_Model):
    """All settings of an entry process.

    Attributes:
        node: Name of this instance.
        region: Region of this instance; no code reads this setting.
        callers: Address on which callers connect.
        statsd: Metrics server, or None.
        tls: Certificate for callers, or None for plain HTTP.
        notice_seconds: How long new requests are still accepted after the entry
            reports that it is not ready, in seconds.
        log_level: Lowest log level that is written.
    """

    node: str = Field(pattern=r"^[a-z0-9.-]+$")
    failure_domain: str
    region: str = ""
    callers: Listen = Listen()
    platform: Platform
    peers: Peers = Peers()
    limits: Limits = Limits()
    statsd: Statsd | None = None
    tls: Tls | None = None
    notice_seconds: float = Field(default=5.0, ge=0)
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


def describe_errors(error: ValidationError) -> list[str]:
    """Return one line per invalid field, with its path and the correction."""
    lines = []
    for item in error.errors():
        path = ".".join(str(part) for part in item["loc"]) or "document"
        advice = _ADVICE.get(item["type"], item["msg"])
        lines.append(f"{path}: {advice}")
    return lines


def load_yaml(path: Path) -> Any:
    """Read a YAML file.

    Raises:
        SettingsError: If the file cannot be read or is not YAML.
    """
    # Entries on the platform import this module for other names. The YAML library costs
    # them 0.9 MB.
    import yaml

    try:
        return yaml.safe_load(path.read_text())
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}); check the path"
        ) from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: not YAML; mend it: {error}") from error


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file cannot be read or is not valid. The message names
            the file, each invalid field and its correction.
    """
    document = load_yaml(path)
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        lines = [f"{path}: {line}" for line in describe_errors(error)]
        raise SettingsError("\n".join(lines)) from error
