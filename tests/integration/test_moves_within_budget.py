"""Check that streams which are asked for again leave others their retries."""

import asyncio

from tests.fleet_clients import busiest, request_stream
from tests.integration.test_moves_beside_refusals import (
    _ENGINES,
    accept,
    refuse,
    start_engines,
)
from tests.integration.test_silent_engines import start_streams

_POWER_LOSS_S = 60.0
_REFUSED_S = 2.5
_SLACK = 40
_STREAMS = 16
_OTHERS = 20
_INTERVAL_S = 0.05


# Guards against streams of a dead engine that ask again and again, and take the
# retry budget from other clients, who got 504.
async def test_others_are_retried_beside_streams_that_are_refused(fleet, http):
    fleet.retry_slack = _SLACK
    node = await start_engines(fleet, http)
    tasks = await start_streams(fleet, http, node, count=_STREAMS)
    engines = fleet.engines[:_ENGINES]
    dead = busiest(engines)
    others = [engine for engine in engines if engine is not dead]
    dead.silence.begin(_POWER_LOSS_S)
    for engine in others:
        refuse(engine, 'full')
    await asyncio.sleep(_REFUSED_S)
    for engine in others[1:]:
        accept(engine)
    requests = []
    for number in range(_OTHERS):
        requests.append(
            asyncio.create_task(request_stream(http, node, f'other-{number}'))
        )
        await asyncio.sleep(_INTERVAL_S)
    responses = await asyncio.gather(*requests)
    accept(others[0])
    await asyncio.gather(*tasks)
    assert {status for status, _, _ in responses} == {200}
