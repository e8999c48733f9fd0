"""Build configurations of a given size and the changes of them."""

import random

import orjson

from arbutusbay.platform import KeyedRecord
from tests.fleet_builders import build_configuration, build_route, build_teams

_KEY_BITS = 128
_ROUTES_PER_TEAM = 2
_SEED = 38


def build_sized_document(
    size_bytes: int, *, version: int = 1, changed: int = 0
) -> bytes:
    """Return a configuration of about ``size_bytes`` as JSON.

    Keys and hosts are random, so that they compress as little as real ones.
    ``changed`` replaces the keys of one team, all else stays.
    """
    rng = random.Random(_SEED)
    routes = []
    teams = build_teams()
    written_bytes = 0
    while written_bytes < size_bytes:
        name = f'{rng.getrandbits(32):08x}'
        added = [_build_route(name, number) for number in _team_routes()]
        team = _build_team(name, rng)
        routes.extend(added)
        teams.append(team)
        written_bytes += len(orjson.dumps([*added, team]))
    if changed:
        teams[len(teams) // 2]['api_keys'] = [f'replaced-{changed:08d}']
    return orjson.dumps(
        build_configuration(version, routes=routes, tenants=teams)
    )


def build_sized_record(
    size_bytes: int, *, version: int = 1, changed: int = 0
) -> KeyedRecord:
    """Return the record of ``build_sized_document``, at offset ``version``."""
    payload = build_sized_document(size_bytes, version=version, changed=changed)
    return KeyedRecord(key='config', payload=payload, offset=version)


def _team_routes() -> range:
    return range(_ROUTES_PER_TEAM)


def _build_route(name: str, number: int) -> dict[str, object]:
    return build_route(
        f'{name}-{number}',
        host=f'{name}.example',
        path_prefix=f'/{name}/{number}/',
    )


def _build_team(name: str, rng: random.Random) -> dict[str, object]:
    keys = [f'{rng.getrandbits(_KEY_BITS):032x}' for _ in range(2)]
    return {'name': f'team-{name}', 'api_keys': keys, 'isolated': False}
