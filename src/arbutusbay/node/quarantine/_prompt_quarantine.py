"""Keep requests with segments that crash engines from the engines."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.engine_ends import EngineEndDetector
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._stall_detector import StallDetector
from arbutusbay.quarantine import (
    EngineEnd,
    SegmentKey,
    VerdictChange,
    WithheldRequest,
    build_refusal,
)
from arbutusbay.verdict_log import log_verdict_change

_CHECK_INTERVAL_S = 0.1
_IDLE_CHECK_INTERVAL_S = 0.5
_MIN_RETRY_AFTER_S = 1.0
_PROBE_END_DELAY_S = 1.0


class PromptQuarantine:
    """Refuse requests with quarantined segments and act on new verdicts."""

    def __init__(
        self,
        *,
        node_state: NodeState,
        dispatcher: Dispatcher,
        stall_detector: StallDetector,
    ) -> None:
        """Act on the verdicts of ``node_state``.

        Requests that wait for an engine are rejected by ``dispatcher``, and
        those that wait at one withdrawn by ``stall_detector``.
        """
        self.node_state = node_state
        self.dispatcher = dispatcher
        self.stall_detector = stall_detector
        self.core = node_state.quarantine
        self.core.announce = self._handle_change
        self.engine_ends = EngineEndDetector(record_end=self._record_end)

    async def run(self) -> None:
        """Evaluate the evidence at a fixed interval until cancelled."""
        while True:
            has_evidence = bool(self.core.evidence.ends)
            await asyncio.sleep(
                _CHECK_INTERVAL_S if has_evidence else _IDLE_CHECK_INTERVAL_S
            )
            self.core.evaluate(now_s(), self._weights_versions())

    def refuse(self, incoming: IncomingRequest) -> Failure | None:
        """Return a failure if the request must not be sent to an engine.

        Now and then one request of the fleet is let through instead, to find
        out whether its segment is sound again.
        """
        if incoming.segment_keys and not self.node_state.knows_verdicts():
            return Failure(
                kind=ErrorKind.NOT_CONFIGURED,
                detail='quarantined segments not read yet',
                retry_after_s=_MIN_RETRY_AFTER_S,
            )
        withheld = self.core.withhold(
            WithheldRequest(id=incoming.attempt_id, keys=incoming.segment_keys),
            now_s=now_s(),
            weights_versions=self._weights_versions(),
            may_probe=self._may_probe,
        )
        return None if withheld is None else build_refusal(withheld)

    def end_request(self, incoming: IncomingRequest) -> None:
        """Forget a request that was let through, once its response counted."""
        request_id = incoming.attempt_id
        if request_id in self.core.probing_requests.values():
            asyncio.get_running_loop().call_later(
                _PROBE_END_DELAY_S, self.core.end_probe, request_id
            )

    def is_owner(self, key: SegmentKey) -> bool:
        """Return whether this VM acts on a segment for the fleet.

        It stores the verdict and tries the segment. All VMs that see the same
        ones agree on it.
        """
        own_name = self.node_state.settings.name
        names = self.node_state.members.live(now_s()) | {own_name}
        ranked = rank_by_rendezvous_hash(str(key), sorted(names))
        return ranked[0] == own_name

    def _may_probe(self, key: SegmentKey) -> bool:
        """Return whether this VM tries a quarantined segment.

        A VM whose configuration may be outdated tries none.
        """
        return self.node_state.is_fresh() and self.is_owner(key)

    def _record_end(self, incarnation: str, end: EngineEnd) -> None:
        self.core.record_end(incarnation, end)
        self.node_state.notify_report_changed()

    def _weights_versions(self) -> dict[str, int]:
        targets = self.node_state.catalog.targets
        return {model: target.version for model, target in targets.items()}

    def _handle_change(self, change: VerdictChange) -> None:
        log_verdict_change(change)
        self.node_state.notify_report_changed()
        verdict = change.verdict
        if verdict.is_quarantined and not verdict.probes:
            self.dispatcher.reject_queued(self.refuse)
            self.stall_detector.withdraw(change.key)
