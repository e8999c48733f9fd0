"""Hold the part of one VM in the rate limits, partition by partition."""

from collections.abc import Iterable, Mapping

import attrs

from arbutusbay.quota._lender import (
    PARTITION_COUNT,
    ShareLender,
    partition_of,
)
from arbutusbay.quota._owner import QuotaOwner
from arbutusbay.quota._terms import QuotaBounds, QuotaTerms


@attrs.frozen(kw_only=True)
class QuotaPartition:
    """Hold what this VM may decide in a partition, and whom it lends to."""

    number: int
    owner: QuotaOwner
    lender: ShareLender


def create_partitions(
    own_vm: str, bounds: QuotaBounds, now_s: float
) -> tuple[QuotaPartition, ...]:
    """Return all partitions of a VM that has just started."""
    return tuple(
        QuotaPartition(
            number=number,
            owner=QuotaOwner(bounds=bounds),
            lender=ShareLender(
                own_vm=own_vm,
                partition=number,
                window_s=bounds.window_s,
                last_credit_s=now_s,
            ),
        )
        for number in range(PARTITION_COUNT)
    )


def apply_limits(
    partitions: Iterable[QuotaPartition],
    terms: Mapping[str, QuotaTerms],
    now_s: float,
) -> tuple[QuotaPartition, ...]:
    """Apply the limits of all teams; return the partitions that have one."""
    used = []
    for partition in partitions:
        own_terms = {
            team: of_team
            for team, of_team in terms.items()
            if partition_of(team) == partition.number
        }
        partition.owner.apply_limits(own_terms, now_s)
        if own_terms:
            used.append(partition)
    return tuple(used)
