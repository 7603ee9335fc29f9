"""Complete answers for callers that did not request a stream."""

from typing import Any

import orjson

from figstep.net.frames import BOUNDARY


def _read_document(frame: bytes) -> dict[str, Any]:
    data = frame.partition(b"\ndata: ")[2]
    document: dict[str, Any] = orjson.loads(data.removesuffix(BOUNDARY))
    return document


def assemble_answer(frames: list[bytes], chat: bool) -> dict[str, Any]:
    """Assemble the events of one generation into one answer.

    Args:
        frames: All events of the generation, in order.
        chat: Whether the answer is a chat completion rather than a text completion.

    Returns:
        The body of an OpenAI-compatible answer. Without ``usage`` in the events, each
        event counts as one completion token.
    """
    texts: list[str] = []
    finish = None
    document: dict[str, Any] = {}
    usage = None
    for frame in frames:
        document = _read_document(frame)
        usage = document.get("usage") or usage
        for choice in document["choices"]:
            text = choice.get("delta", {}).get("content") if chat else choice["text"]
            texts.append(text or "")
            finish = choice.get("finish_reason") or finish
    text = "".join(texts)
    choice = {"index": 0, "finish_reason": finish, "logprobs": None}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": document.get("id", ""),
        "object": "chat.completion" if chat else "text_completion",
        "created": document.get("created", 0),
        "model": document.get("model", ""),
        "choices": [choice],
        "usage": usage
        or {
            "prompt_tokens": 0,
            "completion_tokens": len(frames),
            "total_tokens": len(frames),
        },
    }
