"""Open HTTP client sessions whose connections show what was lost on them.

A connection that is reset fails an incomplete body, and one on which more than
a response has come is not used again.
"""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

_UNLIMITED_CONNECTIONS = 0


class StrictConnection(ResponseHandler):
    """Refuse reuse after unexpected data and fail bodies cut by a reset."""

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        return super().is_connected() and not self.should_close

    def close(self) -> None:
        """Close the connection at once, also if the server reads nothing.

        What it has not been sent is the rest of a request that has ended.
        """
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete body if the connection was lost with an error.

        A body that ends when the connection closes could otherwise pass for
        complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    'connection lost while reading the body'
                ),
            )
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Create connections whose protocol is a ``StrictConnection``."""

    def __init__(
        self,
        *,
        connection_type: type[StrictConnection] = StrictConnection,
        **options: Any,
    ) -> None:
        """Pass ``options`` on to ``aiohttp.TCPConnector``."""
        super().__init__(limit=_UNLIMITED_CONNECTIONS, **options)
        self._factory = functools.partial(connection_type, loop=self._loop)


def open_client_session(
    connector: StrictConnector, **options: Any
) -> aiohttp.ClientSession:
    """Return a session over ``connector``, which the caller has to close.

    Bodies are left as they came and cookies are dropped. ``options`` are those
    of ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        **options,
    )
