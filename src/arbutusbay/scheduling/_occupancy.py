"""Track the attempts in flight at one backend server, of all VMs."""

from collections.abc import Container, Iterable

import attrs

PEER_REPORT_TTL_S = 3.0
_DRAIN_STEP_S = 0.02


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """Describe an attempt in flight that this VM sent to a backend server.

    ``uncached_tokens`` is the number of prompt tokens that the engine prefills
    before the first event, after the ``queued_ahead_tokens`` of earlier
    attempts. ``kv_tokens`` occupy the engine's KV cache until the attempt
    ends. ``fetch_source`` is the address from which the engine fetches cache
    first, empty for none. ``has_first_event`` is set when the first event
    arrives.
    """

    sent_s: float
    uncached_tokens: int = 0
    queued_ahead_tokens: int = 0
    kv_tokens: int = 0
    fetch_source: str = ''
    has_first_event: bool = False


@attrs.frozen(kw_only=True)
class Occupancy:
    """Total the attempts in flight at one engine.

    ``uncached_tokens`` counts only attempts without a first event.
    """

    attempts: int = 0
    uncached_tokens: int = 0
    kv_tokens: int = 0


@attrs.frozen(kw_only=True)
class ReportedOccupancy:
    """Hold the occupancy that a VM or zone reported, and when it arrived."""

    occupancy: Occupancy
    received_at_s: float


@attrs.define(kw_only=True, eq=False)
class OccupancyTracker:
    """Add up the attempts of this VM and those that other VMs report.

    ``open_attempts`` holds this VM's attempts in flight, ``reports_by_sender``
    the reports of each other VM or zone. ``known_total`` is the last total,
    None after a change. Prompt tokens that others reported are taken to be
    prefilled at ``drain_tokens_per_s`` since: their next reports come later
    than the engine is done. 0 means that reports come soon enough.
    """

    open_attempts: set[Attempt] = attrs.field(factory=set)
    reports_by_sender: dict[str, ReportedOccupancy] = attrs.field(factory=dict)
    known_total: Occupancy | None = None
    known_total_expires_s: float = float('-inf')
    drain_tokens_per_s: float = 0.0

    def open_attempt(self, attempt: Attempt) -> None:
        """Count an attempt of this VM as in flight."""
        self.open_attempts.add(attempt)
        self.known_total = None

    def close_attempt(self, attempt: Attempt) -> None:
        """Stop counting an attempt of this VM."""
        self.open_attempts.discard(attempt)
        self.known_total = None

    def record_first_event(self, attempt: Attempt) -> None:
        """Record that the engine has prefilled the prompt of an attempt."""
        attempt.has_first_event = True
        self.known_total = None

    def record_report(
        self, sender: str, occupancy: Occupancy | None, now_s: float
    ) -> None:
        """Replace the occupancy that ``sender`` reported, None for none."""
        self.known_total = None
        if occupancy is None:
            self.reports_by_sender.pop(sender, None)
            return
        self.reports_by_sender[sender] = ReportedOccupancy(
            occupancy=occupancy, received_at_s=now_s
        )

    def local_total(self) -> Occupancy:
        """Return the total of this VM's attempts in flight."""
        return Occupancy(
            attempts=len(self.open_attempts),
            uncached_tokens=sum(
                attempt.uncached_tokens
                for attempt in self.open_attempts
                if not attempt.has_first_event
            ),
            kv_tokens=sum(attempt.kv_tokens for attempt in self.open_attempts),
        )

    def total(self, now_s: float) -> Occupancy:
        """Return the total of this VM and of all recent peer reports.

        The total is kept until an attempt, a report or the age of a report
        changes it, because a placement compares all engines.
        """
        known = self.known_total
        if known is None or now_s >= self.known_total_expires_s:
            reported = self.total_of(self.reports_by_sender, now_s)
            known = attrs.evolve(
                reported,
                uncached_tokens=reported.uncached_tokens
                - self._drained_tokens(now_s),
            )
            self.known_total = known
            self.known_total_expires_s = self._next_report_expiry_s(now_s)
            if known.uncached_tokens and self.drain_tokens_per_s:
                self.known_total_expires_s = now_s + _DRAIN_STEP_S
        return known

    def total_of(self, names: Container[str], now_s: float) -> Occupancy:
        """Return the total of this VM and of the peer reports from ``names``.

        Reports older than ``PEER_REPORT_TTL_S`` do not count.
        """
        return sum_occupancies(
            [
                self.local_total(),
                *(
                    report.occupancy
                    for name, report in self.reports_by_sender.items()
                    if name in names
                    and now_s - report.received_at_s < PEER_REPORT_TTL_S
                ),
            ],
        )

    def _drained_tokens(self, now_s: float) -> int:
        """Return how many reported tokens the engine has prefilled since.

        It does all of them in turn, so each report has its part in that.
        """
        if not self.drain_tokens_per_s:
            return 0
        reports = [
            report
            for report in self.reports_by_sender.values()
            if now_s - report.received_at_s < PEER_REPORT_TTL_S
            and report.occupancy.uncached_tokens
        ]
        tokens = sum(report.occupancy.uncached_tokens for report in reports)
        return int(
            sum(
                report.occupancy.uncached_tokens
                * min(
                    1.0,
                    (now_s - report.received_at_s)
                    * self.drain_tokens_per_s
                    / tokens,
                )
                for report in reports
            )
        )

    def _next_report_expiry_s(self, now_s: float) -> float:
        return min(
            (
                report.received_at_s + PEER_REPORT_TTL_S
                for report in self.reports_by_sender.values()
                if now_s - report.received_at_s < PEER_REPORT_TTL_S
            ),
            default=float('inf'),
        )


def sum_occupancies(parts: Iterable[Occupancy]) -> Occupancy:
    """Return the total of ``parts``."""
    occupancies = list(parts)
    return Occupancy(
        attempts=sum(part.attempts for part in occupancies),
        uncached_tokens=sum(part.uncached_tokens for part in occupancies),
        kv_tokens=sum(part.kv_tokens for part in occupancies),
    )
