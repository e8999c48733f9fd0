"""Leave free places for requests at other VMs that go before the own ones.

Another VM learns of a free place by the next report. Until then the place is
empty, so a VM leaves one for a moment only, and all VMs together leave about
as many as the requests need that go before.
"""

import math

import attrs

from arbutusbay.fairness._waiting_elsewhere import WaitingElsewhere

# Long enough for the report of a free place and a turn of its receiver.
_HOLD_S = 0.25
_MEMORY_S = 2.0
_MIN_STARTS_IN_HOLD = 0.25


@attrs.frozen(kw_only=True)
class PlaceOffer:
    """Describe a free place that a request of ``rank`` at this VM fits.

    This VM is one of ``vms`` that take places.
    """

    rank: int
    vms: int


@attrs.define(kw_only=True, eq=False)
class LeftPlaces:
    """Decide whether a VM leaves the places that come free to others.

    It does so until ``until_s``. After that it ``owes_start`` to a request of
    its own, so that these go on to start whatever waits elsewhere. ``starts``
    counts the requests that it placed lately, which fade, as of ``updated_s``;
    ``left_count`` counts all the places left.
    """

    elsewhere: WaitingElsewhere
    until_s: float = float('-inf')
    owes_start: bool = False
    starts: float = 0.0
    left_count: int = 0
    updated_s: float = float('-inf')

    def leaves_place(
        self, offer: PlaceOffer, now_s: float, draw: float
    ) -> bool:
        """Return whether to leave the offered place to others.

        ``draw`` is random, from 0 up to 1.
        """
        needed = self.elsewhere.count_before(offer.rank, now_s)
        if not needed:
            return False
        if now_s < self.until_s:
            return True
        if self.owes_start:
            return False
        own_part = needed / max(1, offer.vms)
        if draw >= own_part / self._starts_in_hold(now_s):
            return False
        self.until_s = now_s + _HOLD_S
        self.owes_start = True
        self.left_count += 1
        return True

    def record_start(self, now_s: float) -> None:
        """Record that a request of this VM was placed."""
        self._fade(now_s)
        self.starts += 1
        self.owes_start = False

    def _starts_in_hold(self, now_s: float) -> float:
        """Return how many requests this VM starts in the time of a hold."""
        self._fade(now_s)
        return max(_MIN_STARTS_IN_HOLD, self.starts * _HOLD_S / _MEMORY_S)

    def _fade(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.starts *= math.exp(-elapsed_s / _MEMORY_S)
        self.updated_s = max(now_s, self.updated_s)
