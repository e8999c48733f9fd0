"""Relay the records of the store's topics to other VMs."""

import asyncio
from http import HTTPStatus

from aiohttp import web

from arbutusbay.node._clock import now_s
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._relay_messages import (
    RelayResponse,
    TopicUpdate,
    relay_response_to_bytes,
)
from arbutusbay.node._topics import TopicState

RELAY_PATH = '/relay'
_MAX_HOLD_S = 2.0


class RelayApi:
    """Serve the long-poll requests of VMs that read from this one."""

    def __init__(
        self,
        *,
        node_state: NodeState,
        operator_topic: TopicState,
        servers_topic: TopicState,
    ) -> None:
        """Relay the records of two topics."""
        self.node_state = node_state
        self.operator_topic = operator_topic
        self.servers_topic = servers_topic

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Respond once a topic has changed, or after the requested wait.

        The wait is capped. The status is 404 for an unknown path, 400 for
        malformed parameters and 503 until both topics have been read.
        """
        if request.path != RELAY_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        try:
            operator_offset = int(request.query['operator'])
            servers_offset = int(request.query['servers'])
            hold_s = min(_MAX_HOLD_S, int(request.query['hold_ms']) / 1000)
        except (KeyError, ValueError):
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        received_s = now_s()
        await self._wait_for_changes(operator_offset, servers_offset, hold_s)
        if (
            self.operator_topic.end_offset is None
            or self.servers_topic.end_offset is None
        ):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        answer = RelayResponse(
            age_s=self.node_state.freshness.age_s(),
            held_s=now_s() - received_s,
            operator=_topic_update(self.operator_topic, operator_offset),
            servers=_topic_update(self.servers_topic, servers_offset),
        )
        return web.Response(body=relay_response_to_bytes(answer))

    async def _wait_for_changes(
        self,
        operator_offset: int,
        servers_offset: int,
        hold_s: float,
    ) -> None:
        try:
            async with asyncio.timeout(hold_s):
                while not self._has_changes(operator_offset, servers_offset):
                    await self.node_state.topics_changed.wait()
        except TimeoutError:
            return

    def _has_changes(self, operator_offset: int, servers_offset: int) -> bool:
        if operator_offset < 0 or servers_offset < 0:
            return True
        return bool(
            self.operator_topic.records_since(operator_offset)
            or self.servers_topic.records_since(servers_offset),
        )


def _topic_update(state: TopicState, offset: int) -> TopicUpdate:
    """Return the records since ``offset``; a negative one requests all."""
    return TopicUpdate(
        records=tuple(state.records_since(offset)),
        end_offset=state.end_offset or 0,
        is_complete=offset < 0,
    )
