"""Serve routers and other control daemons with Cap'n Proto messages."""

import asyncio
import time

import attrs
from aiohttp import web
from result import Err, Ok

from arbutusbay.config_exchange import entries_from_state, keys_from_ids
from arbutusbay.control._ledger_api import Ledger
from arbutusbay.control._pool_views import look_up
from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.http import capnp_response, failure_response, read_message
from arbutusbay.state import NO_VERSION
from arbutusbay.wire import (
    ConfigReply,
    ConfigRequest,
    LedgerRequest,
    LookupRequest,
)

_MAX_WAIT_MS = 5000


class PeerApi:
    """Answer configuration, lookup and ledger messages."""

    def __init__(self, *, board: ControlBoard, ledger: Ledger) -> None:
        """Read ``board``; pass ledger steps to ``ledger``."""
        self.board = board
        self.ledger = ledger

    def add_routes(self, application: web.Application) -> None:
        """Register the endpoints."""
        application.router.add_post('/peer/config', self.answer_config)
        application.router.add_post('/peer/lookup', self.answer_lookup)
        application.router.add_post('/peer/ledger', self.answer_ledger)

    async def answer_config(self, request: web.Request) -> web.Response:
        """Return newer configuration, waiting for it if asked to."""
        match await read_message(request, ConfigRequest):
            case Err(failure):
                return failure_response(failure)
            case Ok(asked):
                pass
        if asked.node == self.board.node_id:
            self.board.put_router_offset(asked.after)
        leaving = self.board.leaving_hosts
        deadline_s = time.monotonic() + min(asked.wait_ms, _MAX_WAIT_MS) / 1000
        while (
            not self._has_newer(asked) and leaving == self.board.leaving_hosts
        ):
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or self.board.draining:
                break
            await self.board.config_changed.wait(remaining_s)
        return capnp_response(self._config_reply(asked))

    async def answer_lookup(self, request: web.Request) -> web.Response:
        """Return how much of a prefix the owned engines hold."""
        match await read_message(request, LookupRequest):
            case Err(failure):
                return failure_response(failure)
            case Ok(asked):
                return capnp_response(look_up(self.board, asked))

    async def answer_ledger(self, request: web.Request) -> web.Response:
        """Record or look up one ledger step."""
        match await read_message(request, LedgerRequest):
            case Err(failure):
                return failure_response(failure)
            case Ok(asked):
                pass
        match await asyncio.shield(self.ledger.answer(asked)):
            case Err(failure):
                return failure_response(failure)
            case Ok(reply):
                return capnp_response(reply)

    def _has_newer(self, asked: ConfigRequest) -> bool:
        return self.board.config_known and (
            self.board.config.offset > asked.after
        )

    def _config_reply(self, asked: ConfigRequest) -> ConfigReply:
        if not self._has_newer(asked):
            return self._unchanged_reply()
        deletion_log = self.board.deletion_log
        full = not deletion_log.covers(asked.after)
        after = NO_VERSION if full else asked.after
        return attrs.evolve(
            self._unchanged_reply(),
            changed=True,
            full=full,
            entries=entries_from_state(self.board.config, after=after),
            removed=[]
            if full
            else keys_from_ids(deletion_log.deleted_since(after)),
        )

    def _unchanged_reply(self) -> ConfigReply:
        return ConfigReply(
            offset=self.board.config.offset,
            changed=False,
            entries=[],
            members=self.board.live_members(),
            leaving=sorted(self.board.leaving_hosts),
        )
