"""Read the configuration stream and apply it to the shared state.

While the log can't be read, the newest configuration of the peers is used.
"""

import asyncio

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.config_messages import apply_config_reply
from arbutusbay.control._shared_state import ControlState, WriteResult
from arbutusbay.controller import Controller
from arbutusbay.errors import Failure
from arbutusbay.hosting import LogClient, LogPage, LogRecord
from arbutusbay.http import call_peer
from arbutusbay.logs import get_logger
from arbutusbay.state import (
    ConfigRecord,
    ConfigState,
    Delete,
    Put,
    Snapshot,
    apply_config_record,
    decode_config_record,
    is_usable_snapshot,
    meets_precondition,
    state_from_snapshot,
)
from arbutusbay.wire import ConfigReply, ConfigRequest

CONFIG_STREAM = 'config'
_LOG = get_logger('config_tail')
_LONG_POLL_MS = 1000
_RETRY_DELAY_S = 0.2
_PEER_TIMEOUT_S = 1.0


class ConfigLogReader(Controller):
    """Keep the shared configuration up to date with the log."""

    shared_state: ControlState
    log: LogClient
    session: aiohttp.ClientSession

    async def step(self) -> None:
        """Apply one page of the log, or fetch from peers if the read fails."""
        start = self.shared_state.config.offset + 1
        wait_ms = _LONG_POLL_MS if self.shared_state.config_known else 0
        match await self.log.read(CONFIG_STREAM, start, wait_ms=wait_ms):
            case Ok(page):
                self.shared_state.log_reachable = True
                await self._apply_page(page)
            case Err(failure):
                self.shared_state.log_reachable = False
                _LOG.warning(
                    'cannot read the configuration stream: {}', failure.detail
                )
                await self._fetch_from_peers()
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _apply_page(self, page: LogPage) -> None:
        if page.oldest_offset > self.shared_state.config.offset + 1:
            await self._restore_from_log()
            return
        state = self.shared_state.config
        for log_record in page.records:
            state = self._apply_record(state, log_record)
        if self.shared_state.config_known or state.offset + 1 >= page.end:
            self.shared_state.install_config(state)
        else:
            self.shared_state.config = state

    def _apply_record(
        self, state: ConfigState, log_record: LogRecord
    ) -> ConfigState:
        record = _decode_record(log_record)
        match record:
            case Put() | Delete() if log_record.offset > state.offset:
                self.shared_state.store_write_result(
                    record.nonce,
                    WriteResult(
                        offset=log_record.offset,
                        accepted=meets_precondition(state, record),
                    ),
                )
        return apply_config_record(state, log_record.offset, record)

    async def _restore_from_log(self) -> None:
        match await self._read_all_records():
            case Ok(pages):
                state = restore_config(pages)
            case Err(failure):
                _LOG.warning(
                    'cannot restore the configuration from the log: {}',
                    failure.detail,
                )
                state = None
        if state is None:
            await self._fetch_from_peers()
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        self.shared_state.install_config(state)

    async def _read_all_records(self) -> Result[LogPage, Failure]:
        start = 0
        records: list[LogRecord] = []
        while True:
            match await self.log.read(CONFIG_STREAM, start):
                case Err() as failed:
                    return failed
                case Ok(page):
                    records.extend(page.records)
            start = records[-1].offset + 1 if records else page.end
            if start >= page.end:
                return Ok(attrs.evolve(page, records=records))

    async def _fetch_from_peers(self) -> None:
        replies = await asyncio.gather(
            *(self._fetch_state(url) for url in self._peer_urls())
        )
        states = [state for state in replies if state is not None]
        newest = max(states, key=lambda state: state.offset, default=None)
        if (
            newest is not None
            and newest.offset > self.shared_state.config.offset
        ):
            self.shared_state.install_config(newest)

    def _peer_urls(self) -> set[str]:
        urls = set(self.shared_state.settings.peers)
        for node_id in self.shared_state.members:
            urls.add(self.shared_state.member_control_url(node_id) or '')
        return urls - {'', self.shared_state.settings.node.control_url}

    async def _fetch_state(self, url: str) -> ConfigState | None:
        request = ConfigRequest(
            after=self.shared_state.config.offset,
            wait_ms=0,
            node='',
        )
        reply = await call_peer(
            self.session,
            f'{url}/peer/config',
            request,
            ConfigReply,
            timeout_s=_PEER_TIMEOUT_S,
        )
        match reply:
            case Ok(ConfigReply(changed=True) as config_reply):
                return apply_config_reply(
                    self.shared_state.config, config_reply
                )
        return None


def restore_config(page: LogPage) -> ConfigState | None:
    """Return the configuration after all records of ``page``.

    ``page`` holds every record of the log. Applying starts from the newest
    usable snapshot, or from the empty configuration if no record has expired.
    Returns None if the log no longer holds enough records.
    """
    state = ConfigState() if page.oldest_offset == 0 else None
    for log_record in page.records:
        match _decode_record(log_record):
            case Snapshot() as snapshot if is_usable_snapshot(
                snapshot,
                page.oldest_offset,
            ):
                state = state_from_snapshot(snapshot)
    if state is None:
        return None
    for log_record in page.records:
        state = apply_config_record(
            state, log_record.offset, _decode_record(log_record)
        )
    return state


def _decode_record(log_record: LogRecord) -> ConfigRecord | None:
    match decode_config_record(log_record.payload):
        case Ok(record):
            return record
        case Err(failure):
            _LOG.error(
                'ignored undecodable configuration record {}: {}',
                log_record.offset,
                failure.detail,
            )
            return None
