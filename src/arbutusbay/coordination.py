"""Expose the assignment of owner VMs and the notification of tasks."""

from arbutusbay._change_notifier import ChangeNotifier
from arbutusbay._ownership import (
    EngineGroup,
    group_engines,
    rank_ledger_owners,
    partition_of_ledger_key,
    ledger_stream_name,
    find_group_owner,
)

__all__ = (
    'ChangeNotifier',
    'EngineGroup',
    'group_engines',
    'rank_ledger_owners',
    'partition_of_ledger_key',
    'ledger_stream_name',
    'find_group_owner',
)
