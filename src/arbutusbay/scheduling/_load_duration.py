"""Estimate how long an engine takes to load new weights.

The time depends on the model and the hardware. Requests placed on an engine
that is believed to have finished, but has not, are rejected, at all VMs at once
and with a token of the retry budget each; one that waits for an engine that has
finished loses that wait. So only the least lag of a report is taken off.
"""

import attrs

_INITIAL_DURATION_S = 0.62
_REPORT_LAG_S = 0.1
_MIN_DURATION_S = 0.1
_SMOOTHING_FACTOR = 0.5


@attrs.define(kw_only=True)
class LoadDuration:
    """Hold the estimate, in seconds.

    It is a default, or that of another VM, until this VM has measured a load.
    """

    estimate_s: float = _INITIAL_DURATION_S
    is_measured: bool = False

    def record_load(self, reported_after_s: float) -> None:
        """Add a load that an engine reported as done after that time.

        Reports lag behind by a tenth of a second and more.
        """
        sample_s = max(_MIN_DURATION_S, reported_after_s - _REPORT_LAG_S)
        factor = _SMOOTHING_FACTOR if self.is_measured else 1.0
        self.estimate_s += factor * (sample_s - self.estimate_s)
        self.is_measured = True

    def adopt(self, duration_s: float) -> None:
        """Take over the estimate of the VM that runs the rollout.

        It may be a default, so it does not replace a measured one.
        """
        if not self.is_measured:
            self.estimate_s = max(_MIN_DURATION_S, duration_s)
