"""Test which engines are selected to load new weights."""

from arbutusbay.control import engines_to_load
from arbutusbay.state import Pool
from arbutusbay.wire import EngineView


def _build_engines(count: int, version: str = 'v1') -> list[EngineView]:
    return [
        EngineView(
            name=f'e{number}',
            incarnation='i',
            weights_version=version,
        )
        for number in range(count)
    ]


def _select_engines(
    engines, *, max_loads: int = 2, engines_with_order=()
) -> list[str]:
    pool = Pool(model='m', weights_version='v2', max_concurrent_loads=max_loads)
    return engines_to_load(
        pool, engines, engines_with_order=frozenset(engines_with_order)
    )


def test_concurrent_loads_are_limited():
    assert len(_select_engines(_build_engines(6))) == 2
    assert len(_select_engines(_build_engines(9), max_loads=3)) == 3


def test_unfinished_orders_count_as_loads():
    assert (
        len(_select_engines(_build_engines(6), engines_with_order=('e0',))) == 1
    )
    assert not _select_engines(
        _build_engines(6), engines_with_order=('e0', 'e1')
    )


def test_the_last_ready_engine_is_not_selected():
    assert len(_select_engines(_build_engines(2), max_loads=5)) == 1
    assert not _select_engines(
        _build_engines(2), max_loads=5, engines_with_order=('e0',)
    )


def test_the_only_engine_of_a_pool_is_selected():
    assert _select_engines(_build_engines(1)) == ['e0']


def test_current_and_unreachable_engines_are_not_selected():
    unreachable = EngineView(name='g', incarnation='', weights_version='')
    assert not _select_engines([*_build_engines(3, 'v2'), unreachable])
