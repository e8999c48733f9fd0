"""Recognise requests that come back as their refusal asked them to.

A client's next attempt has another id and mostly reaches another VM. What VMs
can know is a request of the same team, method, target and shared prompt
prefix that comes in the time that was told; VMs of a zone tell each other. It
may be another client's request of the same kind: it goes first then, once for
each refusal at each VM, and the one that was refused does not.
"""

import hashlib
from collections.abc import Mapping

import attrs

MAX_REPORTED_RETURNS = 32
_MAX_RETURNS = 512
_KEY_BYTES = 5
# Clients that return come at most so much after the time they were told.
_MAX_LATENESS_S = 1.0
_MAX_EARLINESS_S = 0.05


@attrs.frozen(kw_only=True)
class ReturnWindow:
    """Expect a return between ``since_s`` and ``until_s``."""

    since_s: float
    until_s: float

    def contains(self, now_s: float) -> bool:
        """Return whether a request that comes now is in time."""
        return self.since_s <= now_s <= self.until_s


@attrs.define(kw_only=True, eq=False)
class ExpectedReturns:
    """Hold the returns that this VM and others expect.

    Keys are those of ``return_key``. ``own`` is what this VM refused,
    ``reported`` what other VMs did, by their names. ``taken_until_s`` holds the
    keys of those that have come back here, ``taken_count`` counts them.
    """

    own: dict[int, ReturnWindow] = attrs.field(factory=dict)
    reported: dict[str, Mapping[int, ReturnWindow]] = attrs.field(factory=dict)
    taken_until_s: dict[int, float] = attrs.field(factory=dict)
    taken_count: int = 0

    def expect(self, key: int, *, after_s: float, now_s: float) -> None:
        """Record that a request was refused and told to wait ``after_s``."""
        self._forget(now_s)
        if len(self.own) >= _MAX_RETURNS:
            self.own.pop(next(iter(self.own)))
        self.own.pop(key, None)
        self.own[key] = ReturnWindow(
            since_s=now_s + after_s - _MAX_EARLINESS_S,
            until_s=now_s + after_s + _MAX_LATENESS_S,
        )

    def take(self, key: int, now_s: float) -> bool:
        """Return whether a request that comes now returns as it was told.

        A further one with the same key does not.
        """
        if now_s <= self.taken_until_s.get(key, float('-inf')):
            return False
        for windows in (self.own, *self.reported.values()):
            window = windows.get(key)
            if window is not None and window.contains(now_s):
                self.taken_until_s[key] = window.until_s
                self.taken_count += 1
                self.own.pop(key, None)
                return True
        return False

    def report(self, now_s: float) -> dict[int, ReturnWindow]:
        """Return the last returns that this VM expects, for other VMs."""
        self._forget(now_s)
        newest = tuple(self.own.items())[-MAX_REPORTED_RETURNS:]
        return dict(newest)

    def record(self, sender: str, windows: Mapping[int, ReturnWindow]) -> None:
        """Replace what ``sender`` reported before."""
        if windows:
            self.reported[sender] = windows
        else:
            self.reported.pop(sender, None)

    def _forget(self, now_s: float) -> None:
        """Forget what is no longer expected."""
        self.own = {
            key: window
            for key, window in self.own.items()
            if now_s <= window.until_s
        }
        self.taken_until_s = {
            key: until_s
            for key, until_s in self.taken_until_s.items()
            if now_s <= until_s
        }


def return_key(*parts: str) -> int:
    """Return a number by which VMs recognise a request of the same kind."""
    joined = '\n'.join(parts).encode(errors='surrogatepass')
    digest = hashlib.blake2b(joined, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, 'big')
