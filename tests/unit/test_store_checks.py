"""Check that a VM calls the stores that seem to be dead."""

from aiohttp import test_utils, web

from arbutusbay.node._http_client import create_client_session
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._store_checks import StoreChecker
from tests.fleet_builders import build_vm_settings


async def refuse(_) -> web.Response:
    """Answer as a store that doesn't know the path."""
    return web.Response(status=404)


async def test_store_that_refuses_a_call_is_not_dead_and_one_that_ended_is():
    application = web.Application()
    application.router.add_get('/{path:.*}', refuse)
    server = test_utils.TestServer(application)
    await server.start_server()
    store = f'127.0.0.1:{server.port}'
    node_state = NodeState(settings=build_vm_settings())
    node_state.store_health.follow([store])
    async with create_client_session() as session:
        checker = StoreChecker(node_state=node_state, session=session)
        for _ in range(2):
            await checker.check(store)
        assert not node_state.store_health.found_dead()
        await server.close()
        for _ in range(2):
            await checker.check(store)
        assert node_state.store_health.found_dead() == (store,)
