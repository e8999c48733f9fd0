"""Append snapshots of the configuration before the log forgets it."""

import asyncio
import uuid

from arbutusbay.control._config_tail import CONFIG_STREAM
from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.controller import Controller
from arbutusbay.hosting import LogClient
from arbutusbay.logs import get_logger
from arbutusbay.state import build_snapshot, encode_config_record

_LOG = get_logger('snapshots')
_RETRY_S = 0.5


class Snapshots(Controller):
    """Write a snapshot at the set interval while holding the lease.

    The lease only spares the log; a late or doubled snapshot is harmless,
    since readers use it only with every record that follows its base.
    """

    board: ControlBoard
    log: LogClient

    async def step(self) -> None:
        """Wait for the interval, then write until it succeeds."""
        await asyncio.sleep(self.board.settings.lease.snapshot_s)
        while not await self.write():
            await asyncio.sleep(_RETRY_S)

    async def write(self) -> bool:
        """Append a snapshot; return True when none is needed any more."""
        if not self.board.holds_lease():
            return True
        if not self.board.config_known:
            return False
        snapshot = build_snapshot(self.board.config, uuid.uuid4().hex)
        appended = await self.log.append(
            CONFIG_STREAM,
            encode_config_record(snapshot),
        )
        if appended.is_err():
            _LOG.warning('snapshot failed')
        return appended.is_ok()
