"""Check with which headers shared prefixes are fetched and saved."""

from types import MappingProxyType

import attrs
import orjson
import pytest

from arbutusbay.clock import now_s
from arbutusbay.fleet import TeamSpec
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placement import PlacementRequest
from arbutusbay.node._placer import Placer
from arbutusbay.platform import decode_operator_record, parse_request_head
from tests.fleet_builders import (
    ENGINE_HOST,
    ENGINE_SERVICE,
    MODEL,
    build_configuration,
    build_request_headers,
    build_vm_settings,
)
from tests.unit.test_engine_placement import build_view

STORE = '127.0.0.1:9'
OTHER_STORE = '127.0.0.2:9'
PROMPT = MappingProxyType(
    {'Token-Counts': '9000,9', 'Prompt-Prefix': 'a1:2500,b2:3800,c3:2700'}
)


def build_document(*, has_store: bool = True) -> dict:
    """Return a configuration in which engines can fetch."""
    document = build_configuration()
    for service in document['services']:
        if service['name'] == ENGINE_SERVICE:
            service['engine'] |= {
                'kv_token_bytes': 131_072,
                'link_mbps': 550_000.0,
            }
    if has_store:
        document['services'].append(
            {'name': 'kept', 'kv_store_address': STORE, 'zone': 'plateau'}
        )
    return document


def build_node_state(document: dict) -> NodeState:
    """Return the state of a VM with six engines."""
    node_state = NodeState(settings=build_vm_settings())
    node_state.catalog.update_configuration(
        decode_operator_record('config', orjson.dumps(document)).ok_value
    )
    for number in range(6):
        view = build_view(
            f'engine-{number}',
            service=ENGINE_SERVICE,
            address=f'127.0.1.{number}:1',
            weights={MODEL: 1},
        )
        node_state.engine_views[view.id] = view
    return node_state


def build_request(node_state, *, team=None, **headers) -> PlacementRequest:
    """Return a request for a stream with a long shared prefix."""
    configuration = node_state.configuration
    headers = {**build_request_headers('a1'), **PROMPT, **headers}
    return PlacementRequest(
        incoming=IncomingRequest(
            method='POST',
            target='/ask/1',
            headers=tuple(headers.items()),
            parsed_headers=parse_request_head(headers),
            route=configuration.route_for(ENGINE_HOST, '/ask/1'),
            service=configuration.services[ENGINE_SERVICE],
            team=team,
            received_s=now_s(),
            deadline_s=now_s() + 5,
        )
    )


def build_prompt_request(node_state, prompt: str) -> PlacementRequest:
    """Return a request whose prompt has the given segments."""
    headers = {'Prompt-Prefix': prompt}
    return build_request(node_state, **headers)


def send(placer, request, *, has_first_event=True):
    """Send a request and let it end; return its headers."""
    placement = placer.find_placement(request)
    placer.commit(request, placement)
    placement.attempt.has_first_event = has_first_event
    placer.release(placement)
    return placement.attempt_headers


@pytest.fixture
async def node_state():
    return build_node_state(build_document())


async def test_prefix_is_saved_once_and_fetched_from_then_on(node_state):
    placer = Placer(node_state=node_state)
    first = send(placer, build_request(node_state))
    second = send(placer, build_request(node_state))
    assert (first.kv_fetch_address, first.kv_save_address) == (STORE, STORE)
    assert (second.kv_fetch_address, second.kv_save_address) == (STORE, '')


async def test_prefix_of_a_request_that_was_not_begun_is_saved_again(
    node_state,
):
    placer = Placer(node_state=node_state)
    send(placer, build_request(node_state), has_first_event=False)
    assert send(placer, build_request(node_state)).kv_save_address == STORE


async def test_prefix_is_saved_again_for_new_weights(node_state):
    placer = Placer(node_state=node_state)
    send(placer, build_request(node_state))
    for view in node_state.engine_views.values():
        view.weights[MODEL] = 2
    assert send(placer, build_request(node_state)).kv_save_address == STORE


@pytest.mark.parametrize('is_heard', [False, True])
async def test_dead_store_is_left_out_and_empty_when_it_is_back(is_heard):
    document = build_document()
    document['services'].append(
        {'name': 'other', 'kv_store_address': OTHER_STORE, 'zone': 'plateau'}
    )
    node_state = build_node_state(document)
    placer = Placer(node_state=node_state)
    store = send(placer, build_request(node_state)).kv_save_address
    health = node_state.store_health
    for sender in ('a', 'b'):
        if is_heard:
            health.merge(sender, (store,), now_s())
        else:
            health.record_check(store, has_answered=False)
    headers = send(placer, build_request(node_state))
    spare = {STORE, OTHER_STORE} - {store}
    assert {headers.kv_fetch_address, headers.kv_save_address} == spare
    health.record_check(store, has_answered=True)
    headers = send(placer, build_request(node_state))
    assert headers.kv_save_address == store


async def test_late_first_event_behind_a_fetch_makes_a_store_suspect(
    node_state,
):
    placer = Placer(node_state=node_state)
    dispatcher = Dispatcher(node_state=node_state, placer=placer)
    placement = placer.find_placement(build_request(node_state))
    attempt = placement.attempt
    dispatcher.record_first_event(attempt, placement.view)
    store = node_state.store_health.stores[STORE]
    assert not store.is_suspected
    store.served_s -= 1
    attempt.sent_s -= 1
    dispatcher.record_first_event(attempt, placement.view)
    assert node_state.store_health.due_checks(now_s()) == [STORE]


async def test_isolated_team_shares_neither_salt_nor_saves(node_state):
    placer = Placer(node_state=node_state)
    team = TeamSpec(
        name='cut', api_keys=frozenset(), priority=None, has_isolated_cache=True
    )
    common = send(placer, build_request(node_state))
    isolated = send(placer, build_request(node_state, team=team))
    assert isolated.cache_salt != common.cache_salt
    assert isolated.kv_save_address == STORE


async def test_requests_of_a_prefix_go_to_one_engine(node_state):
    placer = Placer(node_state=node_state)
    instances = {
        send(placer, build_request(node_state)).instance for _ in range(2)
    }
    assert len(instances) == 1


async def test_full_owner_is_left_out_and_its_prefix_fetched():
    node_state = build_node_state(build_document(has_store=False))
    placer = Placer(node_state=node_state)
    request = build_request(node_state)
    owner = placer.find_placement(request).view
    elsewhere = placer.find_placement(request.without(frozenset((owner.id,))))
    assert elsewhere.view.id != owner.id
    attempt = attrs.evolve(elsewhere.attempt, uncached_tokens=50_000)
    for _ in range(owner.slots):
        owner.occupancy.open_attempt(attrs.evolve(attempt))
    placement = placer.find_placement(request)
    assert placement.view.id != owner.id
    assert placement.has_capacity


async def test_deployment_without_links_sends_what_it_did():
    document = build_document()
    for service in document['services']:
        service.get('engine', {}).pop('link_mbps', None)
    node_state = build_node_state(document)
    placement = Placer(node_state=node_state).find_placement(
        build_request(node_state)
    )
    assert placement.prefix_plan is None
    assert placement.attempt_headers.kv_save_address == STORE
