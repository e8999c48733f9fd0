"""Decide which segments are quarantined, from the evidence of the fleet."""

import enum
import functools
from collections.abc import Callable, Iterable, Mapping

import attrs

from arbutusbay.quarantine._attribution import (
    Blame,
    SoundResponses,
    blame_of,
    find_culprits,
    is_unproven,
)
from arbutusbay.quarantine._evidence import Evidence
from arbutusbay.quarantine._reports import QuarantineReport, build_report
from arbutusbay.quarantine._types import (
    AnswerTotals,
    EngineEnd,
    SegmentKey,
    Verdict,
    model_key,
)
from arbutusbay.quarantine._verdicts import VerdictTable, next_probe_s

_SETTLE_S = 0.5
_RETRY_SCORE = 1.0


class ChangeReason(enum.StrEnum):
    """Name why a verdict changed."""

    ENGINES_ENDED = 'engines_ended'
    ANSWERED = 'answered'
    PROBE_SENT = 'probe_sent'
    PROBE_ANSWERED = 'probe_answered'
    OPERATOR = 'operator'
    REPORTED = 'reported'


@attrs.frozen(kw_only=True)
class VerdictChange:
    """Describe a new verdict; ``reporter`` is empty if it was made here."""

    key: SegmentKey
    verdict: Verdict
    reason: ChangeReason
    blame: Blame
    answers: AnswerTotals
    reporter: str = ''


@attrs.frozen(kw_only=True)
class WithheldRequest:
    """Identify a request and the segments of its prompt, in their order.

    ``id`` is empty if the client gave none; such a request is never tried.
    """

    id: str
    keys: tuple[SegmentKey, ...]


@attrs.frozen(kw_only=True)
class WithheldSegment:
    """Name the segment for which a request is refused.

    After ``retry_after_s`` seconds a request may be tried.
    """

    key: SegmentKey
    retry_after_s: float


