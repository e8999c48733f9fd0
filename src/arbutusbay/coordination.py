"""Expose the assignment of owner VMs and the notification of tasks."""

from arbutusbay._broadcast import Broadcast
from arbutusbay._ownership import (
    EngineGroup,
    group_engines,
    ledger_owners,
    ledger_partition,
    ledger_stream,
    owner_of_group,
)

__all__ = (
    'Broadcast',
    'EngineGroup',
    'group_engines',
    'ledger_owners',
    'ledger_partition',
    'ledger_stream',
    'owner_of_group',
)
