"""Check that the result of a load order is that of this order.

Orders and requests go to the same engines. A refusal that a faulty engine
writes once more must not pass for the result of an order.
"""

import functools
from contextlib import AsyncExitStack

from arbutusbay.node._http_client import create_client_session
from arbutusbay.platform import (
    LoadOrder,
    LoadOrderResult,
    WeightsSwitchMode,
    fetch_engine_report,
    send_load_order,
)
from emulator._engine_connections import CopiedId
from emulator.fleet import wait_for_condition
from emulator.fleet_engine import EngineFault, FleetEngine
from tests.fleet_builders import (
    MODEL,
    build_engine,
    start_single_node,
    wait_until_ready,
)
from tests.fleet_clients import request_stream

_ORDER_PATH = '/arbutusbay/order'
_TIMEOUT_S = 1.0


def build_order(version: int) -> LoadOrder:
    """Return an order to load a version of the weights."""
    return LoadOrder(
        model=MODEL,
        version=version,
        mode=WeightsSwitchMode.CONTINUE_STREAMS,
        holder='vm-1',
        fence=1,
        expected_orders=None,
    )


def all_have_version(engines: list[FleetEngine], version: int) -> bool:
    """Return whether all engines have loaded a version of the weights."""
    return {engine.version for engine in engines} == {version}


# Guards against an accepted order that counts as refused, so that the engine is
# taken for one that does not load, and the next engine is ordered beside it.
async def test_refusal_written_again_is_no_result_of_an_order(fleet):
    engine = await fleet.add_engine(build_engine(0))
    engine.connections.copied_id = CopiedId.NONE
    async with AsyncExitStack() as opened:
        shared = await opened.enter_async_context(create_client_session())
        single_use = await opened.enter_async_context(
            create_client_session(reuse_connections=False)
        )
        report = await fetch_engine_report(
            shared, engine.address, timeout_s=_TIMEOUT_S
        )
        assert report.is_ok()
        outcomes = [
            await send_load_order(
                single_use,
                engine.address,
                instance,
                build_order(2),
                timeout_s=_TIMEOUT_S,
            )
            for instance in ('another-instance', engine.options.id)
        ]
    assert engine.accepted_order_count == 1
    assert outcomes == [
        LoadOrderResult.INSTANCE_MISMATCH,
        LoadOrderResult.ACCEPTED,
    ]


# Guards against a refusal of a request that passes for the report of an engine:
# its report must be missing, not wrong, and the next one right.
async def test_refusal_written_again_is_no_report(fleet):
    engine = await fleet.add_engine(build_engine(0))
    engine.connections.copied_id = CopiedId.NONE
    engine.inject_fault(EngineFault.SHED, 1)
    async with create_client_session() as session:
        async with session.get(
            f'http://{engine.address}/ask/1',
            headers={
                'Attempt-Id': 'refused',
                'Expect-Instance': engine.options.id,
            },
        ) as refused:
            assert refused.status == 503
        reports = [
            await fetch_engine_report(
                session, engine.address, timeout_s=_TIMEOUT_S
            )
            for _ in range(3)
        ]
    assert engine.connections.copies_written == 1
    assert [report.is_ok() for report in reports] == [False, True, True]
    assert {report.unwrap().weights[MODEL] for report in reports[1:]} == {1}


# Guards against orders on the connections of requests and reports, where the
# response to one of these may come first.
async def test_each_order_has_a_connection_of_its_own(fleet, http):
    node = await start_single_node(fleet, engines=2)
    await wait_until_ready([node], http)
    engines = fleet.engines[:2]
    for version in (2, 3):
        assert (await request_stream(http, node, f's{version}'))[0] == 200
        fleet.set_target_weights_version(MODEL, version)
        await wait_for_condition(
            functools.partial(all_have_version, engines, version),
            f'version {version}',
        )
    for engine in engines:
        with_order = [
            paths
            for paths in engine.connections.paths_by_caller.values()
            if _ORDER_PATH in paths
        ]
        assert len(with_order) >= 2
        assert all(paths == [_ORDER_PATH] for paths in with_order)
