"""Specify the lease: at most one holder by the holders' own clocks.

Appends take effect after a delay, at the log's time; a holder counts its
term from before the append. The product's own fold is used.
"""

import enum
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from arbutusbay.state import Lease, LeaseRecord, apply_lease
from tests.model.spec import build_protocol

_TTL = 3
_END = 7
_HOLDERS = ('a', 'b')


class Mutant(enum.StrEnum):
    """Name one rule that is dropped."""

    NONE = 'none'
    TERM_FROM_ANSWER = 'a holder counts its term from the answer'
    TAKE_UNEXPIRED = 'a lease is taken before it ran out'


@attrs.frozen(kw_only=True, cache_hash=True)
class Holder:
    """Hold one node: when it asked, until when it believes to hold."""

    asked_at: int | None = None
    landed: bool = False
    valid_until: int = 0


@attrs.frozen(kw_only=True, cache_hash=True)
class World:
    """Hold the time, the lease as all fold it, and both nodes."""

    now: int = 0
    lease: Lease | None = None
    holders: tuple[Holder, ...] = (Holder(), Holder())


class LeaseSpec:
    """Generate the transitions, with one rule dropped."""

    def __init__(self, *, mutant: Mutant = Mutant.NONE) -> None:
        """Drop the rule that ``mutant`` names."""
        self.mutant = mutant

    def protocol(self) -> Protocol:
        """Return the protocol with its safety property."""
        return build_protocol(
            f'lease: {self.mutant.value}',
            World(),
            self.steps,
            {'one holder': lambda world: _believers(world) <= 1},
        )

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every next state."""
        if world.now < _END:
            yield 'tick', attrs.evolve(world, now=world.now + 1)
        for number, holder in enumerate(world.holders):
            if holder.asked_at is None:
                yield 'ask', _put(world, number, asked_at=world.now)
            elif holder.landed:
                yield 'answer', self._answer(world, number)
            else:
                yield 'land', self._land(world, number)
                yield 'lose', _put(world, number, asked_at=None)

    def _land(self, world: World, number: int) -> World:
        record = LeaseRecord(
            name='controllers',
            holder=_HOLDERS[number],
            ttl_ms=_TTL,
        )
        lease = apply_lease(world.lease, world.now, world.now, record)
        if self.mutant is Mutant.TAKE_UNEXPIRED:
            lease = apply_lease(None, world.now, world.now, record)
        landed = _put(world, number, landed=True)
        return attrs.evolve(landed, lease=lease)

    def _answer(self, world: World, number: int) -> World:
        holder = world.holders[number]
        changes = {'asked_at': None, 'landed': False}
        if world.lease.holder == _HOLDERS[number]:
            start = holder.asked_at
            if self.mutant is Mutant.TERM_FROM_ANSWER:
                start = world.now
            changes['valid_until'] = max(holder.valid_until, start + _TTL)
        return _put(world, number, **changes)


def _believers(world: World) -> int:
    return sum(holder.valid_until > world.now for holder in world.holders)


def _put(world: World, number: int, **changes: object) -> World:
    holders = list(world.holders)
    holders[number] = attrs.evolve(holders[number], **changes)
    return attrs.evolve(world, holders=tuple(holders))
