"""Claims: the fold that says which request owns a non-idempotent identity."""

import base64
import binascii
import hashlib
import uuid
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from figstep.core.clock import MINUTE, Millis
from figstep.core.inventory import Inventory, NonIdempotentRule
from figstep.core.problems import Ran
from figstep.core.records import LogRecord
from figstep.core.specs import RequestSpec, ServiceWork

CLAIM_WINDOW = Millis(15 * MINUTE)
MAX_OUTCOME_BODY = 1_024
SWEEP_INTERVAL = 1_000


@dataclass(frozen=True, slots=True)
class Identity:
    """What makes two non-idempotent requests the same.

    Attributes:
        name: Digest of the customer and its key, or of the body; a fixed
            length, and nothing of the customer's is readable in the log.
        window: How long it is remembered, in milliseconds.
        time: Time that the caller's key carries, in milliseconds since the
            epoch; None if it carries none.
    """

    name: str
    window: Millis
    time: int | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a claimed request ended.

    Attributes:
        ran: Whether it ran.
        status: HTTP status of the answer; 0 if there was none.
        content_type: Content type of the answer.
        body: The answer, or None where it was too large to be recorded.
        generation: Generation that holds the answer, or "".
    """

    ran: Ran
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    generation: str = ""


@dataclass(slots=True)
class Claim:
    """The claim that owns an identity.

    Attributes:
        record: Id of the record; only the process that made it knows it as its
            own, so a restarted entry of the same name owns nothing of before.
        digest: Digest of method, path and body.
        expires: When the identity is free again, by the log's time.
        folded: When it was read here (monotonic).
        window: How long it is remembered, in milliseconds.
        outcome: How it ended, or None.
    """

    record: str
    digest: str
    expires: int
    folded: Millis
    window: int
    outcome: Outcome | None = None


class OwnClaimState(Enum):
    """Where a claim of this process is."""

    PENDING = "pending"  # not read back yet
    OWNED = "owned"  # read back as the first for its identity
    ABANDONED = "abandoned"  # its caller was refused: it is never dispatched


@dataclass(slots=True)
class OwnClaim:
    """A claim that this process appended.

    Attributes:
        record: Id of the record.
        identity: Identity that it claims.
        request: Request that it is for.
        key: Key of the append.
        appended: When the append began (monotonic).
        state: Where it is.
        joined: Duplicates at this entry that get the same answer.
    """

    record: str
    identity: Identity
    request: str
    key: int
    appended: Millis
    state: OwnClaimState = OwnClaimState.PENDING
    joined: list[str] = field(default_factory=list)


@dataclass(slots=True)
class UnconfirmedRecord:
    """An outcome or release that the log has not confirmed.

    Attributes:
        data: The record; appending it again is harmless.
        since: When an append of it first had no answer (monotonic), or None.
        uncertain: Whether its last append had no answer.
    """

    data: dict[str, Any]
    since: Millis | None = None
    uncertain: bool = False


@dataclass(slots=True)
class ClaimTable:
    """Claims as folded from the log, and those of this process.

    Attributes:
        owners: Owning claim by identity name.
        released: Ids of released claims, with the log's time of the release.
        own: Claims of this process by record id.
        waiters: Requests here that wait for another entry's outcome, by
            identity name.
        unconfirmed: Outcomes and releases on their way, by key of the append.
        caught_up: Whether the stream was read to its end and can be read.
        next_key: Key of the next append.
        folded: Records folded so far.
    """

    owners: dict[str, Claim] = field(default_factory=dict)
    released: dict[str, int] = field(default_factory=dict)
    own: dict[str, OwnClaim] = field(default_factory=dict)
    waiters: dict[str, list[str]] = field(default_factory=dict)
    unconfirmed: dict[int, UnconfirmedRecord] = field(default_factory=dict)
    caught_up: bool = False
    next_key: int = 1
    folded: int = 0


# Results of folding one record


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The record is the first claim for its identity."""

    record: str
    time: int


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Another claim owns the identity."""

    record: str
    name: str


@dataclass(frozen=True, slots=True)
class IdentityReleased:
    """The owner gave the identity back without dispatching."""

    name: str


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The owner recorded its outcome."""

    name: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Unchanged:
    """A repeated, late or malformed record."""


Change = ClaimWon | ClaimLost | IdentityReleased | OutcomeRecorded | Unchanged


def find_rule(
    inventory: Inventory | None, spec: RequestSpec
) -> NonIdempotentRule | None:
    """Return the first rule that lets the request run only once."""
    if inventory is None or not isinstance(spec.work, ServiceWork):
        return None
    for rule in inventory.rules.non_idempotent:
        if rule.service != spec.work.service:
            continue
        if rule.method is not None and rule.method != spec.work.method:
            continue
        if rule.customer is not None and rule.customer != spec.customer:
            continue
        if spec.work.path.startswith(rule.path):
            return rule
    return None


def is_non_idempotent(inventory: Inventory | None, spec: RequestSpec) -> bool:
    """Tell whether the rules or the caller let the request run only once."""
    return spec.non_idempotent or find_rule(inventory, spec) is not None


