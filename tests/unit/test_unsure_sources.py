"""Test whom a VM asks that starts behind a restoration of the store.

Others may hold what the store lost. Those that start as well do not, and answer
503 until they have asked.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs
import pytest
from aiohttp import web

from arbutusbay.clock import now_s
from arbutusbay.fleet import VMRegistration
from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.http import new_application, new_client_session
from arbutusbay.node._follower import TopicFollower
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._server_registry import ServerRegistry
from arbutusbay.node._topics import OperatorTopicState, ServersTopicState
from tests.fleet_builders import build_vm_settings
from tests.http_servers import serving

_RANKING_KEY = 'store-readers'
_RESTORED_ERA = 2
_STARTING_VMS = 5
_LIMIT_S = 5.0


@attrs.define(kw_only=True)
class AskedVms:
    """Answer 503 as VMs do that have nothing to give; record who was asked."""

    names: list[str] = attrs.field(factory=list)

    async def respond(self, request: web.Request) -> web.Response:
        """Record the VM, which is the first part of the path."""
        self.names.append(request.match_info['vm'])
        return web.Response(status=503)


@contextlib.asynccontextmanager
async def running_follower(
    asked: AskedVms, names: list[str]
) -> AsyncIterator[NodeState]:
    """Run the follower of a VM that lacks the past and knows ``names``."""
    state = NodeState(settings=build_vm_settings())
    state.has_read_verdicts = True
    state.observe_store_era(_RESTORED_ERA)
    application = new_application()
    application.router.add_get('/{vm}/{path:.*}', asked.respond)
    async with serving(application) as port, new_client_session() as session:
        own_name = state.settings.name
        records = {
            name: VMRegistration(
                name=name,
                address=f'127.0.0.1:{port}/{name}',
                zone=state.settings.zone,
                started_ms=0,
            )
            for name in (*names, own_name)
        }
        state.members.own_vm = records[own_name]
        state.members.apply_records(records, now_s())
        follower = TopicFollower(
            node_state=state,
            store=None,
            session=session,
            operator_topic=OperatorTopicState(node_state=state),
            servers_topic=ServersTopicState(
                node_state=state,
                server_registry=ServerRegistry(node_state=state),
            ),
        )
        following = asyncio.create_task(follower.run())
        try:
            yield state
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)


# Guards against a revoked key that is accepted again: three VMs that start as
# well count as all that can be asked, and the copy is taken for the newest.
@pytest.mark.parametrize('starting', [3, _STARTING_VMS])
async def test_vm_that_knows_is_asked_behind_those_that_start(starting):
    names = [f'other-{number}' for number in range(starting + 1)]
    last = rank_by_rendezvous_hash(_RANKING_KEY, names)[-1]
    asked = AskedVms()
    async with running_follower(asked, names) as state:
        end_s = now_s() + _LIMIT_S
        while last not in asked.names and now_s() < end_s:
            assert not state.has_asked_others
            await asyncio.sleep(0.001)
    assert sorted(asked.names) == sorted(names)
