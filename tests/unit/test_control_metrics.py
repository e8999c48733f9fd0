"""Test what the metrics of the control daemon show at each scrape."""

from types import SimpleNamespace

from arbutusbay.control import ControlSettings, ControlState
from arbutusbay.control._engine_cache_index import EngineCacheIndex
from arbutusbay.control._metrics import ControlMetrics
from arbutusbay.settings import NodeSettings, PlatformSettings


def _engine_lines(metrics: ControlMetrics, shared_state) -> list[str]:
    response = metrics.render_response(
        shared_state, SimpleNamespace(partitions={}), {}
    )
    text = response.body.decode()
    return [line for line in text.splitlines() if 'engine="' in line]


# Guards against gauges of an engine that this VM no longer indexes: two VMs
# would show the same engine, one of them with old numbers.
def test_gauges_of_a_lost_engine_are_gone():
    shared_state = build_state()
    for name in ('engine-1', 'engine-2'):
        shared_state.index[name] = EngineCacheIndex(name=name, pool='p')
    metrics = ControlMetrics()
    assert len(_engine_lines(metrics, shared_state)) == 4
    shared_state.index.pop('engine-1')
    lines = _engine_lines(metrics, shared_state)
    assert len(lines) == 2
    assert all('engine-2' in line for line in lines)
    shared_state.index.clear()
    assert not _engine_lines(metrics, shared_state)


# Guards against a gauge that stays as the last limit of a partition is gone.
def test_lent_shares_are_those_of_the_used_partitions():
    shared_state = build_state()
    metrics = ControlMetrics()
    ledger = SimpleNamespace(partitions={})
    shown = metrics.render_response(shared_state, ledger, {'1': 0.5})
    line = 'arbutusbay_control_quota_lent_share{partition="1"} 0.5'
    assert line in shown.body.decode()
    shown = metrics.render_response(shared_state, ledger, {})
    assert line not in shown.body.decode()


def build_state() -> ControlState:
    """Return the state of a daemon that has just started."""
    return ControlState(
        settings=ControlSettings(
            node=NodeSettings(id='vm-1', host='127.0.0.1', zone='hann'),
            platform=PlatformSettings(log_url='http://l', vms_url='http://v'),
        ),
        incarnation=1,
    )
