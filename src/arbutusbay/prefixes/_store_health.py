"""Decide which stores of KV cache are left out because they don't answer.

An engine that fetches from a dead store waits before it reads the prompt, so
first events come late. Other things delay them too: the VM that sees such a
delay therefore calls the store. Without an answer to two calls it leaves the
store out, and so do the VMs that hear this of two others: one alone may be cut
off. The VMs that found it dead call it from time to time, so no request is
spent on trying it.
"""

from collections.abc import Collection, Iterable

import attrs

# A dead source costs a fetch more than this, a live one much less.
_SUSPICIOUS_DELAY_S = 0.2
_USUAL_DELAY_S = 0.1
_MIN_TOKENS = 1000
# An old best case says little of the engines of today.
_TOKEN_TIME_GROWTH = 1.02
# A store that has just served a fetch isn't called.
_VOUCHED_S = 0.5
_MIN_CHECK_INTERVAL_S = 1.0
# Where first events are late for other reasons, calls become rare.
_MAX_CHECK_INTERVAL_S = 8.0
_FAILURES_TO_LEAVE_OUT = 2
_RETRY_INTERVAL_S = 0.5
# Without new reports the store is used again; a VM sends one a second, or two
# if one gets lost.
_REPORT_TTL_S = 2.2
_REPORTERS_TO_LEAVE_OUT = 2
_MAX_REPORTERS = 8
MAX_REPORTED_STORES = 16


@attrs.define(kw_only=True)
class _Store:
    """Hold what this VM knows of one store.

    ``failures`` counts the calls without an answer since the last answer.
    A suspected store is called ``check_interval_s`` after the last call.
    ``reporters`` are VMs that found it dead, and when they last said so.
    """

    served_s: float = float('-inf')
    checked_s: float = float('-inf')
    reporters: dict[str, float] = attrs.field(factory=dict)
    check_interval_s: float = _MIN_CHECK_INTERVAL_S
    failures: int = 0
    is_suspected: bool = False
    is_being_checked: bool = False

    @property
    def was_found_dead(self) -> bool:
        """Return whether this VM itself called in vain often enough."""
        return self.failures >= _FAILURES_TO_LEAVE_OUT

    def is_left_out(self, now_s: float) -> bool:
        """Return whether no request should name the store."""
        if self.was_found_dead:
            return True
        recent = (
            reported_s
            for reported_s in self.reporters.values()
            if now_s - reported_s < _REPORT_TTL_S
        )
        return sum(1 for _ in recent) >= _REPORTERS_TO_LEAVE_OUT

    def is_check_due(self, now_s: float) -> bool:
        """Return whether the store should be called now."""
        elapsed_s = now_s - self.checked_s
        if self.is_being_checked:
            return False
        if self.was_found_dead:
            return elapsed_s >= _RETRY_INTERVAL_S
        if self.is_left_out(now_s):
            return False
        return bool(self.failures) or (
            self.is_suspected and elapsed_s >= self.check_interval_s
        )


class StoreHealth:
    """Follow the stores that the configuration names."""

    def __init__(self) -> None:
        """Start without stores, all of which are taken for sound.

        ``token_s`` is how long a token takes where nothing else delays it.
        """
        self.stores: dict[str, _Store] = {}
        self.token_s = float('inf')

    def follow(self, addresses: Collection[str]) -> None:
        """Know these stores and no others."""
        if self.stores.keys() == set(addresses):
            return
        self.stores = {
            address: self.stores.get(address, _Store()) for address in addresses
        }

    def record_fetch(
        self, address: str, *, tokens: int, took_s: float, now_s: float
    ) -> None:
        """Record after what time a first event came behind a fetch.

        ``tokens`` were expected to be read until then.
        """
        store = self.stores.get(address)
        if store is None:
            return
        delay_s = self._delay_s(max(tokens, _MIN_TOKENS), took_s)
        if delay_s < _USUAL_DELAY_S:
            store.served_s = now_s
            store.is_suspected = False
            store.check_interval_s = _MIN_CHECK_INTERVAL_S
        elif delay_s > _SUSPICIOUS_DELAY_S:
            store.is_suspected = now_s - store.served_s > _VOUCHED_S

    def due_checks(self, now_s: float) -> list[str]:
        """Return the stores to call now; record that they are called."""
        due = [
            address
            for address, store in self.stores.items()
            if store.is_check_due(now_s)
        ]
        for address in due:
            self.stores[address].checked_s = now_s
            self.stores[address].is_being_checked = True
        return due

    def record_check(self, address: str, *, has_answered: bool) -> None:
        """Record how a call ended."""
        store = self.stores.get(address)
        if store is None:
            return
        store.is_suspected = False
        store.is_being_checked = False
        if not has_answered:
            store.failures += 1
            return
        store.failures = 0
        store.reporters.clear()
        store.check_interval_s = min(
            _MAX_CHECK_INTERVAL_S, 2 * store.check_interval_s
        )

    def drop_check(self, address: str) -> None:
        """Record that a call ended in a way that says nothing."""
        store = self.stores.get(address)
        if store is not None:
            store.is_being_checked = False

    def merge(
        self, sender: str, addresses: Iterable[str], now_s: float
    ) -> None:
        """Record the stores that another VM found dead."""
        for address in addresses:
            store = self.stores.get(address)
            if store is None:
                continue
            store.reporters.pop(sender, None)
            store.reporters[sender] = now_s
            if len(store.reporters) > _MAX_REPORTERS:
                store.reporters.pop(next(iter(store.reporters)))

    def found_dead(self) -> tuple[str, ...]:
        """Return the stores that this VM itself found dead, to report them."""
        dead = (
            address
            for address, store in self.stores.items()
            if store.was_found_dead
        )
        return tuple(dead)[:MAX_REPORTED_STORES]

    def left_out(self, now_s: float) -> frozenset[str]:
        """Return the stores that no request should name."""
        return frozenset(
            address
            for address, store in self.stores.items()
            if store.is_left_out(now_s)
        )

    def _delay_s(self, tokens: int, took_s: float) -> float:
        """Return how much longer than in the best case a first event took.

        The mean is no measure: it follows an overload, and a dead store too.
        """
        self.token_s = min(took_s / tokens, self.token_s * _TOKEN_TIME_GROWTH)
        return took_s - tokens * self.token_s
