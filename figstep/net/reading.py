"""Reading of bodies whose sender may never end them."""

import aiohttp

from figstep.net.buffers import ExchangeBuffer


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body exceeds the size that its reader accepts."""


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    buffer: ExchangeBuffer | None = None,
) -> bytes:
    """Return the whole body of an answer, which is counted in ``buffer``.

    A body that is too long is given up as soon as that shows, not read to its end.

    Raises:
        BodyTooLongError: If the body exceeds ``max_bytes`` or the room in the buffer.
    """
    chunks: list[bytes] = []
    try:
        await _read_chunks(response, max_bytes, buffer, chunks)
    except BaseException:
        # The error refers to this list for as long as its reader handles it.
        chunks.clear()
        raise
    return b"".join(chunks)


async def _read_chunks(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    buffer: ExchangeBuffer | None,
    chunks: list[bytes],
) -> None:
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise BodyTooLongError(
                f"body of {response.url.path} exceeds {max_bytes} bytes"
            )
        if buffer is not None:
            buffer.add(len(chunk))
            if not buffer.make_room():
                buffer.drop()
                response.close()
                raise BodyTooLongError(f"no buffer for {response.url.path}")
        chunks.append(chunk)
