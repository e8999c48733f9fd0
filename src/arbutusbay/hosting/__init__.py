"""Expose clients of the platform's log service and list of VMs."""

from arbutusbay.hosting._log_service import (
    Appended,
    LogPage,
    LogRecord,
    LogService,
    read_to_end,
)
from arbutusbay.hosting._vm_list import VM, VMRole, VMState, read_vm_list

__all__ = (
    'VM',
    'Appended',
    'LogPage',
    'LogRecord',
    'LogService',
    'VMRole',
    'VMState',
    'read_to_end',
    'read_vm_list',
)
