"""Report to operators how far declared resources have taken effect."""

import asyncio
from typing import Any

import aiohttp
import attrs

from arbutusbay.control._pool_views import fetch_pool_views
from arbutusbay.control._shared_state import ControlState
from arbutusbay.state import Resource
from arbutusbay.wire import Member


def resource_conditions(
    shared_state: ControlState,
    resource: Resource,
) -> list[dict[str, Any]]:
    """Return the conditions of one resource as JSON-compatible dicts.

    ``InForce`` is met once every live router has the resource's version.
    """
    routers = members_with_router(shared_state)
    updated_routers = [
        member for member in routers if member.router_offset >= resource.version
    ]
    return [
        _condition('Accepted', f'version {resource.version}', met=True),
        _condition(
            'InForce',
            f'on {len(updated_routers)} of {len(routers)} routers',
            met=bool(routers) and len(updated_routers) == len(routers),
        ),
    ]


def members_with_router(shared_state: ControlState) -> list[Member]:
    """Return live, not leaving members whose router has a configuration."""
    return [
        member
        for member in shared_state.live_members()
        if member.router_offset >= 0 and not member.leaving
    ]


async def fetch_system_status(
    shared_state: ControlState,
    session: aiohttp.ClientSession,
) -> dict[str, Any]:
    """Return the status of the system as seen by this daemon.

    The result is a JSON-compatible dict. Engines whose index owner can't be
    reached are left out.
    """
    pools = sorted(shared_state.resources_by_name('pool'))
    views = await asyncio.gather(
        *(fetch_pool_views(shared_state, session, pool) for pool in pools)
    )
    routers = members_with_router(shared_state)
    return {
        'offset': shared_state.config.offset,
        'config_known': shared_state.config_known,
        'log_reachable': shared_state.log_reachable,
        'lowest_offset_in_force': min(
            (member.router_offset for member in routers),
            default=None,
        ),
        'lease_holder': shared_state.lease.holder
        if shared_state.lease
        else None,
        'members': [
            attrs.asdict(member) for member in shared_state.live_members()
        ],
        'leaving_hosts': sorted(shared_state.leaving_hosts),
        'pools': {
            pool: [attrs.asdict(view) for view in pool_views]
            for pool, pool_views in zip(pools, views, strict=True)
        },
    }


def _condition(name: str, reason: str, *, met: bool) -> dict[str, Any]:
    return {'type': name, 'status': met, 'reason': reason}
