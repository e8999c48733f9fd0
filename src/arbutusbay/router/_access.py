"""Bind callers to teams by their API keys."""

import hashlib

from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.router._blackboard import RouterBoard, TeamAccess

_SCHEME = 'Bearer '


def check_access(
    board: RouterBoard,
    request: web.Request,
) -> Result[TeamAccess, Failure]:
    """Return the team of the request's API key."""
    if not board.config_known:
        return Err(
            Failure(
                kind=ErrorKind.NOT_CONFIGURED,
                detail='this router has no configuration yet',
            ),
        )
    header = request.headers.get('Authorization', '')
    digest = hashlib.sha256(header.removeprefix(_SCHEME).encode()).hexdigest()
    access = board.access.get(digest)
    if access is None or not header.startswith(_SCHEME):
        return Err(
            Failure(
                kind=ErrorKind.BAD_API_KEY,
                detail='send a known API key as Authorization: Bearer KEY',
            ),
        )
    return Ok(access)
