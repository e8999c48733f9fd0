"""Append configuration snapshots before the log drops old records."""

import asyncio
import uuid

from arbutusbay.control._config_log_reader import CONFIG_STREAM
from arbutusbay.control._shared_state import ControlState
from arbutusbay.controller import Controller
from arbutusbay.hosting import LogClient
from arbutusbay.logs import get_logger
from arbutusbay.state import build_snapshot, encode_config_record

_LOG = get_logger('snapshots')
_RETRY_DELAY_S = 0.5


class SnapshotWriter(Controller):
    """Append a snapshot at regular intervals while holding the lease.

    The lease only avoids needless appends. A late or duplicate snapshot does
    no harm, because readers use a snapshot only if the log still holds every
    record after its base offset.
    """

    shared_state: ControlState
    log: LogClient

    async def step(self) -> None:
        """Wait for the interval, then append a snapshot, with retries."""
        await asyncio.sleep(self.shared_state.settings.lease.snapshot_s)
        while not await self.append_snapshot():
            await asyncio.sleep(_RETRY_DELAY_S)

    async def append_snapshot(self) -> bool:
        """Append a snapshot; return False if the caller must retry.

        Returns True without an append if the lease is not held, and False if
        the configuration is not known or the append fails.
        """
        if not self.shared_state.holds_lease():
            return True
        if not self.shared_state.config_known:
            return False
        snapshot = build_snapshot(self.shared_state.config, uuid.uuid4().hex)
        appended = await self.log.append(
            CONFIG_STREAM,
            encode_config_record(snapshot),
        )
        if appended.is_err():
            _LOG.warning('cannot append a configuration snapshot')
        return appended.is_ok()
