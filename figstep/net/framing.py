"""Framing of the bodies of HTTP answers."""

import aiohttp

_STATUSES_WITHOUT_BODY = (204, 304)


def is_delimited(response: aiohttp.ClientResponse) -> bool:
    """Return whether HTTP tells where the body of an answer ends.

    It does so by a length, by chunks, or by a status or method without a body. Any
    other body ends with its connection.
    """
    if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return True
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in headers
