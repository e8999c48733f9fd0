"""Define the Prometheus metrics of the rate limits."""

from aioprometheus import Counter, Gauge

from arbutusbay.quota import Decision, Granted


class QuotaMetrics:
    """Hold the metrics of the rate limits of this process.

    ``decisions`` and ``granted_cost`` count what this VM decided as an owner,
    the others what it asked for.
    """

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.decisions = Counter(
            'arbutusbay_quota_decisions_total',
            'Requests decided on here as the owner, by team and outcome.',
        )
        self.granted_cost = Counter(
            'arbutusbay_quota_granted_cost_total',
            'Tokens or requests granted here as the owner, by team.',
        )
        self.asked = Counter(
            'arbutusbay_quota_asked_total',
            'Requests of this VM that were within a limit or not, by team.',
        )
        self.given_back = Counter(
            'arbutusbay_quota_given_back_total',
            'Grants returned because the request was not executed, by team.',
        )
        self.unanswered = Counter(
            'arbutusbay_quota_unanswered_total',
            'Calls to the owner of limits without a reply.',
        )
        self.owner_changes = Counter(
            'arbutusbay_quota_owner_changes_total',
            'Changes of the VM that this one takes for the owner of limits.',
        )
        self.lent_share = Gauge(
            'arbutusbay_quota_lent_share',
            'Part of the fleet that lends its share to this VM, by partition.',
        )

    def record_decision(
        self, team: str, decision: Decision, cost: float
    ) -> None:
        """Count what this VM decided as the owner."""
        is_granted = isinstance(decision, Granted)
        outcome = 'granted' if is_granted else 'refused'
        self.decisions.inc({'team': team, 'outcome': outcome})
        if is_granted:
            self.granted_cost.add({'team': team}, cost)
