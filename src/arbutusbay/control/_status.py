"""Tell operators how far the system has followed their declarations."""

import asyncio
from typing import Any

import aiohttp
import attrs

from arbutusbay.control._pool_views import read_pool_views
from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.state import Resource
from arbutusbay.wire import Member


def conditions_of(
    board: ControlBoard,
    resource: Resource,
) -> list[dict[str, Any]]:
    """Return the conditions of one resource."""
    routers = router_members(board)
    current = [
        member for member in routers if member.router_offset >= resource.version
    ]
    return [
        _condition('Accepted', f'version {resource.version}', met=True),
        _condition(
            'InForce',
            f'on {len(current)} of {len(routers)} routers',
            met=bool(routers) and len(current) == len(routers),
        ),
    ]


def router_members(board: ControlBoard) -> list[Member]:
    """Return live members whose router has taken up a configuration."""
    return [
        member
        for member in board.live_members()
        if member.router_offset >= 0 and not member.leaving
    ]


async def read_status(
    board: ControlBoard,
    session: aiohttp.ClientSession,
) -> dict[str, Any]:
    """Return the status of the whole system as this daemon sees it."""
    pools = sorted(board.resources_of('pool'))
    views = await asyncio.gather(
        *(read_pool_views(board, session, pool) for pool in pools)
    )
    routers = router_members(board)
    return {
        'offset': board.config.offset,
        'config_known': board.config_known,
        'log_reachable': board.log_reachable,
        'lowest_offset_in_force': min(
            (member.router_offset for member in routers),
            default=None,
        ),
        'lease_holder': board.lease.holder if board.lease else None,
        'members': [attrs.asdict(member) for member in board.live_members()],
        'leaving_hosts': sorted(board.leaving_hosts),
        'pools': {
            pool: [attrs.asdict(view) for view in pool_views]
            for pool, pool_views in zip(pools, views, strict=True)
        },
    }


def _condition(name: str, reason: str, *, met: bool) -> dict[str, Any]:
    return {'type': name, 'status': met, 'reason': reason}
