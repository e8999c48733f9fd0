"""Keep the verdicts about prompt segments in the store.

They outlast the processes of all VMs there. One VM writes each of them.
"""

import asyncio
import time

from result import Err, Ok

from arbutusbay.clock import now_s
from arbutusbay.logs import get_logger
from arbutusbay.node._node_state import NodeState
from arbutusbay.node.quarantine._prompt_quarantine import PromptQuarantine
from arbutusbay.platform import (
    StoreClient,
    Topic,
    VerdictRecord,
    encode_verdict,
    verdict_record_key,
)
from arbutusbay.quarantine import SegmentKey

_LOG = get_logger('quarantine')
_CHECK_INTERVAL_S = 1.0
_STORE_TIMEOUT_S = 1.0
_MS_PER_S = 1000


class VerdictRecorder:
    """Write verdicts that the store does not hold yet.

    A restored store may have lost them, and then they are written again.
    """

    def __init__(
        self,
        *,
        node_state: NodeState,
        store: StoreClient,
        quarantine: PromptQuarantine,
    ) -> None:
        """Write the verdicts of ``quarantine`` to ``store``."""
        self.node_state = node_state
        self.store = store
        self.quarantine = quarantine

    async def run(self) -> None:
        """Write what is missing at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for key in self._missing_keys():
                await self._write(key)
            for key, revision in self._outdated_records():
                await self._delete(key, revision)

    def _missing_keys(self) -> list[SegmentKey]:
        verdicts = self.node_state.quarantine.table.verdicts
        stored = self.node_state.stored_revisions
        return [
            key
            for key, verdict in verdicts.items()
            if verdict.revision > max(stored.get(key, ()), default=0)
            and self.quarantine.is_owner(key)
        ]

    def _outdated_records(self) -> list[tuple[SegmentKey, int]]:
        """Return the records of expired verdicts and of earlier revisions."""
        verdicts = self.node_state.quarantine.table.verdicts
        return [
            (key, revision)
            for key, revisions in self.node_state.stored_revisions.items()
            for revision in revisions
            if (key not in verdicts or revision < max(revisions))
            and self.quarantine.is_owner(key)
        ]

    async def _write(self, key: SegmentKey) -> None:
        verdict = self.node_state.quarantine.table.verdicts[key]
        age_s = now_s() - verdict.changed_s
        name, payload = encode_verdict(
            VerdictRecord(
                key=key,
                verdict=verdict,
                changed_ms=int((time.time() - age_s) * _MS_PER_S),
            )
        )
        if await self._append(name, payload):
            revisions = self.node_state.stored_revisions
            revisions.setdefault(key, set()).add(verdict.revision)

    async def _delete(self, key: SegmentKey, revision: int) -> None:
        if await self._append(verdict_record_key(key, revision), b''):
            self.node_state.stored_revisions[key].discard(revision)

    async def _append(self, name: str, payload: bytes) -> bool:
        """Append a record; return whether the store has it."""
        written = await self.store.append(
            Topic.COORDINATION, name, payload, timeout_s=_STORE_TIMEOUT_S
        )
        match written:
            case Ok(position):
                self.node_state.observe_store_era(position.era)
                _LOG.info(
                    'verdict stored',
                    fields={'record': name, 'offset': position.offset},
                )
                return True
            case Err(failure):
                _LOG.info(
                    'verdict not stored; retrying',
                    fields={'record': name, 'failure': repr(failure)},
                )
                return False
