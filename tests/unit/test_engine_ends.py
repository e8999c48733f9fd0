"""Test how the end of an engine is distinguished from a broken connection."""

import asyncio
import time

from arbutusbay import _engine_ends
from arbutusbay.engine_ends import EngineEndDetector, EngineProcess
from arbutusbay.quarantine import SegmentKey

_PAUSE_S = 0.3
_KEYS = (SegmentKey(model='roll-advisor', segment='aa01'),)


async def free_port() -> int:
    """Return a port at which nobody listens any more."""
    server = await asyncio.start_server(
        lambda reader, writer: None, '127.0.0.1'
    )
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


# Guards against a check that fails, and answers requests with 500, because the
# VM was suspended for longer than broken requests are remembered.
async def test_check_outlasts_a_pause_of_the_vm(monkeypatch):
    monkeypatch.setattr(_engine_ends, '_REMEMBERED_S', _PAUSE_S / 2)
    ends = []
    detector = EngineEndDetector(
        record_end=lambda incarnation, end: ends.append((incarnation, end))
    )
    engine = EngineProcess(
        incarnation='engine-1', host='127.0.0.1', port=await free_port()
    )
    check = asyncio.create_task(
        detector.record_break(engine, _KEYS, is_starting=True)
    )
    await asyncio.sleep(0)
    time.sleep(_PAUSE_S)
    assert await check
    assert [incarnation for incarnation, _ in ends] == ['engine-1']
    assert set(ends[0][1].suspects) == set(_KEYS)
    assert not detector.broken
