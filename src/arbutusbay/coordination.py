"""Expose the assignment of owner VMs and the notification of tasks."""

from arbutusbay._change_notifier import ChangeNotifier
from arbutusbay._ownership import (
    EngineGroup,
    find_group_owner,
    group_engines,
    ledger_stream_name,
    partition_of_ledger_key,
    rank_ledger_owners,
)

__all__ = (
    'ChangeNotifier',
    'EngineGroup',
    'find_group_owner',
    'group_engines',
    'ledger_stream_name',
    'partition_of_ledger_key',
    'rank_ledger_owners',
)
