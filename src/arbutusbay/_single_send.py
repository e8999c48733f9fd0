"""Keep the HTTP client from sending a request twice."""

import aiohttp


def disable_repetition(session: aiohttp.ClientSession) -> None:
    """Have ``session`` send each request at most once.

    The retry of aiohttp on a lost connection is disabled, because the server
    may have executed the request.
    """
    session._retry_connection = False  # noqa: SLF001
