"""Decide which requests of a team are within its rate limit, fleet-wide.

Pure: the time is an argument. ``LimitShares`` holds the part of a VM in all
limits: for each partition of the teams a ``QuotaOwner``, which decides if the
VM owns it, and a ``ShareLender``, which chooses the owner. ``plan_renewal``
says which messages are due; how they pass is up to the caller.
"""

from arbutusbay.quota._bucket import (
    START_CREDIT_LIFE_S,
    Bucket,
    QuotaRequest,
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
from arbutusbay.quota._limit_shares import (
    AskedGrant,
    LimitShares,
    OfferedShare,
    QuotaPartition,
)
from arbutusbay.quota._owner import QuotaOwner
from arbutusbay.quota._renewal_steps import (
    ChangeOwner,
    LeaveOwner,
    ProbeVM,
    RenewalStep,
    RenewLease,
    plan_renewal,
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
    'AskedGrant',
    'Bucket',
    'ChangeOwner',
    'Decision',
    'Granted',
    'LeaseTimes',
    'LeaveOwner',
    'LimitShares',
    'Loan',
    'OfferedShare',
    'ProbeVM',
    'QuotaBounds',
    'QuotaOwner',
    'QuotaPartition',
    'QuotaRequest',
    'QuotaTerms',
    'Refused',
    'RenewLease',
    'RenewalStep',
    'ShareLender',
    'lease_times',
    'partition_of',
    'plan_renewal',
    'rank_owners',
)
