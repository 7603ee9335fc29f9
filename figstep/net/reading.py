"""Reading of bodies whose sender may never end them."""

import aiohttp


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body exceeds the size that its reader accepts."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    A body that is too long is given up as soon as that shows, not read to its end.

    Raises:
        BodyTooLongError: If the body exceeds ``max_bytes``.
    """
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise BodyTooLongError(
                f"body of {response.url.path} exceeds {max_bytes} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)
