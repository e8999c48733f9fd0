"""Find prompt segments that crash engines, and keep them from the engines.

Everything here is free of I/O: evidence goes in, verdicts come out.
"""

from arbutusbay.quarantine._answer_history import AnswerHistory
from arbutusbay.quarantine._attribution import (
    Blame,
    SoundResponses,
    blame_of,
    find_culprits,
    is_unproven,
)
from arbutusbay.quarantine._evidence import Evidence
from arbutusbay.quarantine._quarantine import (
    ChangeReason,
    SegmentQuarantine,
    VerdictChange,
    WithheldRequest,
    WithheldSegment,
)
from arbutusbay.quarantine._refusal import build_refusal
from arbutusbay.quarantine._reports import QuarantineReport
from arbutusbay.quarantine._shared_evidence import SharedEvidence
from arbutusbay.quarantine._types import (
    AnswerTotals,
    EngineEnd,
    SegmentKey,
    Suspect,
    Verdict,
    segment_key,
)
from arbutusbay.quarantine._verdicts import VerdictTable, is_newer_verdict

__all__ = (
    'AnswerHistory',
    'AnswerTotals',
    'Blame',
    'EngineEnd',
    'ChangeReason',
    'Evidence',
    'QuarantineReport',
    'SegmentKey',
    'SegmentQuarantine',
    'SharedEvidence',
    'SoundResponses',
    'Suspect',
    'Verdict',
    'VerdictChange',
    'VerdictTable',
    'WithheldRequest',
    'WithheldSegment',
    'build_refusal',
    'blame_of',
    'find_culprits',
    'is_newer_verdict',
    'is_unproven',
    'segment_key',
)
