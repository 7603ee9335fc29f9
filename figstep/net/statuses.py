"""Statuses of HTTP answers."""

SWITCHING_PROTOCOLS = 101


def begins_answer(status: int) -> bool:
    """Return whether an answer may begin with a status: as its final one, or before it.

    HTTP knows statuses from 100 to 599 (RFC 9110, section 15). Figstep asks for no
    other protocol, so that after a 101 nothing on the connection is an answer.
    """
    return 100 <= status <= 599 and status != SWITCHING_PROTOCOLS