def identify_request(
    inventory: Inventory | None, spec: RequestSpec, retention: Millis = CLAIM_WINDOW
) -> Identity:
    """Return the identity of a non-idempotent request.

    Its window is never longer than the log's retention: an entry that starts
    later could not read the claim any more.
    """
    longest = min(CLAIM_WINDOW, retention)
    if spec.idempotency_key is not None:
        name = _digest("key", spec.customer, spec.idempotency_key)
        return Identity(name, longest, read_key_time(spec.idempotency_key))
    rule = find_rule(inventory, spec)
    if rule is not None and rule.digest_window is not None:
        name = _digest("body", spec.customer, spec.digest)
        return Identity(name, min(rule.digest_window, retention))
    return Identity(_digest("request", spec.customer, spec.request), longest)


def _digest(*parts: str) -> str:
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:32]


def read_key_time(key: str) -> int | None:
    """Return the time in a UUID version 7, in ms since the epoch, or None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> 80 if parsed.version == 7 else None


def build_claim(record: str, identity: Identity, digest: str) -> dict[str, Any]:
    """Return the record that claims an identity."""
    return {
        "kind": "claim",
        "id": record,
        "name": identity.name,
        "digest": digest,
        "window": identity.window,
    }


def build_release(record: str, name: str) -> dict[str, Any]:
    """Return the record that gives an identity back undispatched."""
    return {"kind": "release", "id": record, "name": name}


def build_outcome(record: str, name: str, outcome: Outcome) -> dict[str, Any]:
    """Return the record of how a claimed request ended."""
    body = None
    if outcome.body is not None and len(outcome.body) <= MAX_OUTCOME_BODY:
        body = base64.b64encode(outcome.body).decode()
    return {
        "kind": "outcome",
        "id": record,
        "name": name,
        "ran": outcome.ran.value,
        "status": outcome.status,
        "type": outcome.content_type,
        "body": body,
        "generation": outcome.generation,
    }


def fold_record(table: ClaimTable, record: LogRecord, now: Millis) -> Change:
    """Apply one record of the claims stream; every entry reaches the same table.

    Args:
        table: Changed in place.
        record: The record; its time and offset are the log's.
        now: Monotonic time of the reading, for this entry's own use only.
    """
    table.folded += 1
    if table.folded % SWEEP_INTERVAL == 0:
        _sweep(table, record.time)
    data = record.data
    kind, name, identifier = data.get("kind"), data.get("name"), data.get("id")
    if not isinstance(name, str) or not isinstance(identifier, str):
        return Unchanged()
    match kind:
        case "claim":
            return _fold_claim(table, record, name, identifier, now)
        case "release":
            return _fold_release(table, record, name, identifier)
        case "outcome":
            return _fold_outcome(table, record, name, identifier)
        case _:
            return Unchanged()


def _fold_claim(
    table: ClaimTable, record: LogRecord, name: str, identifier: str, now: Millis
) -> Change:
    window = record.data.get("window")
    digest = record.data.get("digest")
    if not isinstance(window, int) or not isinstance(digest, str):
        return Unchanged()
    if identifier in table.released:
        return Unchanged()
    owner = table.owners.get(name)
    if owner is not None and owner.record == identifier:
        return Unchanged()
    if owner is not None and record.time < owner.expires:
        return ClaimLost(identifier, name)
    table.owners.pop(name, None)
    table.owners[name] = Claim(identifier, digest, record.time + window, now, window)
    return ClaimWon(identifier, record.time)


def _fold_release(
    table: ClaimTable, record: LogRecord, name: str, identifier: str
) -> Change:
    table.released[identifier] = record.time
    owner = table.owners.get(name)
    if owner is None or owner.record != identifier or owner.outcome is not None:
        return Unchanged()
    del table.owners[name]
    return IdentityReleased(name)


def _fold_outcome(
    table: ClaimTable, record: LogRecord, name: str, identifier: str
) -> Change:
    owner = table.owners.get(name)
    if owner is None or owner.record != identifier or owner.outcome is not None:
        return Unchanged()
    outcome = _parse_outcome(record.data)
    if outcome is None:
        return Unchanged()
    owner.outcome = outcome
    return OutcomeRecorded(name, outcome)


def _parse_outcome(data: dict[str, Any]) -> Outcome | None:
    try:
        body = data["body"]
        return Outcome(
            Ran(data["ran"]),
            int(data["status"]),
            str(data["type"]),
            None if body is None else base64.b64decode(body),
            str(data["generation"]),
        )
    except (KeyError, ValueError, TypeError, binascii.Error):
        return None


def _sweep(table: ClaimTable, time: int) -> None:
    for name, claim in list(table.owners.items()):
        if claim.expires <= time:
            del table.owners[name]
    for identifier, released in list(table.released.items()):
        if released + CLAIM_WINDOW <= time:
            del table.released[identifier]
    for name in list(table.waiters):
        if name not in table.owners:
            del table.waiters[name]


def find_owner(table: ClaimTable, name: str, now: Millis) -> Claim | None:
    """Return the claim that owns an identity, as far as this entry can tell.

    One that was read longer ago than its window has expired by the log's time
    too; a new claim then asks the log, whose order settles it.
    """
    claim = table.owners.get(name)
    if claim is None or now - claim.folded > claim.window:
        return None
    return claim


def find_own(table: ClaimTable, name: str, now: Millis) -> OwnClaim | None:
    """Return this process's live claim on an identity."""
    for own in table.own.values():
        if own.identity.name != name or own.state is OwnClaimState.ABANDONED:
            continue
        if now - own.appended <= own.identity.window:
            return own
    return None
