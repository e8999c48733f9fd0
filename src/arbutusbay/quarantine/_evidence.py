"""Keep the recent evidence of this process and of the other ones."""

from collections.abc import Callable, Mapping

import attrs

from arbutusbay.quarantine._answer_history import AnswerHistory
from arbutusbay.quarantine._attribution import merge_suspects
from arbutusbay.quarantine._types import AnswerTotals, EngineEnd, SegmentKey

_EVIDENCE_TTL_S = 60.0
_MAX_ENDS = 64
_MAX_ANSWERS_PER_REPORTER = 64


class Evidence:
    """Hold the recent ends of engines and the sound responses.

    ``ends`` and ``own_ends`` are keyed by the incarnation of the engine; the
    latter holds what this process itself has seen. ``answers_by_reporter``
    holds the responses that each other process last reported.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self.own_answers = AnswerHistory()
        self.own_ends: dict[str, EngineEnd] = {}
        self.ends: dict[str, EngineEnd] = {}
        self.answers_by_reporter: dict[
            str, Mapping[SegmentKey, AnswerTotals]
        ] = {}

    def add_own_end(self, incarnation: str, end: EngineEnd) -> None:
        """Add the end of an engine that this process has seen."""
        known = self.own_ends.get(incarnation)
        self.own_ends[incarnation] = _merge_ends(known, end)
        self.add_end(incarnation, end)

    def add_end(self, incarnation: str, end: EngineEnd) -> None:
        """Add the end of an engine."""
        known = self.ends.get(incarnation)
        self.ends[incarnation] = _merge_ends(known, end)
        _drop_oldest(self.ends)
        _drop_oldest(self.own_ends)

    def set_reported_answers(
        self, reporter: str, answers: Mapping[SegmentKey, AnswerTotals]
    ) -> None:
        """Update the responses that another process reported before.

        It reports only some of them at a time.
        """
        if not answers or not self.ends:
            return
        known = self.answers_by_reporter.get(reporter, {})
        recent = {**known, **answers}
        names = tuple(recent)[-_MAX_ANSWERS_PER_REPORTER:]
        self.answers_by_reporter[reporter] = {key: recent[key] for key in names}

    def drop_expired(self, now_s: float) -> None:
        """Forget ends that are too old to count."""
        for ends in (self.ends, self.own_ends):
            expired = [
                incarnation
                for incarnation, end in ends.items()
                if now_s - end.ended_s > _EVIDENCE_TTL_S
            ]
            for incarnation in expired:
                ends.pop(incarnation)
        if not self.ends:
            self.answers_by_reporter.clear()

    def counted_ends(
        self, lifted_s: Callable[[SegmentKey], float]
    ) -> list[EngineEnd]:
        """Return the ends without the segments that were cleared since.

        ``lifted_s`` is when the quarantine of a segment was last lifted.
        """
        return [
            attrs.evolve(
                end,
                suspects={
                    key: suspect
                    for key, suspect in end.suspects.items()
                    if end.ended_s > lifted_s(key)
                },
            )
            for end in self.ends.values()
        ]

    def latest_end_s(self) -> float:
        """Return when the last engine ended, minus infinity if none did."""
        return max(
            (end.ended_s for end in self.ends.values()), default=float('-inf')
        )

    def suspects(self) -> set[SegmentKey]:
        """Return the segments that any recent end of an engine names."""
        return {key for end in self.ends.values() for key in end.suspects}

    def answers_of(self, key: SegmentKey, now_s: float) -> AnswerTotals:
        """Return the recent sound responses of all processes."""
        known = [
            self.own_answers.totals_of(key, now_s),
            *(
                reported[key]
                for reported in self.answers_by_reporter.values()
                if key in reported
            ),
        ]
        return AnswerTotals(
            count=sum(totals.count for totals in known),
            latest_start_s=max(totals.latest_start_s for totals in known),
        )


def _merge_ends(known: EngineEnd | None, added: EngineEnd) -> EngineEnd:
    if known is None:
        return added
    return attrs.evolve(
        known,
        ended_s=min(known.ended_s, added.ended_s),
        suspects=merge_suspects(known.suspects, added.suspects),
    )


def _drop_oldest(ends: dict[str, EngineEnd]) -> None:
    if len(ends) <= _MAX_ENDS:
        return
    by_age = sorted(ends, key=lambda name: ends[name].ended_s)
    for name in by_age[:-_MAX_ENDS]:
        ends.pop(name)
