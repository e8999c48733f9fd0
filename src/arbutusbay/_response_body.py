"""Read the bodies of HTTP responses with a limit on their size."""

import aiohttp


async def read_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the body of ``response``.

    A body of more than ``limit_bytes`` closes the connection and raises
    ``aiohttp.ClientPayloadError``, as a body cut short does.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f'response body exceeds {limit_bytes} bytes'
            )
        chunks.append(chunk)
    return b''.join(chunks)
