"""Check that each request gets an answer beside changes and troubles.

The configuration changes all the while: routes, services, timeouts, limits and
keys go and come back. Beside it stands one trouble that the users' pages name.
Clients keep their connections.
"""

import asyncio
import itertools
from types import MappingProxyType

import pytest

from emulator.fleet_engine import EngineFault
from emulator.scripted_response import ScriptedResponse
from tests.background_tasks import running
from tests.fleet_builders import (
    build_configuration,
    build_teams,
    start_fleet,
    wait_until_ready,
)
from tests.fleet_clients import complete_stream_text
from tests.integration.test_configuration_under_way import _CHANGES
from tests.kept_clients import KeptClient
from tests.rule_counting import is_lost, passed_on_attempts

_CHANGE_INTERVAL_S = 0.12
_TROUBLE_INTERVAL_S = 0.4
_DURATION_S = 3.0
_SILENCE_S = 1.3
_PATHS = ('/order/1', '/look/1', '/ask/1', '/note/1')
_CLIENTS_A_PATH = 3
_MIN_ANSWERS = 100
_KEY_GONE = MappingProxyType({'tenants': build_teams(keys=('another-key',))})


async def _change(fleet) -> None:
    """Change the configuration and back, again and again."""
    changes = (*_CHANGES.values(), _KEY_GONE)
    versions = itertools.count(2)
    for change in itertools.cycle(changes):
        for fields in (change, {}):
            fleet.configure(build_configuration(next(versions), **fields))
            await asyncio.sleep(_CHANGE_INTERVAL_S)


def _fall_silent(fleet, number: int) -> None:
    fleet.engines[number % len(fleet.engines)].silence.begin(_SILENCE_S)


def _leave(fleet, number: int) -> None:
    for engine in fleet.engines:
        engine.is_leaving = False
    fleet.engines[number % len(fleet.engines)].is_leaving = True


def _restore_store(fleet, number: int) -> None:
    fleet.store.restore(
        {name: max(0, end - 2) for name, end in fleet.store.copy_ends().items()}
    )
    for engine in fleet.engines:
        fleet.register(engine)


def _send_endless_head(fleet, number: int) -> None:
    fleet.engines[0].inject_fault(EngineFault.ENDLESS_HEAD, 1)
    fleet.engines[2].inject_fault(EngineFault.ENDLESS_BODY, 1)


def _fill_stream(fleet, number: int) -> None:
    fleet.engines[0].scripted_responses.append(
        ScriptedResponse(
            body=complete_stream_text(number % 3).encode(), filling=b'\n'
        )
    )


def _end_engine(fleet, number: int) -> None:
    fleet.engines[number % len(fleet.engines)].inject_fault(EngineFault.END, 1)


def _nothing(fleet, number: int) -> None:
    """Let the configuration change only."""


_TROUBLES = MappingProxyType(
    {
        'none': _nothing,
        'silence': _fall_silent,
        'leaving': _leave,
        'store restored': _restore_store,
        'endless head and body': _send_endless_head,
        'endless stream': _fill_stream,
        'engine ends': _end_engine,
    }
)


_BREAKING_OFF = (_fill_stream, _end_engine, _send_endless_head)


async def _make_trouble(fleet, trouble) -> None:
    for number in itertools.count():
        trouble(fleet, number)
        await asyncio.sleep(_TROUBLE_INTERVAL_S)


async def _play(fleet, http, trouble):
    """Return what all clients got, beside changes and ``trouble``."""
    nodes = await start_fleet(fleet, engines=2, plain=2, nodes=2)
    await wait_until_ready(nodes, http)
    clients = [
        KeptClient(
            name=f'{node.name}{path.replace("/", "-")}-{number}',
            node=node,
            path=path,
            seed=number,
        )
        for node, path, number in itertools.product(
            nodes, _PATHS, range(_CLIENTS_A_PATH)
        )
    ]
    requests = [asyncio.create_task(client.run()) for client in clients]
    async with running(_change(fleet), _make_trouble(fleet, trouble)):
        await asyncio.sleep(_DURATION_S)
        for client in clients:
            client.is_stopping = True
        await asyncio.gather(*requests)
    return [outcome for client in clients for outcome in client.outcomes]


# Guards against a whole request with neither an answer nor a refusal beside a
# changed configuration (third report of LOST on correa-planta).
@pytest.mark.parametrize('trouble', _TROUBLES.values(), ids=_TROUBLES)
async def test_each_request_is_answered(fleet, http, trouble):
    outcomes = await _play(fleet, http, trouble)
    assert sum(outcome.is_whole for outcome in outcomes) > _MIN_ANSWERS
    lost = [
        outcome for outcome in outcomes if _is_lost(fleet, outcome, trouble)
    ]
    assert not lost


def _is_lost(fleet, outcome, trouble) -> bool:
    """Return whether a request that was taken has no answer.

    A stream that has begun is cut where its engine breaks off. One on a new
    connection counts however soon that ends.
    """
    if outcome.status and trouble in _BREAKING_OFF:
        return False
    if outcome.is_first and not outcome.is_whole:
        return True
    return is_lost(
        outcome, was_passed_on=outcome.attempt_id in passed_on_attempts(fleet)
    )
