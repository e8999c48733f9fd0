"""Attribute the ends of engines to segments of the prompts they had.

A segment that crashes engines is there at each of these ends, but so are the
sound ones that all requests share. Two things distinguish them: responses to
sound segments go on, and an end that one segment explains speaks against no
other one.
"""

from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from arbutusbay.quarantine._types import (
    AnswerTotals,
    EngineEnd,
    SegmentKey,
    Suspect,
    model_key,
)

_STARTING_WEIGHT = 1.0
_NOT_STARTED_WEIGHT = 0.5
_SIMULTANEOUS_S = 0.025
_MIN_SCORE = 3.0
_MIN_SCORE_SINCE_ANSWER = 4.0
_MIN_SPREAD_S = 0.3
_MIN_UNBROKEN_SCORE = 5.0
_MIN_UNBROKEN_SPREAD_S = 0.3
_MIN_UNBROKEN_SHARE = 0.9

AnswerLookup = Callable[[SegmentKey], AnswerTotals]


@attrs.frozen(kw_only=True)
class Incident:
    """Join the engines that ended at nearly the same moment.

    One crashing request ends one engine, so the simultaneous end of many has
    another cause. ``weights`` holds the evidence against each segment, averaged
    over these engines, ``depths`` the positions of the segments in prompts.
    """

    started_s: float
    weights: Mapping[SegmentKey, float]
    depths: Mapping[SegmentKey, int]


@attrs.frozen(kw_only=True)
class Blame:
    """Sum up what speaks against a segment.

    ``score`` counts the ends under it, those under requests whose responses
    had not started by half. ``recent_score`` counts only the ends since its
    last sound response that were followed by a response to another prompt of
    its model; these range over ``recent_spread_s`` seconds. ``unbroken_score``
    counts the ends since its last response if nearly all ends since then were
    under it, and ``unbroken_spread_s`` is over how many seconds.
    """

    score: float = 0.0
    recent_score: float = 0.0
    recent_spread_s: float = 0.0
    unbroken_score: float = 0.0
    unbroken_spread_s: float = 0.0


@attrs.frozen(kw_only=True)
class SoundResponses:
    """Hold the recent responses to a segment and to all of its model."""

    of_segment: AnswerTotals = attrs.field(factory=AnswerTotals)
    of_model: AnswerTotals = attrs.field(factory=AnswerTotals)


def find_culprits(
    ends: Collection[EngineEnd],
    answers_of: AnswerLookup,
    known_culprits: Collection[SegmentKey] = (),
) -> list[SegmentKey]:
    """Return further segments that engines ended under, the worst first.

    Each end is explained by one of ``known_culprits``, or by the worst segment
    that it had, and does not count against others.
    """
    incidents = _join_simultaneous(ends)
    for known in known_culprits:
        incidents = _unexplained_by(known, incidents)
    culprits: list[SegmentKey] = []
    while True:
        culprit = _worst_culprit(incidents, answers_of)
        if culprit is None:
            return culprits
        culprits.append(culprit)
        incidents = _unexplained_by(culprit, incidents)


def _unexplained_by(
    culprit: SegmentKey, incidents: Sequence[Incident]
) -> list[Incident]:
    return [
        incident for incident in incidents if culprit not in incident.weights
    ]


def _worst_culprit(
    incidents: Sequence[Incident], answers_of: AnswerLookup
) -> SegmentKey | None:
    """Return the segment with the most evidence against it, if enough.

    Of equals the deeper one is worse, since fewer requests share it.
    """
    ranked = []
    for key in _suspected_keys(incidents):
        responses = SoundResponses(
            of_segment=answers_of(key),
            of_model=answers_of(model_key(key.model)),
        )
        blame = _blame(key, incidents, responses)
        if _is_culprit(blame, responses):
            depth = max(incident.depths.get(key, 0) for incident in incidents)
            ranked.append(
                (blame.score, -responses.of_segment.count, depth, key)
            )
    return max(ranked)[-1] if ranked else None


