"""Send clients' requests to the daemon of the users' platform."""

from emulator.fleet import Fleet
from emulator.fleet_engine import EngineRun
from tests.fleet_builders import PLAIN_HOST, build_request_headers

BODY = b'{"prompt": "x"}'


async def ask(http, node, attempt_id, path='/ask/1', **changes):
    """Return status, text and headers of a stream."""
    headers = build_request_headers(attempt_id, **changes)
    async with http.post(
        f'{node.url}{path}',
        data=BODY,
        headers=headers,
    ) as response:
        return response.status, await response.text(), response.headers


async def desk(http, node, attempt_id, path='/order/1', method='POST'):
    """Return status, text and headers of a plain request."""
    headers = build_request_headers(attempt_id, host=PLAIN_HOST)
    async with http.request(
        method,
        f'{node.url}{path}',
        headers=headers,
    ) as response:
        return response.status, await response.text(), response.headers


def all_runs(fleet: Fleet) -> list[EngineRun]:
    """Return what all engines ran."""
    return [run for engine in fleet.engines for run in engine.runs]


def runs(fleet: Fleet, attempt_id: str) -> int:
    """Return how often an attempt ran."""
    return sum(engine.run_counts()[attempt_id] for engine in fleet.engines)


async def all_refuse(http, nodes) -> bool:
    """Tell whether all VMs answer 401."""
    answers = [await ask(http, node, f'k-{node.name}') for node in nodes]
    return {status for status, _, _ in answers} == {401}


async def refuses_as_stale(http, node) -> bool:
    """Tell whether the configuration is refused as too old."""
    status, text, _ = await ask(http, node, 'f1')
    return status == 503 and 'configuration_too_old' in text


async def serves(http, node, attempt_id) -> bool:
    """Tell whether a request succeeds."""
    status, _, _ = await ask(http, node, attempt_id)
    return status == 200


def whole_stream(events: int = 5) -> str:
    """Return the text of a complete stream."""
    return ''.join(
        f'id: {number}\ndata: w{number}\n\n' for number in range(1, events + 1)
    )
