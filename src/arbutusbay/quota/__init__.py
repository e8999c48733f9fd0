"""Decide which requests of a team are within its rate limit, fleet-wide.

Pure: the time is an argument. ``QuotaOwner`` decides, on the VM that owns a
partition of the teams; ``ShareLender`` chooses the owner, on each VM. Which
messages pass is up to the caller.
"""

from arbutusbay.quota._bucket import (
    START_CREDIT_LIFE_S,
    Bucket,
    QuotaRequest,
    Reservation,
)
from arbutusbay.quota._lender import (
    PARTITION_COUNT,
    LeaseTimes,
    Loan,
    ShareLender,
    lease_times,
    partition_of,
    rank_owners,
)
from arbutusbay.quota._owner import QuotaOwner
from arbutusbay.quota._partition import (
    QuotaPartition,
    apply_limits,
    create_partitions,
)
from arbutusbay.quota._terms import (
    Decision,
    Granted,
    QuotaBounds,
    QuotaTerms,
    Refused,
)

__all__ = (
    'PARTITION_COUNT',
    'START_CREDIT_LIFE_S',
    'Bucket',
    'Decision',
    'Granted',
    'LeaseTimes',
    'Loan',
    'QuotaBounds',
    'QuotaOwner',
    'QuotaPartition',
    'QuotaRequest',
    'QuotaTerms',
    'Refused',
    'Reservation',
    'ShareLender',
    'apply_limits',
    'create_partitions',
    'lease_times',
    'partition_of',
    'rank_owners',
)
