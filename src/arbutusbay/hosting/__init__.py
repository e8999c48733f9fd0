"""Expose clients of the platform's log service and list of VMs."""

from arbutusbay.hosting._log_client import (
    AppendResult,
    LogClient,
    LogPage,
    LogRecord,
    replay_log,
)
from arbutusbay.hosting._vm_list import (
    VM,
    VMList,
    VMRole,
    VMState,
    decode_vm_list,
    fetch_vm_list,
)

__all__ = (
    'VM',
    'AppendResult',
    'LogClient',
    'LogPage',
    'LogRecord',
    'VMList',
    'VMRole',
    'VMState',
    'decode_vm_list',
    'fetch_vm_list',
    'replay_log',
)
