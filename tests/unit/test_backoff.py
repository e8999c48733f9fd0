"""Check the backoff of a server that fails for very long."""

import time

from arbutusbay.policy import EngineState
from tests.unit.test_engine_placement import build_view

_FAILURES = 2000
_MAX_BACKOFF_S = 10


# Guards against requests that end in an exception once the only server of a
# service has failed a thousand times in a row.
def test_thousands_of_failures_in_a_row_are_counted():
    view = build_view('engine-1')
    engine = EngineState(
        name='engine-1', url='http://127.0.0.1:1', zone='z', pool='p'
    )
    for _ in range(_FAILURES):
        pause_s = view.record_failure(0.0)
        engine.record_failure()
    assert 0 < pause_s < _MAX_BACKOFF_S
    assert 0 < engine.backoff_until_s - time.monotonic() < _MAX_BACKOFF_S
