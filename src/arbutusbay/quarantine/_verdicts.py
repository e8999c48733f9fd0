"""Hold the verdicts that the processes of a fleet spread among each other."""

from collections.abc import Iterable

import attrs

from arbutusbay.quarantine._types import SegmentKey, Verdict

_FIRST_PROBE_DELAY_S = 30.0
_PROBE_DELAY_FACTOR = 3
_MAX_PROBE_DELAY_S = 3600.0
_NEW_WEIGHTS_PROBE_DELAY_S = 60.0
_VERDICT_TTL_S = 7200.0
_MAX_VERDICTS = 64


def is_newer_verdict(verdict: Verdict, known: Verdict | None) -> bool:
    """Return whether ``verdict`` replaces ``known``.

    Of two changes made at the same time without knowledge of each other, the
    one that keeps the segment from the engines is newer.
    """
    return known is None or _rank(verdict) > _rank(known)


def _rank(verdict: Verdict) -> tuple[int, bool, int]:
    return verdict.revision, verdict.is_quarantined, verdict.probes


def next_probe_s(verdict: Verdict, weights_version: int) -> float:
    """Return when a request with a quarantined segment may be tried next.

    The delay grows with each one that was tried in vain. New weights of the
    model are a reason to try earlier.
    """
    delay_s = min(
        _MAX_PROBE_DELAY_S,
        _FIRST_PROBE_DELAY_S * _PROBE_DELAY_FACTOR**verdict.probes,
    )
    if weights_version > verdict.weights_version:
        delay_s = min(delay_s, _NEW_WEIGHTS_PROBE_DELAY_S)
    return verdict.changed_s + delay_s


class VerdictTable:
    """Hold a bounded number of verdicts by segment.

    A verdict that a segment is sound again is kept as long as one that it is
    not, so that no process which missed it brings the older one back.
    """

    def __init__(self) -> None:
        """Start without verdicts."""
        self.verdicts: dict[SegmentKey, Verdict] = {}
        self.quarantined: frozenset[SegmentKey] = frozenset()

    def merge(self, key: SegmentKey, verdict: Verdict, now_s: float) -> bool:
        """Take over a verdict if it is newer; return whether it was."""
        is_expired = now_s - verdict.changed_s > _VERDICT_TTL_S
        if is_expired or not is_newer_verdict(verdict, self.verdicts.get(key)):
            return False
        self.verdicts[key] = verdict
        self._drop_excess()
        self._update_quarantined()
        return True

    def quarantine(
        self, key: SegmentKey, *, now_s: float, weights_version: int
    ) -> Verdict:
        """Quarantine a segment."""
        verdict = Verdict(
            revision=self._next_revision(key),
            is_quarantined=True,
            changed_s=now_s,
            weights_version=weights_version,
        )
        self.merge(key, verdict, now_s)
        return verdict

    def record_probe(
        self, key: SegmentKey, *, now_s: float, weights_version: int
    ) -> Verdict:
        """Record that a request with a quarantined segment is tried."""
        verdict = attrs.evolve(
            self.verdicts[key],
            revision=self._next_revision(key),
            changed_s=now_s,
            probes=self.verdicts[key].probes + 1,
            weights_version=weights_version,
        )
        self.merge(key, verdict, now_s)
        return verdict

    def lift(self, key: SegmentKey, now_s: float) -> Verdict:
        """Lift the quarantine of a segment."""
        verdict = attrs.evolve(
            self.verdicts[key],
            revision=self._next_revision(key),
            is_quarantined=False,
            changed_s=now_s,
            probes=0,
        )
        self.merge(key, verdict, now_s)
        return verdict

    def find_quarantined(self, keys: Iterable[SegmentKey]) -> list[SegmentKey]:
        """Return those of ``keys`` that are quarantined."""
        if not self.quarantined:
            return []
        return [key for key in keys if key in self.quarantined]

    def lifted_s(self, key: SegmentKey) -> float:
        """Return when the quarantine of a segment was last lifted."""
        verdict = self.verdicts.get(key)
        if verdict is None or verdict.is_quarantined:
            return float('-inf')
        return verdict.changed_s

    def drop_expired(self, now_s: float) -> None:
        """Forget verdicts that have not changed for long."""
        expired = [
            key
            for key, verdict in self.verdicts.items()
            if now_s - verdict.changed_s > _VERDICT_TTL_S
        ]
        for key in expired:
            self.verdicts.pop(key)
        if expired:
            self._update_quarantined()

    def _next_revision(self, key: SegmentKey) -> int:
        known = self.verdicts.get(key)
        return 1 if known is None else known.revision + 1

    def _drop_excess(self) -> None:
        """Drop lifted quarantines first, then those that changed first."""
        by_importance = sorted(
            self.verdicts.items(),
            key=lambda entry: (entry[1].is_quarantined, entry[1].changed_s),
        )
        for key, _ in by_importance[:-_MAX_VERDICTS]:
            self.verdicts.pop(key)

    def _update_quarantined(self) -> None:
        self.quarantined = frozenset(
            key
            for key, verdict in self.verdicts.items()
            if verdict.is_quarantined
        )
