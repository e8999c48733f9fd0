"""End the requests of a server that outlast the drain of its process."""

import asyncio
from typing import Any

from aiohttp import web

from arbutusbay.errors import Failure
from arbutusbay.logs import get_logger
from arbutusbay.planned_stop import draining_failure

HAS_STARTED = web.RequestKey('has_started', bool)
_IS_ENDED = web.RequestKey('is_ended', bool)
_LOG = get_logger('http')
_POINT = 'its time was over'


class RequestDrain:
    """Track the requests in progress of one server."""

    def __init__(self) -> None:
        """Track no requests yet."""
        self.requests: dict[asyncio.Timeout, web.Request] = {}

    def end_requests(self) -> None:
        """End all requests in progress, so that they answer their clients."""
        moment_s = asyncio.get_running_loop().time()
        _LOG.info(
            'requests ended with the process',
            fields={'in_progress': len(self.requests)},
        )
        for limit, request in self.requests.items():
            if not limit.expired():
                request[_IS_ENDED] = True
                limit.reschedule(moment_s)

    async def run_handler(self, request: web.Request, handler: Any) -> Any:
        """Handle a request; respond with a failure if it is ended.

        Raises ``TimeoutError`` if the response had started.
        """
        limit = asyncio.timeout(None)
        self.requests[limit] = request
        try:
            async with limit:
                return await handler(request)
        except TimeoutError:
            if HAS_STARTED in request or _IS_ENDED not in request:
                raise
        finally:
            self.requests.pop(limit)
        return ending_failure(request)


def ending_failure(request: web.Request) -> Failure | None:
    """Return why a request was ended with its process, None if it was not.

    A request whose body was not read to its end cannot have run.
    """
    if _IS_ENDED not in request:
        return None
    is_whole = not request.can_read_body or request.content.is_eof()
    return draining_failure(_POINT, may_have_run=is_whole)
