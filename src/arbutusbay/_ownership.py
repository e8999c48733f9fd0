"""Assign engine groups and ledger partitions to owner VMs.

Each process computes the owners by rendezvous hashing over the VMs that it
knows, so processes may disagree for a while. A wrong or second owner only
costs performance: the order of the log decides which ledger record counts,
and an index lookup falls back to rendezvous order.
"""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from arbutusbay.hashing import rank_by_rendezvous_hash

ENGINES_PER_GROUP = 16
_LEDGER_STREAM_PREFIX = 'ledger'


@attrs.frozen(kw_only=True)
class EngineGroup:
    """Identify engines of one pool whose cache indexes have the same owner.

    ``number`` is the position of the group in the pool.
    """

    pool: str
    number: int
    engines: tuple[str, ...]

    @property
    def key(self) -> str:
        """Return the key of the group for rendezvous hashing."""
        return f'index/{self.pool}/{self.number}'


def group_engines(pool: str, engines: Iterable[str]) -> list[EngineGroup]:
    """Split the engines of ``pool`` into groups of ``ENGINES_PER_GROUP``.

    Engines are sorted by name, so processes that have the same engines form
    the same groups. The last group may be smaller.
    """
    sorted_engines = sorted(engines)
    return [
        EngineGroup(
            pool=pool,
            number=start // ENGINES_PER_GROUP,
            engines=tuple(sorted_engines[start : start + ENGINES_PER_GROUP]),
        )
        for start in range(0, len(sorted_engines), ENGINES_PER_GROUP)
    ]


def find_group_owner(group: EngineGroup, vms: Sequence[str]) -> str | None:
    """Return the VM among ``vms`` that owns the cache indexes of ``group``.

    Returns None if ``vms`` is empty.
    """
    return next(iter(rank_by_rendezvous_hash(group.key, vms)), None)


def partition_of_ledger_key(key: str, partitions: int) -> int:
    """Return the number of the partition that holds idempotency key ``key``.

    ``partitions`` is the number of partitions.
    """
    return xxhash.xxh64_intdigest(key.encode()) % partitions


def rank_ledger_owners(partition: int, vms: Sequence[str]) -> list[str]:
    """Return ``vms`` in the order in which to ask them about ``partition``.

    The owner is first; the next VM is asked if one does not reply.
    """
    return rank_by_rendezvous_hash(f'{_LEDGER_STREAM_PREFIX}/{partition}', vms)


def ledger_stream_name(partition: int) -> str:
    """Return the name of the log stream that stores ``partition``."""
    return f'{_LEDGER_STREAM_PREFIX}-{partition}'
