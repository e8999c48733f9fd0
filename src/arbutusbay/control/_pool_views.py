"""Collect the engine views of a pool from the VMs that own its groups."""

import asyncio

import aiohttp
from result import Ok

from arbutusbay.control._shared_state import ControlState
from arbutusbay.coordination import find_group_owner, group_engines
from arbutusbay.http import call_peer
from arbutusbay.state import BackendKind
from arbutusbay.wire import EngineView, LookupReply, LookupRequest

_OWNER_TIMEOUT_S = 1.0


async def fetch_pool_views(
    shared_state: ControlState,
    session: aiohttp.ClientSession,
    pool: str,
) -> list[EngineView]:
    """Return the views of the engines of ``pool`` from all VMs that own them.

    Leaves out the engines of a VM that can't be reached.
    """
    engines = [
        name
        for name, resource in shared_state.resources_by_name(
            'backend-server'
        ).items()
        if resource.spec.pool == pool
        and resource.spec.kind is BackendKind.ENGINE
    ]
    nodes = shared_state.active_nodes()
    owners = {
        find_group_owner(group, nodes) for group in group_engines(pool, engines)
    }
    replies = await asyncio.gather(
        *(
            _fetch_owner_views(shared_state, session, pool, owner)
            for owner in owners
            if owner
        )
    )
    return [view for reply in replies for view in reply]


async def _fetch_owner_views(
    shared_state: ControlState,
    session: aiohttp.ClientSession,
    pool: str,
    owner: str,
) -> list[EngineView]:
    request = LookupRequest(pool=pool, hashes=[])
    if owner == shared_state.node_id:
        return build_lookup_reply(shared_state, request).engines
    reply = await call_peer(
        session,
        f'{shared_state.member_control_url(owner)}/peer/lookup',
        request,
        LookupReply,
        timeout_s=_OWNER_TIMEOUT_S,
    )
    match reply:
        case Ok(lookup_reply):
            return lookup_reply.engines
    return []


def build_lookup_reply(
    shared_state: ControlState, request: LookupRequest
) -> LookupReply:
    """Return the views of the pool's engines in the index of this VM."""
    return LookupReply(
        engines=[
            engine.to_engine_view(request.hashes)
            for engine in shared_state.index.values()
            if engine.pool == request.pool
        ],
    )
