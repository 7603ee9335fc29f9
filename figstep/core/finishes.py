"""Whether an event is the one that a whole answer ends with."""

import orjson

_DATA = b"data: "


def is_unfinished(frame: bytes) -> bool:
    """Tell whether an event says that more tokens follow.

    Looked at once for each answer, on its last event. An event that is not
    the JSON of a token says nothing either way.

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
    choices = document.get("choices")
    if not isinstance(choices, list) or not choices:
        return False
    return all(choice.get("finish_reason") is None for choice in choices)