def blame_of(
    key: SegmentKey, ends: Collection[EngineEnd], responses: SoundResponses
) -> Blame:
    """Return what speaks against a segment, whatever explains the ends."""
    return _blame(key, _join_simultaneous(ends), responses)


def is_unproven(blame: Blame, answers: AnswerTotals) -> bool:
    """Return whether engines ended under a segment that had no response."""
    return blame.score > 0 and not answers.count


def _is_culprit(blame: Blame, responses: SoundResponses) -> bool:
    """Return whether the evidence suffices for a quarantine.

    A segment that was sound before may have turned bad. So many ends without
    any response to it since count as well, if other prompts had responses
    meanwhile. Without these there may have been no engine, and then only a
    series of ends that are all under the segment counts.
    """
    if blame.score >= _MIN_SCORE and not responses.of_segment.count:
        return True
    return (
        blame.recent_score >= _MIN_SCORE_SINCE_ANSWER
        and blame.recent_spread_s >= _MIN_SPREAD_S
    ) or (
        blame.unbroken_score >= _MIN_UNBROKEN_SCORE
        and blame.unbroken_spread_s >= _MIN_UNBROKEN_SPREAD_S
    )


def merge_suspects(
    known: Mapping[SegmentKey, Suspect],
    added: Mapping[SegmentKey, Suspect],
) -> dict[SegmentKey, Suspect]:
    """Join the suspects of an end, keeping the stronger evidence for each."""
    merged = dict(known)
    for key, suspect in added.items():
        previous = merged.get(key)
        if previous is None or suspect.is_starting > previous.is_starting:
            merged[key] = suspect
    return merged


def _join_simultaneous(ends: Collection[EngineEnd]) -> list[Incident]:
    groups: list[list[EngineEnd]] = []
    for end in sorted(ends, key=lambda known: known.ended_s):
        if groups and end.ended_s - groups[-1][0].ended_s <= _SIMULTANEOUS_S:
            groups[-1].append(end)
        else:
            groups.append([end])
    return [_incident_of(group) for group in groups]


def _suspected_keys(incidents: Sequence[Incident]) -> set[SegmentKey]:
    return {key for incident in incidents for key in incident.weights}


def _incident_of(ends: Sequence[EngineEnd]) -> Incident:
    weights: dict[SegmentKey, float] = {}
    depths: dict[SegmentKey, int] = {}
    for end in ends:
        for key, suspect in end.suspects.items():
            share = _weight(suspect) / len(ends)
            weights[key] = weights.get(key, 0) + share
            depths[key] = max(suspect.depth, depths.get(key, 0))
    return Incident(started_s=ends[0].ended_s, weights=weights, depths=depths)


def _weight(suspect: Suspect) -> float:
    return _STARTING_WEIGHT if suspect.is_starting else _NOT_STARTED_WEIGHT


def _blame(
    key: SegmentKey, incidents: Sequence[Incident], responses: SoundResponses
) -> Blame:
    blaming = [incident for incident in incidents if key in incident.weights]
    from_s = responses.of_segment.latest_start_s
    since = [incident for incident in blaming if incident.started_s > from_s]
    recent = [
        incident
        for incident in since
        if incident.started_s < responses.of_model.latest_start_s
    ]
    all_since = [
        incident for incident in incidents if incident.started_s > from_s
    ]
    is_unbroken = len(since) >= _MIN_UNBROKEN_SHARE * len(all_since)
    return Blame(
        score=_score(key, blaming),
        recent_score=_score(key, recent),
        recent_spread_s=_spread_s(recent),
        unbroken_score=_score(key, since) if is_unbroken else 0.0,
        unbroken_spread_s=_spread_s(since) if is_unbroken else 0.0,
    )


def _spread_s(incidents: Sequence[Incident]) -> float:
    if not incidents:
        return 0.0
    return incidents[-1].started_s - incidents[0].started_s


def _score(key: SegmentKey, incidents: Sequence[Incident]) -> float:
    return sum(incident.weights[key] for incident in incidents)
