"""Codec of the messages between entries: Cap'n Proto, authenticated by HMAC."""

import hashlib
import hmac
import zlib
from enum import Enum
from pathlib import Path
from typing import Any

import capnp
import orjson

from figstep.core.clock import Millis
from figstep.core.gossip import (
    Gossip,
    LeavingMark,
    MemberNews,
    MemberStatus,
    QuarantineMark,
    TargetCount,
)
from figstep.errors import PeerMessageError

VERSION = 1
"""Version of the message format, written into each message."""

MAC_BYTES = 16
"""Length to which the HMAC-SHA256 of a message is truncated, in bytes."""

MAX_RECORD_BYTES = 64 * 1024 * 1024
"""Maximum size of a checkpoint answer and of a decompressed record, in bytes."""

MAX_MESSAGE_WORDS = 65_536
"""Largest size of an unpacked datagram or request, in words of 8 bytes.

A packed message holds a run of up to 256 empty words in 2 bytes.
"""

_schema: Any = capnp.load(str(Path(__file__).with_name("peers.capnp")))


class MessageKind(Enum):
    """Kind of a message; part of the authenticated data."""

    GOSSIP = b"g"
    REQUEST = b"r"
    ANSWER = b"a"


class Keyring:
    """The shared key, and an old key that is accepted during a key rotation.

    Messages are signed with the shared key. An empty key is not accepted.
    """

    def __init__(self, key: str, old_key: str = "") -> None:
        self._key = key.encode()
        self._accepted = [k.encode() for k in (key, old_key) if k]

    def sign(self, kind: MessageKind, body: bytes) -> bytes:
        """Return a signed message with the format version and authentication code."""
        message = _schema.Signed.new_message(
            version=VERSION, mac=_digest(self._key, kind, body), body=body
        )
        return bytes(message.to_bytes_packed())

    def verify(self, kind: MessageKind, data: bytes) -> bytes:
        """Return the body of a message whose authentication code is valid.

        The format version of the message is not checked.

        Raises:
            PeerMessageError: If the message is malformed or was not signed as this kind
                with an accepted key.
        """
        is_answer = kind is MessageKind.ANSWER
        limit = MAX_RECORD_BYTES // 8 if is_answer else MAX_MESSAGE_WORDS
        try:
            message = _schema.Signed.from_bytes_packed(data, limit)
            mac, body = bytes(message.mac), bytes(message.body)
        except (capnp.KjException, ValueError) as error:
            raise PeerMessageError(
                "malformed message; check which process sends to this port"
            ) from error
        for key in self._accepted:
            if hmac.compare_digest(mac, _digest(key, kind, body)):
                return body
        raise PeerMessageError("wrong key; give all entries the same peers.key")


def _digest(key: bytes, kind: MessageKind, body: bytes) -> bytes:
    return hmac.new(key, kind.value + body, hashlib.sha256).digest()[:MAC_BYTES]


def encode_gossip(gossip: Gossip) -> bytes:
    """Return the body of a gossip message."""
    message = _schema.Gossip.new_message(
        sender=gossip.sender,
        address=gossip.address,
        incarnation=gossip.incarnation,
        sequence=gossip.sequence,
        wantsAnswer=gossip.wants_answer,
        leaving=gossip.leaving,
        countsWhole=gossip.counts_whole,
        accepted=gossip.accepted,
        position=gossip.position,
        era=gossip.era,
    )
    if gossip.members:
        members = message.init("members", len(gossip.members))
        for slot, news in zip(members, gossip.members, strict=True):
            slot.name, slot.address = news.name, news.address
            slot.incarnation, slot.status = news.incarnation, news.status.value
    if gossip.marks:
        marks = message.init("marks", len(gossip.marks))
        for slot, mark in zip(marks, gossip.marks, strict=True):
            slot.target, slot.incarnation = mark.target, mark.incarnation
    if gossip.counts:
        counts = message.init("counts", len(gossip.counts))
        for slot, item in zip(counts, gossip.counts, strict=True):
            slot.target, slot.count = item.target, item.count
    if gossip.quarantined:
        quarantined = message.init("quarantined", len(gossip.quarantined))
        for slot, held in zip(quarantined, gossip.quarantined, strict=True):
            slot.digest, slot.remainingMs = held.digest, held.remaining
    return bytes(message.to_bytes_packed())


def decode_gossip(body: bytes) -> Gossip:
    """Return the gossip message of a body.

    Raises:
        PeerMessageError: If the body cannot be decoded.
    """
    try:
        return _read_gossip(_schema.Gossip.from_bytes_packed(body))
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError(
            "malformed gossip message; upgrade the sender"
        ) from error


def _read_gossip(message: Any) -> Gossip:
    members = []
    for item in message.members:
        status = MemberStatus(item.status)
        members.append(MemberNews(item.name, item.address, item.incarnation, status))
    quarantined = []
    for item in message.quarantined:
        quarantined.append(QuarantineMark(item.digest, Millis(item.remainingMs)))
    return Gossip(
        sender=message.sender,
        address=message.address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        wants_answer=message.wantsAnswer,
        leaving=message.leaving,
        accepted=message.accepted,
        position=message.position,
        era=message.era,
        members=tuple(members),
        marks=tuple(LeavingMark(m.target, m.incarnation) for m in message.marks),
        counts=tuple(TargetCount(c.target, c.count) for c in message.counts),
        counts_whole=message.countsWhole,
        quarantined=tuple(quarantined),
    )


def encode_request(nonce: int) -> bytes:
    """Return the body of a request for a checkpoint."""
    message = _schema.CheckpointRequest.new_message(nonce=nonce)
    return bytes(message.to_bytes_packed())


def decode_request(body: bytes) -> int:
    """Return the nonce of a request for a checkpoint.

    Raises:
        capnp.KjException: If the body cannot be decoded.
    """
    return int(_schema.CheckpointRequest.from_bytes_packed(body).nonce)


def encode_answer(nonce: int, record: dict[str, Any]) -> bytes:
    """Return the body of an answer that carries a snapshot record."""
    message = _schema.CheckpointAnswer.new_message(
        nonce=nonce, record=zlib.compress(orjson.dumps(record))
    )
    return bytes(message.to_bytes_packed())


def decode_answer(body: bytes, nonce: int) -> dict[str, Any]:
    """Return the snapshot record of an answer.

    Raises:
        PeerMessageError: If the answer is malformed or belongs to another request, or
            if its record exceeds ``MAX_RECORD_BYTES`` after decompression.
    """
    try:
        message = _schema.CheckpointAnswer.from_bytes_packed(body)
        answered, packed = message.nonce, bytes(message.record)
        if answered != nonce:
            raise PeerMessageError("answer to another request; fetch again")
        inflater = zlib.decompressobj()
        data = inflater.decompress(packed, MAX_RECORD_BYTES)
        record: dict[str, Any] = orjson.loads(data)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise PeerMessageError(
            "malformed checkpoint; fetch from another peer"
        ) from error
    return record
