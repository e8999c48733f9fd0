"""Notice engines that crash under prompts, and act on the verdicts."""

from arbutusbay.node.quarantine._prompt_quarantine import PromptQuarantine
from arbutusbay.node.quarantine._request_evidence import RequestEvidence
from arbutusbay.node.quarantine._verdict_recorder import VerdictRecorder

__all__ = (
    'PromptQuarantine',
    'RequestEvidence',
    'VerdictRecorder',
)
