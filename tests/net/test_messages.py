"""Tests of the codec of gossip and checkpoints."""

import pytest

from figstep.errors import PeerMessageError
from figstep.net.messages import Keyring, MessageKind

KEYS = Keyring("key")
LARGE = bytes(1 << 20)


@pytest.mark.parametrize("kind", [MessageKind.GOSSIP, MessageKind.REQUEST])
def test_a_small_message_that_unpacks_to_much_is_refused(kind: MessageKind) -> None:
    """Guards against a datagram of any sender that is unpacked to 64 MiB."""
    data = KEYS.sign(kind, LARGE)
    assert len(data) < 10_000
    with pytest.raises(PeerMessageError, match="malformed"):
        KEYS.verify(kind, data)


def test_a_checkpoint_of_some_size_is_read() -> None:
    """Guards against a bound of datagrams that refuses checkpoints."""
    data = KEYS.sign(MessageKind.ANSWER, LARGE)
    assert KEYS.verify(MessageKind.ANSWER, data) == LARGE
