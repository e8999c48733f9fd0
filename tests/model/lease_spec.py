"""Model the lease: at most one process believes to hold it at a time.

Appends take effect after a delay and carry the log's time. A holder
therefore counts the term of its lease from before the append. The model
uses the fold function of the product.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.state import Lease, LeaseRecord, apply_lease_record
from tests.model.spec import build_protocol

_TTL_TICKS = 3
_END_TICK = 7
_HOLDERS = ('a', 'b')


class DroppedRule(enum.StrEnum):
    """List the rules of the protocol that the model can drop."""

    NONE = 'none'
    TERM_FROM_ANSWER = 'a holder counts its term from the response'
    TAKE_UNEXPIRED = 'a lease is acquired before the last one expired'


@attrs.frozen(kw_only=True, cache_hash=True)
class Holder:
    """Hold the state of one node.

    ``asked_at`` is the time of its pending request, ``is_in_log`` means that
    the request is in the log, and ``valid_until`` is the time until which
    the node believes to hold the lease.
    """

    asked_at: int | None = None
    is_in_log: bool = False
    valid_until: int = 0


@attrs.frozen(kw_only=True, cache_hash=True)
class SystemState:
    """Hold the time, the lease folded from the log, and both nodes."""

    now: int = 0
    lease: Lease | None = None
    holders: tuple[Holder, ...] = (Holder(), Holder())


class LeaseSpec:
    """Generate the transitions of the model, without the rule ``mutant``."""

    def __init__(self, *, mutant: DroppedRule = DroppedRule.NONE) -> None:
        """Create the model without the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'lease: {self.mutant.value}',
            SystemState(),
            self.steps,
            {
                'at most one holder': lambda system_state: (
                    _holder_count(system_state) <= 1
                )
            },
        )

    def steps(
        self, system_state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and state of every possible transition."""
        if system_state.now < _END_TICK:
            yield 'tick', attrs.evolve(system_state, now=system_state.now + 1)
        for number, holder in enumerate(system_state.holders):
            if holder.asked_at is None:
                yield (
                    'ask',
                    _update_holder(
                        system_state, number, asked_at=system_state.now
                    ),
                )
            elif holder.is_in_log:
                yield 'answer', self._receive_response(system_state, number)
            else:
                yield 'land', self._append_request(system_state, number)
                yield (
                    'lose',
                    _update_holder(system_state, number, asked_at=None),
                )

    def _append_request(
        self, system_state: SystemState, number: int
    ) -> SystemState:
        record = LeaseRecord(
            name='controllers',
            holder=_HOLDERS[number],
            ttl_ms=_TTL_TICKS,
        )
        lease = apply_lease_record(
            system_state.lease, system_state.now, system_state.now, record
        )
        if self.mutant is DroppedRule.TAKE_UNEXPIRED:
            lease = apply_lease_record(
                None, system_state.now, system_state.now, record
            )
        landed = _update_holder(system_state, number, is_in_log=True)
        return attrs.evolve(landed, lease=lease)

    def _receive_response(
        self, system_state: SystemState, number: int
    ) -> SystemState:
        holder = system_state.holders[number]
        changes = {'asked_at': None, 'is_in_log': False}
        if system_state.lease.holder == _HOLDERS[number]:
            start = holder.asked_at
            if self.mutant is DroppedRule.TERM_FROM_ANSWER:
                start = system_state.now
            changes['valid_until'] = max(holder.valid_until, start + _TTL_TICKS)
        return _update_holder(system_state, number, **changes)


def _holder_count(system_state: SystemState) -> int:
    return sum(
        holder.valid_until > system_state.now for holder in system_state.holders
    )


def _update_holder(
    system_state: SystemState, number: int, **changes: object
) -> SystemState:
    holders = list(system_state.holders)
    holders[number] = attrs.evolve(holders[number], **changes)
    return attrs.evolve(system_state, holders=tuple(holders))
