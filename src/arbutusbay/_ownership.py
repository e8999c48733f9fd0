"""Decide which VM owns a group of engines or a ledger partition.

A wrong or doubled owner costs speed only: the log's order decides what is
agreed, and an index lookup falls back to rendezvous order.
"""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from arbutusbay.hashing import rendezvous_order

ENGINES_PER_GROUP = 16
LEDGER_STREAM = 'ledger'


@attrs.frozen(kw_only=True)
class EngineGroup:
    """Name engines of one pool that share an index owner."""

    pool: str
    number: int
    engines: tuple[str, ...]

    @property
    def key(self) -> str:
        """Return the text that rendezvous hashing scores."""
        return f'index/{self.pool}/{self.number}'


def group_engines(pool: str, engines: Iterable[str]) -> list[EngineGroup]:
    """Split the engines of ``pool`` into groups of bounded size."""
    ordered = sorted(engines)
    return [
        EngineGroup(
            pool=pool,
            number=start // ENGINES_PER_GROUP,
            engines=tuple(ordered[start : start + ENGINES_PER_GROUP]),
        )
        for start in range(0, len(ordered), ENGINES_PER_GROUP)
    ]


def owner_of_group(group: EngineGroup, nodes: Sequence[str]) -> str | None:
    """Return the VM that watches the engines of ``group``."""
    return next(iter(rendezvous_order(group.key, nodes)), None)


def ledger_partition(key: str, partitions: int) -> int:
    """Return the partition of an idempotency key."""
    return xxhash.xxh64_intdigest(key.encode()) % partitions


def ledger_owners(partition: int, nodes: Sequence[str]) -> list[str]:
    """Return the VMs to ask about ``partition``, the owner first."""
    return rendezvous_order(f'{LEDGER_STREAM}/{partition}', nodes)


def ledger_stream(partition: int) -> str:
    """Return the log stream that holds ``partition``."""
    return f'{LEDGER_STREAM}-{partition}'
