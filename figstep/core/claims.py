"""Fold of the claims stream: which request owns a non-idempotent identity."""

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
"""Time for which an identity is remembered, in milliseconds.

The digest window of a rule applies instead where the rule sets one. The ids of
released claims are also remembered for this time.
"""
MAX_OUTCOME_BODY = 1_024
"""Maximum size of the body that is recorded with an outcome, in bytes."""
SWEEP_INTERVAL = 1_000
"""Number of folded records between two removals of expired claims."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a non-idempotent request; requests with equal names run only once.

    Attributes:
        name: Digest of the customer and its Idempotency-Key, or of the customer and
            the request's digest or id. It has a fixed length, and the log shows no
            data of the customer.
        window: Time for which the identity is remembered, in milliseconds.
        time: Time that the caller's key carries, in milliseconds since the
            epoch; None if the key carries none.
    """

    name: str
    window: Millis
    time: int | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a claimed request.

    Attributes:
        status: HTTP status of the answer; 0 if there was none.
        body: Body of the answer, or None if it was too large to be recorded.
        generation: Id of the generation that holds the answer, or "".
    """

    ran: Ran
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    generation: str = ""


@dataclass(slots=True)
class Claim:
    """Claim that owns an identity, as folded from the log.

    Attributes:
        record: Id of the claim's record. Only the process that created the record
            recognizes the id, so a restarted entry of the same name owns no claim
            of the process before it.
        digest: Digest of the request's method, path and body.
        expires: Time at which the identity is free again, in milliseconds since
            the epoch by the log's clock.
        folded: Time at which this entry read the record, in monotonic
            milliseconds.
        window: Time for which the identity is remembered, in milliseconds.
        outcome: Outcome of the request, or None if none is recorded.
        era: Newest era of the log in which this entry read the claim.
        outcome_era: Newest era in which this entry read the outcome; -1 if it has not.
    """

    record: str
    digest: str
    expires: int
    folded: Millis
    window: int
    outcome: Outcome | None = None
    era: int = 0
    outcome_era: int = -1

    @property
    def made(self) -> int:
        """When the log stored the claim first, in milliseconds since the epoch."""
        return self.expires - self.window


@dataclass(slots=True)
class Release:
    """Claim that was released before its request was dispatched.

    Attributes:
        name: Name of the identity.
        time: Time of the release, in milliseconds since the epoch by the log's clock.
        era: Newest era of the log in which this entry read the release.
    """

    name: str
    time: int
    era: int


class OwnClaimState(Enum):
    """State of a claim that this process appended."""

    PENDING = "pending"  # not read back from the log yet
    OWNED = "owned"  # read back as the first claim for its identity
    ABANDONED = "abandoned"  # the caller was refused: never dispatched


@dataclass(slots=True)
class OwnClaim:
    """Claim that this process appended.

    Attributes:
        record: Id of the claim's record.
        request: Id of the request that the claim is made for.
        key: Key of the append.
        appended: Time at which the append began, in monotonic milliseconds.
        won: Time of the record by the log's clock, in milliseconds since the epoch, if
            it was read back as the owner and is held until the log's era is settled.
        joined: Ids of duplicate requests at this entry that get the same answer.
    """

    record: str
    identity: Identity
    request: str
    key: int
    appended: Millis
    state: OwnClaimState = OwnClaimState.PENDING
    won: int | None = None
    joined: list[str] = field(default_factory=list)


@dataclass(slots=True)
class UnconfirmedRecord:
    """Outcome or release record that the log has not confirmed yet.

    Attributes:
        data: The record. Appending it twice is harmless, as only the first takes
            effect.
        since: Time at which an append of the record first went unanswered, in
            monotonic milliseconds; None if none did.
        uncertain: Whether the last append of the record went unanswered.
    """

    data: dict[str, Any]
    since: Millis | None = None
    uncertain: bool = False


@dataclass(slots=True)
class ClaimTable:
    """Claims as folded from the log, and the claims of this process.

    Attributes:
        owners: Owning claims by name of the identity.
        released: Released claims by record id.
        own: Claims of this process by record id.
        waiters: Ids of requests at this entry that wait for the outcome of another
            entry's claim, by name of the identity.
        unconfirmed: Outcomes and releases that are not confirmed, by key of the
            append.
        caught_up: Whether the stream was read to its end and no read failed since.
        folded: Number of records folded so far.
        era: Era of the log that is read.
        settled_at: Monotonic time, in milliseconds, until which claims that this
            process makes are held, as claims that the log lost may be restored.
    """

    owners: dict[str, Claim] = field(default_factory=dict)
    released: dict[str, Release] = field(default_factory=dict)
    own: dict[str, OwnClaim] = field(default_factory=dict)
    waiters: dict[str, list[str]] = field(default_factory=dict)
    unconfirmed: dict[int, UnconfirmedRecord] = field(default_factory=dict)
    caught_up: bool = False
    next_key: int = 1
    folded: int = 0
    era: int = 0
    settled_at: Millis = Millis(0)


# Results of folding one record.


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The folded record is a claim that now owns its identity.

    The identity was free: it was never claimed, it was released, or the window of
    its last owner was over.

    Attributes:
        time: Time of the record, in milliseconds since the epoch by the log's clock.
    """

    record: str
    time: int


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """The folded record is a claim for an identity that another claim owns."""

    record: str
    name: str


