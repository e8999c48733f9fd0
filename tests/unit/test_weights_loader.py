"""Check what a VM takes over from its last rollout of weights."""

from unittest import mock

import logbook
import pytest

from arbutusbay.clock import now_s
from arbutusbay.fleet import LeaseClaim, WeightsTarget
from arbutusbay.node._weights_loader import LoadProgress, WeightsLoader
from arbutusbay.scheduling import WeightsLoad
from tests.unit.test_engine_placement import MODEL, build_view
from tests.unit.test_lease import ContendedStore, build_lease


@pytest.fixture
async def loader():
    """Return the loader of a VM that holds the lease and has sent an order."""
    lease = build_lease(ContendedStore())
    assert await lease.acquire_or_renew() is not None
    loader = WeightsLoader(
        node_state=lease.node_state,
        lease=lease,
        report_builder=None,
        session=None,
        order_session=None,
    )
    loader.record_order_count(build_view('engine-1', incarnation=7), 1)
    return loader


async def claim_again(loader) -> None:
    """Claim the lease anew once the last claim has expired."""
    loader.lease.claim_sent_s = float('-inf')
    assert await loader.lease.acquire_or_renew() is not None


async def test_order_count_is_kept_while_the_lease_is_renewed(loader):
    await claim_again(loader)
    engine = build_view('engine-1', incarnation=7)
    assert loader.known_order_count(engine) == 1
    assert loader.known_order_count(build_view('engine-1')) is None


# Guards against a rollout that loses most of a second for each engine: its
# first order names a count from before another VM ordered, and is refused.
async def test_order_count_is_forgotten_after_another_vm_held_the_lease(loader):
    lease = loader.lease
    lease.store.end += 1
    lease.end = None
    claim = LeaseClaim(name=lease.name, holder='vm-2', claim_number=1)
    catalog = lease.node_state.catalog
    catalog.update_claim(claim, lease.fence + 1, now_s() - 60)
    await claim_again(loader)
    engine = build_view('engine-1', incarnation=7)
    assert loader.known_order_count(engine) is None


# Guards against loads whose end is in no log, and whose announcement stays:
# a response named the new weights before the engine's report did.
async def test_load_that_a_response_revealed_is_recorded(loader):
    node_state = loader.node_state
    loader.report_builder = mock.Mock()
    target = WeightsTarget(model=MODEL, version=2)
    node_state.catalog.update_target(target, now_s(), published_s=now_s())
    engine = build_view('engine-1', weights={MODEL: 2})
    load = WeightsLoad(engine=engine, model=MODEL, version=2)
    node_state.load_duration.estimate_s = 0
    progress = LoadProgress(load=load, started_s=now_s())
    with logbook.TestHandler() as handler:
        await loader._await_loaded(progress)
    assert [record.message for record in handler.records] == ['weights loaded']
    announced = loader.report_builder.announce_load.call_args.args[1]
    assert announced.start_s == announced.finish_s
