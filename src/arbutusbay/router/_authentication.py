"""Authenticate clients by API key."""

import hashlib

from aiohttp import web
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.router._shared_state import AuthenticatedTeam, RouterState

_SCHEME = 'Bearer '


def authenticate_request(
    shared_state: RouterState,
    request: web.Request,
) -> Result[AuthenticatedTeam, Failure]:
    """Return the team that the request's API key belongs to.

    Fails with ``NOT_CONFIGURED`` before the first configuration has arrived,
    and with ``BAD_API_KEY`` for a missing or unknown key.
    """
    if not shared_state.config_known:
        return Err(
            Failure(
                kind=ErrorKind.NOT_CONFIGURED,
                detail='this router has not received a configuration yet',
            ),
        )
    header = request.headers.get('Authorization', '')
    digest = hashlib.sha256(header.removeprefix(_SCHEME).encode()).hexdigest()
    team = shared_state.teams_by_key_digest.get(digest)
    if team is None or not header.startswith(_SCHEME):
        return Err(
            Failure(
                kind=ErrorKind.BAD_API_KEY,
                detail=(
                    'missing or unknown API key; send Authorization: Bearer KEY'
                ),
            ),
        )
    return Ok(team)