@dataclass(frozen=True, slots=True)
class ClaimReplaced:
    """The folded record restores an earlier claim than that which owned its identity.

    Attributes:
        record: Id of the claim that owned the identity.
    """

    record: str
    name: str


@dataclass(frozen=True, slots=True)
class IdentityReleased:
    """The folded record releases the identity that its claim owned."""

    name: str


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The folded record holds the first outcome of the claim that owns the identity."""

    name: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The folded record is repeated, late or malformed and changes no owner."""


Change = (
    ClaimWon
    | ClaimLost
    | ClaimReplaced
    | IdentityReleased
    | OutcomeRecorded
    | Unchanged
)


def find_rule(
    inventory: Inventory | None, spec: RequestSpec
) -> NonIdempotentRule | None:
    """Return the first rule that makes the request non-idempotent, or None."""
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
    """Return whether the rules or the caller declare the request non-idempotent."""
    return spec.non_idempotent or find_rule(inventory, spec) is not None


def identify_request(
    inventory: Inventory | None, spec: RequestSpec, retention: Millis = CLAIM_WINDOW
) -> Identity:
    """Return the identity of a non-idempotent request.

    The identity comes from the Idempotency-Key; without one, from the digest of
    method, path and body if a rule sets a digest window, and otherwise from the
    request's own id.
    The window is never longer than the log's retention, because an entry that
    starts after that could no longer read the claim.
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
    """Return the time in a version 7 UUID, in milliseconds since the epoch.

    None is returned for a key that is no version 7 UUID.
    """
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


def restore_claim(name: str, claim: Claim) -> dict[str, Any]:
    """Return a record of a claim that the log has lost."""
    return {
        "kind": "claim",
        "id": claim.record,
        "name": name,
        "digest": claim.digest,
        "window": claim.window,
        "made": claim.made,
    }


def build_release(record: str, name: str) -> dict[str, Any]:
    """Return the record that releases an identity whose request was not dispatched."""
    return {"kind": "release", "id": record, "name": name}


def build_outcome(record: str, name: str, outcome: Outcome) -> dict[str, Any]:
    """Return the record of a claimed request's outcome.

    A body of more than ``MAX_OUTCOME_BODY`` bytes is left out.
    """
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
    """Apply one record of the claims stream to the table.

    Ownership follows from the records and the log's times alone, so all entries
    that fold the same records agree on the owners. ``now``, in monotonic
    milliseconds, is stored for this entry's own use and does not affect the result.
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
    made = _read_time_made(record)
    if made + window <= record.time:
        return Unchanged()
    owner = table.owners.get(name)
    if owner is not None and owner.record == identifier:
        owner.era = record.era
        return Unchanged()
    overlaps = owner is not None and made < owner.expires
    if owner is not None and overlaps:
        is_restored = "made" in record.data
        if not is_restored or made >= owner.made:
            return ClaimLost(identifier, name)
    table.owners.pop(name, None)
    claim = Claim(identifier, digest, made + window, now, window, era=record.era)
    table.owners[name] = claim
    if owner is not None and overlaps:
        return ClaimReplaced(owner.record, name)
    return ClaimWon(identifier, made)


def _read_time_made(record: LogRecord) -> int:
    """Return when the log stored a claim first, before it lost the record."""
    made = record.data.get("made")
    return min(made, record.time) if isinstance(made, int) else record.time


def _fold_release(
    table: ClaimTable, record: LogRecord, name: str, identifier: str
) -> Change:
    table.released[identifier] = Release(name, record.time, record.era)
    owner = table.owners.get(name)
    if owner is None or owner.record != identifier or owner.outcome is not None:
        return Unchanged()
    del table.owners[name]
    return IdentityReleased(name)


def _fold_outcome(
    table: ClaimTable, record: LogRecord, name: str, identifier: str
) -> Change:
    owner = table.owners.get(name)
    if owner is None or owner.record != identifier:
        return Unchanged()
    if owner.outcome is not None:
        owner.outcome_era = record.era
        return Unchanged()
    outcome = _parse_outcome(record.data)
    if outcome is None:
        return Unchanged()
    owner.outcome = outcome
    owner.outcome_era = record.era
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
        if released.time + CLAIM_WINDOW <= time:
            del table.released[identifier]
    for name in list(table.waiters):
        if name not in table.owners:
            del table.waiters[name]


def find_owner(table: ClaimTable, name: str, now: Millis) -> Claim | None:
    """Return the claim that owns an identity, as far as this entry knows, or None.

    A claim that this entry read longer ago than the claim's window has expired by
    the log's clock too and is not returned. The caller then appends a new claim,
    and the order of records in the log determines the owner.
    """
    claim = table.owners.get(name)
    if claim is None or now - claim.folded > claim.window:
        return None
    return claim


def find_own(table: ClaimTable, name: str, now: Millis) -> OwnClaim | None:
    """Return this process's claim on an identity, or None if it has none.

    Abandoned claims and claims appended longer ago than their window are skipped.
    """
    for own in table.own.values():
        if own.identity.name != name or own.state is OwnClaimState.ABANDONED:
            continue
        if now - own.appended <= own.identity.window:
            return own
    return None
