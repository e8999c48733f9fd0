"""Collect what one request shows about its prompt."""

import asyncio

from arbutusbay.clock import now_s
from arbutusbay.engine_ends import EngineEndDetector, EngineProcess
from arbutusbay.node._attempts import AttemptFailure
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.platform import parse_endpoint
from arbutusbay.quarantine import SegmentQuarantine
from arbutusbay.scheduling import EngineView, ResponseProgress

_ENGINE_END_NOTICE_S = 0.5


class RequestEvidence:
    """Record what the attempts of one request show about its segments."""

    def __init__(
        self,
        *,
        incoming: IncomingRequest,
        engine_ends: EngineEndDetector,
        quarantine: SegmentQuarantine,
    ) -> None:
        """Record evidence on ``incoming`` in ``quarantine``."""
        self.incoming = incoming
        self.engine_ends = engine_ends
        self.quarantine = quarantine

    async def has_engine_ended(
        self, view: EngineView, failure: AttemptFailure
    ) -> bool:
        """Record a failed attempt; return whether its engine has ended.

        An engine that leaves as planned, or broke off a response that was
        under way, is no evidence against the prompt.
        """
        if not self._is_evidence(view, failure):
            return False
        return await self.engine_ends.record_break(
            _process_of(view),
            self.incoming.segment_keys,
            is_starting=failure.progress is ResponseProgress.STARTING,
        )

    async def has_server_gone(
        self, view: EngineView, failure: AttemptFailure
    ) -> bool:
        """Return whether a server has ended whose end is no evidence."""
        if not failure.is_connection_lost or self._is_evidence(view, failure):
            return False
        return await self.engine_ends.has_ended(_process_of(view))

    def may_retry(self) -> bool:
        """Return whether the request may be repeated after an engine ended."""
        return self.quarantine.may_retry(self.incoming.segment_keys, now_s())

    def may_move(self) -> bool:
        """Return whether the request may be sent to another engine now."""
        withheld = self.quarantine.find_withheld(
            self.incoming.segment_keys, self.incoming.attempt_id
        )
        return withheld is None and self.may_retry()

    def record_sound_response(
        self, view: EngineView, started_s: float, *, is_end_certain: bool
    ) -> None:
        """Record that a response which began at ``started_s`` went on.

        Unless ``is_end_certain``, it may have ended with its engine, which is
        noticed a moment later.
        """
        if is_end_certain:
            self._record_answer(started_s)
            return
        asyncio.get_running_loop().call_later(
            _ENGINE_END_NOTICE_S,
            self._record_answer_unless_ended,
            view,
            started_s,
        )

    def _is_evidence(self, view: EngineView, failure: AttemptFailure) -> bool:
        """Return whether the end of an engine speaks against the prompt."""
        return (
            self.incoming.is_model_request
            and failure.is_connection_lost
            and not view.is_departing
            and failure.progress is not ResponseProgress.UNDERWAY
        )

    def _record_answer_unless_ended(
        self, view: EngineView, started_s: float
    ) -> None:
        if _incarnation_of(view) not in self.quarantine.evidence.ends:
            self._record_answer(started_s)

    def _record_answer(self, started_s: float) -> None:
        self.quarantine.record_answer(
            self.incoming.segment_keys,
            request_id=self.incoming.attempt_id,
            started_s=started_s,
            now_s=now_s(),
        )


def _incarnation_of(view: EngineView) -> str:
    return f'{view.id}@{view.incarnation}'


def _process_of(view: EngineView) -> EngineProcess:
    endpoint = parse_endpoint(view.address)
    return EngineProcess(
        incarnation=_incarnation_of(view),
        host=endpoint.host,
        port=endpoint.port,
    )
