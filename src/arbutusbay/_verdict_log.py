"""Log changes of the verdicts about prompt segments."""

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.logs import get_logger
from arbutusbay.quarantine import VerdictChange

_LOG = get_logger('quarantine')


def log_verdict_change(change: VerdictChange) -> None:
    """Log one line with the verdict and the evidence for it."""
    verdict = change.verdict
    _LOG.warning(
        'segment quarantined'
        if verdict.is_quarantined
        else 'quarantine lifted',
        fields={
            'model': change.key.model,
            'segment': change.key.segment,
            'reason': change.reason.value,
            'reported_by': change.reporter,
            'revision': verdict.revision,
            'age_ms': milliseconds(now_s() - verdict.changed_s),
            'probes': verdict.probes,
            'ends': change.blame.score,
            'answers': change.answers.count,
        },
    )
