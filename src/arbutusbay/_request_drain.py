"""End the requests of a server that outlast the drain of its process."""

import asyncio
from collections.abc import Iterable
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
    """Track the requests in progress of one server.

    While it ``takes_uploads``, requests whose bodies are still being sent are
    handled; once it ``is_over``, none is.
    """

    def __init__(self) -> None:
        """Track no requests yet."""
        self.requests: dict[asyncio.Timeout, web.Request] = {}
        self.takes_uploads = True
        self.is_over = False

    def end_uploads(self) -> None:
        """End the requests whose bodies are not whole: no more is read."""
        self.takes_uploads = False
        uploads = [
            (limit, request)
            for limit, request in self.requests.items()
            if not _is_whole(request)
        ]
        _end_with_process(uploads)

    def end_requests(self) -> None:
        """End all requests in progress, so that they answer their clients."""
        self.is_over = True
        _LOG.info(
            'requests ended with the process',
            fields={'in_progress': len(self.requests)},
        )
        _end_with_process(self.requests.items())

    async def run_handler(self, request: web.Request, handler: Any) -> Any:
        """Handle a request; respond with a failure if it is ended.

        Raises ``TimeoutError`` if the response had started.
        """
        is_taken = self.takes_uploads or _is_whole(request)
        if self.is_over or not is_taken:
            return draining_failure(_POINT, may_have_run=False)
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
    return draining_failure(_POINT, may_have_run=_is_whole(request))


def _is_whole(request: web.Request) -> bool:
    return not request.can_read_body or request.content.is_eof()


def _end_with_process(
    requests: Iterable[tuple[asyncio.Timeout, web.Request]],
) -> None:
    moment_s = asyncio.get_running_loop().time()
    for limit, request in requests:
        if not limit.expired():
            request[_IS_ENDED] = True
            limit.reschedule(moment_s)
