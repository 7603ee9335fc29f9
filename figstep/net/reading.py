"""Reading of bodies whose sender may never end them."""

import aiohttp

from figstep.net.buffers import ExchangeBuffer


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body exceeds the size that its reader accepts."""


class SharedRoom:
    """Room for bodies that are read at the same time.

    If they exceed it together, the largest one is given up, so that small ones are read
    beside any number of large ones.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used = 0
        self._sizes: dict[aiohttp.ClientResponse, int] = {}

    def add(self, response: aiohttp.ClientResponse, size: int) -> None:
        """Count bytes that were read of an answer; reading the largest may fail."""
        self._sizes[response] = self._sizes.get(response, 0) + size
        self._used += size
        while self._used > self._max_bytes:
            largest = max(self._sizes, key=lambda one: self._sizes[one])
            self.release(largest)
            error = BodyTooLongError(f"no room for {largest.url.path}")
            largest.content.set_exception(error)
            largest.close()

    def release(self, response: aiohttp.ClientResponse) -> None:
        """Count an answer no longer."""
        self._used -= self._sizes.pop(response, 0)


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    buffer: ExchangeBuffer | None = None,
    room: SharedRoom | None = None,
) -> bytes:
    """Return the whole body of an answer, which is counted in ``buffer``.

    A body that is too long is given up as soon as that shows, not read to its end. It
    is counted in ``room`` until it is read.

    Raises:
        BodyTooLongError: If the body exceeds ``max_bytes`` or the room in the buffer,
            or if it is the largest one as bodies exceed the shared room.
    """
    chunks: list[bytes] = []
    try:
        await _read_chunks(response, max_bytes, buffer, room, chunks)
    except BaseException:
        # The error refers to this list for as long as its reader handles it.
        chunks.clear()
        raise
    finally:
        if room is not None:
            room.release(response)
    return b"".join(chunks)


async def _read_chunks(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    buffer: ExchangeBuffer | None,
    room: SharedRoom | None,
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
        if room is not None:
            room.add(response, len(chunk))
