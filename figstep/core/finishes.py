"""Check whether an event can be the last one of a whole answer."""

import orjson

_DATA = b"data: "


def is_unfinished(frame: bytes) -> bool:
    """Return whether an event is a token event without a finish reason, or an error.

    It is called once for each answer, on its last event. False is returned for an
    event whose data is not the JSON of either, and for one with a usage report, as
    neither shows that the answer lacks its end.

    Args:
        frame: A server-sent event with its ``id`` and ``data`` lines.
    """
    data = frame.partition(_DATA)[2]
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError:
        return False
    if not isinstance(document, dict) or document.get("usage"):
        return False
    if document.get("error"):
        return True
    choices = document.get("choices")
    if not isinstance(choices, list) or not choices:
        return False
    return all(choice.get("finish_reason") is None for choice in choices)
