"""Decide which requests may share entries of KV caches.

Engines keep entries until they evict them, and nothing can be taken back. What
a team wrote must therefore be out of reach of the others once it is isolated.
"""

import functools
import hashlib

from arbutusbay.fleet._types import Configuration, TeamSpec

_DIGEST_LENGTH = 16


def cache_scope(
    configuration: Configuration | None, team: TeamSpec | None
) -> str:
    """Return the scope in which a request of ``team`` reads and writes.

    Isolated teams have scopes of their own, all other requests a common one,
    which differs for each set of isolated teams: whoever wrote under it was
    not isolated under the same set. It depends on nothing but the
    ``configuration``, so all VMs agree on it, also after a restart. A team that
    was isolated as its request was accepted stays so for the request. Without a
    configuration no team is isolated.
    """
    isolated_teams = configuration.isolated_teams if configuration else ()
    if team and (team.has_isolated_cache or team.name in isolated_teams):
        return f'team-{team.name}'
    return _common_scope(frozenset(isolated_teams))


@functools.lru_cache
def _common_scope(isolated_teams: frozenset[str]) -> str:
    digest = hashlib.sha256('\0'.join(sorted(isolated_teams)).encode())
    return f'shared-{digest.hexdigest()[:_DIGEST_LENGTH]}'
