"""Test what a client gets when the program raises what nobody expected.

The frontend and its components run in the process of the test, with an engine.
All bytes of the client's connection are read.
"""

import asyncio
import contextlib
import itertools

import attrs
import logbook
import orjson
import pytest
from aiohttp.http_writer import StreamWriter
from aiohttp.test_utils import TestServer
from aioprometheus import REGISTRY

from arbutusbay.node._client_stream import ClientStream
from arbutusbay.node._components import NodeComponents
from arbutusbay.node._http_client import create_client_session
from arbutusbay.node._listeners import open_listeners
from arbutusbay.platform import Endpoint, KeyedRecord, StorePosition
from emulator._addresses import find_free_address_prefix
from emulator.fleet_engine import FleetEngine
from tests.fleet_builders import (
    ENGINE_HOST,
    PLAIN_HOST,
    build_configuration,
    build_engine,
    build_plain_server,
    build_request_headers,
    build_vm_settings,
)
from tests.fleet_clients import REQUEST_BODY, complete_stream_text
from tests.raw_clients import build_bytes, exchange_bytes, parse_bytes

POSITION = StorePosition(era=1, offset=1)
FRONTEND_PORT = 7201
SHUTDOWN_S = 0.1
SLOW_READ_S = 2.5
TARGETS = (('/ask/1', ENGINE_HOST), ('/order/1', PLAIN_HOST))


def build_settings():
    """Return settings with an address of their own."""
    ip = f'{find_free_address_prefix()}10'
    return attrs.evolve(
        build_vm_settings(),
        ip=ip,
        frontend=Endpoint(host=ip, port=FRONTEND_PORT),
        readiness_endpoint=Endpoint(host=ip, port=FRONTEND_PORT + 1),
        peer_ports=(FRONTEND_PORT + 2, FRONTEND_PORT + 2),
    )


async def receive(served, path='/ask/1', host=ENGINE_HOST):
    """Send a request and return the whole response to it."""
    endpoint = served.node_state.settings.frontend
    fields = build_request_headers('x1', host=host)
    request = build_bytes(path, fields, REQUEST_BODY)
    return parse_bytes(
        await exchange_bytes(endpoint.host, endpoint.port, request)
    )


def fail(*args, **options):
    """Raise what nobody expected."""
    raise ZeroDivisionError('injected')


def fail_at_call(number, function):
    """Return ``function``, whose call of that number fails."""
    numbers = itertools.count(1)

    def wrapper(*args, **options):
        return (fail if next(numbers) == number else function)(*args, **options)

    return wrapper


async def drain_slowly(drain, writer):
    """Call ``drain`` late if the writer is that of a client."""
    if writer.transport.get_extra_info('sockname')[1] == FRONTEND_PORT:
        await asyncio.sleep(SLOW_READ_S)
    await drain(writer)


def apply(topic, documents) -> None:
    """Apply what the store holds."""
    records = [
        KeyedRecord(key=key, payload=orjson.dumps(document), offset=0)
        for key, document in documents.items()
    ]
    assert topic.apply_records(records, POSITION, is_complete=True)
    topic.record_read(float('inf'))


@pytest.fixture
async def registrations():
    """Serve an engine and a plain server; return their registrations."""
    async with contextlib.AsyncExitStack() as servers:
        found = {}
        for options in (
            build_engine(0),
            build_engine(1),
            build_plain_server(0),
        ):
            engine = FleetEngine(options)
            server = TestServer(engine.application())
            await servers.enter_async_context(server)
            engine.address = f'127.0.0.1:{server.port}'
            found[options.id] = engine.registration()
        yield found


@pytest.fixture
async def served(registrations):
    """Serve the client API of a daemon."""
    REGISTRY.clear()
    settings = build_settings()
    async with create_client_session() as session:
        components = NodeComponents(
            settings=settings,
            session=session,
            order_session=session,
            log_writer=None,
        )
        follower = components.follower
        apply(follower.operator_topic, {'config': build_configuration()})
        apply(follower.servers_topic, registrations)
        components.node_state.has_read_verdicts = True
        listeners = await open_listeners(settings, components)
        yield components
        listeners.close()
        await listeners.client_server.shutdown(SHUTDOWN_S)


@pytest.fixture
def log():
    """Record the log lines."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def lines_of(log, message):
    """Return the fields of the log lines with ``message``."""
    return [
        record.kwargs['fields']
        for record in log.records
        if record.message == message
    ]


def assert_answered(response, log) -> None:
    """Check that the client got an answer of ours, and that it is logged."""
    assert response.status == 500
    assert response.headers['Attempt-Id'] == 'x1'
    assert 'Response-Stamp' not in response.headers
    assert (response.is_complete, response.rest) == (True, b'')
    refusal = lines_of(log, 'request refused')[-1]
    assert (refusal['kind'], refusal['ran']) == ('internal', 'outcome_unknown')
    failed = lines_of(log, 'request failed for an error in the program')
    assert [line['request_id'] for line in failed] == ['x1']


async def test_served_frontend_relays_both_kinds_of_requests(served):
    responses = [await receive(served, *target) for target in TARGETS]
    assert [response.status for response in responses] == [200, 200]
    assert responses[0].body == complete_stream_text().encode()


# Guards against a request that was read and is answered without its id and
# without a line in the log of how it ended.
@pytest.mark.parametrize(('path', 'host'), TARGETS)
@pytest.mark.parametrize('component', ['dispatcher', 'placer'])
async def test_error_before_the_head_is_answered(
    served, log, monkeypatch, path, host, component
):
    name = {'dispatcher': 'place', 'placer': 'commit'}[component]
    target = served.frontend.dependencies
    monkeypatch.setattr(getattr(target, component), name, fail)
    assert_answered(await receive(served, path, host), log)


# Guards against the same where the request was not accepted yet.
async def test_error_before_acceptance_is_answered(served, log, monkeypatch):
    monkeypatch.setattr('arbutusbay.node._frontend.validate_request', fail)
    assert_answered(await receive(served), log)


# Guards against a second head in the middle of a stream, against a broken
# stream that looks complete, and against one that ends without a line.
async def test_error_in_the_middle_cuts_the_stream(served, log, monkeypatch):
    write = ClientStream.write_event
    monkeypatch.setattr(ClientStream, 'write_event', fail_at_call(3, write))
    response = await receive(served)
    assert response.status == 200
    assert response.body == complete_stream_text(2).encode()
    assert (response.is_complete, response.rest) == (False, b'')
    ended = lines_of(log, 'request ended')[-1]
    assert (ended['outcome'], ended['reason']) == ('stream cut', 'internal')
    assert ended['events'] == 2


# Guards against bytes behind a stream that has ended.
async def test_error_after_the_end_adds_nothing(served, monkeypatch):
    metrics = served.metrics
    observe = metrics.observe_request
    monkeypatch.setattr(metrics, 'observe_request', fail_at_call(1, observe))
    response = await receive(served)
    assert response.body == complete_stream_text().encode()
    assert (response.is_complete, response.rest) == (True, b'')


# Guards against a client that reads the end of its stream slowly: its engine
# was taken for silent, and another one sent the end once more.
async def test_end_that_is_read_slowly_is_sent_once(served, monkeypatch):
    drain = StreamWriter.drain
    monkeypatch.setattr(
        StreamWriter, 'drain', lambda writer: drain_slowly(drain, writer)
    )
    detection = asyncio.create_task(served.stall_detector.run())
    response = await receive(served, '/note/1')
    detection.cancel()
    assert response.body == complete_stream_text().encode()
    assert (response.is_complete, response.rest) == (True, b'')