class SegmentQuarantine:
    """Collect evidence, make verdicts and merge those of other processes.

    ``suspected_since_s`` holds the segments that will be quarantined unless
    other processes report sound responses first, ``probing_requests`` the
    request that is let through for a segment. ``announce`` is called with each
    new verdict.
    """

    def __init__(
        self, *, announce: Callable[[VerdictChange], None] | None = None
    ) -> None:
        """Start without evidence and verdicts."""
        self.evidence = Evidence()
        self.table = VerdictTable()
        self.suspected_since_s: dict[SegmentKey, float] = {}
        self.probing_requests: dict[SegmentKey, str] = {}
        self.announce = announce

    def record_answer(
        self,
        keys: Iterable[SegmentKey],
        *,
        request_id: str,
        started_s: float,
        now_s: float,
    ) -> None:
        """Record a sound response; that to a probe lifts the quarantine."""
        answered = tuple(keys)
        models = {model_key(key.model) for key in answered}
        for key in (*models, *answered):
            self.evidence.own_answers.record(key, started_s, now_s)
            if self._is_probe_of(key, request_id):
                self.lift(key, now_s, reason=ChangeReason.PROBE_ANSWERED)

    def record_end(self, incarnation: str, end: EngineEnd) -> None:
        """Record the end of an engine that this process has seen."""
        self.evidence.add_own_end(incarnation, end)

    def merge_report(
        self, reporter: str, report: QuarantineReport, now_s: float
    ) -> None:
        """Add a report of another process."""
        for incarnation, end in report.ends.items():
            self.evidence.add_end(incarnation, end)
        self.evidence.set_reported_answers(reporter, report.answers)
        for key, verdict in report.verdicts.items():
            self.merge_verdict(key, verdict, now_s, reporter=reporter)

    def merge_verdict(
        self, key: SegmentKey, verdict: Verdict, now_s: float, *, reporter: str
    ) -> None:
        """Take over a verdict from elsewhere if it is newer."""
        if self.table.merge(key, verdict, now_s):
            self._announce(
                key, verdict, ChangeReason.REPORTED, now_s, reporter=reporter
            )

    def evaluate(
        self, now_s: float, weights_versions: Mapping[str, int]
    ) -> None:
        """Make the verdicts that the evidence asks for by now.

        ``weights_versions`` holds the target version by model. A suspicion has
        to last for a moment, in which other processes can report responses.
        """
        self.evidence.drop_expired(now_s)
        self.table.drop_expired(now_s)
        self.suspected_since_s = {
            key: self.suspected_since_s.get(key, now_s)
            for key in self._culprits(now_s)
        }
        for key, since_s in tuple(self.suspected_since_s.items()):
            if now_s - since_s >= _SETTLE_S:
                self.suspected_since_s.pop(key)
                self._quarantine(key, now_s, weights_versions)
        for key in self.table.quarantined:
            if self._is_refuted(key, now_s):
                self.lift(key, now_s, reason=ChangeReason.ANSWERED)

    def find_withheld(
        self, keys: Iterable[SegmentKey], request_id: str
    ) -> SegmentKey | None:
        """Return a segment for which a request must not be sent, if any.

        Those that will be quarantined unless there is news are among them.
        """
        if not self.table.quarantined and not self.suspected_since_s:
            return None
        withheld = self.table.quarantined | self.suspected_since_s.keys()
        for key in keys:
            if key in withheld and not self._is_probe_of(key, request_id):
                return key
        return None

    def withhold(
        self,
        request: WithheldRequest,
        *,
        now_s: float,
        weights_versions: Mapping[str, int],
        may_probe: Callable[[SegmentKey], bool],
    ) -> WithheldSegment | None:
        """Return the segment for which a request must not be sent, if any.

        When one request of the fleet is due to be tried, and ``may_probe``
        is true for the process that tries the segment, it is let through.
        """
        key = self.find_withheld(request.keys, request.id)
        if key is None:
            return None
        version = weights_versions.get(key.model, 0)
        due_s = self._next_probe_s(key, version)
        is_only_one = self.table.find_quarantined(request.keys) == [key]
        if now_s < due_s or not (request.id and is_only_one and may_probe(key)):
            return WithheldSegment(key=key, retry_after_s=due_s - now_s)
        self.probing_requests[key] = request.id
        verdict = self.table.record_probe(
            key, now_s=now_s, weights_version=version
        )
        self._announce(key, verdict, ChangeReason.PROBE_SENT, now_s)
        return None

    def end_probe(self, request_id: str) -> None:
        """Forget a request that was let through and has ended."""
        self.probing_requests = {
            key: probing
            for key, probing in self.probing_requests.items()
            if probing != request_id
        }

    def lift(
        self,
        key: SegmentKey,
        now_s: float,
        *,
        reason: ChangeReason = ChangeReason.OPERATOR,
    ) -> bool:
        """Lift the quarantine of a segment; return whether there was one."""
        if key not in self.table.quarantined:
            return False
        self.probing_requests.pop(key, None)
        self._announce(key, self.table.lift(key, now_s), reason, now_s)
        return True

    def may_retry(self, keys: Iterable[SegmentKey], now_s: float) -> bool:
        """Return whether a request may be repeated whose engine has ended.

        It may not if one of its segments was at another end as well, and there
        are too few sound responses to it, nor if it is tried for a segment.
        """
        for key in keys:
            if key in self.probing_requests:
                return False
            answers = self.evidence.answers_of(key, now_s)
            blame = self._blame_of(key, now_s)
            if blame.score > _RETRY_SCORE and is_unproven(blame, answers):
                return False
        return True

    def report(self, now_s: float) -> QuarantineReport:
        """Return the report for the other processes."""
        return build_report(self.evidence, self.table, now_s)

    def _next_probe_s(self, key: SegmentKey, weights_version: int) -> float:
        """Return when a request with a withheld segment may be tried.

        Of a segment that is only suspected, that is when it is decided.
        """
        if key in self.table.quarantined:
            return next_probe_s(self.table.verdicts[key], weights_version)
        return self.suspected_since_s[key] + _SETTLE_S

    def _culprits(self, now_s: float) -> list[SegmentKey]:
        if not self.evidence.ends:
            return []
        return find_culprits(
            self.evidence.counted_ends(self.table.lifted_s),
            functools.partial(self.evidence.answers_of, now_s=now_s),
            self.table.quarantined,
        )

    def _blame_of(self, key: SegmentKey, now_s: float) -> Blame:
        return blame_of(
            key,
            self.evidence.counted_ends(self.table.lifted_s),
            SoundResponses(
                of_segment=self.evidence.answers_of(key, now_s),
                of_model=self.evidence.answers_of(model_key(key.model), now_s),
            ),
        )

    def _is_refuted(self, key: SegmentKey, now_s: float) -> bool:
        """Return whether responses to a quarantined segment went on."""
        answers = self.evidence.answers_of(key, now_s)
        if answers.latest_start_s <= self._last_end_s(key):
            return False
        return not is_unproven(self._blame_of(key, now_s), answers)

    def _last_end_s(self, key: SegmentKey) -> float:
        verdict = self.table.verdicts[key]
        return max(
            (
                end.ended_s
                for end in self.evidence.ends.values()
                if key in end.suspects
            ),
            default=verdict.changed_s,
        )

    def _quarantine(
        self,
        key: SegmentKey,
        now_s: float,
        weights_versions: Mapping[str, int],
    ) -> None:
        verdict = self.table.quarantine(
            key,
            now_s=now_s,
            weights_version=weights_versions.get(key.model, 0),
        )
        self._announce(key, verdict, ChangeReason.ENGINES_ENDED, now_s)

    def _announce(
        self,
        key: SegmentKey,
        verdict: Verdict,
        reason: ChangeReason,
        now_s: float,
        *,
        reporter: str = '',
    ) -> None:
        if self.announce is None:
            return
        self.announce(
            VerdictChange(
                key=key,
                verdict=verdict,
                reason=reason,
                blame=self._blame_of(key, now_s),
                answers=self.evidence.answers_of(key, now_s),
                reporter=reporter,
            )
        )

    def _is_probe_of(self, key: SegmentKey, request_id: str) -> bool:
        return bool(request_id) and (
            self.probing_requests.get(key) == request_id
        )
