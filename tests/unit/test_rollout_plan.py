"""Check which engines load weights next."""

from arbutusbay.control import engines_to_load
from arbutusbay.state import Pool
from arbutusbay.wire import EngineView


def _engines(count: int, version: str = 'v1') -> list[EngineView]:
    return [
        EngineView(
            name=f'e{number}',
            incarnation='i',
            weights_version=version,
        )
        for number in range(count)
    ]


def _due(engines, *, loads: int = 2, ordered=()) -> list[str]:
    pool = Pool(model='m', weights_version='v2', max_concurrent_loads=loads)
    return engines_to_load(pool, engines, ordered=frozenset(ordered))


def test_no_more_loads_at_once_than_allowed():
    assert len(_due(_engines(6))) == 2
    assert len(_due(_engines(9), loads=3)) == 3


def test_orders_that_are_out_count_as_loads():
    assert len(_due(_engines(6), ordered=('e0',))) == 1
    assert not _due(_engines(6), ordered=('e0', 'e1'))


def test_the_last_ready_engine_stays():
    assert len(_due(_engines(2), loads=5)) == 1
    assert not _due(_engines(2), loads=5, ordered=('e0',))


def test_a_pool_of_one_engine_is_updated_all_the_same():
    assert _due(_engines(1)) == ['e0']


def test_current_and_unreachable_engines_are_left_alone():
    gone = EngineView(name='g', incarnation='', weights_version='')
    assert not _due([*_engines(3, 'v2'), gone])
