"""Find prompt segments that crash engines, and keep them from the engines.

Everything here is free of I/O: evidence goes in, verdicts come out.
"""

from arbutusbay.quarantine._attribution import (
    find_culprits,
)
from arbutusbay.quarantine._quarantine import (
    SegmentQuarantine,
    VerdictChange,
    WithheldRequest,
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
from arbutusbay.quarantine._verdicts import is_newer_verdict

__all__ = (
    'AnswerTotals',
    'EngineEnd',
    'QuarantineReport',
    'SegmentKey',
    'SegmentQuarantine',
    'SharedEvidence',
    'Suspect',
    'Verdict',
    'VerdictChange',
    'WithheldRequest',
    'build_refusal',
    'find_culprits',
    'is_newer_verdict',
    'segment_key',
)
