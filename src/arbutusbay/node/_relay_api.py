"""Relay the records of the store's topics to other VMs."""

import asyncio
from http import HTTPStatus

from aiohttp import web

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState, RelayForm
from arbutusbay.node._record_encoder import RecordEncoder
from arbutusbay.node._relay_messages import (
    ENCODED_CONTENT_TYPE,
    RelayResponse,
    TopicUpdate,
    accepts_encoding,
    bases_from_parameters,
    encoded_response_to_bytes,
    position_from_parameters,
    relay_response_to_bytes,
)
from arbutusbay.node._topics import (
    OperatorTopicState,
    ServersTopicState,
    TopicState,
)
from arbutusbay.node._transfer_turns import TransferTurns
from arbutusbay.platform import StorePosition

_LOG = get_logger('relay')
RELAY_PATH = '/relay'
_MAX_HOLD_MS = 2000
_PIECE_BYTES = 4096
# Blanks before a document of JSON mean nothing.
_PADDING = b' '
_PADDING_RATIO = 0.1
_TURN_RATIO = 0.2


class RelayApi:
    """Serve the long-poll requests of VMs that read from this one."""

    def __init__(
        self,
        *,
        node_state: NodeState,
        operator_topic: OperatorTopicState,
        servers_topic: ServersTopicState,
    ) -> None:
        """Relay the records of two topics."""
        self.node_state = node_state
        self.operator_topic = operator_topic
        self.servers_topic = servers_topic
        self.encoder = RecordEncoder(history=operator_topic.payloads)
        config_apply_s = node_state.settings.bounds.config_apply_s
        self.padding_s = config_apply_s * _PADDING_RATIO
        self.turns = TransferTurns(max_turn_s=config_apply_s * _TURN_RATIO)

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Respond once a topic has changed, or after the requested wait.

        The wait is capped. The status is 404 for an unknown path, 400 for
        malformed parameters and 503 until both topics have been read, and while
        others may hold records that the store lost.
        """
        self.turns.end(request.transport)
        if request.path != RELAY_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        try:
            operator_start = position_from_parameters('operator', request.query)
            servers_start = position_from_parameters('servers', request.query)
            hold_s = min(_MAX_HOLD_MS, int(request.query['hold_ms'])) / 1000
        except (KeyError, ValueError):
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        received_s = now_s()
        await self._wait_for_changes(operator_start, servers_start, hold_s)
        operator = _topic_update(self.operator_topic, operator_start)
        servers = _topic_update(self.servers_topic, servers_start)
        if operator is None or servers is None or self.node_state.lacks_past():
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        # Ages that are taken later, after a pause of this VM, are no younger.
        held_s = now_s() - received_s
        answer = RelayResponse(
            age_s=self.node_state.freshness.age_s(),
            held_s=held_s,
            naming_ages_s=self._naming_ages_s(),
            store_returned_ago_s=(
                self.node_state.freshness.store_returned_ago_s()
            ),
            store_failing_s=self.node_state.freshness.failed_reads.failing_s,
            operator=operator,
            servers=servers,
        )
        if accepts_encoding(request.query):
            body = self._encode(answer, bases_from_parameters(request.query))
            return await self._send(request, body)
        body = relay_response_to_bytes(answer)
        self._count(answer, RelayForm.PLAIN, len(body))
        return web.Response(body=body)

    def _naming_ages_s(self) -> dict[str, dict[int, float]]:
        """Return how long ago versions were named, by model.

        Models whose replaced versions are used no more are left out.
        """
        moment_s = now_s()
        bound_s = self.node_state.settings.bounds.weights_switch_s
        return {
            model: {
                version: moment_s - published_s
                for version, published_s in target.naming_times().items()
            }
            for model, target in self.node_state.catalog.targets.items()
            if moment_s - target.published_s <= bound_s
        }

    async def _send(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        """Respond with ``body``; a long one waits for its turn."""
        if len(body) <= _PIECE_BYTES:
            return web.Response(body=body, content_type=ENCODED_CONTENT_TYPE)
        response = web.StreamResponse()
        response.content_type = ENCODED_CONTENT_TYPE
        response.enable_chunked_encoding()
        try:
            await self._send_in_turn(request, response, body)
        except ConnectionError as error:
            _LOG.info(
                'follower left during its response: {!r}',
                error,
                fields={'follower': request.remote, 'bytes': len(body)},
            )
        return response

    async def _send_in_turn(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        body: bytes,
    ) -> None:
        """Send padding, which is no silence, until the turn begins."""
        await response.prepare(request)
        await response.write(_PADDING)
        while not await self.turns.begin(request.transport, self.padding_s):
            await response.write(_PADDING)
        await _write_pieces(response, body)

    def _encode(self, answer: RelayResponse, digests: list[str]) -> bytes:
        operator = self.encoder.choose(answer.operator.records, digests)
        servers = self.encoder.choose(answer.servers.records, ())
        body = encoded_response_to_bytes(
            answer,
            operator_body=self.encoder.encode(
                operator, answer.operator.records
            ),
            servers_body=self.encoder.encode(servers, answer.servers.records),
        )
        form = RelayForm.CHANGE if operator.has_bases else RelayForm.WHOLE
        self._count(answer, form, len(body))
        return body

    def _count(
        self, answer: RelayResponse, form: RelayForm, size_bytes: int
    ) -> None:
        has_records = answer.operator.records or answer.servers.records
        counted = form if has_records else RelayForm.EMPTY
        self.node_state.relayed_bytes[counted] += size_bytes

    async def _wait_for_changes(
        self,
        operator_start: StorePosition | None,
        servers_start: StorePosition | None,
        hold_s: float,
    ) -> None:
        try:
            async with asyncio.timeout(hold_s):
                while not (
                    _has_changes(self.operator_topic, operator_start)
                    or _has_changes(self.servers_topic, servers_start)
                ):
                    await self.node_state.topics_changed.wait()
        except TimeoutError:
            return


async def _write_pieces(response: web.StreamResponse, body: bytes) -> None:
    """Write ``body`` in turns with the responses to other VMs."""
    for start in range(0, len(body), _PIECE_BYTES):
        await response.write(body[start : start + _PIECE_BYTES])
        await asyncio.sleep(0)
    await response.write_eof()


def _has_changes(state: TopicState, start: StorePosition | None) -> bool:
    """Return whether an update since ``start`` would hold records.

    It always does if it has to be complete.
    """
    if not state.has_changes_since(start):
        return True
    return bool(state.records_since(start.offset))


def _topic_update(
    state: TopicState, start: StorePosition | None
) -> TopicUpdate | None:
    """Return the records since ``start``, None before the topic was read.

    All records are returned if ``start`` is None, of another era, or from
    before the changes that are known here.
    """
    if state.end is None:
        return None
    is_complete = not state.has_changes_since(start)
    return TopicUpdate(
        records=tuple(
            state.latest_records.values()
            if is_complete
            else state.records_since(start.offset)
        ),
        end=state.end,
        is_complete=is_complete,
    )
