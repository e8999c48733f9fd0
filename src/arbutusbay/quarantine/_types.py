"""Define prompt segments and the evidence and verdicts about them.

Times are seconds on the clock of this process.
"""

from collections.abc import Mapping

import attrs
import xxhash

_MAX_SEGMENT_LENGTH = 40


@attrs.frozen(kw_only=True, order=True)
class SegmentKey:
    """Identify a segment that prompts for ``model`` may share."""

    model: str
    segment: str


def segment_key(model: str, segment: str) -> SegmentKey:
    """Return the key of a segment; a long id is replaced by its hash."""
    if len(segment) > _MAX_SEGMENT_LENGTH:
        segment = f'xxh-{xxhash.xxh3_128_hexdigest(segment.encode())}'
    return SegmentKey(model=model, segment=segment)


def model_key(model: str) -> SegmentKey:
    """Return the key under which all responses of a model are counted."""
    return SegmentKey(model=model, segment='')


@attrs.frozen(kw_only=True)
class Suspect:
    """Describe a segment of a request that an engine had when it ended.

    ``depth`` is the position of the segment in the prompt, from 0.
    ``is_starting`` means that the response had just started; otherwise it had
    not, which is weaker evidence.
    """

    depth: int
    is_starting: bool


@attrs.frozen(kw_only=True)
class EngineEnd:
    """Record that an engine ended, and what it may have ended under."""

    ended_s: float
    suspects: Mapping[SegmentKey, Suspect]


@attrs.frozen(kw_only=True)
class AnswerTotals:
    """Count the recent responses to a segment that went on after their start.

    ``latest_start_s`` is when the last of them started.
    """

    count: int = 0
    latest_start_s: float = float('-inf')


@attrs.frozen(kw_only=True)
class Verdict:
    """State whether a segment is quarantined.

    ``revision`` rises with each change, so that a newer verdict replaces an
    older one wherever they meet. ``changed_s`` is when it changed.
    ``probes`` counts the requests that were let through since the quarantine
    began, to find out whether the segment still crashes engines.
    ``weights_version`` is the model's target at the change.
    """

    revision: int
    is_quarantined: bool
    changed_s: float
    probes: int = 0
    weights_version: int = 0
